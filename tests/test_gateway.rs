//! The gateway end to end: real sockets, stand-in targets, the row store in memory.

use std::time::Duration;

use kingcupwall::allowance::Ledger;
use kingcupwall::gateway::drain;
use kingcupwall::http1::{Conn, header};
use kingcupwall::ids::Tokens;
use kingcupwall::rows::{Fault, RowStore};
use kingcupwall::standin::gateway::{LocalPlatform, catalog_parts};
use kingcupwall::standin::gateway_host::GatewayHost;
use kingcupwall::standin::gateway_target::TargetFault;

use crate::gatedir::{Call, Fleet, Got, eventually, local};

async fn ledger(platform: &LocalPlatform) -> Ledger {
    let page = platform.rows.new_client().scan("budgets", "norte").await.unwrap();
    let row = page.rows.iter().find(|r| r.at.key == "norte").expect("the ledger has a row");
    Ledger::decode(row.value.as_ref().unwrap()).unwrap()
}

#[test]
fn forward_plain_answer() {
    local(async {
        let fleet = Fleet::start(1, 1_000).await;
        let call = Call::get("/once/order?x=1")
            .with("Organisation: forged")
            .with("Expect-Target: forged")
            .with("Connection: x-hop")
            .with("X-Hop: 1")
            .with("X-Kept: 2")
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
    // An attacker's second request runs under the first one's key.
    // A body is framed by length and in chunks at once; the router ends it by one, the target by
    // the other, and what lies between is taken for a request.
    local(async {
        let fleet = Fleet::start(1, 1_000).await;
        let call = Call::get("/safe/a").with("Transfer-Encoding: chunked").body("0\r\n\r\nGET /x");
        assert_eq!(call.send(fleet.router.front).await.status(), 400);
        assert_eq!(fleet.runs(), 0);
    });
}

#[test]
fn forward_new_key() {
    // A customer that was added a moment ago is told that its key does not exist.
    // The configuration was acknowledged, and the router's feed has not brought it yet.
    local(async {
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
    // The same customer during an outage of the store: "no such key" would be final, and wrong.
    local(async {
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
    local(async {
        let fleet = Fleet::start(2, 1_000).await;
        fleet.earn_retries().await;
        fleet.targets[0].fail(&[TargetFault::Full, TargetFault::Full, TargetFault::Full]);
        for n in 0..4 {
            let got = Call::get("/once/a").id(&format!("f{n}")).send(fleet.router.front).await;
            assert_eq!((got.status(), got.header("Seal")), (200, Some(&*format!("t2.f{n}"))));
        }
    });
}

#[test]
fn forward_all_full() {
    local(async {
        let fleet = Fleet::start(1, 1_000).await;
        fleet.earn_retries().await;
        fleet.targets[0].fail(&[TargetFault::Full]);
        let got = Call::get("/once/a").send(fleet.router.front).await;
        assert_eq!((got.status(), got.header("Seal")), (503, None));
        assert!(got.header("Retry-After").is_some());
        assert_eq!(fleet.runs(), 10);
    });
}

#[test]
fn forward_lost_answer_once() {
    // A spare part is ordered twice.
    // The target filed the order and its answer was lost; the router sends it to another target,
    // or says "not run" and the caller sends it again.
    local(async {
        let fleet = Fleet::start(2, 1_000).await;
        fleet.earn_retries().await;
        let faults = [TargetFault::LosesAnswer, TargetFault::Garbage, TargetFault::CutsBody];
        // Whichever target a request goes to, it meets a fault there.
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
    local(async {
        let fleet = Fleet::start(2, 1_000).await;
        fleet.earn_retries().await;
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
    // A caller gets a failure with a seal of a target that never gave it.
    // A safe request fails at two targets; only the failure as one of them sent it may be shown.
    local(async {
        let fleet = Fleet::start(2, 1_000).await;
        fleet.earn_retries().await;
        fleet.targets.iter().for_each(|t| t.fail(&[TargetFault::Fails]));
        let got = Call::get("/safe/a").send(fleet.router.front).await;
        assert_eq!((got.status(), got.body.as_str()), (500, "failed"));
        assert!(got.header("Seal").unwrap().ends_with(".q1"));
        assert_eq!(fleet.runs(), 12);
    });
}

#[test]
fn forward_retry_budget_empty() {
    // While a service fails, retries double its load.
    // A new router has earned nothing yet: it must pass the failure on.
    local(async {
        let fleet = Fleet::start(2, 1_000).await;
        fleet.targets.iter().for_each(|t| t.fail(&[TargetFault::Fails]));
        let got = Call::get("/safe/a").send(fleet.router.front).await;
        assert_eq!((got.status(), fleet.runs()), (500, 1));
    });
}

#[test]
fn forward_stray_answer() {
    // One caller gets another's answer.
    // A target answers twice; the second answer waits on the kept connection where the next
    // request's is due. It bears another id.
    local(async {
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
    local(async {
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

#[test]
fn stream_whole() {
    local(async {
        let fleet = Fleet::start(1, 1_000).await;
        let got = Call::get("/stream/a").tokens(100, 20).send(fleet.router.front).await;
        assert!(got.whole);
        assert_eq!(got.events(), (1..=10).collect::<Vec<_>>());
        assert_eq!(got.header("Seal"), Some("t1.q1"));
    });
}

#[test]
fn stream_resumes_elsewhere() {
    // A technician's note breaks off in the middle of a sentence.
    // The target dies within an event; another one goes on after the last whole event, and the
    // caller sees one stream with every event once, under the first target's seal.
    local(async {
        let fleet = Fleet::start(2, 10_000).await;
        fleet.earn_retries().await;
        fleet.targets[0].fail(&[TargetFault::CutsStream(4)]);
        let mut resumed = None;
        for n in 0..20 {
            let id = format!("q{n}");
            let call = Call::get("/resumable/a").id(&id).tokens(10, 20);
            let got = call.send(fleet.router.front).await;
            assert!(got.whole, "{}", got.body);
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

#[test]
fn stream_cut_looks_cut() {
    // A caller takes half an answer for a whole one.
    // A stream that may run once breaks off: no event may be halved and the end must be missing.
    local(async {
        let fleet = Fleet::start(2, 10_000).await;
        fleet.earn_retries().await;
        fleet.targets.iter().for_each(|t| t.fail(&[TargetFault::CutsStream(3)]));
        let got = Call::get("/stream/a").tokens(100, 20).send(fleet.router.front).await;
        assert!(!got.whole);
        assert_eq!(got.events(), vec![1, 2, 3]);
        assert!(got.body.ends_with("\n\n"));
        assert_eq!(fleet.runs(), 11);
    });
}

#[test]
fn stream_caller_leaves() {
    // Targets work for callers that have long gone.
    local(async {
        let fleet = Fleet::start(1, 10_000).await;
        fleet.targets[0].set_event_gap(Duration::from_millis(20));
        let mut conn = Conn::dial(fleet.router.front, Duration::from_secs(5)).await.unwrap();
        conn.write(&Call::get("/stream/a").tokens(10, 1_000).bytes()).await.unwrap();
        assert!(conn.has_more().await.unwrap());
        drop(conn);
        let target = fleet.targets[0].clone();
        eventually("the target's connection closes", move || target.closed_early() == 1).await;
    });
}

#[test]
fn forward_caller_leaves_before_answer() {
    local(async {
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
    local(async {
        let fleet = Fleet::start(1, 400).await;
        let small = || Call::get("/stream/a").tokens(100, 20);
        for _ in 0..3 {
            assert_eq!(small().send(fleet.router.front).await.status(), 200);
        }
        // 360 of 400 are spent. Until the ledger in the store proves it, the answer is 503.
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
    // An organisation is refused although it has tokens: a router that was stopped kept them.
    // The stop waits for the running stream, then writes what was spent and leaves the ledger.
    local(async {
        let fleet = Fleet::start(1, 10_000).await;
        fleet.targets[0].set_event_gap(Duration::from_millis(10));
        let front = fleet.router.front;
        let call = tokio::task::spawn_local(async move {
            Call::get("/stream/a").tokens(100, 100).send(front).await
        });
        eventually("the stream starts", || fleet.runs() == 1).await;
        drain::stop(&fleet.router.gw).await;
        let got = call.await.unwrap();
        assert!(got.whole);
        assert_eq!(got.events().len(), 50);
        assert!(!fleet.router.gw.entry.borrow().ready);
        let ledger = ledger(&fleet.platform).await;
        assert_eq!((ledger.grants.len(), ledger.closed), (0, Tokens(200)));
    });
}

#[test]
fn budget_after_kill() {
    // After a power cut an organisation's tokens are gone, or are spent twice.
    // The successor at the same place closes what the dead process left open, at no less than
    // what it had spent and no more than its line allowed by then.
    local(async {
        let fleet = Fleet::start(1, 100_000).await;
        let got = Call::get("/stream/a").tokens(1_000, 20).send(fleet.router.front).await;
        assert!(got.whole);
        fleet.router.kill();
        let next = GatewayHost::start(&fleet.platform, "r1", "zone-1", 2).await.unwrap();
        let got = Call::get("/stream/a").tokens(1_000, 20).send(next.front).await;
        assert!(got.whole);
        let ledger = ledger(&fleet.platform).await;
        assert_eq!(ledger.grants.len(), 1);
        assert!(ledger.closed >= Tokens(1_020), "{ledger:?}");
        assert!(ledger.committed() <= Tokens(100_000));
    });
}

#[test]
fn drain_kept_connection() {
    // A rolling restart cuts requests on kept connections.
    // A router that leaves answers them with "close" and takes them until callers know.
    local(async {
        let fleet = Fleet::start(1, 1_000).await;
        let mut conn = Conn::dial(fleet.router.front, Duration::from_secs(5)).await.unwrap();
        conn.write(&Call::get("/safe/a").bytes()).await.unwrap();
        assert!(Got::read(&mut conn).await.head.unwrap().keep);
        let gw = fleet.router.gw.clone();
        let stop = tokio::task::spawn_local(async move { drain::stop(&gw).await });
        eventually("leaving", || !fleet.router.gw.is_ready()).await;
        conn.write(&Call::get("/safe/b").bytes()).await.unwrap();
        let got = Got::read(&mut conn).await;
        assert_eq!(got.status(), 200);
        assert!(!got.head.unwrap().keep);
        stop.await.unwrap();
    });
}

#[test]
fn log_tells_cause() {
    // An engineer has an id and the log: each of three failures must be found from it.
    local(async {
        let fleet = Fleet::start(1, 300).await;
        fleet.targets[0].fail(&[TargetFault::CutsStream(2), TargetFault::LosesAnswer]);
        let cut = Call::get("/stream/a").id("cut").tokens(100, 20);
        assert!(!cut.send(fleet.router.front).await.whole);
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
