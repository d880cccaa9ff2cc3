//! Entry answers: which routers callers of a zone should connect to.

use std::net::SocketAddr;

use compact_str::CompactString;

/// Routers of the caller's own zone that must be there before others are left out: with one
/// alone, its loss would leave the zone's callers without any address.
const ENOUGH_NEAR: usize = 2;
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
}

/// What the entry answers of this router rest on.
#[derive(Clone, Debug, Default)]
pub struct EntryView {
    /// All routers that live, this one included.
    pub routers: Vec<RouterEntry>,
    /// Whether this router takes requests.
    pub ready: bool,
}

impl EntryView {
    /// The routers that callers of `zone` should use: those of the zone, which costs no traffic
    /// between zones, and all others too when the zone has too few.
    pub fn answer(&self, zone: &str) -> Vec<SocketAddr> {
        let staying = || self.routers.iter().filter(|r| !r.leaving);
        let near: Vec<SocketAddr> = staying().filter(|r| r.zone == zone).map(|r| r.front).collect();
        if near.len() >= ENOUGH_NEAR {
            return near.into_iter().take(MAX_ADDRESSES).collect();
        }
        staying().map(|r| r.front).take(MAX_ADDRESSES).collect()
    }
}
