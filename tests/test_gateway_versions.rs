//! Tests of streams that resume while targets of several software versions serve.

use std::net::SocketAddr;
use std::time::Duration;

use kingcupwall::gateway::origins::{KeeperRing, VersionDigest};
use kingcupwall::gateway::versions::StreamVersions;
use kingcupwall::http1::Conn;
use kingcupwall::rows::{Fault, Row, RowKey, StoreMs, Ver};
use kingcupwall::standin::gateway::{LocalPlatform, catalog_parts};
use kingcupwall::standin::gateway_host::GatewayHost;
use kingcupwall::standin::gateway_target::{StandinTarget, TargetFault};
use rstest::rstest;

use crate::gateway_fleet::{Call, CallResult, eventually, run_local};

/// Number of output tokens of a stream; it has half as many events.
const OUTPUT: u64 = 40;
const ALL_EVENTS: u64 = OUTPUT / 2;
/// Event after which a stream breaks off.
const BREAK_AFTER: u64 = 4;
/// Pause between two events of streams whose router is killed.
const EVENT_GAP: Duration = Duration::from_millis(20);
/// Streams that are interrupted together.
const STREAMS: usize = 16;

struct Fleet {
    platform: LocalPlatform,
    targets: Vec<StandinTarget>,
    routers: Vec<GatewayHost>,
}

impl Fleet {
    /// Starts one target for each of `versions`, and `routers` routers that know each other.
    async fn start(versions: &[&str], routers: usize) -> Fleet {
        let platform = LocalPlatform::new();
        platform.configure(catalog_parts(1, 1_000_000));
        let mut fleet = Fleet { platform, targets: Vec::new(), routers: Vec::new() };
        for version in versions {
            fleet.add_target(version).await;
        }
        for _ in 0..routers {
            fleet.add_router().await;
        }
        eventually("all routers know each other", || fleet.are_acquainted()).await;
        for n in 0..40 {
            for router in &fleet.routers {
                let warm = Call::get("/safe/warm").id(&format!("warm{n}")).send(router.front).await;
                assert_eq!(warm.status(), 200);
            }
        }
        fleet
    }

    async fn add_target(&mut self, version: &str) {
        let id = format!("t{}", self.targets.len() + 1);
        let target = StandinTarget::start(&id, "model", "zone-1").await.unwrap();
        target.set_version(version);
        self.platform.register(&target, "ready");
        self.targets.push(target);
    }

    async fn add_router(&mut self) {
        self.start_router(1).await;
    }

    /// Starts process `incarnation` of the next router.
    async fn start_router(&mut self, incarnation: u64) {
        let instance = format!("r{}", self.routers.len() + 1);
        let router =
            GatewayHost::start(&self.platform, &instance, "zone-1", incarnation).await.unwrap();
        self.routers.push(router);
    }

    fn are_acquainted(&self) -> bool {
        let n = self.routers.len();
        self.routers.iter().all(|r| {
            r.gw.entry.borrow().routers.len() == n && r.gw.targets.count().1 == self.targets.len()
        })
    }

    /// The versions that may have begun streams, as the store lists them.
    fn listed(&self) -> StreamVersions {
        let at = RowKey::own_partition("versions", "streams");
        let value = self.platform.rows.peek(&at);
        let ver = Ver(u64::from(value.is_some()));
        StreamVersions::decode(&Row { at, ver, value }).unwrap()
    }

    fn front(&self, router: usize) -> SocketAddr {
        self.routers[router].front
    }

    /// Begins streams at the first router, and drops each connection after some events.
    async fn interrupted_streams(&self) -> Vec<Interrupted> {
        self.targets.iter().for_each(|t| t.set_event_gap(EVENT_GAP));
        let mut conns = Vec::new();
        for n in 0..STREAMS {
            let mut conn = Conn::dial(self.front(0), Duration::from_secs(5)).await.unwrap();
            let id = format!("s{n}");
            conn.write(&stream(&id).bytes()).await.unwrap();
            conns.push((id, conn));
        }
        let mut interrupted = Vec::new();
        for (id, mut conn) in conns {
            let mut body = String::new();
            let mut framing = conn.read_response(64 * 1024).await.unwrap().body;
            while versions_of(&body).len() < BREAK_AFTER as usize {
                let piece = conn.read_piece(&mut framing).await.unwrap().unwrap();
                body += std::str::from_utf8(&piece).unwrap();
            }
            interrupted.push(Interrupted { id, body });
        }
        interrupted
    }

    /// Resumes the streams at a router. Returns how many went on to their end.
    async fn resume_all(&self, streams: &[Interrupted], router: usize) -> usize {
        self.targets.iter().for_each(|t| t.set_event_gap(Duration::ZERO));
        let mut complete = 0;
        for s in streams {
            let got = s.resume().send(self.front(router)).await;
            if got.status() == 200 {
                let versions = versions_of(&(s.body.clone() + &got.body));
                assert!(is_one_version(&versions), "{} has events of {versions:?}", s.id);
                complete += usize::from(got.is_complete);
            }
        }
        complete
    }
}

/// A stream whose connection the caller lost.
struct Interrupted {
    id: String,
    body: String,
}

impl Interrupted {
    fn resume(&self) -> Call {
        let last = versions_of(&self.body).len();
        stream(&format!("{}-again", self.id))
            .with_header(&format!("Last-Event-Id: {last}"))
            .with_header(&format!("Resumes: {}", self.id))
    }
}

fn stream(id: &str) -> Call {
    Call::get("/resumable/a").id(id).tokens(10, OUTPUT)
}

/// The version that each event states.
fn versions_of(body: &str) -> Vec<String> {
    let events = body.split_inclusive("\n\n").filter(|e| e.ends_with("\n\n"));
    let version = |e: &str| Some(e.trim_end_matches('\n').rsplit_once(" of ")?.1.to_owned());
    events.filter_map(version).collect()
}

fn is_one_version(versions: &[String]) -> bool {
    versions.windows(2).all(|w| w[0] == w[1])
}

#[test]
fn broken_stream_continues_at_its_version() {
    // Guards against an answer that one software version begins and another one continues.
    run_local(async {
        let fleet = Fleet::start(&["v1", "v2", "v1", "v2"], 1).await;
        let mut resumed = 0;
        for n in 0..20 {
            let runs = |f: &Fleet| f.targets.iter().map(|t| t.runs().len()).sum::<usize>();
            let before = runs(&fleet);
            let cut = &fleet.targets[n % 2];
            cut.fail(&[TargetFault::CutsStream(BREAK_AFTER)]);
            let got = stream(&format!("s{n}")).send(fleet.front(0)).await;
            assert!(is_one_version(&versions_of(&got.body)), "{}", got.body);
            assert!(got.is_complete);
            assert_eq!(got.events(), (1..=ALL_EVENTS).collect::<Vec<_>>());
            resumed += usize::from(runs(&fleet) > before + 1);
        }
        assert!(resumed > 0);
    });
}

#[test]
fn broken_stream_without_its_version_ends_incomplete() {
    // Guards against an answer that looks complete, or goes on elsewhere, when the last target of
    // its version ends.
    run_local(async {
        let fleet = Fleet::start(&["v1", "v2", "v2"], 1).await;
        let mut broken = 0;
        for n in 0..30 {
            fleet.targets[0].fail(&[TargetFault::CutsStream(BREAK_AFTER)]);
            let got = stream(&format!("s{n}")).send(fleet.front(0)).await;
            assert!(is_one_version(&versions_of(&got.body)), "{}", got.body);
            if !got.is_complete {
                assert_eq!(got.events(), (1..=BREAK_AFTER).collect::<Vec<_>>());
                broken += 1;
            }
        }
        assert!(broken > 0);
    });
}

#[rstest]
#[case::router_alive(2, 0)]
#[case::router_killed(2, 1)]
#[case::half_of_the_routers_killed(6, 3)]
#[case::all_but_one_killed(6, 5)]
fn interrupted_streams_continue_at_another_router(#[case] routers: usize, #[case] killed: usize) {
    // Guards against streams that callers resume at another router, after theirs has ended, and
    // that another software version continues, or that nobody continues.
    run_local(async {
        let mut fleet = Fleet::start(&["v1", "v2", "v1", "v2"], routers).await;
        let streams = fleet.interrupted_streams().await;
        for router in fleet.routers.drain(..killed) {
            router.kill();
        }
        let last = fleet.routers.len() - 1;
        let complete = fleet.resume_all(&streams, last).await;
        assert!(2 * complete >= STREAMS, "{complete} of {STREAMS} went on");
    });
}

#[test]
fn interrupted_streams_continue_at_a_new_router() {
    // Guards against a router that continues streams that began before its start at any version.
    run_local(async {
        let mut fleet = Fleet::start(&["v1", "v2", "v1", "v2"], 2).await;
        let streams = fleet.interrupted_streams().await;
        fleet.add_router().await;
        eventually("the routers know the new one", || fleet.are_acquainted()).await;
        fleet.routers.remove(0).kill();
        let complete = fleet.resume_all(&streams, 1).await;
        assert!(2 * complete >= STREAMS, "{complete} of {STREAMS} went on");
    });
}

#[rstest]
#[case::paused(false)]
#[case::paused_and_cut_off_from_routers(true)]
fn streams_are_not_joined_at_a_router_that_was_out_of_step(#[case] is_cut_off: bool) {
    // Guards against a router that missed the start of a new version, and the streams that began
    // there, and continues them at the only version that it knows.
    run_local(async {
        let mut fleet = Fleet::start(&["v1"], 2).await;
        fleet.routers[1].set_paused(true);
        for version in ["v2", "v2", "v1"] {
            fleet.add_target(version).await;
        }
        let [began, paused] = [0, 1].map(|n| fleet.routers[n].gw.clone());
        eventually("a router knows all targets", || began.targets.count().1 == 4).await;
        // Else all streams may begin at the version that is listed.
        let v2 = VersionDigest::of("model", "v2");
        eventually("the new version is listed", || fleet.listed().contains(v2)).await;
        if is_cut_off {
            began.origins.set_peers(KeeperRing::default());
        }
        let streams = fleet.interrupted_streams().await;
        let versions: Vec<_> = streams.iter().flat_map(|s| versions_of(&s.body)).collect();
        assert!(!is_one_version(&versions), "all streams began at {}", versions[0]);
        assert_eq!(paused.targets.count().1, 1);
        if is_cut_off {
            fleet.routers.remove(0).kill();
        }
        let last = fleet.routers.len() - 1;
        fleet.routers[last].set_paused(false);
        fleet.resume_all(&streams, last).await;
    });
}

async fn refused(call: Call, fleet: &Fleet) -> CallResult {
    let runs = |f: &Fleet| f.targets.iter().map(|t| t.runs().len()).sum::<usize>();
    let before = runs(fleet);
    let got = call.send(fleet.front(0)).await;
    assert_eq!((got.status(), got.header("Seal"), got.header("Retry-After")), (503, None, None));
    assert_eq!(runs(fleet), before);
    got
}

#[test]
fn stream_of_unknown_origin_is_not_continued() {
    // Guards against a guess: no router knows at which version the stream began.
    run_local(async {
        let fleet = Fleet::start(&["v1", "v2"], 1).await;
        let last = "Last-Event-Id: 4";
        refused(stream("a").with_header(last).with_header("Resumes: gone"), &fleet).await;
        refused(stream("b").with_header(last).with_header("Resumes: b"), &fleet).await;
        refused(stream("c").with_header(last).with_header("Resumes: "), &fleet).await;
        refused(stream("d").with_header(last), &fleet).await;
        let long = format!("Resumes: {}", "x".repeat(10_000));
        refused(stream("e").with_header(last).with_header(&long), &fleet).await;
    });
}

#[test]
fn stream_is_not_continued_for_another_organisation() {
    // Guards against a customer that learns or continues what another one began.
    run_local(async {
        let mut fleet = Fleet::start(&["v1", "v2"], 1).await;
        let mut parts = catalog_parts(2, 1_000_000);
        let organisations = parts.organisations.as_mut().unwrap();
        let mut other = organisations[0].clone();
        other.name = "sur".into();
        other.keys = vec!["key-sur".into()];
        organisations.push(other);
        fleet.platform.configure(parts);
        let in_force = || fleet.routers[0].gw.config().is_some_and(|c| c.version == 2);
        eventually("the new configuration is in force", in_force).await;
        let streams = fleet.interrupted_streams().await;
        refused(streams[0].resume().key("key-sur"), &fleet).await;
        let complete = fleet.resume_all(&streams, 0).await;
        assert_eq!(complete, STREAMS);
        fleet.routers.remove(0).kill();
    });
}

#[test]
fn stream_of_a_version_that_left_is_not_continued() {
    // Guards against an old stream that goes on at the version that replaced its own.
    run_local(async {
        let fleet = Fleet::start(&["v1", "v1"], 1).await;
        let streams = fleet.interrupted_streams().await;
        let gw = &fleet.routers[0].gw;
        for target in &fleet.targets {
            fleet.platform.register(target, "draining");
        }
        let mut later = Vec::new();
        for n in 0..2 {
            let target = StandinTarget::start(&format!("n{n}"), "model", "zone-1").await.unwrap();
            target.set_version("v2");
            fleet.platform.register(&target, "ready");
            later.push(target);
        }
        eventually("the targets are replaced", || gw.targets.count() == (4, 2)).await;
        refused(streams[0].resume(), &fleet).await;
        assert!(later.iter().all(|t| t.runs().is_empty()));
    });
}

#[test]
fn stream_of_an_unknown_version_is_not_continued() {
    // Guards against two unknown versions that are taken for the same one.
    run_local(async {
        let fleet = Fleet::start(&["", "", ""], 1).await;
        let streams = fleet.interrupted_streams().await;
        refused(streams[0].resume(), &fleet).await;
        let mut broken = 0;
        // Whichever target gets the first stream.
        fleet.targets.iter().for_each(|t| t.fail(&[TargetFault::CutsStream(BREAK_AFTER)]));
        for n in 0..10 {
            fleet.targets[0].fail(&[TargetFault::CutsStream(BREAK_AFTER)]);
            let got = stream(&format!("q{n}")).send(fleet.front(0)).await;
            broken += usize::from(!got.is_complete);
            assert!(got.is_complete || got.events().len() == BREAK_AFTER as usize);
        }
        assert!(broken > 0);
    });
}

#[test]
fn resumes_without_last_event_begins_anew() {
    // Guards against a refusal of a caller that lost its connection before the first event.
    run_local(async {
        let fleet = Fleet::start(&["v1", "v2"], 1).await;
        let got = stream("a").with_header("Resumes: gone").send(fleet.front(0)).await;
        assert!(got.is_complete);
        assert_eq!(got.events(), (1..=ALL_EVENTS).collect::<Vec<_>>());
        assert!(is_one_version(&versions_of(&got.body)));
    });
}

#[rstest]
#[case::named_twice("Resumes: s0\r\nResumes: s1")]
#[case::not_text("Resumes: s0\u{7}")]
#[case::two_words("Resumes: s0 s1")]
fn resumes_unclear_is_not_continued(#[case] headers: &str) {
    // Guards against a guess which of two streams a caller means.
    run_local(async {
        let fleet = Fleet::start(&["v1", "v2"], 1).await;
        let _streams = fleet.interrupted_streams().await;
        let call = stream("again").with_header("Last-Event-Id: 4").with_header(headers);
        let got = call.send(fleet.front(0)).await;
        assert!([400, 503].contains(&got.status()), "{}", got.status());
    });
}

#[test]
fn third_attempt_names_the_first() {
    // Guards against a stream that is lost at its second break: its caller names the request that
    // brought the first event, not the one that continued it.
    run_local(async {
        let fleet = Fleet::start(&["v1", "v2", "v1", "v2"], 2).await;
        for s in fleet.interrupted_streams().await {
            let last = versions_of(&s.body).len();
            let second = s.resume();
            let mut conn = Conn::dial(fleet.front(1), Duration::from_secs(5)).await.unwrap();
            conn.write(&second.bytes()).await.unwrap();
            let mut framing = conn.read_response(64 * 1024).await.unwrap().body;
            let mut body = s.body.clone();
            while versions_of(&body).len() < 2 * last {
                let piece = conn.read_piece(&mut framing).await.unwrap().unwrap();
                body += std::str::from_utf8(&piece).unwrap();
            }
            drop(conn);
            let third = Interrupted { id: s.id, body };
            assert_eq!(fleet.resume_all(&[third], 0).await, 1);
            fleet.targets.iter().for_each(|t| t.set_event_gap(EVENT_GAP));
        }
    });
}

#[test]
fn stream_is_not_continued_at_a_service_without_its_route() {
    // Guards against a stream that goes on at a service to which its route does not lead any more.
    run_local(async {
        let fleet = Fleet::start(&["v1", "v1"], 1).await;
        let streams = fleet.interrupted_streams().await;
        let mut parts = catalog_parts(2, 1_000_000);
        parts.routes.iter_mut().for_each(|r| r.shares[0].service = "other".into());
        fleet.platform.configure(parts);
        let in_force = || fleet.routers[0].gw.config().is_some_and(|c| c.version == 2);
        eventually("the new configuration is in force", in_force).await;
        refused(streams[0].resume(), &fleet).await;
    });
}

impl Fleet {
    fn kill_routers(&mut self) {
        self.routers.drain(..).for_each(GatewayHost::kill);
    }

    /// Starts the next processes of the first `n` routers.
    async fn start_routers(&mut self, n: usize) {
        for _ in 0..n {
            self.start_router(2).await;
        }
    }
}

#[test]
fn streams_continue_after_all_routers_ended() {
    // Guards against refusing all resumed streams after a kill of all routers.
    run_local(async {
        let mut fleet = Fleet::start(&["v1", "v1"], 3).await;
        let streams = fleet.interrupted_streams().await;
        fleet.kill_routers();
        fleet.start_routers(3).await;
        let complete = fleet.resume_all(&streams, 2).await;
        assert!(2 * complete >= STREAMS, "{complete} of {STREAMS} went on");
    });
}

#[rstest]
#[case::both_serve(false)]
#[case::its_version_left(true)]
fn streams_are_not_joined_after_all_routers_ended(#[case] leaves: bool) {
    // Guards against a stream of one version that another one continues, because no router is left
    // that knows where it began.
    run_local(async {
        let versions = if leaves { &["v1", "v1"][..] } else { &["v1", "v2", "v1", "v2"] };
        let mut fleet = Fleet::start(versions, 2).await;
        let streams = fleet.interrupted_streams().await;
        fleet.kill_routers();
        if leaves {
            fleet.targets.iter().for_each(|t| fleet.platform.rows.remove("targets", &t.id));
            fleet.add_target("v2").await;
        }
        fleet.start_routers(2).await;
        assert_eq!(fleet.resume_all(&streams, 1).await, 0);
    });
}

#[test]
fn stream_of_an_unversioned_target_is_not_continued_after_all_routers_ended() {
    // Guards against taking the only version that is known for the one at which a stream began.
    run_local(async {
        let mut fleet = Fleet::start(&["", ""], 1).await;
        let streams = fleet.interrupted_streams().await;
        fleet.kill_routers();
        fleet.targets.iter().for_each(|t| fleet.platform.rows.remove("targets", &t.id));
        fleet.add_target("v1").await;
        fleet.start_routers(1).await;
        for s in &streams {
            assert_eq!(s.resume().send(fleet.front(0)).await.status(), 503);
        }
    });
}

#[test]
fn stream_of_unknown_origin_while_the_store_is_away() {
    // Guards against continuing by an old list, and against a refusal that looks final.
    run_local(async {
        let mut fleet = Fleet::start(&["v1"], 1).await;
        let streams = fleet.interrupted_streams().await;
        fleet.kill_routers();
        fleet.start_routers(1).await;
        fleet.routers[0].platform.rows.set_fault(Fault::Reject(503));
        let got = streams[0].resume().send(fleet.front(0)).await;
        assert_eq!(got.status(), 503);
        assert!(got.header("Retry-After").is_some());
    });
}

#[test]
fn version_is_listed_before_its_first_stream() {
    // Guards against a stream that begins at a version that nobody has listed: after the death of
    // all routers another version would pass for its origin.
    run_local(async {
        let mut fleet = Fleet::start(&["v1"], 1).await;
        let v1 = VersionDigest::of("model", "v1");
        eventually("the first version is listed", || fleet.listed().contains(v1)).await;
        fleet.add_target("v2").await;
        let gw = fleet.routers[0].gw.clone();
        eventually("the router knows the target", || gw.targets.count().1 == 2).await;
        while fleet.targets[1].runs().is_empty() {
            assert!(stream("q").send(fleet.front(0)).await.is_complete);
        }
        assert!(fleet.listed().contains(VersionDigest::of("model", "v2")));
        assert_eq!(fleet.listed().only(), None);
    });
}

#[test]
fn stream_versions_expire() {
    let (a, b) = (VersionDigest(1), VersionDigest(2));
    let hour = 3_600_000;
    let row = StreamVersions::default().with(&[a, b], StoreMs(1)).unwrap();
    assert_eq!(row.with(&[a, b], StoreMs(2)), None);
    assert_eq!(row.only(), None);
    let row = row.with(&[b], StoreMs(hour)).unwrap();
    assert_eq!(row.only(), None);
    let row = row.with(&[b], StoreMs(2 * hour + 2)).unwrap();
    assert_eq!(row.only(), Some(b));
}
