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
}

impl ZoneOrders {
    /// Merges an order that was received at `now`. Returns whether it changes the state of the
    /// zone. An order that is not newer than the known one is ignored, whatever its source.
    pub fn merge_newer(&mut self, order: &ZoneOrder, now: Instant) -> bool {
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
                order.emptied
            }
        }
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
