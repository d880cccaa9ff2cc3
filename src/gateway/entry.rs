//! Entry answers: which routers callers of a zone should connect to.

use std::cmp::Reverse;
use std::net::SocketAddr;

use compact_str::CompactString;

use super::zone_filter::ZoneRegions;

/// Room that is left at the routers named, against the rate of the last moments: callers come in
/// clumps, and an answer is kept for a while.
const HEADROOM_FACTOR: f64 = 1.3;
/// Routers with at least this part of the largest one's capacity count as large, too.
const LARGE_MIN_FRACTION: f64 = 0.5;
/// How far beyond their stated capacity, which is a fifth of what they bear, large routers are used
/// before small ones are named.
const MAX_OVER_CAPACITY_FACTOR: f64 = 2.0;
/// Addresses in one answer, at most.
const MAX_ANSWER_ADDRESSES: usize = 64;

/// A router as others see it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouterEntry {
    /// Where callers connect.
    pub front: SocketAddr,
    /// Its availability zone.
    pub zone: CompactString,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Requests a second that it took of late.
    pub rate: u32,
    /// Requests a second that it can take.
    pub capacity: u32,
}

/// What the entry answers of this router rest on.
#[derive(Clone, Debug, Default)]
pub struct EntryView {
    /// All routers that live, this one included.
    pub routers: Vec<RouterEntry>,
    /// Whether this router takes requests.
    pub ready: bool,
    /// Regions that some routes of a host are bound to, by host.
    pub host_homes: Vec<(CompactString, Vec<CompactString>)>,
}

impl EntryView {
    /// The routers that callers of `zone` should use: those of the zone, which costs no traffic
    /// between zones, and of them only as many as carry the zone's requests, see [`routers_needed`]. Each
    /// router that takes an organisation's requests holds a part of its budget, so fewer
    /// routers strand less of it, and leave less in doubt when they die. If the zone has none, the
    /// routers of its region; if that has none, those of the regions that the host is bound to;
    /// all routers at last.
    pub fn answer(&self, host: &str, zone: &str, regions: &ZoneRegions) -> Vec<SocketAddr> {
        let in_zone = || self.routers.iter().filter(|r| r.zone == zone);
        let rate: f64 = in_zone().map(|r| f64::from(r.rate)).sum();
        let mut staying: Vec<_> = in_zone().filter(|r| !r.leaving).collect();
        // All routers answer alike: those of one size in the order of their addresses.
        staying.sort_by_key(|r| (Reverse(r.capacity), r.front));
        let capacities: Vec<f64> = staying.iter().map(|r| f64::from(r.capacity)).collect();
        let n = routers_needed(&capacities, rate);
        let mut near: Vec<SocketAddr> = staying[..n].iter().map(|r| r.front).collect();
        let own = regions.region(zone).map(std::slice::from_ref).unwrap_or_default();
        for within in [own, self.homes(host)] {
            if near.is_empty() {
                let in_regions = |z: &str| regions.region(z).is_some_and(|r| within.contains(r));
                let staying = self.routers.iter().filter(|r| !r.leaving && in_regions(&r.zone));
                near.extend(staying.map(|r| r.front));
            }
        }
        if near.is_empty() {
            let staying = self.routers.iter().filter(|r| !r.leaving);
            near.extend(staying.map(|r| r.front));
        }
        near.truncate(MAX_ANSWER_ADDRESSES);
        near
    }

    /// Regions that some routes of a host are bound to.
    fn homes(&self, host: &str) -> &[CompactString] {
        let found = self.host_homes.iter().find(|(h, _)| h.eq_ignore_ascii_case(host));
        found.map_or(&[], |(_, homes)| homes)
    }
}

/// How many routers of these capacities, the largest first, to name for `rate` requests a second.
///
/// Callers spread evenly over the routers named, whatever these can carry. So one small router
/// beside two large ones gets as much as each of them: when an organisation sends many times its
/// usual, it would get several times what its link carries, while the large ones idle. Small
/// routers are named only for rates that the large ones cannot carry, and then so many that an even
/// share is little enough for each.
pub fn routers_needed(capacities: &[f64], rate: f64) -> usize {
    let Some(largest) = capacities.first() else { return 0 };
    let utilization = |n: usize| rate / n as f64 / capacities[n - 1].max(1.0);
    let large = capacities.iter().take_while(|c| **c >= largest * LARGE_MIN_FRACTION).count();
    let has_headroom = |n: &usize| utilization(*n) <= 1.0 / HEADROOM_FACTOR;
    if let Some(n) = (1..=large).find(has_headroom) {
        return n;
    }
    if utilization(large) <= MAX_OVER_CAPACITY_FACTOR {
        return large;
    }
    let all = 1..=capacities.len();
    all.clone()
        .find(has_headroom)
        .or_else(|| all.min_by(|a, b| utilization(*a).total_cmp(&utilization(*b))))
        .unwrap_or(large)
}
