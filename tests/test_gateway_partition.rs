//! Routers that are partitioned from the targets, while callers, the store and other routers reach
//! them.

use std::cell::Cell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use kingcupwall::gateway::backend::target_digest;
use kingcupwall::gateway::cold::WarmUp;
use kingcupwall::gateway::connect::{check_path, connect};
use kingcupwall::gateway::drain;
use kingcupwall::gateway::path::{Prefer, Relay, TargetPath, Verdict};
use kingcupwall::gateway::tunnel::{self, TunnelError};
use kingcupwall::http1::Conn;
use kingcupwall::standin::gateway::{LocalPlatform, catalog_parts};
use kingcupwall::standin::gateway_host::GatewayHost;
use kingcupwall::standin::gateway_target::{StandinTarget, TargetFault};
use kingcupwall::standin::proxy::{LinkMode, Partition, Proxy};
use rstest::rstest;
use tokio::io::{AsyncReadExt, copy};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::gateway_fleet::{Call, CallResult, eventually, run_local};

/// Time after which a partitioned router must serve like the others.
const DETECTION_TIME: Duration = Duration::from_secs(3);
/// Pause between two requests to one router.
const PACE: Duration = Duration::from_millis(20);
/// First attempts that are counted at each router.
const COUNTED: usize = 90;
/// How long callers wait for an answer.
const CALLER_TIME_LIMIT: Duration = Duration::from_secs(4);
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

/// Sends requests until the first router knows that it is partitioned.
async fn eventually_partitioned(fleet: &Fleet) {
    let a = fleet.routers[0].front;
    for _ in 0..100 {
        if fleet.routers[0].gw.path.is_partitioned() {
            return;
        }
        spawn_local(first_attempts(a, 1));
        sleep(PACE).await;
    }
    panic!("the router does not know that it is partitioned");
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
    println!("{partitioned} of {COUNTED} served at a partitioned router, {other} at the other");
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
fn relays_that_stopped_are_passed_over() {
    // Guards against requests that fail because the router that was to relay them has just been
    // killed, while another one could.
    run_local(async {
        let mut fleet = Fleet::start(&["zone-1", "zone-1", "zone-2"], 1, None).await;
        let a = fleet.routers[0].front;
        fleet.partition(Partition::Reset);
        first_attempts(a, 8).await;
        assert!(fleet.routers[0].gw.path.is_partitioned());
        fleet.routers.remove(1).kill();
        assert_eq!(first_attempts(a, 30).await, 30);
    });
}

#[rstest]
#[case::silent(Partition::Silent)]
#[case::reset(Partition::Reset)]
fn unreachable_targets_refused_early(#[case] how: Partition) {
    // Guards against holding requests until their time limit while no router reaches any target,
    // and against a router that counts as partitioned because all are.
    run_local(async {
        let fleet = Fleet::start(&["zone-1", "zone-1"], 2, None).await;
        let a = fleet.routers[0].front;
        fleet.partition(how);
        let call = Call::get("/safe/").id("u1");
        let began = Instant::now();
        // The kept connections of a silent partition still look usable.
        first_attempts(a, 4).await;
        let before = Instant::now();
        let got = call.send(a).await;
        assert_eq!(got.status(), 503, "{}", got.body);
        assert!(got.header("Retry-After").is_some());
        assert!(before.elapsed() < CALLER_TIME_LIMIT / 2, "{:?}", before.elapsed());
        assert!(began.elapsed() < 4 * CALLER_TIME_LIMIT);
        assert!(!fleet.routers[0].gw.path.is_partitioned());
    });
}

#[test]
fn partition_end_restores_direct_connections() {
    // Guards against a router that keeps using other routers after its links are back.
    run_local(async {
        let fleet = Fleet::start(&["zone-1", "zone-1"], 1, None).await;
        let (a, path) = (fleet.routers[0].front, &fleet.routers[0].gw.path);
        fleet.partition(Partition::Reset);
        first_attempts(a, 8).await;
        assert!(path.is_partitioned());
        eventually("the other router to learn it", || {
            fleet.routers[1].gw.entry.borrow().routers.iter().any(|r| r.partitioned)
        })
        .await;
        fleet.heal();
        eventually("the end of the partition", || !path.is_partitioned()).await;
        eventually("the other router to learn it", || {
            !fleet.routers[1].gw.entry.borrow().routers.iter().any(|r| r.partitioned)
        })
        .await;
        let served = || fleet.routers[1].gw.active_requests.get();
        assert_eq!(first_attempts(a, 20).await, 20);
        // Idle tunnels are closed by the first request that would have used them.
        eventually("the end of all tunnels", || served() == 0).await;
    });
}

#[test]
fn relayed_request_cancelled_with_caller() {
    // Guards against targets that work on after the caller of a partitioned router has left.
    run_local(async {
        let fleet = Fleet::start(&["zone-1", "zone-1"], 1, None).await;
        let a = fleet.routers[0].front;
        fleet.partition(Partition::Reset);
        first_attempts(a, 8).await;
        fleet.targets.iter().for_each(|t| t.set_event_gap(Duration::from_millis(20)));
        let mut conn = Conn::dial(a, Duration::from_secs(5)).await.unwrap();
        conn.write(&Call::get("/stream/").id("left").tokens(10, 1_000).bytes()).await.unwrap();
        assert!(conn.wait_for_data().await.unwrap());
        drop(conn);
        let closed = || fleet.targets.iter().map(StandinTarget::closed_early).sum::<u64>();
        eventually("the cancellation at the target", || closed() == 1).await;
    });
}

#[test]
fn relayed_answer_cut_by_target_is_incomplete() {
    // Guards against a relay that turns the end of a broken answer into the end of a whole one.
    run_local(async {
        let fleet = Fleet::start(&["zone-1", "zone-1"], 1, None).await;
        let a = fleet.routers[0].front;
        fleet.partition(Partition::Reset);
        first_attempts(a, 8).await;
        for fault in [TargetFault::CutsStream(3), TargetFault::CutsBody, TargetFault::LosesAnswer] {
            fleet.targets.iter().for_each(|t| t.fail(&[fault]));
            let path = if fault == TargetFault::CutsStream(3) { "/stream/" } else { "/once/" };
            let got = Call::get(path).id("cut").tokens(10, 20).send(a).await;
            assert!(got.status() != 200 || !got.is_complete, "{fault:?}: {}", got.body);
            // Each target has one fault left, which the next requests use up.
            for n in 0..40 {
                Call::get("/safe/").id(&format!("rest{n}")).send(a).await;
            }
        }
    });
}

/// Guards against a request that reaches a target long after it was given up, because a partition has
/// held its bytes up and the connection was closed in order.
#[rstest]
#[case::caller_leaves(true)]
#[case::time_limit(false)]
fn given_up_request_does_not_arrive(#[case] leaves: bool) {
    run_local(async move {
        let fleet = Fleet::start(&["zone-1"], 1, None).await;
        let a = fleet.routers[0].front;
        fleet.links.iter().flatten().for_each(|l| l.set(LinkMode::StallForward));
        let call = Call::get("/once/a").id("given-up").time_left_ms(300);
        let mut conn = Conn::dial(a, Duration::from_secs(5)).await.unwrap();
        conn.write(&call.bytes()).await.unwrap();
        if leaves {
            sleep(PACE).await;
            drop(conn);
        } else {
            assert_eq!(CallResult::read(&mut conn).await.status(), 504);
        }
        sleep(PACE).await;
        fleet.heal();
        // The links deliver what they hold before these requests.
        first_attempts(a, 8).await;
        let arrived = |t: &StandinTarget| t.arrivals().iter().any(|r| r.id == "given-up");
        assert!(!fleet.targets.iter().any(arrived));
    });
}

#[test]
fn crash_behind_relay_recorded() {
    // Guards against losing the quarantine while a router is partitioned: targets that end there
    // really have ended.
    run_local(async {
        let fleet = Fleet::start(&["zone-1", "zone-1"], 1, None).await;
        let a = fleet.routers[0].front;
        fleet.partition(Partition::Silent);
        eventually_partitioned(&fleet).await;
        for n in 0..4 {
            let call = Call::get("/once/fatal").id(&format!("f{n}")).body("fatal");
            call.send(a).await;
            sleep(PACE).await;
        }
        let ended = fleet.targets.iter().filter(|t| t.has_crashed()).count();
        assert_eq!(ended, 3);
        assert!(fleet.routers[0].gw.stats.target_crashes.get() >= 3);
    });
}

#[test]
fn stopping_relay_finishes_tunnels() {
    // Guards against a planned stop of a relay that cuts off the answers of another router.
    run_local(async {
        let fleet = Fleet::start(&["zone-1", "zone-1"], 1, None).await;
        let a = fleet.routers[0].front;
        fleet.partition(Partition::Reset);
        first_attempts(a, 8).await;
        fleet.targets.iter().for_each(|t| t.set_event_gap(Duration::from_millis(50)));
        let call = Call::get("/stream/").id("long").tokens(10, 60);
        let got = spawn_local(async move { call.send(a).await });
        let runs = || fleet.targets.iter().any(|t| t.runs().iter().any(|r| r.id == "long"));
        eventually("the start of the stream", runs).await;
        drain::stop(&fleet.routers[1].gw).await;
        let got = got.await.unwrap();
        assert_eq!((got.status(), got.is_complete), (200, true));
    });
}

#[rstest]
#[case::address_of_a_router("127.0.0.1", None)]
#[case::other_address("127.0.0.9", Some(TunnelError::RelayFailed))]
fn tunnel_opened_from_address(#[case] from: &str, #[case] error: Option<TunnelError>) {
    // Guards against tunnels from another address of the instance than the one by which the relay
    // knows this router.
    run_local(async {
        let fleet = Fleet::start(&["zone-1", "zone-1"], 0, None).await;
        let relay = fleet.routers[1].gw.settings.peer;
        let opened = tunnel::open(from.parse().unwrap(), relay, target_digest("t0")).await;
        assert_eq!(opened.err(), error);
    });
}

/// Sends one request for a tunnel. Returns the status; 0 if the connection was closed without one.
async fn request_tunnel(from: &str, to: SocketAddr, request: &str) -> u16 {
    let sock = TcpSocket::new_v4().unwrap();
    sock.bind((from.parse::<IpAddr>().unwrap(), 0).into()).unwrap();
    let mut conn = Conn::new(sock.connect(to).await.unwrap(), Duration::from_secs(5)).unwrap();
    conn.write(request.as_bytes()).await.unwrap();
    conn.read_response(1_024).await.map_or(0, |head| head.status)
}

/// Relays one connection to `relay` and ends it in order after `limit` bytes towards the router, like
/// the kernel of a relay that is killed. Counts these bytes in `relayed`.
async fn relay_up_to(relay: SocketAddr, limit: u64, relayed: Rc<Cell<u64>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    spawn_local(async move {
        let (mut router, _) = listener.accept().await.unwrap();
        let mut upstream = TcpStream::connect(relay).await.unwrap();
        let (mut router_rd, mut router_wr) = router.split();
        let (upstream_rd, mut upstream_wr) = upstream.split();
        let mut upstream_rd = upstream_rd.take(limit);
        tokio::select! {
            _ = copy(&mut router_rd, &mut upstream_wr) => (),
            n = copy(&mut upstream_rd, &mut router_wr) => relayed.set(n.unwrap()),
        }
    });
    addr
}

/// Reads one answer of the target `t0` through a tunnel. Returns whether it is complete.
async fn tunnelled_answer(relay: SocketAddr, path: &str) -> bool {
    let opened = tunnel::open("127.0.0.1".parse().unwrap(), relay, target_digest("t0")).await;
    let Ok(mut conn) = opened else { return false };
    let call = Call::get(path).tokens(10, 10).with_header("Expect-Target: t0");
    conn.write(&call.bytes()).await.unwrap();
    CallResult::read(&mut conn).await.is_complete
}

/// Guards against a truncated answer that passes as complete, because a relay that is killed closes
/// its connections in order.
#[test]
fn tunnel_cut_anywhere_is_incomplete() {
    run_local(async {
        let fleet = Fleet::start(&["zone-1", "zone-1"], 0, None).await;
        let relay = fleet.routers[1].gw.settings.peer;
        let answer = async |limit, relayed: &Rc<Cell<u64>>| {
            fleet.targets[0].fail(&[TargetFault::UnframedStream]);
            tunnelled_answer(relay_up_to(relay, limit, relayed.clone()).await, "/stream/a").await
        };
        let whole = Rc::new(Cell::new(0));
        assert!(answer(u64::MAX, &whole).await);
        eventually("the end of the tunnel", || whole.get() > 0).await;
        for limit in 0..whole.get() {
            assert!(!answer(limit, &Rc::default()).await, "{limit} of {whole:?}");
        }
    });
}

/// Guards against the same behind a relay of a version that does not mark the end, and against losing
/// the answers whose end shows in themselves.
#[rstest]
#[case::ends_with_connection("", false)]
#[case::with_length("Content-Length: 2\r\n", true)]
fn tunnel_through_relay_without_framing(#[case] header: &'static str, #[case] complete: bool) {
    run_local(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let relay = listener.local_addr().unwrap();
        spawn_local(async move {
            let (io, _) = listener.accept().await.unwrap();
            let mut conn = Conn::new(io, Duration::from_secs(5)).unwrap();
            conn.read_request(1_024).await.unwrap();
            conn.write(b"HTTP/1.1 200 OK\r\n\r\n").await.unwrap();
            conn.read_request(1_024).await.unwrap();
            let answer = format!("HTTP/1.1 200 OK\r\n{header}\r\nok");
            conn.write(answer.as_bytes()).await.unwrap();
        });
        assert_eq!(tunnelled_answer(relay, "/safe/a").await, complete);
    });
}

/// Guards against a relay that frames the bytes for a router of a version that does not ask for it.
#[test]
fn tunnel_for_router_without_framing() {
    run_local(async {
        let fleet = Fleet::start(&["zone-1", "zone-1"], 0, None).await;
        let relay = fleet.routers[1].gw.settings.peer;
        let mut conn = Conn::dial(relay, Duration::from_secs(5)).await.unwrap();
        let digest = target_digest("t0");
        let connect = format!("CONNECT {digest:016x} HTTP/1.1\r\nHost: {digest:016x}\r\n\r\n");
        conn.write(connect.as_bytes()).await.unwrap();
        assert_eq!(conn.read_response(1_024).await.unwrap().status, 200);
        let call = Call::get("/safe/a").with_header("Expect-Target: t0");
        conn.write(&call.bytes()).await.unwrap();
        let got = CallResult::read(&mut conn).await;
        assert_eq!((got.status(), got.body.as_str()), (200, "answer of t0 to q1"));
    });
}

#[test]
fn tunnel_rejects_other_requests() {
    // Guards against a relay that connects strangers, or connects to something else than a target.
    run_local(async {
        let fleet = Fleet::start(&["zone-1", "zone-1"], 0, None).await;
        let gw = &fleet.routers[1].gw;
        let to = gw.settings.peer;
        let connect =
            |target: String| format!("CONNECT {target} HTTP/1.1\r\nHost: {target}\r\n\r\n");
        let known = connect(format!("{:016x}", target_digest("t0")));
        assert_eq!(request_tunnel("127.0.0.1", to, &known).await, 200);
        assert_eq!(request_tunnel("127.0.0.9", to, &known).await, 0);
        let unknown = connect(format!("{:016x}", target_digest("t99")));
        assert_eq!(request_tunnel("127.0.0.1", to, &unknown).await, 404);
        let address = connect(fleet.targets[0].addr.to_string());
        assert_eq!(request_tunnel("127.0.0.1", to, &address).await, 400);
        let get = known.replace("CONNECT", "GET");
        assert_eq!(request_tunnel("127.0.0.1", to, &get).await, 400);
        assert_eq!(request_tunnel("127.0.0.1", to, "\x00\r\n\r\n").await, 400);
        fleet.targets[0].crash();
        assert_eq!(request_tunnel("127.0.0.1", to, &known).await, 502);
        gw.path.set_partitioned(true);
        assert_eq!(request_tunnel("127.0.0.1", to, &known).await, 503);
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
fn refusals_of_one_link_quarantine_no_request() {
    // Guards against taking a target for ended that refuses this router only, while the router
    // reaches all other targets.
    run_local(async {
        let fleet = Fleet::start(&["zone-1", "zone-1"], 1, None).await;
        fleet.targets.iter().for_each(|t| t.set_event_gap(Duration::from_millis(50)));
        let a = fleet.routers[0].front;
        for n in 0..4 {
            let id = format!("s{n}");
            let call = Call::get("/stream/a").id(&id).tokens(10, 200).body("the same request");
            let got = spawn_local(async move { call.send(a).await });
            let runs_here = |t: &StandinTarget| t.runs().iter().any(|r| r.id == id.as_str());
            let running = || fleet.targets.iter().position(runs_here);
            eventually("the start of the request", || running().is_some()).await;
            let link = &fleet.links[0][running().unwrap()];
            link.partition(Partition::Reset);
            got.await.unwrap();
            // The check whether the target has ended runs in the background.
            sleep(Duration::from_millis(500)).await;
            link.heal();
        }
        assert_eq!(fleet.routers[0].gw.stats.target_crashes.get(), 0);
        assert!(!fleet.routers[0].gw.path.is_partitioned());
    });
}

#[test]
fn partition_detected_with_impatient_callers() {
    // Guards against a router that never learns that it is partitioned because each caller leaves
    // before the check that its request began is over.
    run_local(async {
        let fleet = Fleet::start(&["zone-1", "zone-1"], 1, None).await;
        let a = fleet.routers[0].front;
        fleet.partition(Partition::Silent);
        let until = Instant::now() + DETECTION_TIME;
        while Instant::now() < until && !fleet.routers[0].gw.path.is_partitioned() {
            spawn_local(async move {
                let mut conn = Conn::dial(a, Duration::from_secs(5)).await.unwrap();
                let call = Call::get("/once/").id(&format!("{}", fastrand::u64(..)));
                conn.write(&call.bytes()).await.unwrap();
                sleep(Duration::from_millis(400)).await;
            });
            sleep(PACE).await;
        }
        assert!(fleet.routers[0].gw.path.is_partitioned());
    });
}

fn relay(n: u8, zone: &str, capacity: u32) -> Relay {
    Relay { addr: ([127, 0, 0, n], 80).into(), zone: zone.into(), capacity }
}

#[tokio::test(start_paused = true)]
async fn relays_order() {
    let path = TargetPath::new("a".into());
    let known = || vec![relay(1, "a", 100), relay(2, "b", 100), relay(3, "c", 100)];
    path.set_relays(known());
    let order = |prefer, allows_zone: fn(&str) -> bool| -> Vec<u8> {
        let last_octet = |addr: SocketAddr| match addr.ip() {
            IpAddr::V4(ip) => ip.octets()[3],
            IpAddr::V6(_) => 0,
        };
        path.relays(3, prefer, allows_zone).into_iter().map(last_octet).collect()
    };
    let any: fn(&str) -> bool = |_| true;
    for _ in 0..50 {
        assert_eq!(order(Prefer::SameZone, any)[0], 1);
        assert_eq!(order(Prefer::OtherZones, any)[2], 1);
        assert_eq!(order(Prefer::SameZone, |zone| zone != "a").len(), 2);
    }
    // A relay that failed comes last, also after the next reading of the routers' table.
    path.pause_relay(relay(1, "a", 100).addr);
    path.set_relays(known());
    assert_eq!(order(Prefer::SameZone, any)[2], 1);
    tokio::time::advance(Duration::from_secs(4)).await;
    assert_eq!(order(Prefer::SameZone, any)[0], 1);
}

#[test]
fn relays_drawn_by_capacity() {
    // Guards against a small router that relays as much as a large one.
    let path = TargetPath::new("a".into());
    path.set_relays(vec![relay(1, "a", 300), relay(2, "a", 100)]);
    let first = |_: &u32| path.relays(1, Prefer::SameZone, |_| true)[0] == relay(1, "a", 300).addr;
    let large = (0..4_000).filter(first).count();
    assert!((2_700..3_300).contains(&large), "{large}");
}

#[rstest]
#[case::direct(false, None, 0, true)]
#[case::relayed(false, Some(1), 0, false)]
#[case::partitioned_direct_before(true, None, 0, false)]
#[case::partitioned_direct_after(true, None, 20, true)]
#[case::partitioned_relayed(true, Some(1), 0, true)]
#[case::partitioned_relay_unknown(true, Some(9), 0, false)]
#[case::partitioned_relay_zone_not_allowed(true, Some(2), 0, false)]
#[tokio::test(start_paused = true)]
async fn is_usable_connection(
    #[case] partitioned: bool,
    #[case] via: Option<u8>,
    #[case] idle_since_ms: u64,
    #[case] usable: bool,
) {
    let path = TargetPath::new("a".into());
    path.set_relays(vec![relay(1, "a", 100), relay(2, "b", 100)]);
    let start = Instant::now();
    tokio::time::advance(Duration::from_millis(10)).await;
    path.set_partitioned(partitioned);
    let via = via.map(|n| relay(n, "a", 100).addr);
    let idle_since = start + Duration::from_millis(idle_since_ms);
    assert_eq!(path.is_usable(via, idle_since, |zone| zone == "a"), usable);
}

#[rstest]
#[case::target_at_fault(true, false, Verdict::Reachable)]
#[case::both(true, true, Verdict::Reachable)]
#[case::cut_off(false, true, Verdict::Partitioned)]
#[case::nobody(false, false, Verdict::Unknown)]
fn verdict_of(#[case] own: bool, #[case] relayed: bool, #[case] expected: Verdict) {
    assert_eq!(Verdict::of(own, relayed), expected);
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

#[test]
fn check_path_while_most_targets_have_ended() {
    // Guards against a router that takes itself for cut off, and refuses requests, because its check
    // connects to targets only that have ended.
    run_local(async {
        let platform = LocalPlatform::new();
        platform.configure(catalog_parts(1, 100_000_000));
        let mut targets = Vec::new();
        for n in 0..10 {
            let target = StandinTarget::start(&format!("t{n}"), "model", "zone-1").await.unwrap();
            platform.register(&target, "ready");
            targets.push(target);
        }
        let router = GatewayHost::start(&platform, "r1", "zone-1", 1).await.unwrap();
        let gw = &router.gw;
        eventually("all targets are known", || gw.targets.all().len() == targets.len()).await;
        targets[1..].iter().for_each(StandinTarget::crash);
        for backend in gw.targets.all().iter().filter(|b| b.id() != targets[0].id) {
            assert!(connect(gw, backend, |_| true).await.is_err());
        }
        for _ in 0..20 {
            assert_eq!(check_path(gw, Instant::now()).await, Verdict::Reachable);
        }
    });
}
