//! Model of routers that admit requests to one cold target, with random lists of routers, crashes,
//! restarts, and lost or late datagrams. It uses the production code for all decisions.

use std::time::Duration;

use fastrand::Rng;
use kingcupwall::gateway::cold::{
    ADMISSION_TTL, AdmissionLimit, Admitter, ColdRateLimit, OwnerCandidate, STARTUP_DELAY, WarmUp,
    pick_owner,
};
use rstest::rstest;
use tokio::time::Instant;

const TARGET: &str = "t1";
const TARGET_DIGEST: u64 = 1;
const PER_S: f64 = 11.0;
const BOUND: ColdRateLimit = ColdRateLimit { rate_factor: 1.5, slack: 5.0 };
const MAX_PER_SECOND: usize = 21;
/// Number of simulated schedules. An injected bug must show in one of them.
const SCHEDULES: u64 = 400;
const SIMULATED_MS: u64 = 4_000;

/// A bug that the model can inject into the admission rules.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum InjectedBug {
    None,
    /// An owner admits the operator's whole limit instead of its part.
    FullLimitPerOwner,
    /// A process admits requests immediately after its start.
    NoStartupDelay,
    /// Requests are sent although their admission has expired.
    ExpiredAdmission,
    /// A queried router admits requests even if it does not own the target.
    NonOwnerAdmits,
}

struct Process {
    admitter: Admitter,
    /// When the process switches from the first list of routers to the second, in milliseconds.
    switches_ms: u64,
}

struct Model {
    rng: Rng,
    bug: InjectedBug,
    admission_limit: AdmissionLimit,
    start: Instant,
    lists: [Vec<OwnerCandidate>; 2],
    processes: Vec<Process>,
    /// When requests were sent to the target, in milliseconds.
    left_ms: Vec<u64>,
}

impl Model {
    fn new(seed: u64, bug: InjectedBug) -> Model {
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
            switches_ms: rng.u64(..SIMULATED_MS),
        };
        let processes = (0..n).map(|_| process(&mut rng)).collect();
        let mut admission_limit = AdmissionLimit::for_warm_up(
            WarmUp { cold_duration: Duration::from_secs(3), requests_per_s: PER_S },
            BOUND,
        );
        if bug == InjectedBug::FullLimitPerOwner {
            admission_limit.requests = MAX_PER_SECOND;
        }
        Model { rng, bug, admission_limit, start, lists, processes, left_ms: Vec::new() }
    }

    fn owner_by(&self, process: usize, ms: u64) -> usize {
        let list = &self.lists[usize::from(ms >= self.processes[process].switches_ms)];
        let name = &pick_owner(list, TARGET, "z").expect("no list is empty").instance;
        name[1..].parse().expect("a number")
    }

    fn simulate(mut self) -> usize {
        for ms in 0..SIMULATED_MS {
            // Any router, including the owner by either list, may crash and restart at any time.
            if self.rng.u32(..1_500) == 0 {
                let which = self.rng.usize(..self.processes.len());
                self.restart(which, ms);
            }
            for _ in 0..self.rng.u32(..3) {
                let sender = self.rng.usize(..self.processes.len());
                self.try_send(sender, ms);
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
        if self.bug == InjectedBug::NoStartupDelay {
            started -= STARTUP_DELAY;
        }
        self.processes[which].admitter = Admitter::new(started);
    }

    fn try_send(&mut self, sender: usize, ms: u64) {
        let mut owner = self.owner_by(sender, ms);
        if owner != sender && self.rng.u8(..20) == 0 {
            // The sender queries the router that its list named some time ago.
            owner = self.rng.usize(..self.processes.len());
        }
        let (there, back) = match owner == sender {
            true => (0, 0),
            false => (self.rng.u64(..8), self.rng.u64(..8)),
        };
        let is_late = there + back >= ADMISSION_TTL.as_millis() as u64;
        let back = if is_late && self.rng.bool() { back + self.rng.u64(..900) } else { back };
        let owns = self.owner_by(owner, ms + there) == owner;
        if !owns && self.bug != InjectedBug::NonOwnerAdmits {
            return;
        }
        let now = self.start + Duration::from_millis(ms + there);
        if self.processes[owner].admitter.admit(TARGET_DIGEST, now, self.admission_limit).is_err() {
            return;
        }
        let is_lost = owner != sender && self.rng.u8(..30) == 0;
        if !is_lost && (!is_late || self.bug == InjectedBug::ExpiredAdmission) {
            self.left_ms.push(ms + there + back);
        }
    }
}

#[rstest]
#[case::no_bug(InjectedBug::None, false)]
#[case::full_limit_per_owner(InjectedBug::FullLimitPerOwner, true)]
#[case::no_startup_delay(InjectedBug::NoStartupDelay, true)]
#[case::expired_admission(InjectedBug::ExpiredAdmission, true)]
#[case::non_owner_admits(InjectedBug::NonOwnerAdmits, true)]
fn cold_limit_any_schedule(#[case] bug: InjectedBug, #[case] exceeds_limit: bool) {
    // Guards against a cold target that gets more than the limit within some second while routers
    // use one list or two different ones.
    let max_per_s = (0..SCHEDULES).map(|seed| Model::new(seed, bug).simulate()).max();
    assert_eq!(max_per_s > Some(MAX_PER_SECOND), exceeds_limit, "{max_per_s:?} in one second");
}
