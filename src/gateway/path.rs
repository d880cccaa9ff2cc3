//! Whether this router reaches the targets itself, and the routers that can relay its connections.
//!
//! A connection that fails shows by itself nothing about the target: the network of this router may
//! be partitioned from all targets, while callers, the store and other routers reach it. The router
//! counts as partitioned only if its own connections to several targets fail and another router
//! reaches one of these. It then connects through other routers until a connection of its own opens
//! again.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use tokio::sync::{Mutex, Notify};
use tokio::time::Instant;

/// How long a router that failed to relay a connection is used only after all others. By then its
/// row shows whether it is partitioned itself.
const RELAY_PAUSE: Duration = Duration::from_secs(3);

/// Why the connections of this router to several targets failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// This router reaches targets: those that it does not reach are at fault.
    Reachable,
    /// Another router reaches targets that this router does not reach.
    Partitioned,
    /// No router is known to reach the targets.
    Unknown,
}

impl Verdict {
    /// Decides by whether one of this router's own connections opened, and whether one that another
    /// router relayed did.
    pub fn of(own_opened: bool, relayed_opened: bool) -> Verdict {
        match (own_opened, relayed_opened) {
            (true, _) => Verdict::Reachable,
            (false, true) => Verdict::Partitioned,
            (false, false) => Verdict::Unknown,
        }
    }
}

/// A router that can relay connections to targets.
#[derive(Clone, Debug)]
pub struct Relay {
    /// Address at which it accepts tunnels.
    pub addr: SocketAddr,
    /// Availability zone of the router.
    pub zone: CompactString,
    /// Stated capacity, in requests per second.
    pub capacity: u32,
}

#[derive(Debug)]
struct KnownRelay {
    relay: Relay,
    paused_until: Option<Instant>,
}

/// The zones whose relays are tried first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Prefer {
    /// This router's zone, which avoids traffic between zones.
    SameZone,
    /// Other zones, whose network is less likely to fail together with that of this router.
    OtherZones,
}

/// The state of this router's connectivity to the targets.
#[derive(Debug, Default)]
pub struct TargetPath {
    zone: CompactString,
    partitioned_since: Cell<Option<Instant>>,
    /// Start of the latest connection attempt of this router that succeeded.
    last_opened: Cell<Option<Instant>>,
    /// Start and result of the latest check; locked while one is in progress.
    pub(super) last_check: Mutex<Option<(Instant, Verdict)>>,
    relays: RefCell<Vec<KnownRelay>>,
    changed: Notify,
    partitioned: Notify,
}

impl TargetPath {
    /// Creates the state of a router in `zone` that reaches the targets and knows no relays.
    pub fn new(zone: CompactString) -> TargetPath {
        TargetPath { zone, ..TargetPath::default() }
    }

    /// Whether this router is partitioned from the targets.
    pub fn is_partitioned(&self) -> bool {
        self.partitioned_since.get().is_some()
    }

    /// Records that a connection of this router opened. `began` is the start of the attempt.
    pub fn record_opened(&self, began: Instant) {
        self.last_opened.set(self.last_opened.get().max(Some(began)));
    }

    /// The verdict that needs no check, about a connection or request that began at `began`.
    pub fn known_verdict(&self, began: Instant) -> Option<Verdict> {
        if self.is_partitioned() {
            return Some(Verdict::Partitioned);
        }
        let has_opened = self.last_opened.get().is_some_and(|at| at >= began);
        has_opened.then_some(Verdict::Reachable)
    }

    /// Sets whether this router is partitioned. Returns since when it was partitioned before;
    /// `None` if nothing changed or it was not.
    pub fn set_partitioned(&self, partitioned: bool) -> Option<Instant> {
        if partitioned == self.is_partitioned() {
            return None;
        }
        let before = self.partitioned_since.replace(partitioned.then(Instant::now));
        self.changed.notify_one();
        if partitioned {
            self.partitioned.notify_one();
        }
        before
    }

    /// Waits until the state has changed since the last call.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Waits until this router is partitioned.
    pub async fn wait_partitioned(&self) {
        while !self.is_partitioned() {
            self.partitioned.notified().await;
        }
    }

    /// Sets the routers that can relay connections.
    pub fn set_relays(&self, relays: Vec<Relay>) {
        let mut known = self.relays.borrow_mut();
        let paused = |addr| known.iter().find(|k| k.relay.addr == addr)?.paused_until;
        let next: Vec<KnownRelay> = relays
            .into_iter()
            .map(|relay| KnownRelay { paused_until: paused(relay.addr), relay })
            .collect();
        *known = next;
    }

    /// Prefers other relays for a while, after this one failed to relay a connection.
    pub fn pause_relay(&self, addr: SocketAddr) {
        let mut known = self.relays.borrow_mut();
        if let Some(k) = known.iter_mut().find(|k| k.relay.addr == addr) {
            k.paused_until = Some(Instant::now() + RELAY_PAUSE);
        }
    }

    /// Whether a connection to a target that is idle since `idle_since` may carry a request.
    /// Relayed ones may while this router is partitioned and the relay in an allowed zone relays;
    /// direct ones if they carried an answer since the partition was detected.
    pub fn is_usable(
        &self,
        via: Option<SocketAddr>,
        idle_since: Instant,
        allows_zone: impl Fn(&str) -> bool,
    ) -> bool {
        let is_relay = |addr| {
            let known = self.relays.borrow();
            known.iter().any(|k| k.relay.addr == addr && allows_zone(&k.relay.zone))
        };
        match (via, self.partitioned_since.get()) {
            (None, None) => true,
            (Some(_), None) => false,
            (Some(relay), Some(_)) => is_relay(relay),
            (None, Some(since)) => idle_since > since,
        }
    }

    /// At most `n` relays in allowed zones in the order in which to try them. Within the preferred
    /// and the other zones the order is random, weighted by capacity, so that the load of a
    /// partitioned zone spreads over the other routers.
    pub fn relays(
        &self,
        n: usize,
        prefer: Prefer,
        allows_zone: impl Fn(&str) -> bool,
    ) -> Vec<SocketAddr> {
        let now = Instant::now();
        let known = self.relays.borrow();
        let rank = |k: &KnownRelay| {
            let is_paused = k.paused_until.is_some_and(|t| t > now);
            let is_preferred = (k.relay.zone == self.zone) == (prefer == Prefer::SameZone);
            let draw = fastrand::f64().powf(1.0 / f64::from(k.relay.capacity.max(1)));
            (is_paused, !is_preferred, 1.0 - draw)
        };
        let allowed = known.iter().filter(|k| allows_zone(&k.relay.zone));
        let mut ranked: Vec<_> = allowed.map(|k| (rank(k), k.relay.addr)).collect();
        ranked.sort_by(|((a_paused, a_other, a), _), ((b_paused, b_other, b), _)| {
            (a_paused, a_other).cmp(&(b_paused, b_other)).then(a.total_cmp(b))
        });
        ranked.into_iter().take(n).map(|(_, addr)| addr).collect()
    }
}
