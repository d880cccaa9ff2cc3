//! Entry answers: the routers to which callers of a zone should connect.

use std::cmp::Reverse;
use std::net::SocketAddr;

use compact_str::CompactString;

use super::zone_filter::ZoneRegions;

/// Headroom of the named routers over the recent request rate, as a factor. Requests arrive in
/// bursts, and callers keep an answer for a while.
const HEADROOM_FACTOR: f64 = 1.3;
/// Routers with at least this fraction of the largest router's capacity count as large.
const LARGE_MIN_FRACTION: f64 = 0.5;
/// How far large routers are used beyond their stated capacity, as a factor, before small routers
/// are named. The stated capacity is a fifth of what a router can handle.
const MAX_OVER_CAPACITY_FACTOR: f64 = 2.0;
/// Maximum number of addresses in one answer.
const MAX_ANSWER_ADDRESSES: usize = 64;

/// What a router publishes about itself to other routers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouterEntry {
    /// Address to which callers connect.
    pub front: SocketAddr,
    /// Availability zone of the router.
    pub zone: CompactString,
    /// Whether the router is shutting down.
    pub leaving: bool,
    /// Whether the router is partitioned from the targets and relays its requests.
    pub partitioned: bool,
    /// Recent request rate, per second.
    pub rate: u32,
    /// Stated capacity, in requests per second.
    pub capacity: u32,
}

/// The data from which this router computes entry answers.
#[derive(Clone, Debug, Default)]
pub struct EntryView {
    /// All live routers, including this one.
    pub routers: Vec<RouterEntry>,
    /// Whether this router accepts requests.
    pub ready: bool,
    /// For each host, the regions to which some of its routes are restricted.
    pub host_homes: Vec<(CompactString, Vec<CompactString>)>,
}

impl EntryView {
    /// The addresses of the routers that callers of `zone` should use.
    ///
    /// Prefers routers of the same zone, which avoids traffic between zones, and of these names
    /// only as many as the zone's request rate needs, see [`routers_needed`]. Each router that
    /// serves an organisation holds a part of its budget. With fewer routers, less of the budget is
    /// stranded, and less is in doubt when routers fail. If the zone has no routers, names those of
    /// the zone's region; if that has none, those of the regions to which the host is restricted;
    /// otherwise all routers. Routers that are partitioned from the targets, whose requests take a
    /// detour, are named only if the region of the zone has no others.
    pub fn answer(&self, host: &str, zone: &str, regions: &ZoneRegions) -> Vec<SocketAddr> {
        let reaches_targets = |r: &RouterEntry| !r.leaving && !r.partitioned;
        let is_near = |r: &RouterEntry| regions.region(&r.zone) == regions.region(zone);
        let none_reaches = !self.routers.iter().any(|r| reaches_targets(r) && is_near(r));
        let is_usable = |r: &RouterEntry| reaches_targets(r) || (none_reaches && !r.leaving);
        let in_zone = || self.routers.iter().filter(|r| r.zone == zone);
        let rate: f64 = in_zone().map(|r| f64::from(r.rate)).sum();
        let mut staying: Vec<_> = in_zone().filter(|r| is_usable(r)).collect();
        // All routers must compute the same answer: routers of equal capacity are sorted by
        // address.
        staying.sort_by_key(|r| (Reverse(r.capacity), r.front));
        let capacities: Vec<f64> = staying.iter().map(|r| f64::from(r.capacity)).collect();
        let n = routers_needed(&capacities, rate);
        let mut named: Vec<SocketAddr> = staying[..n].iter().map(|r| r.front).collect();
        let own_region = regions.region(zone).map(std::slice::from_ref).unwrap_or_default();
        for within in [own_region, self.homes(host)] {
            if named.is_empty() {
                let in_regions = |z: &str| regions.region(z).is_some_and(|r| within.contains(r));
                let staying = self.routers.iter().filter(|r| is_usable(r) && in_regions(&r.zone));
                named.extend(staying.map(|r| r.front));
            }
        }
        if named.is_empty() {
            let staying = self.routers.iter().filter(|r| is_usable(r));
            named.extend(staying.map(|r| r.front));
        }
        named.truncate(MAX_ANSWER_ADDRESSES);
        named
    }

    /// Regions to which some of the host's routes are restricted.
    fn homes(&self, host: &str) -> &[CompactString] {
        let found = self.host_homes.iter().find(|(h, _)| h.eq_ignore_ascii_case(host));
        found.map_or(&[], |(_, homes)| homes)
    }
}

/// Number of routers to name for `rate` requests per second. `capacities` holds the capacity of
/// each router in requests per second, the largest first.
///
/// Callers spread evenly over the named routers, whatever the capacity of each. A small router
/// beside two large ones would therefore get as much as each of them: when an organisation sends a
/// multiple of its usual rate, the small router would get several times what its link can carry
/// while the large ones are idle. Small routers are named only for rates that the large ones cannot
/// handle, and then enough of them that an even share fits each one.
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
