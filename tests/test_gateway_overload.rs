//! Targets that crash when they reject too many requests for want of capacity.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use kingcupwall::experiment::overload::{Policy, Workload, simulate};
use kingcupwall::gateway::concurrency::{RequestReport, TargetLimiter, pause_after_rejection};
use kingcupwall::gateway::notice::RejectionLimit;
use kingcupwall::rows::Fault;
use kingcupwall::standin::gateway::{LocalPlatform, catalog_parts};
use kingcupwall::standin::gateway_host::GatewayHost;
use kingcupwall::standin::gateway_target::StandinTarget;
use kingcupwall::standin::target_capacity::Capacity;
use rstest::rstest;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

use crate::gateway_fleet::{Call, run_local};

/// Runs a test with a clock that advances only while all tasks wait, so that the time for which this
/// process is not scheduled does not count.
fn run_paused(test: impl Future<Output = ()>) {
    run_local(async {
        tokio::time::pause();
        test.await;
    });
}

const SLOTS: usize = 6;
const WORK: Duration = Duration::from_millis(60);
/// Queue of a target before and while it is overload-sensitive.
const USUAL_QUEUE: usize = 24;
const SHORT_QUEUE: usize = 1;
/// Time from the first announcement until the queues become shorter.
const NOTICE_TIME: Duration = Duration::from_secs(1);
/// Time for which requests are sent after the queues have become shorter.
const LOAD_TIME: Duration = Duration::from_secs(5);
/// Time after which a crashed target is replaced.
const RESTART_TIME: Duration = Duration::from_millis(1_500);

/// A service and its routers, under load.
struct Load {
    routers: usize,
    /// Zone of each target.
    zones: &'static [&'static str],
    /// Requests per second, as a fraction of what the targets can run.
    utilization: f64,
    /// Zone of the router that most requests arrive at; spread evenly if `None`.
    skewed_to: Option<&'static str>,
    /// Requests that arrive at the same time.
    burst: usize,
}

/// What became of the requests.
#[derive(Debug, Default)]
struct Outcome {
    sent: Cell<usize>,
    served: Cell<usize>,
    crashes: Cell<usize>,
    rejections: Cell<usize>,
}

fn add(counter: &Cell<usize>) {
    counter.set(counter.get() + 1);
}

/// The targets of the service. A crashed target is replaced.
struct Service {
    platform: LocalPlatform,
    targets: RefCell<Vec<StandinTarget>>,
    rejection_limit: Cell<Option<u32>>,
    queue: Cell<usize>,
    outcome: Rc<Outcome>,
    started: Cell<usize>,
}

impl Service {
    async fn add_target(&self, zone: &str) -> StandinTarget {
        add(&self.started);
        let id = format!("t{}", self.started.get());
        let target = StandinTarget::start(&id, "model", zone).await.unwrap();
        target.set_capacity(Some(self.capacity()));
        target.set_rejection_limit(self.rejection_limit.get());
        self.platform.register(&target, "ready");
        self.targets.borrow_mut().push(target.clone());
        target
    }

    fn capacity(&self) -> Capacity {
        Capacity { slots: SLOTS, queue: self.queue.get(), work: WORK }
    }

    /// Keeps one target running in `zone`.
    async fn keep_running(self: Rc<Self>, zone: &'static str) {
        loop {
            let target = self.add_target(zone).await;
            target.wait_for_crash().await;
            add(&self.outcome.crashes);
            sleep(RESTART_TIME).await;
            self.platform.rows.remove("targets", &target.id);
        }
    }

    fn set_queue(&self, queue: usize) {
        self.queue.set(queue);
        self.targets.borrow().iter().for_each(|t| t.set_capacity(Some(self.capacity())));
    }

    fn announce(&self, limit: Option<u32>) {
        self.rejection_limit.set(limit);
        self.targets.borrow().iter().for_each(|t| t.set_rejection_limit(limit));
    }
}

/// Sends a request, and once more when the router asks for it.
async fn call(front: SocketAddr, id: String, outcome: Rc<Outcome>) {
    add(&outcome.sent);
    let got = Call::get(&format!("/once/{id}")).id(&id).send(front).await;
    let retry_after = got.header("Retry-After").and_then(|s| s.parse().ok());
    let got = match retry_after {
        Some(seconds) if got.status() == 503 && seconds < 1.0 => {
            sleep(Duration::from_secs_f64(seconds)).await;
            Call::get(&format!("/once/{id}")).id(&format!("{id}r")).send(front).await
        }
        _ => got,
    };
    if got.status() == 200 {
        add(&outcome.served);
    }
}

/// What happens to routers while the queues are short.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Trouble {
    None,
    /// So many routers end without a notice. Their rows stay until they are stale.
    RoutersDie(usize),
    /// The store answers none of the routers.
    StoreAway,
    /// So many routers start, and get requests as soon as they are ready.
    RoutersStart(usize),
    /// So many routers hear nothing of the announcement until the trouble begins, since they get no
    /// requests.
    RoutersIdle(usize),
}

/// Runs the load against targets that can reject `rejection_limit` requests per second.
async fn run(load: &Load, rejection_limit: Option<u32>) -> Rc<Outcome> {
    run_with(load, rejection_limit, Trouble::None).await
}

async fn run_with(load: &Load, rejection_limit: Option<u32>, trouble: Trouble) -> Rc<Outcome> {
    let platform = LocalPlatform::new();
    platform.configure(catalog_parts(1, 1_000_000));
    let service = Rc::new(Service {
        platform: platform.clone(),
        targets: RefCell::default(),
        rejection_limit: Cell::new(None),
        queue: Cell::new(USUAL_QUEUE),
        outcome: Rc::default(),
        started: Cell::new(0),
    });
    for zone in load.zones {
        spawn_local(service.clone().keep_running(zone));
    }
    let mut routers = Vec::new();
    for n in 0..load.routers {
        let zone = format!("zone-{}", 1 + n % 3);
        let router = GatewayHost::start(&platform, &format!("r{n}"), &zone, 1).await.unwrap();
        routers.push((zone, router));
    }
    // Until each router has read the rows of all others.
    sleep(Duration::from_millis(4_500)).await;
    let per_s = load.utilization * (load.zones.len() * SLOTS) as f64 / WORK.as_secs_f64();
    let interval = Duration::from_secs_f64(load.burst as f64 / per_s);
    let start = Instant::now();
    service.announce(rejection_limit);
    let mut rng = fastrand::Rng::with_seed(7);
    let mut n = 0_u32;
    let mut trouble_due = Some(start + NOTICE_TIME + LOAD_TIME / 4);
    let mut idle = match trouble {
        Trouble::RoutersIdle(n) => routers.split_off(routers.len() - n),
        _ => Vec::new(),
    };
    while start.elapsed() < NOTICE_TIME + LOAD_TIME {
        let queue = if start.elapsed() < NOTICE_TIME { USUAL_QUEUE } else { SHORT_QUEUE };
        if service.queue.get() != queue {
            service.set_queue(queue);
        }
        if trouble_due.is_some_and(|due| due <= Instant::now()) {
            trouble_due = None;
            match trouble {
                Trouble::None => (),
                Trouble::RoutersIdle(_) => routers.append(&mut idle),
                Trouble::RoutersDie(n) => routers.drain(..n).for_each(|(_, r)| r.kill()),
                Trouble::StoreAway => {
                    routers.iter().for_each(|(_, r)| r.platform.rows.set_fault(Fault::Silent));
                }
                Trouble::RoutersStart(n) => {
                    for n in 0..n {
                        let name = format!("new{n}");
                        let router = GatewayHost::start(&platform, &name, "zone-1", 1).await;
                        routers.push(("zone-1".to_owned(), router.unwrap()));
                    }
                }
            }
        }
        for i in 0..load.burst {
            let skewed = load.skewed_to.filter(|_| rng.f64() < 0.7);
            let allowed: Vec<_> =
                routers.iter().filter(|(zone, _)| skewed.is_none_or(|s| s == zone)).collect();
            let (_, router) = allowed[rng.usize(..allowed.len())];
            spawn_local(call(router.front, format!("q{n}-{i}"), service.outcome.clone()));
        }
        n += 1;
        sleep_until(start + interval * n).await;
    }
    sleep(Duration::from_secs(2)).await;
    let rejections = service.targets.borrow().iter().map(StandinTarget::rejections).sum();
    service.outcome.rejections.set(rejections);
    service.outcome.clone()
}

const THREE_ZONES: &[&str] = &["zone-1", "zone-2", "zone-3"];
const FIVE_TARGETS: &[&str] = &["zone-1", "zone-1", "zone-2", "zone-2", "zone-3"];

/// Guards against routers that together overload a target until it crashes, because each one counts only
/// its own requests.
#[rstest]
#[case::even(Load { routers: 6, zones: THREE_ZONES, utilization: 0.6, skewed_to: None, burst: 1 }, 1)]
#[case::skewed(Load { routers: 6, zones: THREE_ZONES, utilization: 0.6, skewed_to: Some("zone-3"), burst: 1 }, 3)]
#[case::overload(Load { routers: 6, zones: THREE_ZONES, utilization: 1.3, skewed_to: None, burst: 1 }, 10)]
#[case::bursts(Load { routers: 20, zones: FIVE_TARGETS, utilization: 0.5, skewed_to: None, burst: 12 }, 3)]
#[case::many_routers(Load { routers: 20, zones: FIVE_TARGETS, utilization: 0.7, skewed_to: Some("zone-3"), burst: 3 }, 1)]
fn rejections_crash_no_targets(#[case] load: Load, #[case] rejection_limit: u32) {
    run_paused(async move {
        let outcome = run(&load, Some(rejection_limit)).await;
        assert!(outcome.crashes.get() <= 1, "{outcome:?}");
    });
}

/// Guards against an owner that lets targets crash, or serves less than the targets bear, in fleets
/// larger than can be run here: crashes, and served requests against targets that do not crash.
#[rstest]
#[case::few(6)]
#[case::several(20)]
#[case::many(79)]
fn owner_in_simulated_fleet(
    #[case] routers: usize,
    #[values(Workload::Even, Workload::Skewed, Workload::Overload)] workload: Workload,
    #[values(1, 10)] rejection_limit: u32,
) {
    for seed in 1..=5 {
        let reference = simulate(Policy::PauseAlone, workload, routers, None, seed);
        let cell = simulate(Policy::Owner, workload, routers, Some(rejection_limit), seed);
        assert!(cell.crashes <= 1, "{cell:?}");
        assert!(cell.served as f64 >= 0.85 * reference.served as f64, "{cell:?} {reference:?}");
    }
}

const BUSY: Load =
    Load { routers: 12, zones: FIVE_TARGETS, utilization: 0.7, skewed_to: None, burst: 4 };

/// Guards against targets that crash while the routers that admit their requests change or are out
/// of reach.
#[rstest]
#[case::routers_die(Trouble::RoutersDie(4))]
#[case::store_away(Trouble::StoreAway)]
#[case::routers_start(Trouble::RoutersStart(4))]
#[case::routers_hear_late(Trouble::RoutersIdle(6))]
fn rejections_crash_no_targets_in_trouble(#[case] trouble: Trouble) {
    run_paused(async move {
        let outcome = run_with(&BUSY, Some(2), trouble).await;
        assert!(outcome.crashes.get() <= 1, "{trouble:?} {outcome:?}");
        assert!(outcome.served.get() * 10 >= outcome.sent.get() * 7, "{trouble:?} {outcome:?}");
    });
}

fn addr(router: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], router))
}

fn report(number: u64, sent: u32) -> RequestReport {
    RequestReport { number, sent, ..RequestReport::default() }
}

/// A limiter for six slots, at which one router has all of its `sent` requests.
fn limiter(sent: u32, now: Instant) -> TargetLimiter {
    let mut limiter = TargetLimiter::new(6, false, now);
    limiter.report(addr(1), &report(1, sent), now);
    limiter
}

#[test]
fn admit_up_to_slots_of_all_routers() {
    let now = Instant::now();
    let mut limiter = limiter(4, now);
    limiter.report(addr(2), &report(1, 0), now);
    assert_eq!(limiter.admit(addr(2), 7, now), Ok(()));
    assert_eq!(limiter.admit(addr(1), 8, now), Ok(()));
    assert!(limiter.admit(addr(2), 9, now).is_err());
    // The first admitted request was sent, the second one came too late.
    limiter.report(addr(2), &report(2, 1), now);
    limiter.report(addr(1), &report(2, 4), now);
    assert_eq!(limiter.requests(), 5);
}

#[test]
fn admit_counts_admission_until_its_query_is_closed() {
    let now = Instant::now();
    let mut limiter = limiter(0, now);
    limiter.admit(addr(1), 7, now).unwrap();
    let open = RequestReport { open: vec![7], ..report(2, 0) };
    limiter.report(addr(1), &open, now);
    assert_eq!(limiter.requests(), 1);
    limiter.report(addr(1), &report(3, 0), now);
    assert_eq!(limiter.requests(), 0);
}

#[test]
fn report_ignores_older_one() {
    let now = Instant::now();
    let mut limiter = limiter(3, now);
    limiter.report(addr(1), &report(5, 1), now);
    limiter.report(addr(1), &report(4, 3), now);
    assert_eq!(limiter.requests(), 1);
}

/// Guards against requests of a dead router that count forever.
#[test]
fn report_of_silent_router_expires() {
    let now = Instant::now();
    let mut limiter = limiter(6, now);
    let later = now + Duration::from_secs(3);
    limiter.report(addr(2), &report(1, 0), later);
    assert_eq!(limiter.admit(addr(2), 7, later), Ok(()));
}

#[test]
fn admit_half_after_takeover() {
    let now = Instant::now();
    let mut limiter = TargetLimiter::new(6, true, now);
    limiter.report(addr(1), &report(1, 3), now);
    assert!(limiter.admit(addr(1), 7, now).is_err());
    let later = now + Duration::from_secs(3);
    limiter.report(addr(1), &report(2, 3), later);
    assert_eq!(limiter.admit(addr(1), 8, later), Ok(()));
}

/// Guards against a target that is rejected again at the number at which it rejected before.
#[test]
fn admit_below_number_of_last_rejection() {
    let now = Instant::now();
    let mut limiter = limiter(4, now);
    let pause = limiter.record_rejection(RejectionLimit::PerSecond(1), now);
    assert_eq!(pause, Duration::from_secs(1));
    let at = |s| now + Duration::from_secs(s);
    assert_eq!(limiter.admit(addr(1), 7, now), Err(pause));
    limiter.report(addr(1), &report(2, 4), at(2));
    assert!(limiter.admit(addr(1), 8, at(2)).is_err());
    // It may have become larger after a while.
    limiter.report(addr(1), &report(3, 4), at(10));
    assert_eq!(limiter.admit(addr(1), 9, at(10)), Ok(()));
}

#[rstest]
#[case::none(RejectionLimit::PerSecond(0), 1_000)]
#[case::unreadable(RejectionLimit::Unreadable, 1_000)]
#[case::one(RejectionLimit::PerSecond(1), 1_000)]
#[case::three(RejectionLimit::PerSecond(3), 500)]
#[case::many(RejectionLimit::PerSecond(u32::MAX), 120)]
fn pause_after_rejection_within_limit(#[case] limit: RejectionLimit, #[case] expected_ms: u64) {
    assert_eq!(pause_after_rejection(limit), Duration::from_millis(expected_ms));
}

#[test]
fn routers_to_tell_in_turn() {
    let now = Instant::now();
    let mut limiter = TargetLimiter::new(2, false, now);
    let waiting = |n| RequestReport { waiting: 2, ..report(n, 0) };
    (1..=3).for_each(|r| limiter.report(addr(r), &waiting(1), now));
    assert_eq!(limiter.routers_to_tell(now), [addr(1), addr(2)]);
    assert_eq!(limiter.routers_to_tell(now), [addr(3), addr(1)]);
    limiter.record_rejection(RejectionLimit::PerSecond(3), now);
    assert!(limiter.routers_to_tell(now).is_empty());
}

/// Guards against a limit that refuses requests for which the targets have room: at least 85% of
/// what the same targets serve if rejections do not crash them.
#[rstest]
#[case::skewed(Load { routers: 6, zones: THREE_ZONES, utilization: 0.6, skewed_to: Some("zone-3"), burst: 1 }, 3)]
#[case::overload(Load { routers: 6, zones: THREE_ZONES, utilization: 1.3, skewed_to: None, burst: 1 }, 10)]
#[case::bursts(Load { routers: 20, zones: FIVE_TARGETS, utilization: 0.5, skewed_to: None, burst: 12 }, 3)]
fn rejection_limit_keeps_throughput(#[case] load: Load, #[case] rejection_limit: u32) {
    run_paused(async move {
        let limits = [None, Some(rejection_limit)];
        let [reference, outcome] =
            <[_; 2]>::try_from(join_all(limits.map(|l| run(&load, l))).await).unwrap();
        let least = 0.85 * reference.served.get() as f64;
        assert!(outcome.served.get() as f64 >= least, "{outcome:?}, without a limit {reference:?}");
    });
}
