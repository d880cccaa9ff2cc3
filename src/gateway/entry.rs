//! Entry answers: which routers callers of a zone should connect to.

use std::cmp::Reverse;
use std::net::SocketAddr;

use compact_str::CompactString;

use super::reach::ZoneRegions;

/// Room that is left at the routers named, against the rate of the last moments: callers come in
/// clumps, and an answer is kept for a while.
const ROOM: f64 = 1.3;
/// Addresses in one answer, at most.
const MAX_ADDRESSES: usize = 64;

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
    /// between zones, and of them only as many as carry the zone's requests, the largest first.
    /// Each router that takes an organisation's requests holds a part of its budget, so fewer
    /// routers strand less of it, and leave less in doubt when they die. If the zone has none, the
    /// routers of its region; if that has none, those of the regions that the host is bound to;
    /// all routers at last.
    pub fn answer(&self, host: &str, zone: &str, regions: &ZoneRegions) -> Vec<SocketAddr> {
        let of_zone = || self.routers.iter().filter(|r| r.zone == zone);
        let rate: f64 = of_zone().map(|r| f64::from(r.rate)).sum();
        let mut staying: Vec<_> = of_zone().filter(|r| !r.leaving).collect();
        // All routers answer alike: those of one size in the order of their addresses.
        staying.sort_by_key(|r| (Reverse(r.capacity), r.front));
        let mut room = 0.0;
        let mut near = Vec::new();
        for r in staying {
            if !near.is_empty() && room >= rate * ROOM {
                break;
            }
            room += f64::from(r.capacity);
            near.push(r.front);
        }
        let own = regions.region(zone).map(std::slice::from_ref).unwrap_or_default();
        for within in [own, self.homes(host)] {
            if near.is_empty() {
                let lies = |z: &str| regions.region(z).is_some_and(|r| within.contains(r));
                let staying = self.routers.iter().filter(|r| !r.leaving && lies(&r.zone));
                near.extend(staying.map(|r| r.front));
            }
        }
        if near.is_empty() {
            let staying = self.routers.iter().filter(|r| !r.leaving);
            near.extend(staying.map(|r| r.front));
        }
        near.truncate(MAX_ADDRESSES);
        near
    }

    /// Regions that some routes of a host are bound to.
    fn homes(&self, host: &str) -> &[CompactString] {
        let found = self.host_homes.iter().find(|(h, _)| h.eq_ignore_ascii_case(host));
        found.map_or(&[], |(_, homes)| homes)
    }
}
