//! Routers that are partitioned from the targets, while callers, the store and other routers reach
//! them.

use std::net::SocketAddr;
use std::time::Duration;

use kingcupwall::gateway::cold::WarmUp;
use kingcupwall::standin::gateway::{LocalPlatform, catalog_parts};
use kingcupwall::standin::gateway_host::GatewayHost;
use kingcupwall::standin::gateway_target::StandinTarget;
use kingcupwall::standin::proxy::{Partition, Proxy};
use rstest::rstest;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::gateway_fleet::{Call, eventually, run_local};

/// Time after which a partitioned router must serve like the others.
const DETECTION_TIME: Duration = Duration::from_secs(3);
/// Pause between two requests to one router.
const PACE: Duration = Duration::from_millis(20);
/// First attempts that are counted at each router.
const COUNTED: usize = 90;
/// Failed attempts that a partitioned router is allowed in any case, and one more for each of
/// this number of attempts.
const ALLOWED_FAILURES: usize = 10;
const ATTEMPTS_PER_ALLOWED_FAILURE: usize = 50;

/// Routers of which some reach the targets over links that can be partitioned.
struct Fleet {
    platform: LocalPlatform,
    targets: Vec<StandinTarget>,
    /// The links of the first routers to all targets.
    links: Vec<Vec<Proxy>>,
    routers: Vec<GatewayHost>,
}

impl Fleet {
    /// Starts six targets and a router in each zone of `zones`. The first `linked` routers reach
    /// the targets over links. Targets need a warm-up if `warm_up` is set.
    async fn start(zones: &[&str], linked: usize, warm_up: Option<WarmUp>) -> Fleet {
        let platform = LocalPlatform::new();
        let mut parts = catalog_parts(1, 100_000_000);
        parts.services[0].warm_up = warm_up;
        platform.configure(parts);
        let mut targets = Vec::new();
        for n in 0..6 {
            let zone = ["zone-1", "zone-2"][n % 2];
            let target = StandinTarget::start(&format!("t{n}"), "model", zone).await.unwrap();
            platform.register(&target, "ready");
            targets.push(target);
        }
        let mut fleet = Fleet { platform, targets, links: Vec::new(), routers: Vec::new() };
        for (n, zone) in zones.iter().enumerate() {
            let mut links = Vec::new();
            if n < linked {
                for target in &fleet.targets {
                    links.push(Proxy::start("127.0.0.1", target.addr, None).await.unwrap());
                }
            }
            let ids = fleet.targets.iter().map(|t| t.id.clone());
            let addrs = ids.zip(links.iter().map(|l| l.addr)).collect();
            let platform = fleet.platform.with_links(addrs);
            let name = format!("r{}", n + 1);
            fleet.routers.push(GatewayHost::start(&platform, &name, zone, 1).await.unwrap());
            if n < linked {
                fleet.links.push(links);
            }
        }
        for r in &fleet.routers {
            eventually("discovery of all targets", || r.gw.targets.count().0 == 6).await;
            eventually("discovery of all routers", || {
                r.gw.entry.borrow().routers.len() == zones.len()
            })
            .await;
        }
        fleet
    }

    fn partition(&self, how: Partition) {
        self.links.iter().flatten().for_each(|l| l.partition(how));
    }

    fn heal(&self) {
        self.links.iter().flatten().for_each(Proxy::heal);
    }
}

/// Sends `n` requests of all kinds, one every [`PACE`] on connections of their own. Returns how many
/// were served at the first attempt.
async fn first_attempts(router: SocketAddr, n: usize) -> usize {
    let mut sent = Vec::new();
    for i in 0..n {
        let path = ["/safe/", "/once/", "/stream/", "/resumable/"][i % 4];
        let call = Call::get(path).id(&format!("{}", fastrand::u64(..))).tokens(100, 10);
        sent.push(spawn_local(async move {
            let got = call.send(router).await;
            got.status() == 200 && got.is_complete
        }));
        sleep(PACE).await;
    }
    let mut served = 0;
    for s in sent {
        served += usize::from(s.await.unwrap());
    }
    served
}

/// Counts the first attempts that are served at `partitioned` and at `other`, from
/// [`DETECTION_TIME`] after now, under steady load.
async fn served_after_detection(partitioned: SocketAddr, other: SocketAddr) -> (usize, usize) {
    let until = Instant::now() + DETECTION_TIME;
    let mut load = Vec::new();
    while Instant::now() < until {
        load.push(spawn_local(first_attempts(partitioned, 1)));
        load.push(spawn_local(first_attempts(other, 1)));
        sleep(PACE).await;
    }
    tokio::join!(first_attempts(partitioned, COUNTED), first_attempts(other, COUNTED))
}

fn assert_served_alike(partitioned: usize, other: usize) {
    assert!(other + 1 >= COUNTED, "{other} of {COUNTED} served at a sound router");
    let failed = COUNTED - partitioned;
    assert!(
        3 * partitioned >= 2 * other
            && failed <= ALLOWED_FAILURES + COUNTED / ATTEMPTS_PER_ALLOWED_FAILURE,
        "{partitioned} of {COUNTED} served at a partitioned router, {other} at the other"
    );
}

#[rstest]
#[case::silent(Partition::Silent)]
#[case::reset(Partition::Reset)]
#[case::new_connections_refused(Partition::RefuseNew)]
fn partitioned_router_serves(#[case] how: Partition) {
    // Guards against a router that refuses its callers because its own links to all targets fail,
    // while another router reaches the targets.
    run_local(async {
        let fleet = Fleet::start(&["zone-1", "zone-1", "zone-2"], 1, None).await;
        let [a, b] = [fleet.routers[0].front, fleet.routers[1].front];
        assert_eq!(first_attempts(a, 8).await + first_attempts(b, 8).await, 16);
        fleet.partition(how);
        // The requests that run at once need more connections than are open now.
        fleet.targets.iter().for_each(|t| t.set_event_gap(Duration::from_millis(100)));
        let (partitioned, other) = served_after_detection(a, b).await;
        assert_served_alike(partitioned, other);
    });
}

#[rstest]
#[case::silent(Partition::Silent)]
#[case::reset(Partition::Reset)]
fn partitioned_zone_serves(#[case] how: Partition) {
    // Guards against routers of a partitioned zone that depend on each other to reach the targets.
    run_local(async {
        let fleet = Fleet::start(&["zone-1", "zone-1", "zone-2"], 2, None).await;
        let [a, b] = [fleet.routers[0].front, fleet.routers[2].front];
        assert_eq!(first_attempts(a, 8).await + first_attempts(b, 8).await, 16);
        fleet.partition(how);
        // The requests that run at once need more connections than are open now.
        fleet.targets.iter().for_each(|t| t.set_event_gap(Duration::from_millis(100)));
        let (partitioned, other) = served_after_detection(a, b).await;
        assert_served_alike(partitioned, other);
    });
}

#[test]
fn partition_quarantines_no_request() {
    // Guards against taking connections that this router's network refuses for crashes of targets:
    // the request that was running would be quarantined at all routers.
    run_local(async {
        let fleet = Fleet::start(&["zone-1", "zone-1"], 1, None).await;
        fleet.targets.iter().for_each(|t| t.set_event_gap(Duration::from_millis(50)));
        let [a, b] = [fleet.routers[0].front, fleet.routers[1].front];
        let call = |n: usize| {
            Call::get("/stream/a").id(&format!("s{n}")).tokens(10, 200).body("the same request")
        };
        let runs = || fleet.targets.iter().map(|t| t.runs().len()).sum::<usize>();
        for n in 0..6 {
            let before = runs();
            let call = call(n);
            let got = spawn_local(async move { call.send(a).await });
            eventually("the start of the request", || runs() > before || got.is_finished()).await;
            fleet.partition(Partition::Reset);
            got.await.unwrap();
            // The check whether the target has ended runs in the background.
            sleep(Duration::from_millis(100)).await;
            fleet.heal();
            sleep(Duration::from_millis(500)).await;
        }
        assert_eq!(fleet.routers[0].gw.stats.target_crashes.get(), 0);
        fleet.targets.iter().for_each(|t| t.set_event_gap(Duration::ZERO));
        let got = call(99).send(b).await;
        assert_eq!(got.status(), 200, "{}", got.body);
    });
}

#[test]
fn partition_makes_no_target_cold() {
    // Guards against limiting the requests to all targets after a partition, because a target to
    // which a connection failed counts as restarted.
    run_local(async {
        let warm_up = WarmUp { cold_duration: Duration::from_secs(60), requests_per_s: 1.0 };
        let fleet = Fleet::start(&["zone-1", "zone-1"], 1, Some(warm_up)).await;
        let a = fleet.routers[0].front;
        assert_eq!(first_attempts(a, 8).await, 8);
        fleet.partition(Partition::Silent);
        let mut load = Vec::new();
        for _ in 0..50 {
            load.push(spawn_local(first_attempts(a, 1)));
            sleep(PACE).await;
        }
        fleet.heal();
        sleep(Duration::from_secs(1)).await;
        first_attempts(a, 20).await;
        assert_eq!(fleet.routers[0].gw.targets.count_cold(), 0);
    });
}
