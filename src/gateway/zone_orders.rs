//! The operator's orders to empty availability zones, as far as this router knows them. No I/O.

use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::rows::Ver;

/// Maximum number of zones that are tracked. A deployment has a few dozen.
const MAX_ZONES: usize = 256;

/// An operator's order for one availability zone: to empty it, or to return it to service.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ZoneOrder {
    /// Name of the zone.
    #[serde(rename = "z")]
    pub zone: CompactString,
    /// Version of the store at which the order was written. The order with the highest version
    /// applies.
    #[serde(rename = "v")]
    pub ver: Ver,
    /// Whether the zone is emptied, so that its targets get no new requests. If false, the zone is
    /// in service again.
    #[serde(rename = "e")]
    pub emptied: bool,
}

#[derive(Debug)]
struct KnownOrder {
    order: ZoneOrder,
    received_at: Instant,
}

/// The newest known order for each zone.
#[derive(Debug, Default)]
pub struct ZoneOrders {
    /// Sorted by zone.
    known: Vec<KnownOrder>,
    /// Version of the latest snapshot of the store's orders.
    snapshot_ver: Ver,
}

impl ZoneOrders {
    /// Merges an order that was received at `now`. Returns whether it changes the state of the
    /// zone. An order that is not newer than the known one is ignored, whatever its source. An order
    /// to empty a zone that a later snapshot does not contain has been revoked.
    pub fn merge_newer(&mut self, order: &ZoneOrder, now: Instant) -> bool {
        let is_revoked = order.emptied && order.ver <= self.snapshot_ver;
        let order = match self.find(&order.zone) {
            Err(_) if is_revoked => {
                ZoneOrder { ver: self.snapshot_ver, emptied: false, ..order.clone() }
            }
            _ => order.clone(),
        };
        let new = || KnownOrder { order: order.clone(), received_at: now };
        match self.find(&order.zone) {
            Ok(i) if self.known[i].order.ver >= order.ver => false,
            Ok(i) => {
                let changed = self.known[i].order.emptied != order.emptied;
                self.known[i] = new();
                changed
            }
            Err(_) if self.known.len() >= MAX_ZONES => false,
            Err(i) => {
                self.known.insert(i, new());
                order.emptied || is_revoked
            }
        }
    }

    /// Records that the orders of a snapshot of this version were merged.
    pub fn record_snapshot(&mut self, ver: Ver) {
        self.snapshot_ver = self.snapshot_ver.max(ver);
    }

    /// The orders that a process which starts now must know: those that empty a zone, and those that
    /// were received less than `keep_time` ago.
    pub fn lasting(&self, now: Instant, keep_time: Duration) -> Vec<ZoneOrder> {
        let is_recent = |k: &KnownOrder| now.saturating_duration_since(k.received_at) < keep_time;
        let lasts = |k: &&KnownOrder| k.order.emptied || is_recent(k);
        self.known.iter().filter(lasts).map(|k| k.order.clone()).collect()
    }

    /// The zones that are emptied, sorted.
    pub fn emptied(&self) -> Vec<CompactString> {
        let emptied = self.known.iter().filter(|k| k.order.emptied);
        emptied.map(|k| k.order.zone.clone()).collect()
    }

    /// Whether a zone is emptied.
    pub fn is_emptied(&self, zone: &str) -> bool {
        self.find(zone).is_ok_and(|i| self.known[i].order.emptied)
    }

    /// Time since this router received the order that returned a zone to service. `None` if no
    /// order for the zone is known or the zone is emptied.
    pub fn in_service_for(&self, zone: &str, now: Instant) -> Option<Duration> {
        let known = &self.known[self.find(zone).ok()?];
        (!known.order.emptied).then(|| now.saturating_duration_since(known.received_at))
    }

    /// The orders that were received after `since`.
    pub fn received_after(&self, since: Instant) -> Vec<ZoneOrder> {
        self.known.iter().filter(|k| k.received_at > since).map(|k| k.order.clone()).collect()
    }

    /// For each emptied zone that is not in `listed`, an order of version `ver` that returns it to
    /// service.
    pub fn missing_from(&self, listed: &[CompactString], ver: Ver) -> Vec<ZoneOrder> {
        let gone = |k: &&KnownOrder| k.order.emptied && !listed.contains(&k.order.zone);
        let restored = |k: &KnownOrder| ZoneOrder { ver, emptied: false, ..k.order.clone() };
        self.known.iter().filter(gone).map(restored).collect()
    }

    fn find(&self, zone: &str) -> Result<usize, usize> {
        self.known.binary_search_by(|k| k.order.zone.as_str().cmp(zone))
    }
}
