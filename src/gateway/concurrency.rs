//! Limit on the requests that all routers together have at one target, kept by the target's owner.
//! No I/O.
//!
//! A target that rejects too many requests for want of capacity crashes. No router sees the
//! requests of the others, so that each of them would send some to a target that is full. Therefore
//! one router, the owner, counts the requests at the target and admits further ones. Routers report
//! how many requests they have there, not that one begins or ends: a lost report is corrected by
//! the next one.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::notice::RejectionLimit;

/// Age of a report after which its router counts as gone. Routers with requests at the target
/// report every [`REPORT_INTERVAL`].
const REPORT_TTL: Duration = Duration::from_secs(3);
/// Interval at which a router repeats its report.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// How long an owner admits only half of the limit after it has taken over a target. It may not know
/// the requests of all routers yet, and another owner may still admit some.
const NEW_OWNER_TIME: Duration = Duration::from_secs(3);
/// Interval at which the limit grows by one request while it binds, below the number at which the
/// target last rejected one.
const INCREASE_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a rejection after which the limit may grow beyond that number: each attempt may
/// cost a rejection.
const PROBE_INTERVAL: Duration = Duration::from_secs(10);
/// Minimum pause of a target after a rejection.
const MIN_PAUSE: Duration = Duration::from_millis(120);
/// The period over which a target counts rejections.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);
/// Bounds on the time until a refused query should be repeated.
const MIN_ROOM_IN: Duration = Duration::from_millis(5);
const MAX_ROOM_IN: Duration = Duration::from_secs(1);
/// Weight of the latest interval between two ends of requests in their mean.
const INTERVAL_WEIGHT: f64 = 0.2;

/// How long a target that has rejected a request gets no further ones: half of the rejections that
/// it can bear remain unused.
pub fn pause_after_rejection(limit: RejectionLimit) -> Duration {
    (REJECTION_WINDOW * 2 / limit.per_second().saturating_add(1).max(2)).max(MIN_PAUSE)
}

/// A router's requests at a target.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RequestReport {
    /// Number of this report; a later one of the same process is larger.
    #[serde(rename = "n")]
    pub number: u64,
    /// Requests that were sent to the target and have not ended.
    #[serde(rename = "s")]
    pub sent: u32,
    /// Numbers of the queries that have no answer yet.
    #[serde(rename = "o")]
    pub open: Vec<u64>,
    /// Requests that wait for room at any target of the service.
    #[serde(rename = "w")]
    pub waiting: u32,
}

#[derive(Debug)]
struct Reporter {
    router: SocketAddr,
    number: u64,
    sent: u32,
    /// Admitted queries whose requests are not among those sent.
    admitted: Vec<u64>,
    /// Requests that wait for room and were not told of any since the report.
    waiting: u32,
    reported_at: Instant,
}

impl Reporter {
    fn requests(&self) -> u32 {
        self.sent + u32::try_from(self.admitted.len()).unwrap_or(u32::MAX)
    }
}

/// The requests at one target, and the limit on them.
#[derive(Debug)]
pub struct TargetLimiter {
    /// Sorted by address.
    reporters: Vec<Reporter>,
    slots: u32,
    limit: u32,
    /// Until when only half of the limit applies.
    halved_until: Instant,
    paused_until: Instant,
    increased_at: Instant,
    /// The limit at the latest rejection, and when that was.
    rejected_at: Option<(u32, Instant)>,
    ended_at: Instant,
    /// Mean interval between two ends of requests.
    end_interval: Duration,
    /// The router that was last told of room.
    last_told: Option<SocketAddr>,
}

impl TargetLimiter {
    /// A limiter for a target that runs `slots` requests at once. `takes_over` says that requests to
    /// the target were limited before, perhaps by another owner.
    pub fn new(slots: u32, takes_over: bool, now: Instant) -> TargetLimiter {
        TargetLimiter {
            reporters: Vec::new(),
            slots: slots.max(1),
            limit: slots.max(1),
            halved_until: if takes_over { now + NEW_OWNER_TIME } else { now },
            paused_until: now,
            increased_at: now,
            rejected_at: None,
            ended_at: now,
            end_interval: MIN_ROOM_IN,
            last_told: None,
        }
    }

    /// Applies a report. One that is older than a known one of the same router is ignored.
    pub fn report(&mut self, router: SocketAddr, report: &RequestReport, now: Instant) {
        self.reporters.retain(|r| r.reported_at + REPORT_TTL > now);
        let before = self.requests();
        match self.reporters.binary_search_by_key(&router, |r| r.router) {
            Ok(i) => {
                let known = &mut self.reporters[i];
                if report.number <= known.number {
                    return;
                }
                known.number = report.number;
                known.sent = report.sent;
                known.waiting = report.waiting;
                known.admitted.retain(|n| report.open.contains(n));
                known.reported_at = now;
            }
            Err(i) => self.reporters.insert(
                i,
                Reporter {
                    router,
                    number: report.number,
                    sent: report.sent,
                    admitted: Vec::new(),
                    waiting: report.waiting,
                    reported_at: now,
                },
            ),
        }
        self.record_ends(before.saturating_sub(self.requests()), now);
    }

    fn record_ends(&mut self, ends: u32, now: Instant) {
        if ends == 0 {
            return;
        }
        let interval = (now - self.ended_at) / ends;
        let mean = self.end_interval.mul_f64(1.0 - INTERVAL_WEIGHT);
        self.end_interval = (mean + interval.mul_f64(INTERVAL_WEIGHT)).min(MAX_ROOM_IN);
        self.ended_at = now;
    }

    /// Admits the request of a router's query if the limit allows it.
    ///
    /// # Errors
    /// The time after which to ask again.
    pub fn admit(&mut self, router: SocketAddr, query: u64, now: Instant) -> Result<(), Duration> {
        if now < self.paused_until {
            return Err(self.paused_until - now);
        }
        if self.requests() >= self.current_limit(now) {
            self.increase(now);
        }
        if self.requests() >= self.current_limit(now) {
            if let Some(r) = self.reporter(router) {
                r.waiting += 1;
            }
            let waiting: u32 = self.reporters.iter().map(|r| r.waiting).sum();
            return Err((self.end_interval * waiting).clamp(MIN_ROOM_IN, MAX_ROOM_IN));
        }
        if let Some(r) = self.reporter(router) {
            r.admitted.push(query);
        }
        Ok(())
    }

    fn reporter(&mut self, router: SocketAddr) -> Option<&mut Reporter> {
        let i = self.reporters.binary_search_by_key(&router, |r| r.router).ok()?;
        Some(&mut self.reporters[i])
    }

    /// The routers to tell of the room that there is now, one for each free place, in turn.
    pub fn routers_to_tell(&mut self, now: Instant) -> Vec<SocketAddr> {
        if now < self.paused_until {
            return Vec::new();
        }
        let free = self.current_limit(now).saturating_sub(self.requests());
        let mut told = Vec::new();
        for _ in 0..free {
            let is_waiting = |r: &&mut Reporter| r.waiting > 0;
            let last = self.last_told;
            let is_next = |r: &&mut Reporter| r.waiting > 0 && Some(r.router) > last;
            let next = match self.reporters.iter_mut().find(is_next) {
                Some(next) => next,
                None => match self.reporters.iter_mut().find(is_waiting) {
                    Some(first) => first,
                    None => break,
                },
            };
            next.waiting -= 1;
            told.push(next.router);
            self.last_told = Some(next.router);
        }
        told
    }

    fn increase(&mut self, now: Instant) {
        let is_proven = match self.rejected_at {
            Some((limit, at)) => self.limit + 1 < limit || now >= at + PROBE_INTERVAL,
            None => true,
        };
        let is_due = now >= self.increased_at + INCREASE_INTERVAL;
        if self.limit < self.slots && is_due && is_proven {
            self.limit += 1;
            self.increased_at = now;
        }
    }

    /// Records that the target rejected a request. Returns how long it gets no further ones.
    pub fn record_rejection(&mut self, limit: RejectionLimit, now: Instant) -> Duration {
        let pause = pause_after_rejection(limit);
        // The requests that are left are those that the target had room for.
        let before = self.limit.min(self.requests() + 1);
        self.limit = before.saturating_sub(1).max(1);
        self.rejected_at = Some((before, now));
        self.increased_at = now + pause;
        self.paused_until = self.paused_until.max(now + pause);
        pause
    }

    /// Number of requests that are known to be at the target or on their way there.
    pub fn requests(&self) -> u32 {
        self.reporters.iter().map(Reporter::requests).sum()
    }

    /// The maximum number of requests at the target now.
    pub fn current_limit(&self, now: Instant) -> u32 {
        if now < self.halved_until { self.limit.div_ceil(2) } else { self.limit }
    }

    /// Whether no router has reported for long.
    pub fn is_idle(&self, now: Instant) -> bool {
        self.reporters.iter().all(|r| r.reported_at + REPORT_TTL <= now) && self.paused_until <= now
    }
}
