//! Simulates a request that crashes every target which executes it, in fleets of several sizes.
//! Measures how many targets it crashes, how many other requests are interrupted, and which of these
//! are quarantined although they are not the cause. Routers use the production [`Quarantine`];
//! targets, callers and messages between routers are simulated in steps of `STEP_MS`.

use fastrand::Rng;
use serde::Serialize;

use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::quarantine::{
    Cause, Completion, Crash, CrashReport, Incarnation, Quarantine, Source,
};
use crate::rows::StoreMs;

/// Time step of the simulation, in milliseconds.
const STEP_MS: u64 = 10;
/// Simulated time, in milliseconds.
const SIMULATED_MS: u64 = 30_000;
/// Numbers of routers in the simulated fleets.
const FLEET_SIZES: [usize; 3] = [6, 60, 195];
/// Number of targets per router.
const TARGETS_PER_ROUTER: usize = 2;
/// Requests per second that arrive at each router.
const REQUESTS_PER_S: u64 = 20;
/// Maximum execution time of such a request, in milliseconds. The minimum is a quarter of it.
const MAX_RUN_MS: u64 = 1_000;
/// Interval at which the crashing request is sent to some router of the fleet, in milliseconds.
const CAUSE_INTERVAL_MS: u64 = 250;
/// Time from the start of the crashing request until its target crashes, in milliseconds.
const CAUSE_RUN_MS: u64 = 100;
/// The request that crashes its targets.
const CAUSE: Fingerprint = Fingerprint(1);
/// Maximum number of attempts of any other request.
const MAX_ATTEMPTS: u32 = 3;
/// How long a crashed target is unavailable, in milliseconds.
const DOWN_MS: u64 = 3_000;
/// Share of datagrams that are lost, in percent.
const LOST_PERCENT: u8 = 1;
/// Interval at which a router reads the rows of all routers, in milliseconds.
const READ_INTERVAL_MS: u64 = 2_000;
/// Maximum delay between a crash and the write of the router's row, in milliseconds.
const WRITE_DELAY_MS: u64 = 500;

/// How routers share their records of crashes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Sharing {
    /// Crashes are not recorded.
    Nothing,
    /// Each router records only its own requests.
    Alone,
    /// Routers write rows to the store, which all routers read.
    Rows,
    /// Rows as above, and in addition a datagram to each router at once.
    RowsAndDatagrams,
}

/// What happens besides the normal requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scenario {
    /// The crashing request is sent repeatedly.
    Cause,
    /// As [`Scenario::Cause`], while the store is unavailable.
    CauseWithoutStore,
    /// There is no crashing request. A third of the targets crashes every few seconds for other
    /// reasons, and callers retry immediately.
    Waves,
}

/// Result of one simulation.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct Cell {
    /// How routers shared their records of crashes.
    pub sharing: Sharing,
    /// What happened besides the normal requests.
    pub trouble: Scenario,
    /// Number of routers.
    pub routers: usize,
    /// Targets that the crashing request crashed.
    pub ended: u64,
    /// Interrupted runs of other requests.
    pub broken: u64,
    /// Maximum number of targets that crashed while executing the same other request, without a
    /// completed run of it in between.
    pub most_under_other: usize,
    /// Attempts of other requests that were rejected because of quarantine.
    pub others_held_back: u64,
    /// Total size of the datagrams that a router sent, averaged over all routers, in bytes.
    pub told_bytes: u64,
}

struct Run {
    request: Fingerprint,
    attempt: u32,
    router: usize,
    target: usize,
    began: u64,
    ends_at: u64,
}

struct Target {
    incarnation: u64,
    available_at: u64,
}

struct Simulation {
    sharing: Sharing,
    trouble: Scenario,
    rng: Rng,
    routers: Vec<Quarantine>,
    /// Each router's row, and the time at which it is written again.
    rows: Vec<(CrashReport, u64)>,
    targets: Vec<Target>,
    running: Vec<Run>,
    next_request: u64,
    next_incarnation: u64,
    cell: Cell,
}

/// Runs the simulations whose name `sharing/scenario/routers` contains `only`, and calls `on_cell`
/// with each result.
pub fn run(seed: u64, only: &str, mut on_cell: impl FnMut(&Cell)) {
    let sharings = [Sharing::Nothing, Sharing::Alone, Sharing::Rows, Sharing::RowsAndDatagrams];
    for trouble in [Scenario::Cause, Scenario::CauseWithoutStore, Scenario::Waves] {
        for (sharing, routers) in sharings.iter().flat_map(|s| FLEET_SIZES.map(|n| (*s, n))) {
            if format!("{sharing:?}/{trouble:?}/{routers}").contains(only) {
                on_cell(&Simulation::new(sharing, trouble, routers, seed).simulate());
            }
        }
    }
}

impl Simulation {
    fn new(sharing: Sharing, trouble: Scenario, routers: usize, seed: u64) -> Simulation {
        let targets = routers * TARGETS_PER_ROUTER;
        let target = |n: usize| Target { incarnation: n as u64, available_at: 0 };
        Simulation {
            sharing,
            trouble,
            rng: Rng::with_seed(seed),
            routers: (0..routers).map(|_| Quarantine::default()).collect(),
            rows: (0..routers).map(|_| (CrashReport::default(), u64::MAX)).collect(),
            targets: (0..targets).map(target).collect(),
            running: Vec::new(),
            next_request: CAUSE.0 + 1,
            next_incarnation: targets as u64,
            cell: Cell {
                sharing,
                trouble,
                routers,
                ended: 0,
                broken: 0,
                most_under_other: 0,
                others_held_back: 0,
                told_bytes: 0,
            },
        }
    }

    fn simulate(mut self) -> Cell {
        for now in (0..SIMULATED_MS).step_by(STEP_MS as usize) {
            self.send_arrivals(now);
            self.crash_targets(now);
            self.complete_runs(now);
            self.exchange_rows(now);
        }
        self.cell.told_bytes /= self.routers.len() as u64;
        self.cell
    }

    fn send_arrivals(&mut self, now: u64) {
        for router in 0..self.routers.len() {
            if self.rng.u64(..1_000) < REQUESTS_PER_S * STEP_MS {
                let request = Fingerprint(self.next_request);
                self.next_request += 1;
                let ends_at = now + self.rng.u64(MAX_RUN_MS / 4..MAX_RUN_MS);
                self.send(request, 1, router, now, ends_at);
            }
        }
        if self.trouble != Scenario::Waves && now.is_multiple_of(CAUSE_INTERVAL_MS) {
            let router = self.rng.usize(..self.routers.len());
            self.send(CAUSE, 1, router, now, now + CAUSE_RUN_MS);
        }
    }

    fn send(&mut self, request: Fingerprint, attempt: u32, router: usize, now: u64, ends_at: u64) {
        if self.routers[router].quarantined_until(request, StoreMs(now)).is_some() {
            self.cell.others_held_back += u64::from(request != CAUSE);
            return;
        }
        let available: Vec<usize> =
            (0..self.targets.len()).filter(|t| self.targets[*t].available_at <= now).collect();
        let Some(target) = self.rng.choice(available) else { return };
        self.running.push(Run { request, attempt, router, target, began: now, ends_at });
    }

    fn crash_targets(&mut self, now: u64) {
        let is_finished_cause = |r: &&Run| r.request == CAUSE && r.ends_at <= now;
        let mut crashing: Vec<usize> =
            self.running.iter().filter(is_finished_cause).map(|r| r.target).collect();
        crashing.sort_unstable();
        crashing.dedup();
        self.cell.ended += crashing.len() as u64;
        if self.trouble == Scenario::Waves && now % 4_000 == 3_000 {
            let rng = &mut self.rng;
            crashing.extend((0..self.targets.len()).filter(|_| rng.u8(..3) == 0));
        }
        if crashing.is_empty() {
            return;
        }
        let (broken, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|r| crashing.contains(&r.target));
        self.running = running;
        self.record_broken_runs(&broken, now);
        for target in crashing {
            self.targets[target] =
                Target { incarnation: self.next_incarnation, available_at: now + DOWN_MS };
            self.next_incarnation += 1;
        }
        // Callers retry immediately.
        for run in broken.iter().filter(|r| r.request != CAUSE && r.attempt < MAX_ATTEMPTS) {
            let router = self.rng.usize(..self.routers.len());
            let ends_at = now + self.rng.u64(MAX_RUN_MS / 4..MAX_RUN_MS);
            self.send(run.request, run.attempt + 1, router, now, ends_at);
        }
    }

    fn record_broken_runs(&mut self, broken: &[Run], now: u64) {
        for run in broken {
            self.cell.broken += u64::from(run.request != CAUSE);
            if self.sharing == Sharing::Nothing {
                continue;
            }
            let crash = Crash {
                request: run.request,
                target: Incarnation(self.targets[run.target].incarnation),
                began: StoreMs(run.began),
                at: StoreMs(now),
                cause: Cause::Request,
            };
            self.routers[run.router].record_crash(crash, Source::Own);
            let row = &mut self.rows[run.router];
            row.1 = row.1.min(now + WRITE_DELAY_MS);
            self.send_report(
                run.router,
                &CrashReport { crashes: vec![crash], ended_well: Vec::new() },
            );
            if run.request != CAUSE {
                let count = self.routers[run.router].crash_count(run.request);
                self.cell.most_under_other = self.cell.most_under_other.max(count);
            }
        }
    }

    fn send_report(&mut self, from: usize, report: &CrashReport) {
        if self.sharing != Sharing::RowsAndDatagrams {
            return;
        }
        let mut bytes = Vec::new();
        ciborium::into_writer(report, &mut bytes).expect("writing to memory cannot fail");
        for to in (0..self.routers.len()).filter(|to| *to != from) {
            self.cell.told_bytes += bytes.len() as u64;
            if self.rng.u8(..100) >= LOST_PERCENT {
                self.routers[to].merge_report(report, Source::Other);
            }
        }
    }

    fn complete_runs(&mut self, now: u64) {
        let (completed, running): (Vec<Run>, Vec<Run>) =
            std::mem::take(&mut self.running).into_iter().partition(|r| r.ends_at <= now);
        self.running = running;
        for run in completed {
            let completion = Completion { request: run.request, at: StoreMs(now) };
            if self.routers[run.router].record_completion(completion, Source::Own) {
                self.send_report(
                    run.router,
                    &CrashReport { crashes: Vec::new(), ended_well: vec![completion] },
                );
            }
        }
    }

    fn exchange_rows(&mut self, now: u64) {
        let has_rows = matches!(self.sharing, Sharing::Rows | Sharing::RowsAndDatagrams);
        if !has_rows || self.trouble == Scenario::CauseWithoutStore {
            return;
        }
        let n = self.routers.len();
        for router in 0..n {
            // Routers read the rows at different times.
            let read_time = (now + READ_INTERVAL_MS * router as u64 / n as u64) / STEP_MS * STEP_MS;
            let is_due = read_time.is_multiple_of(READ_INTERVAL_MS) || self.rows[router].1 <= now;
            if !is_due {
                continue;
            }
            self.rows[router] = (self.routers[router].report(StoreMs(now)), u64::MAX);
            for (report, _) in self.rows.iter().filter(|(r, _)| *r != CrashReport::default()) {
                self.routers[router].merge_report(report, Source::Other);
            }
            self.routers[router].expire(StoreMs(now));
        }
    }
}
