//! How many requests a cold target gets from all routers together. No I/O.
//!
//! A target that has just started bears a few requests a second and ends under many more. Each
//! router alone would send it all it has: it looks idle to everyone. So one router, its owner,
//! admits the requests of all of them. The owner follows from the list of routers by rendezvous,
//! without a coordinator; two routers that disagree on the list may both admit, and each keeps to
//! half of the bound.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use tokio::time::Instant;

use crate::ids::Digest;

/// How long an admission holds. The request must leave within this time, or ask again.
pub const ADMISSION_TTL: Duration = Duration::from_millis(10);
/// The span over which the bound counts requests.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Routers that may admit requests to one target at the same time while their lists differ.
const MAX_CONCURRENT_OWNERS: f64 = 2.0;

/// How targets of a service warm up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// How long a target stays cold after its start.
    pub cold_duration: Duration,
    /// Requests a second that a cold target bears.
    pub requests_per_s: f64,
}

/// What the operator tolerates in one second at a cold target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRateLimit {
    /// Times the rate that it bears.
    pub rate_factor: f64,
    /// Requests on top.
    pub slack: f64,
}

impl Default for ColdRateLimit {
    /// The bare rate, where nothing else is stated.
    fn default() -> ColdRateLimit {
        ColdRateLimit { rate_factor: 1.0, slack: 0.0 }
    }
}

/// What one owner admits to one target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionLimit {
    /// Requests.
    pub requests: usize,
    /// In any span of this length.
    pub window: Duration,
}

impl AdmissionLimit {
    /// The limit for targets that warm up like this: what they bear, and no more than an owner's
    /// part of the bound.
    pub fn for_warm_up(warm_up: WarmUp, bound: ColdRateLimit) -> AdmissionLimit {
        let bound = warm_up.requests_per_s * bound.rate_factor + bound.slack;
        let rate = warm_up.requests_per_s.min(bound / MAX_CONCURRENT_OWNERS);
        if rate >= 1.0 {
            // An admitted request leaves up to the admission's life later.
            return AdmissionLimit { requests: rate as usize, window: RATE_WINDOW + ADMISSION_TTL };
        }
        let window = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(Duration::MAX);
        AdmissionLimit { requests: 1, window: window.saturating_add(ADMISSION_TTL) }
    }
}

/// Requests that an owner admitted to one target of late.
#[derive(Debug, Default)]
pub struct AdmissionWindow {
    admitted: VecDeque<Instant>,
}

impl AdmissionWindow {
    /// Admits a request.
    ///
    /// # Errors
    /// The time until there is room.
    pub fn admit(&mut self, now: Instant, limit: AdmissionLimit) -> Result<(), Duration> {
        while self.admitted.front().is_some_and(|t| *t + limit.window <= now) {
            self.admitted.pop_front();
        }
        if self.admitted.len() < limit.requests {
            self.admitted.push_back(now);
            return Ok(());
        }
        Err(self.admitted.front().map_or(limit.window, |t| *t + limit.window - now))
    }

    /// Whether nothing was admitted within `window`.
    pub fn is_idle(&self, now: Instant, window: Duration) -> bool {
        self.admitted.back().is_none_or(|t| *t + window <= now)
    }
}

/// How long a process does not admit after its start: its predecessor may have, a moment ago.
pub const STARTUP_DELAY: Duration = Duration::from_millis(1_100);
/// Meters of targets that had no request for so long are dropped.
const IDLE_WINDOW_TTL: Duration = Duration::from_secs(10);

/// What one process admits to the targets that it owns.
#[derive(Debug)]
pub struct Admitter {
    ready_at: Instant,
    /// By digest of the target's id.
    windows: Vec<(u64, AdmissionWindow)>,
}

impl Admitter {
    /// For a process that started then.
    pub fn new(started: Instant) -> Admitter {
        Admitter { ready_at: started + STARTUP_DELAY, windows: Vec::new() }
    }

    /// Admits a request to a target.
    ///
    /// # Errors
    /// The time until there is room.
    pub fn admit(
        &mut self,
        target: u64,
        now: Instant,
        limit: AdmissionLimit,
    ) -> Result<(), Duration> {
        if now < self.ready_at {
            return Err(self.ready_at - now);
        }
        let i = self.windows.binary_search_by_key(&target, |(t, _)| *t).unwrap_or_else(|i| {
            self.windows.insert(i, (target, AdmissionWindow::default()));
            i
        });
        let outcome = self.windows[i].1.admit(now, limit);
        self.windows.retain(|(_, m)| !m.is_idle(now, limit.window.max(IDLE_WINDOW_TTL)));
        outcome
    }
}

/// A router that may own targets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerCandidate {
    /// Its name.
    pub instance: CompactString,
    /// Its availability zone.
    pub zone: CompactString,
    /// Where other routers reach it.
    pub addr: SocketAddr,
    /// Requests a second that it can take. The largest get most of the callers, so that most
    /// requests need no word from another router.
    pub capacity: u32,
}

/// The owner of a target: one of the largest routers of its zone, or of all if its zone has none.
pub fn pick_owner<'a>(
    routers: &'a [OwnerCandidate],
    target: &str,
    zone: &str,
) -> Option<&'a OwnerCandidate> {
    let rank = |r: &&OwnerCandidate| (r.capacity, Reverse(rendezvous(target, &r.instance)));
    let near = routers.iter().filter(|r| r.zone == zone).max_by_key(rank);
    near.or_else(|| routers.iter().max_by_key(rank))
}

fn rendezvous(target: &str, instance: &str) -> u64 {
    Digest::of(format!("{target}/{instance}").as_bytes()).word()
}
