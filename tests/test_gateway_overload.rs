//! Targets that crash when they reject too many requests for want of capacity.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use kingcupwall::standin::gateway::{LocalPlatform, catalog_parts};
use kingcupwall::standin::gateway_host::GatewayHost;
use kingcupwall::standin::gateway_target::StandinTarget;
use kingcupwall::standin::target_capacity::Capacity;
use rstest::rstest;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

use crate::gateway_fleet::{Call, run_local};

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
async fn call(front: std::net::SocketAddr, id: String, outcome: Rc<Outcome>) {
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

/// Runs the load against targets that can reject `rejection_limit` requests per second.
async fn run(load: &Load, rejection_limit: Option<u32>) -> Rc<Outcome> {
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
    while start.elapsed() < NOTICE_TIME + LOAD_TIME {
        let queue = if start.elapsed() < NOTICE_TIME { USUAL_QUEUE } else { SHORT_QUEUE };
        if service.queue.get() != queue {
            service.set_queue(queue);
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
    run_local(async move {
        let outcome = run(&load, Some(rejection_limit)).await;
        assert!(outcome.crashes.get() <= 1, "{outcome:?}");
    });
}
