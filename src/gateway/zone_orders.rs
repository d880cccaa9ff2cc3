//! The operator's orders to empty availability zones, as far as they are known here. No I/O.

use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::rows::Ver;

/// Zones that are remembered, at most; a deployment has some dozens.
const MAX_ZONES: usize = 256;

/// What the operator wants of one availability zone.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ZoneOrder {
    /// The zone.
    #[serde(rename = "z")]
    pub zone: CompactString,
    /// The store's version from which on it holds.
    #[serde(rename = "v")]
    pub ver: Ver,
    /// Whether the zone's targets get no new requests; else the zone was taken back.
    #[serde(rename = "e")]
    pub emptied: bool,
}

#[derive(Debug)]
struct KnownOrder {
    order: ZoneOrder,
    received_at: Instant,
}

/// The newest order for each zone.
#[derive(Debug, Default)]
pub struct ZoneOrders {
    /// By zone.
    known: Vec<KnownOrder>,
}

impl ZoneOrders {
    /// Takes in an order that was heard at `now`. Returns whether it changes anything: one that is
    /// not newer than what is known does not, whoever tells it.
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

    /// How long ago a zone was taken back, as far as this router heard.
    pub fn taken_back_for(&self, zone: &str, now: Instant) -> Option<Duration> {
        let known = &self.known[self.find(zone).ok()?];
        (!known.order.emptied).then(|| now.saturating_duration_since(known.received_at))
    }

    /// The orders that were heard after `since`.
    pub fn received_after(&self, since: Instant) -> Vec<ZoneOrder> {
        self.known.iter().filter(|k| k.received_at > since).map(|k| k.order.clone()).collect()
    }

    /// Takes back, as of `ver`, each zone that is emptied and not among `listed`. Returns the
    /// orders that follow from that.
    pub fn missing_from(&self, listed: &[CompactString], ver: Ver) -> Vec<ZoneOrder> {
        let gone = |k: &&KnownOrder| k.order.emptied && !listed.contains(&k.order.zone);
        let taken_back = |k: &KnownOrder| ZoneOrder { ver, emptied: false, ..k.order.clone() };
        self.known.iter().filter(gone).map(taken_back).collect()
    }

    fn find(&self, zone: &str) -> Result<usize, usize> {
        self.known.binary_search_by(|k| k.order.zone.as_str().cmp(zone))
    }
}
