//! A model of routers that admit requests to one cold target: random lists of routers, deaths,
//! restarts, lost and late datagrams. The decisions are the real ones.

use std::time::Duration;

use fastrand::Rng;
use kingcupwall::gateway::cold::{
    ADMISSION_TTL, AdmissionLimit, Admitter, ColdRateLimit, OwnerCandidate, STARTUP_DELAY, WarmUp,
    pick_owner,
};
use rstest::rstest;
use tokio::time::Instant;

const TARGET: &str = "t1";
const WORD: u64 = 1;
const PER_S: f64 = 11.0;
const BOUND: ColdRateLimit = ColdRateLimit { rate_factor: 1.5, slack: 5.0 };
const MOST: usize = 21;
/// Schedules that are tried; a planted mistake must show in one of them.
const SCHEDULES: u64 = 400;
const PLAY_MS: u64 = 4_000;

/// A mistake in the rules that routers go by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mistake {
    None,
    /// An owner admits all that the target bears, and not only its part of the bound.
    WholeBound,
    /// A process admits as soon as it has started.
    NoSettling,
    /// Requests leave however late their admission arrives.
    LateUse,
    /// Who is asked admits whether or not it owns the target.
    AnyoneAdmits,
}

struct Process {
    admitter: Admitter,
    /// When it changes from the first list to the second.
    switches_ms: u64,
}

struct Model {
    rng: Rng,
    mistake: Mistake,
    admission_limit: AdmissionLimit,
    start: Instant,
    lists: [Vec<OwnerCandidate>; 2],
    processes: Vec<Process>,
    /// When requests left for the target, ms.
    left_ms: Vec<u64>,
}

impl Model {
    fn new(seed: u64, mistake: Mistake) -> Model {
        let mut rng = Rng::with_seed(seed);
        let n = rng.usize(3..9);
        let router = |n: usize, rng: &mut Rng| OwnerCandidate {
            instance: format!("r{n}").into(),
            zone: "z".into(),
            addr: ([127, 0, 0, 1], 80).into(),
            capacity: rng.u32(1..3) * 100,
        };
        let all: Vec<OwnerCandidate> = (0..n).map(|i| router(i, &mut rng)).collect();
        let some = |rng: &mut Rng| {
            let kept: Vec<OwnerCandidate> =
                all.iter().filter(|_| rng.u8(..4) > 0).cloned().collect();
            if kept.is_empty() { all.clone() } else { kept }
        };
        let lists = [some(&mut rng), some(&mut rng)];
        let start = Instant::now();
        let ready_at = start - 2 * STARTUP_DELAY;
        let process = |rng: &mut Rng| Process {
            admitter: Admitter::new(ready_at),
            switches_ms: rng.u64(..PLAY_MS),
        };
        let processes = (0..n).map(|_| process(&mut rng)).collect();
        let mut admission_limit = AdmissionLimit::for_warm_up(
            WarmUp { cold_duration: Duration::from_secs(3), requests_per_s: PER_S },
            BOUND,
        );
        if mistake == Mistake::WholeBound {
            admission_limit.requests = MOST;
        }
        Model { rng, mistake, admission_limit, start, lists, processes, left_ms: Vec::new() }
    }

    fn owner_by(&self, process: usize, ms: u64) -> usize {
        let list = &self.lists[usize::from(ms >= self.processes[process].switches_ms)];
        let name = &pick_owner(list, TARGET, "z").expect("no list is empty").instance;
        name[1..].parse().expect("a number")
    }

    fn play(mut self) -> usize {
        for ms in 0..PLAY_MS {
            // The owner by either list may end and start again, at any moment.
            if self.rng.u32(..1_500) == 0 {
                let which = self.rng.usize(..self.processes.len());
                self.restart(which, ms);
            }
            for _ in 0..self.rng.u32(..3) {
                let who = self.rng.usize(..self.processes.len());
                self.try_send(who, ms);
            }
        }
        self.left_ms.sort_unstable();
        let within = |from: &u64| {
            self.left_ms.iter().filter(|t| (*from..*from + 1_000).contains(*t)).count()
        };
        self.left_ms.iter().map(within).max().unwrap_or(0)
    }

    fn restart(&mut self, which: usize, ms: u64) {
        let mut started = self.start + Duration::from_millis(ms);
        if self.mistake == Mistake::NoSettling {
            started -= STARTUP_DELAY;
        }
        self.processes[which].admitter = Admitter::new(started);
    }

    fn try_send(&mut self, who: usize, ms: u64) {
        let mut by = self.owner_by(who, ms);
        if by != who && self.rng.u8(..20) == 0 {
            // Whom it asks is what its list said a while ago.
            by = self.rng.usize(..self.processes.len());
        }
        let (there, back) = match by == who {
            true => (0, 0),
            false => (self.rng.u64(..8), self.rng.u64(..8)),
        };
        let is_late = there + back >= ADMISSION_TTL.as_millis() as u64;
        let back = if is_late && self.rng.bool() { back + self.rng.u64(..900) } else { back };
        let owns = self.owner_by(by, ms + there) == by;
        if !owns && self.mistake != Mistake::AnyoneAdmits {
            return;
        }
        let now = self.start + Duration::from_millis(ms + there);
        if self.processes[by].admitter.admit(WORD, now, self.admission_limit).is_err() {
            return;
        }
        let is_lost = by != who && self.rng.u8(..30) == 0;
        if !is_lost && (!is_late || self.mistake == Mistake::LateUse) {
            self.left_ms.push(ms + there + back);
        }
    }
}

#[rstest]
#[case::as_built(Mistake::None, false)]
#[case::whole_bound(Mistake::WholeBound, true)]
#[case::no_settling(Mistake::NoSettling, true)]
#[case::late_use(Mistake::LateUse, true)]
#[case::anyone_admits(Mistake::AnyoneAdmits, true)]
fn cold_bound_any_schedule(#[case] mistake: Mistake, #[case] shows: bool) {
    // Guards against a cold target that gets more than the bound in some second, while routers go
    // by one list or by two.
    let most = (0..SCHEDULES).map(|seed| Model::new(seed, mistake).play()).max();
    assert_eq!(most > Some(MOST), shows, "{most:?} in one second");
}
