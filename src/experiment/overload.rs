//! Simulates a service whose targets crash when they reject too many requests for want of capacity,
//! with several ways to limit the requests that routers send. Measures crashes and served requests.
//! The owner is the production [`TargetLimiter`]; targets, callers and messages are simulated.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;
use serde::Serialize;
use tokio::time::Instant;

use crate::gateway::concurrency::{RequestReport, TargetLimiter, pause_after_rejection};
use crate::gateway::notice::RejectionLimit;

/// Numbers of routers in the simulated fleets.
const FLEET_SIZES: [usize; 3] = [6, 20, 79];
const TARGETS: usize = 5;
const SLOTS: usize = 6;
/// Mean time for which a request occupies a slot, in ms.
const WORK_MS: u64 = 60;
/// Queue of a target before and after [`SHORT_QUEUE_AT_MS`].
const USUAL_QUEUE: usize = 24;
const SHORT_QUEUE: usize = 1;
const SHORT_QUEUE_AT_MS: u64 = 4_000;
const SIMULATED_MS: u64 = 20_000;
/// How long a crashed target is unavailable, in ms.
const DOWN_MS: u64 = 3_000;
/// One-way delay between any two processes, in ms.
const DELAY_MS: u64 = 1;
/// Share of messages between routers that are lost, in percent.
const LOST_PERCENT: u8 = 1;
/// How long a request waits at its router, in ms.
const PATIENCE_MS: u64 = 300;
/// Interval at which a waiting request tries again, in ms.
const RETRY_MS: u64 = 10;
/// Number of requests that arrive together.
const BURST: usize = 3;
/// Maximum number of targets that may reject a request.
const MAX_SENDS: u32 = 2;

/// How routers limit their requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// A router pauses a target that has rejected one of its own requests.
    PauseAlone,
    /// A rejection is told to all routers, which pause the target.
    PauseAll,
    /// Each slot belongs to one router.
    Share,
    /// The owner of a target admits the requests of all routers.
    Owner,
}

/// The load on the service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Workload {
    /// 60% of the capacity, spread evenly over the routers.
    Even,
    /// 60% of the capacity, of which a sixth of the routers gets four fifths.
    Skewed,
    /// 130% of the capacity.
    Overload,
}

/// Result of one simulation.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct Cell {
    /// How routers limited their requests.
    pub policy: Policy,
    /// The load.
    pub workload: Workload,
    /// Number of routers.
    pub routers: usize,
    /// Rejections per second that a target can bear; none crashes if absent.
    pub rejection_limit: Option<u32>,
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that were answered.
    pub served: u64,
    /// Requests that targets rejected.
    pub rejected: u64,
    /// Crashes of targets.
    pub crashes: u64,
    /// Messages between routers.
    pub messages: u64,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival,
    Try { request: usize },
    AtTarget { request: usize },
    WorkDone { request: usize, incarnation: u64 },
    Answered { request: usize, outcome: u8 },
    Ask { request: usize, report: Report },
    Answer { request: usize, query: u64, admitted: bool },
    Report { router: usize, target: usize, report: Report, rejected: bool },
    Room { router: usize, target: usize },
    Pause { router: usize, target: usize },
    Restart { target: usize },
}

/// The fields of a [`RequestReport`]; those of a query have its number.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Report {
    number: u64,
    sent: u32,
    open: Vec<u64>,
}

impl From<Report> for RequestReport {
    fn from(r: Report) -> RequestReport {
        RequestReport { number: r.number, sent: r.sent, open: r.open, waiting: 0 }
    }
}

const ANSWERED: u8 = 0;
const REJECTED: u8 = 1;
const BROKEN: u8 = 2;

#[derive(Clone, Copy)]
struct Request {
    router: usize,
    target: usize,
    arrived: u64,
    sends: u32,
    waits: bool,
}

#[derive(Default)]
struct Target {
    incarnation: u64,
    is_down: bool,
    running: usize,
    queue: VecDeque<usize>,
    rejections: VecDeque<u64>,
    limiter: Option<TargetLimiter>,
}

struct Simulation {
    rng: Rng,
    start: Instant,
    now: u64,
    number: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    requests: Vec<Request>,
    targets: Vec<Target>,
    /// By router and target: requests in flight, open queries, and the end of the pause.
    sent: Vec<[u32; TARGETS]>,
    open_queries: Vec<[Vec<u64>; TARGETS]>,
    paused_until: Vec<[u64; TARGETS]>,
    cell: Cell,
}

/// Runs the simulations whose name `policy/workload/routers/limit` contains `only`, and calls
/// `on_cell` with each result.
pub fn run(seed: u64, only: &str, mut on_cell: impl FnMut(&Cell)) {
    let policies = [Policy::PauseAlone, Policy::PauseAll, Policy::Share, Policy::Owner];
    for workload in [Workload::Even, Workload::Skewed, Workload::Overload] {
        for (routers, limit) in FLEET_SIZES.iter().flat_map(|n| [1, 3, 10, 30].map(|l| (*n, l))) {
            for policy in policies {
                if format!("{policy:?}/{workload:?}/{routers}/{limit}").contains(only) {
                    on_cell(&simulate(policy, workload, routers, Some(limit), seed));
                }
            }
        }
    }
}

/// Runs one simulation.
pub fn simulate(
    policy: Policy,
    workload: Workload,
    routers: usize,
    rejection_limit: Option<u32>,
    seed: u64,
) -> Cell {
    let start = Instant::now();
    let new_target = |_| Target {
        limiter: Some(TargetLimiter::new(SLOTS as u32, false, start)),
        ..Target::default()
    };
    let simulation = Simulation {
        rng: Rng::with_seed(seed),
        start,
        now: 0,
        number: 0,
        events: BinaryHeap::new(),
        requests: Vec::new(),
        targets: (0..TARGETS).map(new_target).collect(),
        sent: vec![[0; TARGETS]; routers],
        open_queries: vec![<[Vec<u64>; TARGETS]>::default(); routers],
        paused_until: vec![[0; TARGETS]; routers],
        cell: Cell {
            policy,
            workload,
            routers,
            rejection_limit,
            arrived: 0,
            served: 0,
            rejected: 0,
            crashes: 0,
            messages: 0,
        },
    };
    simulation.run()
}

impl Simulation {
    fn run(mut self) -> Cell {
        self.at(0, Event::Arrival);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.handle(event);
        }
        self.cell
    }

    fn at(&mut self, delay: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse((self.now + delay, self.number, event)));
    }

    /// Sends a message between routers.
    fn tell(&mut self, event: Event) {
        self.cell.messages += 1;
        if self.rng.u8(..100) >= LOST_PERCENT {
            self.at(DELAY_MS, event);
        }
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    fn limit(&self) -> RejectionLimit {
        RejectionLimit::PerSecond(self.cell.rejection_limit.unwrap_or(u32::MAX))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Try { request } if self.requests[request].waits => self.place(request),
            // The request was woken before.
            Event::Try { .. } => (),
            Event::AtTarget { request } => self.take(request),
            Event::WorkDone { request, incarnation } => self.complete(request, incarnation),
            Event::Answered { request, outcome } => self.answered(request, outcome),
            Event::Ask { request, report } => self.ask(request, report),
            Event::Answer { request, query, admitted } => {
                let Request { router, target, .. } = self.requests[request];
                self.open_queries[router][target].retain(|q| *q != query);
                if admitted { self.send(request) } else { self.wait(request) }
            }
            Event::Report { router, target, report, rejected } => {
                self.apply_report(router, target, report, rejected);
            }
            Event::Room { router, target } => {
                self.paused_until[router][target] = 0;
                let waits = |r: &Request| r.waits && r.router == router;
                if let Some(request) = self.requests.iter().position(waits) {
                    self.place(request);
                }
            }
            Event::Pause { router, target } => self.pause(router, target),
            Event::Restart { target } => self.targets[target].is_down = false,
        }
    }

    fn arrive(&mut self) {
        if self.now >= SIMULATED_MS {
            return;
        }
        let routers = self.cell.routers;
        let utilization = if self.cell.workload == Workload::Overload { 1.3 } else { 0.6 };
        for _ in 0..BURST {
            let few = self.cell.workload == Workload::Skewed && self.rng.u8(..5) < 4;
            let router = self.rng.usize(..if few { routers.div_ceil(6) } else { routers });
            let (arrived, target, sends, waits) = (self.now, 0, 0, false);
            self.requests.push(Request { router, target, arrived, sends, waits });
            self.cell.arrived += 1;
            self.place(self.requests.len() - 1);
        }
        let per_ms = utilization * (TARGETS * SLOTS) as f64 / WORK_MS as f64 / BURST as f64;
        let gap = -self.rng.f64().max(1e-9).ln() / per_ms;
        self.at((gap.round() as u64).max(1), Event::Arrival);
    }

    /// Slots that belong to a router.
    fn share(&self, router: usize, target: usize) -> u32 {
        let of_router = (0..SLOTS).filter(|s| (s * TARGETS + target) % self.cell.routers == router);
        of_router.count() as u32
    }

    fn place(&mut self, request: usize) {
        let router = self.requests[request].router;
        self.requests[request].waits = false;
        let is_eligible = |t: &usize| {
            let has_share =
                self.cell.policy != Policy::Share || self.sent[router][*t] < self.share(router, *t);
            self.paused_until[router][*t] <= self.now && has_share && !self.targets[*t].is_down
        };
        let mut eligible: Vec<usize> = (0..TARGETS).filter(is_eligible).collect();
        self.rng.shuffle(&mut eligible);
        let load = |t: &usize| self.sent[router][*t] as usize + self.open_queries[router][*t].len();
        let Some(target) = eligible.into_iter().min_by_key(load) else {
            return self.wait(request);
        };
        self.requests[request].target = target;
        if self.cell.policy != Policy::Owner {
            return self.send(request);
        }
        let report = self.report(router, target);
        let query = report.number;
        self.open_queries[router][target].push(query);
        self.cell.messages += 1;
        if self.rng.u8(..100) < LOST_PERCENT {
            // The router goes on without the answer of the owner.
            return self.at(30, Event::Answer { request, query, admitted: false });
        }
        self.at(DELAY_MS, Event::Ask { request, report });
    }

    fn report(&mut self, router: usize, target: usize) -> Report {
        self.number += 1;
        let open = self.open_queries[router][target].clone();
        Report { number: self.number, sent: self.sent[router][target], open }
    }

    fn wait(&mut self, request: usize) {
        let r = &mut self.requests[request];
        r.waits = self.now + RETRY_MS < r.arrived + PATIENCE_MS;
        if r.waits {
            let jitter = self.rng.u64(..RETRY_MS);
            self.at(RETRY_MS + jitter, Event::Try { request });
        }
    }

    fn ask(&mut self, request: usize, report: Report) {
        let Request { router, target, .. } = self.requests[request];
        let (now, from) = (self.instant(), addr(router));
        let Some(limiter) = &mut self.targets[target].limiter else { return };
        let query = report.number;
        limiter.report(from, &report.into(), now);
        let admitted = limiter.admit(from, query, now);
        if let Err(room_in) = admitted {
            let ms = u64::try_from(room_in.as_millis()).unwrap_or(u64::MAX);
            self.paused_until[router][target] = self.now + ms.max(1);
        }
        self.cell.messages += 1;
        self.at(DELAY_MS, Event::Answer { request, query, admitted: admitted.is_ok() });
    }

    fn apply_report(&mut self, router: usize, target: usize, report: Report, rejected: bool) {
        let (now, limit) = (self.instant(), self.limit());
        let Some(limiter) = &mut self.targets[target].limiter else { return };
        limiter.report(addr(router), &report.into(), now);
        if rejected {
            limiter.record_rejection(limit, now);
        }
        for told in limiter.routers_to_tell(now) {
            self.tell(Event::Room { router: usize::from(told.port()) - 1, target });
        }
    }

    fn send(&mut self, request: usize) {
        let r = &mut self.requests[request];
        r.sends += 1;
        self.sent[r.router][r.target] += 1;
        self.at(DELAY_MS, Event::AtTarget { request });
    }

    fn take(&mut self, request: usize) {
        let target = self.requests[request].target;
        let queue = if self.now < SHORT_QUEUE_AT_MS { USUAL_QUEUE } else { SHORT_QUEUE };
        let t = &mut self.targets[target];
        if t.is_down {
            return self.at(DELAY_MS, Event::Answered { request, outcome: BROKEN });
        }
        if t.running < SLOTS {
            return self.begin(request);
        }
        if t.queue.len() < queue {
            return t.queue.push_back(request);
        }
        self.cell.rejected += 1;
        t.rejections.push_back(self.now);
        while t.rejections.front().is_some_and(|at| at + 1_000 <= self.now) {
            t.rejections.pop_front();
        }
        let limit = self.cell.rejection_limit.map_or(usize::MAX, |n| n as usize);
        if t.rejections.len() > limit {
            return self.crash(request);
        }
        self.at(DELAY_MS, Event::Answered { request, outcome: REJECTED });
    }

    fn begin(&mut self, request: usize) {
        let target = &mut self.targets[self.requests[request].target];
        target.running += 1;
        let incarnation = target.incarnation;
        let work = self.rng.u64(WORK_MS / 2..WORK_MS * 3 / 2);
        self.at(work, Event::WorkDone { request, incarnation });
    }

    fn complete(&mut self, request: usize, incarnation: u64) {
        let target = &mut self.targets[self.requests[request].target];
        if target.incarnation != incarnation {
            return self.at(DELAY_MS, Event::Answered { request, outcome: BROKEN });
        }
        target.running -= 1;
        let next = target.queue.pop_front();
        self.at(DELAY_MS, Event::Answered { request, outcome: ANSWERED });
        if let Some(next) = next {
            self.begin(next);
        }
    }

    fn crash(&mut self, request: usize) {
        self.cell.crashes += 1;
        let target = self.requests[request].target;
        let t = &mut self.targets[target];
        let queue = std::mem::take(&mut t.queue);
        let incarnation = t.incarnation + 1;
        let limiter = TargetLimiter::new(SLOTS as u32, false, self.start);
        *t = Target { incarnation, is_down: true, limiter: Some(limiter), ..Target::default() };
        for broken in queue.into_iter().chain([request]) {
            self.at(DELAY_MS, Event::Answered { request: broken, outcome: BROKEN });
        }
        self.at(DOWN_MS, Event::Restart { target });
    }

    fn answered(&mut self, request: usize, outcome: u8) {
        let Request { router, target, sends, .. } = self.requests[request];
        self.sent[router][target] -= 1;
        if self.cell.policy == Policy::Owner {
            let report = self.report(router, target);
            let rejected = outcome == REJECTED;
            self.tell(Event::Report { router, target, report, rejected });
        }
        match outcome {
            ANSWERED => self.cell.served += 1,
            REJECTED => {
                self.pause(router, target);
                if self.cell.policy == Policy::PauseAll {
                    let others = (0..self.cell.routers).filter(|r| *r != router);
                    others.for_each(|router| self.tell(Event::Pause { router, target }));
                }
                if sends < MAX_SENDS {
                    self.place(request);
                }
            }
            _ => (),
        }
    }

    fn pause(&mut self, router: usize, target: usize) {
        let pause = match self.cell.policy {
            Policy::PauseAlone | Policy::Share => Duration::from_millis(120),
            Policy::PauseAll | Policy::Owner => pause_after_rejection(self.limit()),
        };
        let until = self.now + u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
        let paused_until = &mut self.paused_until[router][target];
        *paused_until = until.max(*paused_until);
    }
}

fn addr(router: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(router + 1).unwrap_or(u16::MAX)))
}
