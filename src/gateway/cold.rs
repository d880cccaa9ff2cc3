//! Rate limit for requests to cold targets, enforced across all routers. No I/O.
//!
//! A target that has just started can handle a few requests per second and crashes under many more.
//! To each router it looks idle, so that every router on its own would send it all its requests.
//! Therefore one router, the target's owner, admits requests to it for the whole fleet. The owner
//! is chosen from the list of routers by rendezvous hashing, without a coordinator. Two routers
//! whose lists differ may both act as owner, so each one limits itself to half of the configured
//! rate limit.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use tokio::time::Instant;

use crate::ids::Digest;

/// How long an admission is valid. A request that has not been sent by then must be admitted again.
pub const ADMISSION_TTL: Duration = Duration::from_millis(10);
/// The period over which the rate limit counts requests.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Number of routers that may admit requests to one target at the same time while their lists of
/// routers differ.
const MAX_CONCURRENT_OWNERS: f64 = 2.0;

/// How the targets of a service warm up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// How long a target stays cold after its start.
    pub cold_duration: Duration,
    /// Requests per second that a cold target can handle.
    pub requests_per_s: f64,
}

/// The operator's limit for requests to a cold target within one second: `requests_per_s *
/// rate_factor + slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRateLimit {
    /// Factor on the rate that a cold target can handle.
    pub rate_factor: f64,
    /// Requests allowed in addition.
    pub slack: f64,
}

impl Default for ColdRateLimit {
    /// The rate that the target can handle, without any excess.
    fn default() -> ColdRateLimit {
        ColdRateLimit { rate_factor: 1.0, slack: 0.0 }
    }
}

/// How many requests one owner admits to one target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionLimit {
    /// Maximum number of requests within any `window`.
    pub requests: usize,
    /// Length of the sliding window.
    pub window: Duration,
}

impl AdmissionLimit {
    /// The limit for a target with this warm-up: the rate that the target can handle, but no more
    /// than one owner's part of the operator's limit.
    pub fn for_warm_up(warm_up: WarmUp, bound: ColdRateLimit) -> AdmissionLimit {
        let bound = warm_up.requests_per_s * bound.rate_factor + bound.slack;
        let rate = warm_up.requests_per_s.min(bound / MAX_CONCURRENT_OWNERS);
        if rate >= 1.0 {
            // An admitted request may leave up to ADMISSION_TTL after its admission.
            return AdmissionLimit { requests: rate as usize, window: RATE_WINDOW + ADMISSION_TTL };
        }
        let window = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(Duration::MAX);
        AdmissionLimit { requests: 1, window: window.saturating_add(ADMISSION_TTL) }
    }
}

/// Sliding window of the requests that an owner has admitted to one target.
#[derive(Debug, Default)]
pub struct AdmissionWindow {
    admitted: VecDeque<Instant>,
}

impl AdmissionWindow {
    /// Admits a request if the limit allows it.
    ///
    /// # Errors
    /// The time until the next request can be admitted.
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

    /// Whether no request was admitted within the last `window`.
    pub fn is_idle(&self, now: Instant, window: Duration) -> bool {
        self.admitted.back().is_none_or(|t| *t + window <= now)
    }
}

/// How long a process admits no requests after its start. Its predecessor may have admitted some
/// immediately before.
pub const STARTUP_DELAY: Duration = Duration::from_millis(1_100);
/// Windows of targets without requests for this long are dropped.
const IDLE_WINDOW_TTL: Duration = Duration::from_secs(10);

/// Admits requests to the targets that this process owns.
#[derive(Debug)]
pub struct Admitter {
    ready_at: Instant,
    /// Sorted by the digest of the target's id.
    windows: Vec<(u64, AdmissionWindow)>,
}

impl Admitter {
    /// An admitter for a process that started at `started`.
    pub fn new(started: Instant) -> Admitter {
        Admitter { ready_at: started + STARTUP_DELAY, windows: Vec::new() }
    }

    /// Admits a request to a target if the limit allows it.
    ///
    /// # Errors
    /// The time until the next request can be admitted.
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
    /// Name of the instance.
    pub instance: CompactString,
    /// Availability zone of the router.
    pub zone: CompactString,
    /// Address for datagrams from other routers.
    pub addr: SocketAddr,
    /// Requests per second that the router can take. Large routers are preferred as owners because
    /// they receive most of the requests, and can admit these without asking another router.
    pub capacity: u32,
}

/// The owner of a target: one of the largest routers in the target's zone, or in the whole fleet if
/// the zone has none. `None` if there are no routers.
pub fn pick_owner(routers: &[OwnerCandidate], target: &str, zone: &str) -> Option<OwnerCandidate> {
    rank_owners(routers, target, zone, 1).into_iter().next()
}

/// The first `n` routers in the order in which they own a target, if those before them fail.
pub fn rank_owners(
    routers: &[OwnerCandidate],
    target: &str,
    zone: &str,
    n: usize,
) -> Vec<OwnerCandidate> {
    let class = |r: &OwnerCandidate| Reverse((r.zone == zone, r.capacity));
    let mut ranked: Vec<_> = routers.iter().map(|r| (class(r), r)).collect();
    ranked.sort_unstable_by_key(|(class, _)| *class);
    // The digest is computed only where it decides.
    if let Some(last) = n.checked_sub(1).and_then(|i| ranked.get(i)).map(|(class, _)| *class) {
        ranked.retain(|(class, _)| *class <= last);
    }
    ranked.sort_by_cached_key(|(class, r)| (*class, rendezvous(target, &r.instance)));
    ranked.into_iter().take(n).map(|(_, r)| r.clone()).collect()
}

fn rendezvous(target: &str, instance: &str) -> u64 {
    Digest::of(format!("{target}/{instance}").as_bytes()).first_u64()
}
