//! Simulates targets of one zone that return cold while callers wait, in fleets of several sizes.
//! Measures how many requests a target gets in its worst second, how much of the targets' capacity
//! is used, and how long callers wait. Admission limits, admission windows and the choice of owners
//! are the production code. Routers, callers and datagrams are simulated in steps of `STEP`.

use std::collections::VecDeque;
use std::path::Path;
use std::time::Duration;

use fastrand::Rng;
use serde::Serialize;
use tokio::time::Instant;

use super::plot::{self, Series};
use crate::error;
use crate::gateway::cold::{
    ADMISSION_TTL, AdmissionLimit, AdmissionWindow, ColdRateLimit, OwnerCandidate, WarmUp,
    pick_owner,
};

/// Time step of the simulation.
const STEP: Duration = Duration::from_millis(1);
/// How long the targets are cold, which is also the simulated time.
const COLD_DURATION: Duration = Duration::from_secs(3);
/// Numbers of routers in the simulated fleets.
const FLEET_SIZES: [usize; 4] = [6, 79, 195, 470];
/// Number of cold targets.
const COLD_TARGETS: usize = 20;
/// Requests per second that a cold target can process.
const COLD_REQUESTS_PER_S: f64 = 11.0;
/// The operator's limit on the rate of requests to a cold target.
const COLD_RATE_LIMIT: ColdRateLimit = ColdRateLimit { rate_factor: 1.5, slack: 5.0 };
/// Offered requests per second and target, which is more than the targets can process.
const OFFERED_REQUESTS_PER_S: f64 = 30.0;
/// Maximum wait of a caller. After it the request is refused.
const MAX_CALLER_WAIT: Duration = Duration::from_millis(600);
/// Time for a datagram to a target's owner and its answer.
const ROUND_TRIP: Duration = Duration::from_millis(2);
/// Share of exchanges with an owner that are lost, in percent.
const LOST_PERCENT: u8 = 1;
/// How long a router does not try a target whose owner did not answer.
const UNANSWERED_BACKOFF: Duration = Duration::from_millis(200);
/// One of this many routers is large.
const LARGE_EVERY: usize = 13;
/// Share of requests that arrive at the large routers, in percent.
const LARGE_PERCENT: u8 = 85;

/// How routers enforce the limit on requests to a cold target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mechanism {
    /// They do not enforce it.
    Nothing,
    /// Each router may use an equal share of the limit.
    Shares,
    /// Each target has one router as owner, and only requests of the owner are sent to it.
    Owner,
    /// The owner of a target also admits requests of other routers.
    OwnerAdmits,
}

/// Which routers each router knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Views {
    /// All routers have the same list.
    Alike,
    /// Half of the routers have a list without the large routers.
    Split,
}

/// Result of one simulation.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct Cell {
    /// How routers enforced the limit.
    pub mechanism: Mechanism,
    /// Which routers each router knew.
    pub views: Views,
    /// Number of routers.
    pub routers: usize,
    /// Maximum number of requests that one target got in any second.
    pub most_in_second: usize,
    /// Permitted number of requests to one target in any second.
    pub bound: f64,
    /// Sent requests in percent of the targets' capacity.
    pub used_percent: u64,
    /// Median wait of the callers whose request was sent, in milliseconds.
    pub wait_p50_ms: u64,
    /// 95th percentile of that wait, in milliseconds.
    pub wait_p95_ms: u64,
    /// Refused requests in percent of all requests.
    pub refused_percent: u64,
}

struct WaitingRequest {
    router: usize,
    waiting_since: Instant,
    next_attempt: Instant,
}

struct Simulation {
    cell: Cell,
    rng: Rng,
    admission_limit: AdmissionLimit,
    routers: Vec<OwnerCandidate>,
    /// The list without the large routers.
    stale_list: Vec<OwnerCandidate>,
    /// Indexed by `router * COLD_TARGETS + target`.
    admission_windows: Vec<AdmissionWindow>,
    /// When a router may try a target again. Indexed as `admission_windows`.
    retry_at: Vec<Option<Instant>>,
    /// Times at which requests reached each target within the last second.
    recent_arrivals: Vec<VecDeque<Instant>>,
    /// Requests that have been sent, with the time at which they reach their target.
    in_transit: VecDeque<(Instant, usize)>,
    waits_ms: Vec<u64>,
    refused: usize,
}

/// Runs the simulations whose name `mechanism/views/routers` contains `only`, and calls `on_cell`
/// with each result.
pub fn run(seed: u64, only: &str, mut on_cell: impl FnMut(&Cell)) {
    let mechanisms =
        [Mechanism::Nothing, Mechanism::Shares, Mechanism::Owner, Mechanism::OwnerAdmits];
    for views in [Views::Alike, Views::Split] {
        for (mechanism, routers) in mechanisms.iter().flat_map(|m| FLEET_SIZES.map(|n| (*m, n))) {
            if format!("{mechanism:?}/{views:?}/{routers}").contains(only) {
                on_cell(&Simulation::new(mechanism, views, routers, seed).simulate());
            }
        }
    }
}

/// Plots the maximum requests in a second by fleet size, with one line for each mechanism and view.
///
/// # Errors
/// `Io` if the file cannot be written.
pub fn plot(cells: &[Cell], file: &Path) -> error::Result<()> {
    let mut series: Vec<Series> = Vec::new();
    for c in cells {
        let name = format!("{:?}, lists {:?}", c.mechanism, c.views).to_lowercase();
        let point = (c.routers as f64, c.most_in_second as f64);
        match series.iter_mut().find(|s| s.name == name) {
            Some(s) => s.points.push(point),
            None => series.push(Series { name, points: vec![point] }),
        }
    }
    let bound = cells.first().map(|c| c.bound);
    plot::write(file, "most requests at one cold target in any second", &series, bound)
}

impl Simulation {
    fn new(mechanism: Mechanism, views: Views, routers: usize, seed: u64) -> Simulation {
        let router = |n: usize| OwnerCandidate {
            instance: format!("r{n}").into(),
            zone: "z".into(),
            addr: ([127, 0, 0, 1], 80).into(),
            capacity: if n.is_multiple_of(LARGE_EVERY) { 200 } else { 48 },
        };
        let all: Vec<OwnerCandidate> = (0..routers).map(router).collect();
        let mut admission_limit = AdmissionLimit::for_warm_up(
            WarmUp { cold_duration: COLD_DURATION, requests_per_s: COLD_REQUESTS_PER_S },
            COLD_RATE_LIMIT,
        );
        if mechanism == Mechanism::Shares {
            let share = COLD_REQUESTS_PER_S / routers as f64;
            admission_limit = AdmissionLimit::for_warm_up(
                WarmUp { cold_duration: COLD_DURATION, requests_per_s: share },
                ColdRateLimit { rate_factor: 2.0, slack: 0.0 },
            );
        }
        Simulation {
            cell: Cell {
                mechanism,
                views,
                routers,
                most_in_second: 0,
                bound: COLD_REQUESTS_PER_S * COLD_RATE_LIMIT.rate_factor + COLD_RATE_LIMIT.slack,
                used_percent: 0,
                wait_p50_ms: 0,
                wait_p95_ms: 0,
                refused_percent: 0,
            },
            rng: Rng::with_seed(seed),
            admission_limit,
            stale_list: all.iter().filter(|r| r.capacity < 200).cloned().collect(),
            admission_windows: (0..routers * COLD_TARGETS)
                .map(|_| AdmissionWindow::default())
                .collect(),
            retry_at: vec![None; routers * COLD_TARGETS],
            routers: all,
            recent_arrivals: vec![VecDeque::new(); COLD_TARGETS],
            in_transit: VecDeque::new(),
            waits_ms: Vec::new(),
            refused: 0,
        }
    }

    fn simulate(mut self) -> Cell {
        let start = Instant::now();
        let mut waiting: Vec<WaitingRequest> = Vec::new();
        let mut now = start;
        while now < start + COLD_DURATION {
            let mut offered = OFFERED_REQUESTS_PER_S * COLD_TARGETS as f64 * STEP.as_secs_f64();
            while self.rng.f64() < offered {
                waiting.push(WaitingRequest {
                    router: self.random_router(),
                    waiting_since: now,
                    next_attempt: now,
                });
                offered -= 1.0;
            }
            let mut still_waiting = Vec::new();
            for mut request in waiting.drain(..) {
                if request.next_attempt > now {
                    still_waiting.push(request);
                } else if now - request.waiting_since >= MAX_CALLER_WAIT {
                    self.refused += 1;
                } else if let Some(retry_in) = self.try_send(request.router, now) {
                    request.next_attempt = now + retry_in.max(STEP);
                    still_waiting.push(request);
                } else {
                    self.waits_ms.push((now - request.waiting_since).as_millis() as u64);
                }
            }
            waiting = still_waiting;
            now += STEP;
            self.deliver(now);
        }
        self.finish()
    }

    fn random_router(&mut self) -> usize {
        let n = self.routers.len();
        if self.rng.u8(..100) < LARGE_PERCENT {
            return self.rng.usize(..n.div_ceil(LARGE_EVERY)) * LARGE_EVERY;
        }
        self.rng.usize(..n)
    }

    /// Sends a request of `router` to a cold target. If no target admits it, returns the delay until
    /// the next attempt.
    fn try_send(&mut self, router: usize, now: Instant) -> Option<Duration> {
        let mut min_delay = MAX_CALLER_WAIT;
        let first = self.rng.usize(..COLD_TARGETS);
        for target in (0..COLD_TARGETS).map(|n| (first + n) % COLD_TARGETS) {
            let at = router * COLD_TARGETS + target;
            if let Some(retry_time) = self.retry_at[at].filter(|t| *t > now) {
                min_delay = min_delay.min(retry_time - now);
                continue;
            }
            match self.admit(router, target, now) {
                Ok(delay) => {
                    self.in_transit.push_back((now + delay, target));
                    return None;
                }
                Err(retry_in) => {
                    self.retry_at[at] = Some(now + retry_in);
                    min_delay = min_delay.min(retry_in);
                }
            }
        }
        Some(min_delay)
    }

    /// Decides whether a request is admitted. Returns the delay until it is sent, or else the delay
    /// until the next attempt.
    fn admit(&mut self, router: usize, target: usize, now: Instant) -> Result<Duration, Duration> {
        let admitting_router = match self.cell.mechanism {
            Mechanism::Nothing => return Ok(Duration::ZERO),
            Mechanism::Shares => router,
            Mechanism::Owner | Mechanism::OwnerAdmits => self.owner_in_list_of(router, target),
        };
        let is_remote = admitting_router != router;
        if is_remote && self.cell.mechanism == Mechanism::Owner {
            return Err(UNANSWERED_BACKOFF);
        }
        let is_lost = is_remote && self.rng.u8(..100) < LOST_PERCENT;
        // The queried router admits requests only if it owns the target according to its own list.
        if is_lost
            || is_remote && self.owner_in_list_of(admitting_router, target) != admitting_router
        {
            return Err(UNANSWERED_BACKOFF);
        }
        self.admission_windows[admitting_router * COLD_TARGETS + target]
            .admit(now, self.admission_limit)?;
        Ok(if is_remote {
            self.rng.u32(..=ADMISSION_TTL.as_millis() as u32 / 2) * STEP + ROUND_TRIP
        } else {
            Duration::ZERO
        })
    }

    /// Returns the owner of `target` according to the list of `router`.
    fn owner_in_list_of(&self, router: usize, target: usize) -> usize {
        let has_stale_list = self.cell.views == Views::Split && router.is_multiple_of(2);
        let list = if has_stale_list && !self.stale_list.is_empty() {
            &self.stale_list
        } else {
            &self.routers
        };
        let found = pick_owner(list, &format!("t{target}"), "z").expect("the list is not empty");
        self.routers
            .iter()
            .position(|r| r.instance == found.instance)
            .expect("the owner is in the list")
    }

    /// Counts the requests that have reached their target by `now`.
    fn deliver(&mut self, now: Instant) {
        let (arrived, remaining): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut self.in_transit).into_iter().partition(|(t, _)| *t <= now);
        self.in_transit = remaining;
        for (at, target) in arrived {
            let recent_arrivals = &mut self.recent_arrivals[target];
            while recent_arrivals.front().is_some_and(|t| *t + Duration::from_secs(1) <= at) {
                recent_arrivals.pop_front();
            }
            recent_arrivals.push_back(at);
            self.cell.most_in_second = self.cell.most_in_second.max(recent_arrivals.len());
        }
    }

    fn finish(mut self) -> Cell {
        self.waits_ms.sort_unstable();
        let served = self.waits_ms.len();
        let at = |percent: usize| self.waits_ms.get(served * percent / 100).copied().unwrap_or(0);
        let cold_capacity = COLD_REQUESTS_PER_S * COLD_TARGETS as f64 * COLD_DURATION.as_secs_f64();
        Cell {
            used_percent: (served as f64 / cold_capacity * 100.0) as u64,
            wait_p50_ms: at(50),
            wait_p95_ms: at(95),
            refused_percent: (self.refused * 100 / (served + self.refused).max(1)) as u64,
            ..self.cell
        }
    }
}
