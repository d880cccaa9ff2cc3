//! A request that ends each target which runs it, before fleets of several sizes: how many targets it
//! ends, what breaks off with them, and who is held back without being the cause. Routers are
//! the real [`Quarantine`]; targets, callers and messages between routers are a model in steps of
//! [`STEP_MS`].

use fastrand::Rng;
use serde::Serialize;

use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::quarantine::{Completion, Crash, CrashReport, Incarnation, Quarantine, Source};
use crate::rows::StoreMs;

/// Resolution of the model, ms.
const STEP_MS: u64 = 10;
/// Length of a play, ms.
const PLAY_MS: u64 = 30_000;
/// Routers of the fleets.
const SIZES: [usize; 3] = [6, 60, 195];
/// Targets for each router.
const TARGETS_PER_ROUTER: usize = 2;
/// Requests a second at each router, and how long each runs, ms.
const RATE: u64 = 20;
const RUN_MS: u64 = 1_000;
/// Pause between two attempts of the cause at the whole fleet, and how long each runs, ms.
const CAUSE_EVERY_MS: u64 = 250;
const CAUSE_RUN_MS: u64 = 100;
/// The cause itself.
const CAUSE: Fingerprint = Fingerprint(1);
/// Attempts of any other request, in all.
const ATTEMPTS: u32 = 3;
/// How long a target that has ended is down, ms.
const DOWN_MS: u64 = 3_000;
/// Datagrams that are lost, per cent.
const LOST_PERCENT: u8 = 1;
/// Pause between two readings of all rows, and how late a row follows a crash, ms.
const READ_MS: u64 = 2_000;
const WRITE_MS: u64 = 500;

/// How routers share what they see.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Sharing {
    /// Nothing is remembered of requests.
    Nothing,
    /// Each router remembers for itself.
    Alone,
    /// By rows that all read.
    Rows,
    /// By rows, and at once by datagram.
    RowsAndDatagrams,
}

/// What happens beside the usual requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Trouble {
    /// The cause comes again and again.
    Cause,
    /// The same, and rows are neither written nor read.
    CauseWithoutStore,
    /// No cause; a third of the targets ends every few seconds, and callers come back at once.
    Waves,
}

/// The outcome of one play.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct Cell {
    /// How routers share.
    pub sharing: Sharing,
    /// What happens.
    pub trouble: Trouble,
    /// Routers.
    pub routers: usize,
    /// Targets that the cause ended.
    pub ended: u64,
    /// Other requests' runs that broke off.
    pub broken: u64,
    /// The most targets that ended under another request without a good end in between.
    pub most_under_other: usize,
    /// Attempts of other requests that were held back.
    pub others_held_back: u64,
    /// Bytes of datagrams that one router sent, on average.
    pub told_bytes: u64,
}

struct Run {
    request: Fingerprint,
    attempt: u32,
    router: usize,
    target: usize,
    began: u64,
    over: u64,
}

struct Target {
    incarnation: u64,
    back: u64,
}

struct Play {
    sharing: Sharing,
    trouble: Trouble,
    rng: Rng,
    routers: Vec<Quarantine>,
    /// Each router's row, and when it is written next.
    rows: Vec<(CrashReport, u64)>,
    targets: Vec<Target>,
    running: Vec<Run>,
    next_request: u64,
    next_incarnation: u64,
    cell: Cell,
}

/// Plays every cell; `show` gets each.
pub fn run(seed: u64, only: &str, mut show: impl FnMut(&Cell)) {
    let sharings = [Sharing::Nothing, Sharing::Alone, Sharing::Rows, Sharing::RowsAndDatagrams];
    for trouble in [Trouble::Cause, Trouble::CauseWithoutStore, Trouble::Waves] {
        for (sharing, routers) in sharings.iter().flat_map(|s| SIZES.map(|n| (*s, n))) {
            if format!("{sharing:?}/{trouble:?}/{routers}").contains(only) {
                show(&Play::new(sharing, trouble, routers, seed).play());
            }
        }
    }
}

impl Play {
    fn new(sharing: Sharing, trouble: Trouble, routers: usize, seed: u64) -> Play {
        let targets = routers * TARGETS_PER_ROUTER;
        let target = |n: usize| Target { incarnation: n as u64, back: 0 };
        Play {
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

    fn play(mut self) -> Cell {
        for now in (0..PLAY_MS).step_by(STEP_MS as usize) {
            self.send_new(now);
            self.end_targets(now);
            self.end_well(now);
            self.share_rows(now);
        }
        self.cell.told_bytes /= self.routers.len() as u64;
        self.cell
    }

    fn send_new(&mut self, now: u64) {
        for router in 0..self.routers.len() {
            if self.rng.u64(..1_000) < RATE * STEP_MS {
                let request = Fingerprint(self.next_request);
                self.next_request += 1;
                let over = now + self.rng.u64(RUN_MS / 4..RUN_MS);
                self.send(request, 1, router, now, over);
            }
        }
        if self.trouble != Trouble::Waves && now.is_multiple_of(CAUSE_EVERY_MS) {
            let router = self.rng.usize(..self.routers.len());
            self.send(CAUSE, 1, router, now, now + CAUSE_RUN_MS);
        }
    }

    fn send(&mut self, request: Fingerprint, attempt: u32, router: usize, now: u64, over: u64) {
        if self.routers[router].quarantined_until(request, StoreMs(now)).is_some() {
            self.cell.others_held_back += u64::from(request != CAUSE);
            return;
        }
        let up: Vec<usize> =
            (0..self.targets.len()).filter(|t| self.targets[*t].back <= now).collect();
        let Some(target) = self.rng.choice(up) else { return };
        self.running.push(Run { request, attempt, router, target, began: now, over });
    }

    fn end_targets(&mut self, now: u64) {
        let of_cause = |r: &&Run| r.request == CAUSE && r.over <= now;
        let mut ending: Vec<usize> =
            self.running.iter().filter(of_cause).map(|r| r.target).collect();
        ending.sort_unstable();
        ending.dedup();
        self.cell.ended += ending.len() as u64;
        if self.trouble == Trouble::Waves && now % 4_000 == 3_000 {
            let rng = &mut self.rng;
            ending.extend((0..self.targets.len()).filter(|_| rng.u8(..3) == 0));
        }
        if ending.is_empty() {
            return;
        }
        let (broken, running) =
            std::mem::take(&mut self.running).into_iter().partition(|r| ending.contains(&r.target));
        self.running = running;
        self.note_broken(&broken, now);
        for target in ending {
            self.targets[target] =
                Target { incarnation: self.next_incarnation, back: now + DOWN_MS };
            self.next_incarnation += 1;
        }
        // Callers come back at once.
        for run in broken.iter().filter(|r| r.request != CAUSE && r.attempt < ATTEMPTS) {
            let router = self.rng.usize(..self.routers.len());
            let over = now + self.rng.u64(RUN_MS / 4..RUN_MS);
            self.send(run.request, run.attempt + 1, router, now, over);
        }
    }

    fn note_broken(&mut self, broken: &[Run], now: u64) {
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
            };
            self.routers[run.router].record_crash(crash, Source::Own);
            let row = &mut self.rows[run.router];
            row.1 = row.1.min(now + WRITE_MS);
            self.tell(run.router, &CrashReport { crashes: vec![crash], ended_well: Vec::new() });
            if run.request != CAUSE {
                let under = self.routers[run.router].crash_count(run.request);
                self.cell.most_under_other = self.cell.most_under_other.max(under);
            }
        }
    }

    fn tell(&mut self, from: usize, report: &CrashReport) {
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

    fn end_well(&mut self, now: u64) {
        let (over, running): (Vec<Run>, Vec<Run>) =
            std::mem::take(&mut self.running).into_iter().partition(|r| r.over <= now);
        self.running = running;
        for run in over {
            let well = Completion { request: run.request, at: StoreMs(now) };
            if self.routers[run.router].record_completion(well, Source::Own) {
                self.tell(run.router, &CrashReport { crashes: Vec::new(), ended_well: vec![well] });
            }
        }
    }

    fn share_rows(&mut self, now: u64) {
        let has_rows = matches!(self.sharing, Sharing::Rows | Sharing::RowsAndDatagrams);
        if !has_rows || self.trouble == Trouble::CauseWithoutStore {
            return;
        }
        let n = self.routers.len();
        for router in 0..n {
            // Routers read at different moments.
            let reads = (now + READ_MS * router as u64 / n as u64) / STEP_MS * STEP_MS;
            let is_due = reads.is_multiple_of(READ_MS) || self.rows[router].1 <= now;
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
