//! Targets of one zone come back cold while callers wait, before fleets of several sizes: how many
//! requests a target gets in its worst second, how much of what it bears is used, and how long
//! callers wait. Pace, meters and owners are the real ones; routers, callers and datagrams are a
//! model in steps of [`STEP`].

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

/// Resolution of the model.
const STEP: Duration = Duration::from_millis(1);
/// How long the targets stay cold, which is how long a play lasts.
const COLD: Duration = Duration::from_secs(3);
/// Routers of the fleets.
const SIZES: [usize; 4] = [6, 79, 195, 470];
/// Cold targets.
const TARGETS: usize = 20;
/// Requests a second that a cold target bears, and the operator's bound for it.
const PER_S: f64 = 11.0;
const BOUND: ColdRateLimit = ColdRateLimit { rate_factor: 1.5, slack: 5.0 };
/// Requests a second for each target: more than all of them bear.
const WANTED: f64 = 30.0;
/// How long a caller waits before it is refused.
const PATIENCE: Duration = Duration::from_millis(600);
/// A datagram to the owner and its answer, and how many of them are lost, per cent.
const ROUND_TRIP: Duration = Duration::from_millis(2);
const LOST_PERCENT: u8 = 1;
/// How long a target is left alone whose owner did not answer.
const SILENT: Duration = Duration::from_millis(200);
/// One router in so many is large, and the large ones take most of the callers.
const LARGE_EVERY: usize = 13;
const LARGE_PERCENT: u8 = 85;

/// How routers keep to the bound.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mechanism {
    /// Not at all.
    Nothing,
    /// Each has an equal share of it.
    Shares,
    /// Each target has an owner, which sends its own requests only.
    Owner,
    /// The owner admits the requests of all others, too.
    OwnerAdmits,
}

/// What routers believe of one another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Views {
    /// All have the same list.
    Alike,
    /// Half of them have a list in which the largest routers are missing.
    Split,
}

/// The outcome of one play.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct Cell {
    /// How routers keep to the bound.
    pub mechanism: Mechanism,
    /// What routers believe of one another.
    pub views: Views,
    /// Routers.
    pub routers: usize,
    /// The most requests that one target got in any second.
    pub most_in_second: usize,
    /// The bound.
    pub bound: f64,
    /// Requests sent, against what the targets bear, per cent.
    pub used_percent: u64,
    /// Wait of the callers that were served, at the median and at 95 of 100, ms.
    pub wait_p50_ms: u64,
    /// See `wait_p50_ms`.
    pub wait_p95_ms: u64,
    /// Callers that were refused, per cent.
    pub refused_percent: u64,
}

struct Waiting {
    router: usize,
    since: Instant,
    next: Instant,
}

struct Play {
    cell: Cell,
    rng: Rng,
    pace: AdmissionLimit,
    routers: Vec<OwnerCandidate>,
    /// The list of those that lack the largest.
    old_list: Vec<OwnerCandidate>,
    /// By router and target.
    meters: Vec<AdmissionWindow>,
    /// Until when a router leaves a target alone.
    closed: Vec<Option<Instant>>,
    /// When requests reached each target.
    sent: Vec<VecDeque<Instant>>,
    /// Requests that left, and reach their target later.
    on_the_way: VecDeque<(Instant, usize)>,
    waits_ms: Vec<u64>,
    refused: usize,
}

/// Plays every cell; `show` gets each.
pub fn run(seed: u64, only: &str, mut show: impl FnMut(&Cell)) {
    let mechanisms =
        [Mechanism::Nothing, Mechanism::Shares, Mechanism::Owner, Mechanism::OwnerAdmits];
    for views in [Views::Alike, Views::Split] {
        for (mechanism, routers) in mechanisms.iter().flat_map(|m| SIZES.map(|n| (*m, n))) {
            if format!("{mechanism:?}/{views:?}/{routers}").contains(only) {
                show(&Play::new(mechanism, views, routers, seed).play());
            }
        }
    }
}

/// Plots the worst second by size, one line for each mechanism and view.
///
/// # Errors
/// Those of writing the file.
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

impl Play {
    fn new(mechanism: Mechanism, views: Views, routers: usize, seed: u64) -> Play {
        let router = |n: usize| OwnerCandidate {
            instance: format!("r{n}").into(),
            zone: "z".into(),
            addr: ([127, 0, 0, 1], 80).into(),
            capacity: if n.is_multiple_of(LARGE_EVERY) { 200 } else { 48 },
        };
        let all: Vec<OwnerCandidate> = (0..routers).map(router).collect();
        let mut pace = AdmissionLimit::for_warm_up(
            WarmUp { cold_duration: COLD, requests_per_s: PER_S },
            BOUND,
        );
        if mechanism == Mechanism::Shares {
            let share = PER_S / routers as f64;
            pace = AdmissionLimit::for_warm_up(
                WarmUp { cold_duration: COLD, requests_per_s: share },
                ColdRateLimit { rate_factor: 2.0, slack: 0.0 },
            );
        }
        Play {
            cell: Cell {
                mechanism,
                views,
                routers,
                most_in_second: 0,
                bound: PER_S * BOUND.rate_factor + BOUND.slack,
                used_percent: 0,
                wait_p50_ms: 0,
                wait_p95_ms: 0,
                refused_percent: 0,
            },
            rng: Rng::with_seed(seed),
            pace,
            old_list: all.iter().filter(|r| r.capacity < 200).cloned().collect(),
            meters: (0..routers * TARGETS).map(|_| AdmissionWindow::default()).collect(),
            closed: vec![None; routers * TARGETS],
            routers: all,
            sent: vec![VecDeque::new(); TARGETS],
            on_the_way: VecDeque::new(),
            waits_ms: Vec::new(),
            refused: 0,
        }
    }

    fn play(mut self) -> Cell {
        let start = Instant::now();
        let mut waiting: Vec<Waiting> = Vec::new();
        let mut now = start;
        while now < start + COLD {
            let mut wanted = WANTED * TARGETS as f64 * STEP.as_secs_f64();
            while self.rng.f64() < wanted {
                waiting.push(Waiting { router: self.any_router(), since: now, next: now });
                wanted -= 1.0;
            }
            let mut left = Vec::new();
            for mut w in waiting.drain(..) {
                if w.next > now {
                    left.push(w);
                } else if now - w.since >= PATIENCE {
                    self.refused += 1;
                } else if let Some(room_in) = self.try_send(w.router, now) {
                    w.next = now + room_in.max(STEP);
                    left.push(w);
                } else {
                    self.waits_ms.push((now - w.since).as_millis() as u64);
                }
            }
            waiting = left;
            now += STEP;
            self.arrive(now);
        }
        self.finish()
    }

    fn any_router(&mut self) -> usize {
        let n = self.routers.len();
        if self.rng.u8(..100) < LARGE_PERCENT {
            return self.rng.usize(..n.div_ceil(LARGE_EVERY)) * LARGE_EVERY;
        }
        self.rng.usize(..n)
    }

    /// Sends a request of a router to a cold target. Returns when to try again if there is no room.
    fn try_send(&mut self, router: usize, now: Instant) -> Option<Duration> {
        let mut soonest = PATIENCE;
        let first = self.rng.usize(..TARGETS);
        for target in (0..TARGETS).map(|n| (first + n) % TARGETS) {
            let at = router * TARGETS + target;
            if let Some(open) = self.closed[at].filter(|t| *t > now) {
                soonest = soonest.min(open - now);
                continue;
            }
            match self.admit(router, target, now) {
                Ok(delay) => {
                    self.on_the_way.push_back((now + delay, target));
                    return None;
                }
                Err(room_in) => {
                    self.closed[at] = Some(now + room_in);
                    soonest = soonest.min(room_in);
                }
            }
        }
        Some(soonest)
    }

    /// How long after its admission the request leaves.
    fn admit(&mut self, router: usize, target: usize, now: Instant) -> Result<Duration, Duration> {
        let by = match self.cell.mechanism {
            Mechanism::Nothing => return Ok(Duration::ZERO),
            Mechanism::Shares => router,
            Mechanism::Owner | Mechanism::OwnerAdmits => self.owner_by(router, target),
        };
        let asks = by != router;
        if asks && self.cell.mechanism == Mechanism::Owner {
            return Err(SILENT);
        }
        let is_lost = asks && self.rng.u8(..100) < LOST_PERCENT;
        // Who is asked admits only what it owns by its own list.
        if is_lost || asks && self.owner_by(by, target) != by {
            return Err(SILENT);
        }
        self.meters[by * TARGETS + target].admit(now, self.pace)?;
        Ok(if asks {
            self.rng.u32(..=ADMISSION_TTL.as_millis() as u32 / 2) * STEP + ROUND_TRIP
        } else {
            Duration::ZERO
        })
    }

    fn owner_by(&self, router: usize, target: usize) -> usize {
        let has_old = self.cell.views == Views::Split && router.is_multiple_of(2);
        let list =
            if has_old && !self.old_list.is_empty() { &self.old_list } else { &self.routers };
        let found = pick_owner(list, &format!("t{target}"), "z").expect("there are routers");
        self.routers.iter().position(|r| r.instance == found.instance).expect("it is one of them")
    }

    fn arrive(&mut self, now: Instant) {
        let (there, on): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut self.on_the_way).into_iter().partition(|(t, _)| *t <= now);
        self.on_the_way = on;
        for (at, target) in there {
            let sent = &mut self.sent[target];
            while sent.front().is_some_and(|t| *t + Duration::from_secs(1) <= at) {
                sent.pop_front();
            }
            sent.push_back(at);
            self.cell.most_in_second = self.cell.most_in_second.max(sent.len());
        }
    }

    fn finish(mut self) -> Cell {
        self.waits_ms.sort_unstable();
        let served = self.waits_ms.len();
        let at = |percent: usize| self.waits_ms.get(served * percent / 100).copied().unwrap_or(0);
        let bears = PER_S * TARGETS as f64 * COLD.as_secs_f64();
        Cell {
            used_percent: (served as f64 / bears * 100.0) as u64,
            wait_p50_ms: at(50),
            wait_p95_ms: at(95),
            refused_percent: (self.refused * 100 / (served + self.refused).max(1)) as u64,
            ..self.cell
        }
    }
}
