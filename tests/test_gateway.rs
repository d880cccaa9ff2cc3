//! End-to-end tests of the gateway with real sockets, stand-in targets and an in-memory row store.

use std::time::Duration;

use kingcupwall::allowance::Ledger;
use kingcupwall::gateway::drain;
use kingcupwall::gateway::state::Phase;
use kingcupwall::http1::{Conn, header};
use kingcupwall::ids::Tokens;
use kingcupwall::rows::{Fault, RowStore};
use kingcupwall::standin::gateway::{LocalPlatform, catalog_parts};
use kingcupwall::standin::gateway_host::GatewayHost;
use kingcupwall::standin::gateway_target::{StandinTarget, TargetFault};
use kingcupwall::stats::ReasonLabel;
use rstest::rstest;
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::gateway_fleet::{Call, CallResult, Fleet, eventually, run_local};

async fn ledger(platform: &LocalPlatform) -> Ledger {
    let page = platform.rows.new_client().scan("budgets", "norte").await.unwrap();
    let row = page.rows.iter().find(|r| r.at.key == "norte").expect("the ledger has a row");
    Ledger::decode(row.value.as_ref().unwrap()).unwrap()
}

#[test]
fn forward_plain_answer() {
    run_local(async {
        let fleet = Fleet::start(1, 1_000).await;
        let call = Call::get("/once/order?x=1")
            .with_header("Organisation: forged")
            .with_header("Expect-Target: forged")
            .with_header("Connection: x-hop")
            .with_header("X-Hop: 1")
            .with_header("X-Kept: 2")
            .body("one washer");
        let got = call.send(fleet.router.front).await;
        assert_eq!((got.status(), got.body.as_str()), (200, "answer of t1 to q1"));
        assert_eq!(got.header("Seal"), Some("t1.q1"));
        let seen = fleet.targets[0].runs().remove(0);
        let sent = |name| header(&seen.headers, name).map(str::to_owned);
        assert_eq!(seen.target, "/once/order?x=1");
        assert_eq!(&seen.body[..], b"one washer");
        assert_eq!(sent("Organisation").as_deref(), Some("norte"));
        assert_eq!(sent("Expect-Target").as_deref(), Some("t1"));
        assert_eq!(sent("X-Kept").as_deref(), Some("2"));
        assert_eq!((sent("X-Hop"), sent("Authorization")), (None, None));
        assert!(sent("Time-Left-Ms").unwrap().parse::<u64>().unwrap() <= 4_000);
    });
}

#[test]
fn forward_two_framings() {
    // Guards against request smuggling, where an attacker's second request runs under the first
    // one's key. The body is framed both by length and in chunks; if the router and the target
    // delimit it differently, the target takes the bytes in between for a request.
    run_local(async {
        let fleet = Fleet::start(1, 1_000).await;
        let call =
            Call::get("/safe/a").with_header("Transfer-Encoding: chunked").body("0\r\n\r\nGET /x");
        assert_eq!(call.send(fleet.router.front).await.status(), 400);
        assert_eq!(fleet.runs(), 0);
    });
}

#[test]
fn forward_new_key() {
    // A newly added customer must not be refused as unknown. The configuration with the key was
    // acknowledged, but the router's feed has not delivered it yet.
    run_local(async {
        let fleet = Fleet::start(1, 1_000).await;
        let mut next = catalog_parts(2, 1_000);
        next.organisations.as_mut().unwrap()[0].keys.push("key-new".into());
        fleet.platform.configure(next);
        let got = Call::get("/safe/a").key("key-new").send(fleet.router.front).await;
        assert_eq!(got.status(), 200);
        let got = Call::get("/safe/a").key("key-none").send(fleet.router.front).await;
        assert_eq!(got.status(), 401);
        let got = Call::get("/nowhere/a").send(fleet.router.front).await;
        assert_eq!(got.status(), 404);
    });
}

#[test]
fn forward_unknown_key_store_away() {
    // As `forward_new_key`, but during an outage of the store: 401 would be final for the caller,
    // and wrong.
    run_local(async {
        let fleet = Fleet::start(1, 1_000).await;
        fleet.router.platform.rows.set_fault(Fault::Reject(503));
        let got = Call::get("/safe/a").key("key-new").send(fleet.router.front).await;
        assert_eq!(got.status(), 503);
        assert!(got.header("Retry-After").is_some());
        let got = Call::get("/safe/a").send(fleet.router.front).await;
        assert_eq!(got.status(), 200);
    });
}

#[test]
fn forward_full_target() {
    run_local(async {
        let fleet = Fleet::start(2, 1_000).await;
        fleet.fill_retry_budget().await;
        fleet.targets[0].fail(&[TargetFault::Full, TargetFault::Full, TargetFault::Full]);
        for n in 0..4 {
            let got = Call::get("/once/a").id(&format!("f{n}")).send(fleet.router.front).await;
            assert_eq!((got.status(), got.header("Seal")), (200, Some(&*format!("t2.f{n}"))));
        }
    });
}

#[test]
fn forward_all_full() {
    run_local(async {
        let fleet = Fleet::start(1, 1_000).await;
        fleet.fill_retry_budget().await;
        fleet.targets[0].fail(&[TargetFault::Full]);
        let got = Call::get("/once/a").send(fleet.router.front).await;
        assert_eq!((got.status(), got.header("Seal")), (503, None));
        assert!(got.header("Retry-After").is_some());
        assert_eq!(fleet.runs(), 10);
    });
}

#[test]
fn forward_lost_answer_once() {
    // Guards against running an order twice. The target ran the order and its answer was lost; the
    // router must neither send it to another target nor report "not run", after which the caller
    // would send it again.
    run_local(async {
        let fleet = Fleet::start(2, 1_000).await;
        fleet.fill_retry_budget().await;
        let faults = [TargetFault::LosesAnswer, TargetFault::Garbage, TargetFault::CutsBody];
        // Each target has faults queued, so that a request fails wherever it is sent.
        fleet.targets.iter().for_each(|t| t.fail(&faults.repeat(2)));
        for n in 0..6 {
            let got = Call::get("/once/a").id(&format!("o{n}")).send(fleet.router.front).await;
            assert_eq!(got.status(), 502);
        }
        assert_eq!(fleet.runs(), 10 + 6);
    });
}

#[test]
fn forward_lost_answer_safe() {
    run_local(async {
        let fleet = Fleet::start(2, 1_000).await;
        fleet.fill_retry_budget().await;
        let faults = [TargetFault::LosesAnswer, TargetFault::CutsBody, TargetFault::Garbage];
        fleet.targets[0].fail(&faults);
        for n in 0..8 {
            let got = Call::get("/safe/a").id(&format!("s{n}")).send(fleet.router.front).await;
            assert_eq!(got.status(), 200);
        }
    });
}

#[test]
fn forward_failure_of_target() {
    // A failure answer must carry the seal of the target that gave it. An idempotent request fails
    // at two targets, and only one target's failure may be returned, unchanged.
    run_local(async {
        let fleet = Fleet::start(2, 1_000).await;
        fleet.fill_retry_budget().await;
        fleet.targets.iter().for_each(|t| t.fail(&[TargetFault::Fails]));
        let got = Call::get("/safe/a").send(fleet.router.front).await;
        assert_eq!((got.status(), got.body.as_str()), (500, "failed"));
        assert!(got.header("Seal").unwrap().ends_with(".q1"));
        assert_eq!(fleet.runs(), 12);
    });
}

#[test]
fn forward_retry_budget_empty() {
    // Retries must not double the load of a failing service. A new router has not earned any retry
    // budget yet, so it must pass the failure on.
    run_local(async {
        let fleet = Fleet::start(2, 1_000).await;
        fleet.targets.iter().for_each(|t| t.fail(&[TargetFault::Fails]));
        let got = Call::get("/safe/a").send(fleet.router.front).await;
        assert_eq!((got.status(), fleet.runs()), (500, 1));
    });
}

#[test]
fn forward_stray_answer() {
    // Guards against returning one caller's answer to another. A target answers twice, and the
    // second answer, with the id of its own request, is read from the reused connection before the
    // next request's answer.
    run_local(async {
        let fleet = Fleet::start(1, 1_000).await;
        for n in 0..4 {
            fleet.targets[0].fail(&[TargetFault::AnswersTwice]);
            let id = format!("d{n}");
            let got = Call::get("/once/a").id(&id).send(fleet.router.front).await;
            assert_eq!(got.body, format!("answer of t1 to {id}"));
        }
    });
}

#[test]
fn forward_target_leaves() {
    run_local(async {
        let fleet = Fleet::start(2, 1_000).await;
        fleet.platform.register(&fleet.targets[0], "draining");
        let gw = fleet.router.gw.clone();
        eventually("draining", move || gw.targets.count() == (2, 1)).await;
        for n in 0..4 {
            let got = Call::get("/once/a").id(&format!("l{n}")).send(fleet.router.front).await;
            assert_eq!(got.header("Seal"), Some(&*format!("t2.l{n}")));
        }
    });
}

/// Begins a request whose body is to follow once the router agrees.
async fn begin_call(fleet: &Fleet, framing: &str) -> Conn {
    let call = Call::get("/once/a").with_header("Expect: 100-continue").with_header(framing);
    let mut conn = Conn::dial(fleet.router.front, Duration::from_secs(5)).await.unwrap();
    conn.write(&call.bytes()).await.unwrap();
    assert!(conn.wait_for_data().await.unwrap());
    conn
}

/// Guards against a router that is killed for its memory, because bodies that arrive together are
/// counted only once they are read.
#[test]
fn bodies_that_arrive_together_are_bounded() {
    run_local(async {
        let fleet = Fleet::start(1, 1_000).await;
        let (limit, memory) = (fleet.router.gw.limits().body_bytes, &fleet.router.gw.body_bytes);
        let fitting = fleet.router.gw.settings.body_memory / limit;
        let length = format!("Content-Length: {limit}");
        let mut arriving = Vec::new();
        for _ in 0..fitting {
            arriving.push(begin_call(&fleet, &length).await);
        }
        let mut refused = begin_call(&fleet, "Content-Length: 1").await;
        assert_eq!(CallResult::read(&mut refused).await.status(), 503);
        let mut chunked = begin_call(&fleet, "Transfer-Encoding: chunked").await;
        chunked.write(b"1\r\nx\r\n").await.unwrap();
        assert_eq!(CallResult::read(&mut chunked).await.status(), 503);
        drop(arriving);
        eventually("the release of the memory", || memory.get() == 0).await;
    });
}

#[test]
fn stream_whole() {
    run_local(async {
        let fleet = Fleet::start(1, 1_000).await;
        let got = Call::get("/stream/a").tokens(100, 20).send(fleet.router.front).await;
        assert!(got.is_complete);
        assert_eq!(got.events(), (1..=10).collect::<Vec<_>>());
        assert_eq!(got.header("Seal"), Some("t1.q1"));
    });
}

#[test]
fn stream_resumes_elsewhere() {
    // A resumable stream must not break off when its target fails within an event. Another target
    // continues after the last complete event; the caller sees each event once, under the seal of
    // the first target.
    run_local(async {
        let fleet = Fleet::start(2, 10_000).await;
        fleet.fill_retry_budget().await;
        fleet.targets[0].fail(&[TargetFault::CutsStream(4)]);
        let mut resumed = None;
        for n in 0..20 {
            let id = format!("q{n}");
            let call = Call::get("/resumable/a").id(&id).tokens(10, 20);
            let got = call.send(fleet.router.front).await;
            assert!(got.is_complete, "{}", got.body);
            assert_eq!(got.events(), (1..=10).collect::<Vec<_>>());
            let at_second = fleet.targets[1].runs();
            let second = at_second.iter().find(|s| header(&s.headers, "Last-Event-Id").is_some());
            if let Some(second) = second {
                assert_eq!(header(&second.headers, "Last-Event-Id"), Some("4"));
                assert_eq!(got.header("Seal"), Some(&*format!("t1.{id}")));
                resumed = Some(n);
                break;
            }
        }
        assert!(resumed.is_some());
    });
}

/// Guards against a stream that runs at two targets at once: the first one, whose answer turned
/// invalid, works on until its connection is closed.
#[test]
fn stream_closed_before_resumed_elsewhere() {
    run_local(async {
        let fleet = Fleet::start(2, 10_000).await;
        fleet.fill_retry_budget().await;
        for target in &fleet.targets {
            target.set_event_gap(Duration::from_millis(20));
            target.fail(&[TargetFault::SpoilsStream(2)]);
        }
        let front = fleet.router.front;
        let call = Call::get("/resumable/a").tokens(10, 20);
        let got = spawn_local(async move { call.send(front).await });
        let began = |t: &&StandinTarget| t.runs().iter().any(|r| r.id == "q1");
        eventually("the start of the stream", || fleet.targets.iter().any(|t| began(&t))).await;
        let (first, second) = match began(&&fleet.targets[0]) {
            true => (&fleet.targets[0], &fleet.targets[1]),
            false => (&fleet.targets[1], &fleet.targets[0]),
        };
        second.set_faults(&[TargetFault::Hangs]);
        eventually("the resumed request", || began(&second)).await;
        eventually("the end of the first run", || first.closed_early() == 1).await;
        assert!(!got.is_finished());
        assert_eq!(second.closed_early(), 0);
    });
}

#[test]
fn stream_cut_looks_cut() {
    // A caller must not take an incomplete answer for a complete one. When a stream that may run
    // only once breaks off, events stay complete and the final chunk is missing.
    run_local(async {
        let fleet = Fleet::start(2, 10_000).await;
        fleet.fill_retry_budget().await;
        fleet.targets.iter().for_each(|t| t.fail(&[TargetFault::CutsStream(3)]));
        let got = Call::get("/stream/a").tokens(100, 20).send(fleet.router.front).await;
        assert!(!got.is_complete);
        assert_eq!(got.events(), vec![1, 2, 3]);
        assert!(got.body.ends_with("\n\n"));
        assert_eq!(fleet.runs(), 11);
    });
}

/// Guards against a stream that breaks off and passes as complete, because a caller of HTTP/1.0
/// knows its end by the close of the connection only.
#[rstest]
#[case::whole(None)]
#[case::cut(Some(TargetFault::CutsStream(3)))]
fn stream_over_http10(#[case] fault: Option<TargetFault>) {
    run_local(async move {
        let fleet = Fleet::start(1, 10_000).await;
        fleet.targets[0].fail(fault.as_slice());
        let call = String::from_utf8(Call::get("/stream/a").tokens(100, 20).bytes()).unwrap();
        let mut conn = Conn::dial(fleet.router.front, Duration::from_secs(5)).await.unwrap();
        conn.write(call.replace("HTTP/1.1", "HTTP/1.0").as_bytes()).await.unwrap();
        let got = CallResult::read(&mut conn).await;
        let events = if fault.is_some() { 3 } else { 10 };
        assert_eq!((got.is_complete, got.events().len()), (fault.is_none(), events));
    });
}

#[test]
fn stream_caller_leaves() {
    // Targets must not keep working for callers that disconnected.
    run_local(async {
        let fleet = Fleet::start(1, 10_000).await;
        fleet.targets[0].set_event_gap(Duration::from_millis(20));
        let mut conn = Conn::dial(fleet.router.front, Duration::from_secs(5)).await.unwrap();
        conn.write(&Call::get("/stream/a").tokens(10, 1_000).bytes()).await.unwrap();
        assert!(conn.wait_for_data().await.unwrap());
        drop(conn);
        let target = fleet.targets[0].clone();
        eventually("the target's connection closes", move || target.closed_early() == 1).await;
    });
}

#[test]
fn forward_caller_leaves_before_answer() {
    run_local(async {
        let fleet = Fleet::start(1, 10_000).await;
        fleet.targets[0].fail(&[TargetFault::Hangs]);
        let mut conn = Conn::dial(fleet.router.front, Duration::from_secs(5)).await.unwrap();
        conn.write(&Call::get("/safe/a").bytes()).await.unwrap();
        let target = fleet.targets[0].clone();
        eventually("the request arrives", || target.runs().len() == 1).await;
        drop(conn);
        eventually("the target's connection closes", || target.closed_early() == 1).await;
    });
}

#[test]
fn budget_spent_is_402() {
    run_local(async {
        let fleet = Fleet::start(1, 400).await;
        let small = || Call::get("/stream/a").tokens(100, 20);
        for _ in 0..3 {
            assert_eq!(small().send(fleet.router.front).await.status(), 200);
        }
        // 360 of 400 tokens are spent. Until the ledger in the store confirms that, the status is
        // 503.
        let mut status = 503;
        while status == 503 {
            status = small().send(fleet.router.front).await.status();
        }
        assert_eq!(status, 402);
        assert_eq!(fleet.runs(), 3);
    });
}

#[test]
fn budget_returned_at_stop() {
    // A stopped router must not keep tokens, or the organisation is refused although it has some.
    // The stop waits for the running stream, then writes what was spent and closes its grants.
    run_local(async {
        let fleet = Fleet::start(1, 10_000).await;
        fleet.targets[0].set_event_gap(Duration::from_millis(10));
        let front = fleet.router.front;
        let call = tokio::task::spawn_local(async move {
            Call::get("/stream/a").tokens(100, 100).send(front).await
        });
        eventually("the stream starts", || fleet.runs() == 1).await;
        drain::stop(&fleet.router.gw).await;
        let got = call.await.unwrap();
        assert!(got.is_complete);
        assert_eq!(got.events().len(), 50);
        assert!(!fleet.router.gw.entry.borrow().ready);
        let ledger = ledger(&fleet.platform).await;
        assert_eq!((ledger.grants.len(), ledger.closed), (0, Tokens(200)));
    });
}

#[test]
fn budget_after_kill() {
    // After a power cut an organisation's tokens must be neither lost nor spent twice. The
    // successor closes the grants of the dead process at no less than it had spent and no more than
    // its grants allowed by then.
    run_local(async {
        let fleet = Fleet::start(1, 100_000).await;
        let got = Call::get("/stream/a").tokens(1_000, 20).send(fleet.router.front).await;
        assert!(got.is_complete);
        fleet.router.kill();
        let next = GatewayHost::start(&fleet.platform, "r1", "zone-1", 2).await.unwrap();
        let got = Call::get("/stream/a").tokens(1_000, 20).send(next.front).await;
        assert!(got.is_complete);
        let ledger = ledger(&fleet.platform).await;
        assert_eq!(ledger.grants.len(), 1);
        assert!(ledger.closed >= Tokens(1_020), "{ledger:?}");
        assert!(ledger.committed() <= Tokens(100_000));
    });
}

#[test]
fn drain_kept_connection() {
    // A rolling restart must not cut requests on kept connections. A leaving router still serves
    // them, with `Connection:close`, until callers know other routers.
    run_local(async {
        let fleet = Fleet::start(1, 1_000).await;
        let mut conn = Conn::dial(fleet.router.front, Duration::from_secs(5)).await.unwrap();
        conn.write(&Call::get("/safe/a").bytes()).await.unwrap();
        assert!(CallResult::read(&mut conn).await.head.unwrap().keep_alive);
        let gw = fleet.router.gw.clone();
        let stop = tokio::task::spawn_local(async move { drain::stop(&gw).await });
        eventually("leaving", || !fleet.router.gw.is_ready()).await;
        conn.write(&Call::get("/safe/b").bytes()).await.unwrap();
        let got = CallResult::read(&mut conn).await;
        assert_eq!(got.status(), 200);
        assert!(!got.head.unwrap().keep_alive);
        stop.await.unwrap();
    });
}

/// A request with a body, of which the first bytes, without the last `missing` ones, arrive before a
/// planned stop takes no new requests, and the rest afterwards. Returns the answer and the log.
async fn call_during_stop(fleet: &Fleet, call: &Call, missing: usize) -> (CallResult, String) {
    let bytes = call.bytes();
    let mut conn = Conn::dial(fleet.router.front, Duration::from_secs(5)).await.unwrap();
    let (gw, mut phase) = (fleet.router.gw.clone(), fleet.router.gw.phase.subscribe());
    conn.write(&bytes[..bytes.len() - missing]).await.unwrap();
    eventually("the request begins to arrive", || gw.open_connections.get() == 1).await;
    let stop = spawn_local(async move { drain::stop(&gw).await });
    phase.wait_for(|p| *p == Phase::Finishing).await.unwrap();
    conn.write(&bytes[bytes.len() - missing..]).await.unwrap();
    let got = CallResult::read(&mut conn).await;
    stop.await.unwrap();
    (got, fleet.router.log.take())
}

/// Guards against a stop that ends the process while a target runs a request that arrived slowly.
#[rstest]
#[case::body(5)]
#[case::head(60)]
fn drain_waits_for_arriving_request(#[case] missing: usize) {
    run_local(async move {
        let fleet = Fleet::start(1, 1_000).await;
        let call = Call::get("/once/a").time_left_ms(1_000).body("one washer");
        let (got, log) = call_during_stop(&fleet, &call, missing).await;
        assert_eq!((got.status(), fleet.runs()), (200, 1));
        let position = |text: &str| log.find(text).unwrap_or_else(|| panic!("no {text} in {log}"));
        assert!(position("event=done id=q1") < position("phase=last_writes"), "{log}");
    });
}

/// Guards against a request that a stopping router sends to a target and then ends in the middle.
#[test]
fn drain_refuses_request_without_time() {
    run_local(async {
        let fleet = Fleet::start(1, 1_000).await;
        let call = Call::get("/once/a").time_left_ms(60_000).body("one washer");
        let (got, _) = call_during_stop(&fleet, &call, 5).await;
        assert_eq!((got.status(), fleet.runs()), (503, 0));
        assert!(got.header("Retry-After").is_some());
    });
}

/// Sends a request that waits for its target's version to be listed, and lets a stop begin to finish
/// meanwhile. Returns the answer and the number of runs; `None` if the request was sent before.
async fn call_waiting_at_stop(call: &Call) -> Option<(CallResult, usize)> {
    let fleet = Fleet::start(1, 1_000).await;
    let gw = &fleet.router.gw;
    fleet.router.platform.rows.set_fault(Fault::Slow(Duration::from_millis(150)));
    let opened = ReasonLabel { reason: "opened" };
    let connects = || gw.stats.target_connects.get_or_create(&opened).get();
    let connects_before = connects();
    let stop = async {
        // The version is looked up once the connection to the target is open.
        eventually("the request waits", || connects() > connects_before).await;
        gw.stop_by.set(Instant::now().checked_add(Duration::from_secs(1)));
        gw.phase.send_replace(Phase::Finishing);
        fleet.runs()
    };
    let (got, runs_before) = tokio::join!(call.send(fleet.router.front), stop);
    (runs_before == 0).then(|| (got, fleet.runs()))
}

/// Guards against a request that a stopping router has taken early, sends late, and ends in the
/// middle.
#[test]
fn drain_refuses_request_that_still_waits() {
    run_local(async {
        let call = Call::get("/resumable/a").time_left_ms(60_000);
        let (got, runs) = loop {
            if let Some(waited) = call_waiting_at_stop(&call).await {
                break waited;
            }
        };
        assert_eq!((got.status(), runs), (503, 0));
        assert!(got.body.contains("stopping") && got.header("Retry-After").is_some());
    });
}

/// Guards against a stop that closes the connections of requests which no target has answered.
#[rstest]
#[case::plain("/once/a")]
#[case::stream("/stream/a")]
fn drain_answers_all_requests(#[case] path: &str) {
    run_local(async {
        let Fleet { targets, router, platform: _platform } = Fleet::start(1, 1_000).await;
        targets[0].fail(&[TargetFault::Hangs]);
        let mut conn = Conn::dial(router.front, Duration::from_secs(5)).await.unwrap();
        conn.write(&Call::get(path).time_left_ms(60_000).bytes()).await.unwrap();
        eventually("the request is sent", || !targets[0].runs().is_empty()).await;
        drain::stop(&router.gw).await;
        router.kill();
        assert_eq!(CallResult::read(&mut conn).await.status(), 502);
    });
}

#[test]
fn log_identifies_cause() {
    // The log must identify the cause of a failure by request id, for three kinds of failure.
    run_local(async {
        let fleet = Fleet::start(1, 300).await;
        fleet.targets[0].fail(&[TargetFault::CutsStream(2), TargetFault::LosesAnswer]);
        let cut = Call::get("/stream/a").id("cut").tokens(100, 20);
        assert!(!cut.send(fleet.router.front).await.is_complete);
        assert_eq!(Call::get("/once/a").id("lost").send(fleet.router.front).await.status(), 502);
        let big = Call::get("/stream/a").id("dear").tokens(1_000, 20);
        assert!([402, 503].contains(&big.send(fleet.router.front).await.status()));
        let text = fleet.router.log.take();
        let has = |parts: &[&str]| text.lines().any(|l| parts.iter().all(|p| l.contains(p)));
        assert!(has(&["event=stream_broken", "id=cut", "target=t1", "events=2", "resumes=false"]));
        assert!(has(&["event=cut", "id=cut", "org=norte", "outcome=broken", "tokens=104"]));
        assert!(has(&["event=send", "id=lost", "target=t1", "ended=NoAnswer"]));
        assert!(has(&["event=refused", "id=lost", "status=502"]));
        assert!(has(&["event=budget", "id=dear", "org=norte", "most=1020", "prepaid=300"]));
    });
}

/// Number of requests after which each of two targets has certainly got one.
const REQUESTS_TO_BOTH_TARGETS: usize = 30;

/// Guards against a stream without a length that breaks off and passes as complete, or that is not
/// sent again although the caller has no event of it.
#[rstest]
#[case::whole("/stream", TargetFault::UnframedStream, 0)]
#[case::in_first_event("/resumable", TargetFault::CutsUnframedStream(0), 0)]
#[case::in_later_event("/resumable", TargetFault::CutsUnframedStream(2), 0)]
#[case::in_first_event_without_resumption("/stream", TargetFault::CutsUnframedStream(0), 1)]
fn stream_that_ends_with_connection(
    #[case] path: &'static str,
    #[case] fault: TargetFault,
    #[case] failures: usize,
) {
    run_local(async move {
        let fleet = Fleet::start(2, 1_000_000).await;
        fleet.fill_retry_budget().await;
        fleet.targets[0].fail(&[fault]);
        let mut failed = 0;
        for n in 0..REQUESTS_TO_BOTH_TARGETS {
            let call = Call::get(&format!("{path}/{n}")).id(&format!("s{n}")).tokens(10, 10);
            let got = call.send(fleet.router.front).await;
            assert!(got.is_complete, "{}", got.body);
            if got.status() == 502 {
                failed += 1;
            } else {
                assert_eq!((got.status(), got.events()), (200, vec![1, 2, 3, 4, 5]));
            }
        }
        assert!(fleet.targets.iter().all(|t| !t.runs().is_empty()));
        assert_eq!(failed, failures);
    });
}
