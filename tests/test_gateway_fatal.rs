//! Requests that end each target which runs them.

use std::time::Duration;

use kingcupwall::gateway::liveness::Life;
use kingcupwall::gateway::quarantine::CRASHES_TO_CONVICT;
use kingcupwall::http1::Conn;
use kingcupwall::rows::Fault;
use kingcupwall::standin::gateway::{LocalPlatform, parts};
use kingcupwall::standin::gateway_host::GatewayHost;
use kingcupwall::standin::gateway_target::{FATAL_BODY, StandinTarget, TargetFault};
use rstest::rstest;

use crate::gateway_fleet::{Call, CallResult, eventually, run_local};

/// Targets that a request may end before it counts as the cause, and sends of it after that.
const ENDED_AT_MOST: usize = 3 + 3;

/// Two routers before more targets than one request may end.
struct Fleet {
    platform: LocalPlatform,
    targets: Vec<StandinTarget>,
    routers: Vec<GatewayHost>,
}

impl Fleet {
    async fn start() -> Fleet {
        let platform = LocalPlatform::new();
        platform.configure(parts(1, 1_000_000));
        let mut targets = Vec::new();
        for n in 0..2 * ENDED_AT_MOST {
            let target = StandinTarget::start(&format!("t{n}"), "model", "zone-1").await.unwrap();
            platform.register(&target, "ready");
            targets.push(target);
        }
        let mut fleet = Fleet { platform, targets, routers: Vec::new() };
        fleet.start_routers(1).await;
        fleet
    }

    async fn start_routers(&mut self, incarnation: u64) {
        for name in ["r1", "r2"] {
            let host = GatewayHost::start(&self.platform, name, "zone-1", incarnation);
            self.routers.push(host.await.unwrap());
        }
        let all = self.targets.len();
        for r in &self.routers {
            eventually("all targets are known", || r.gw.targets.count().0 == all).await;
            eventually("the other router is known", || !r.gw.peers.borrow().is_empty()).await;
        }
    }

    fn ended(&self) -> usize {
        self.targets.iter().filter(|t| t.has_ended()).count()
    }

    /// Fills the first router's retry budget.
    async fn earn_retries(&self) {
        for n in 0..20 {
            let call = Call::get("/safe/warm").body(&format!("warm {n}"));
            assert_eq!(call.send(self.routers[0].front).await.status(), 200);
        }
    }

    fn fatal_runs(&self) -> usize {
        let runs = self.targets.iter().flat_map(StandinTarget::runs);
        runs.filter(|r| r.body == FATAL_BODY).count()
    }

    /// One more attempt of the same request, at the router whose turn it is.
    async fn send_fatal(&self, n: usize) -> CallResult {
        let call = Call::get("/safe/fatal").id(&format!("f{n}")).body("fatal");
        let got = call.send(self.routers[n % self.routers.len()].front).await;
        // Callers come back later than datagrams between routers take.
        tokio::time::sleep(Duration::from_millis(20)).await;
        got
    }
}

#[test]
fn fatal_request_comes_again() {
    // All streams of a target break off at once, again and again, until the service is empty.
    // A request ends the process of the target that runs it; its caller sends it again under a
    // new id, to any router. Limits on retries hold for one id and for a service, and failures
    // were remembered of targets only, so each attempt began at nought with a healthy target. One
    // fingerprint under twelve ids and at twelve targets settled it:
    //     event=target_ended id=f0 request=889544e83a467db2 org=norte target=t7
    //     event=target_ended id=f1 request=889544e83a467db2 org=norte target=t8
    run_local(async {
        let fleet = Fleet::start().await;
        let mut last = None;
        for n in 0..2 * ENDED_AT_MOST {
            last = Some(fleet.send_fatal(n).await);
        }
        assert!(fleet.ended() <= ENDED_AT_MOST, "{} targets ended", fleet.ended());
        let last = last.unwrap();
        assert_eq!(last.status(), 503);
        assert!(last.header("Retry-After").is_some());
        for router in &fleet.routers {
            let got = Call::get("/safe/a").body("other").send(router.front).await;
            assert_eq!(got.status(), 200);
        }
    });
}

#[test]
fn fatal_request_after_death_of_all() {
    // The same, and in between all routers lose power, twice: their successors knew of no request
    // that ended a target, and handed it to the targets that were left.
    run_local(async {
        let mut fleet = Fleet::start().await;
        for n in 0..ENDED_AT_MOST {
            fleet.send_fatal(n).await;
        }
        for incarnation in 2..=3 {
            // Longer than a router takes to renew its row.
            tokio::time::sleep(Duration::from_millis(2_500)).await;
            fleet.routers.drain(..).for_each(GatewayHost::kill);
            fleet.start_routers(incarnation).await;
            for n in 0..ENDED_AT_MOST {
                fleet.send_fatal(n).await;
            }
        }
        assert!(fleet.ended() <= ENDED_AT_MOST, "{} targets ended", fleet.ended());
    });
}

#[test]
fn fatal_request_known_to_the_other_router() {
    // A caller whose request one router no longer takes goes to the next one, which has seen
    // nothing of it.
    run_local(async {
        let fleet = Fleet::start().await;
        let [first, second] = &fleet.routers[..] else { panic!("two routers") };
        while Call::get("/safe/fatal").body("fatal").send(first.front).await.status() != 503 {}
        let ended = fleet.ended();
        assert!(ended <= ENDED_AT_MOST);
        eventually("the other router hears of it", || second.gw.stats.held_back.get() == 1).await;
        for _ in 0..4 {
            let got = Call::get("/safe/fatal").body("fatal").send(second.front).await;
            assert_eq!((got.status(), fleet.ended()), (503, ended));
        }
        let text = second.log.take();
        assert!(text.contains("event=held_back id=q1") && text.contains("reason=ends_targets"));
    });
}

#[test]
fn fatal_request_beside_streams() {
    // Everyone whose stream ran beside a request that ends targets is refused from then on.
    // Their streams broke off each time it came, and they sent them again each time.
    run_local(async {
        let fleet = Fleet::start().await;
        let front = fleet.routers[0].front;
        fleet.targets.iter().for_each(|t| t.set_event_gap(Duration::from_millis(10)));
        let stream = |n: usize| async move {
            let call = Call::get("/resumable/a").id(&format!("s{n}")).tokens(10, 20);
            let call = call.body(&format!("stream {n}"));
            for _ in 0..20 {
                let got = call.send(front).await;
                if got.status() == 200 && got.is_complete {
                    return true;
                }
                assert_ne!(got.header("Retry-After"), Some("3600.000"));
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            false
        };
        let streams: Vec<_> = (0..30).map(|n| tokio::task::spawn_local(stream(n))).collect();
        for n in 0..ENDED_AT_MOST {
            fleet.send_fatal(n).await;
        }
        for stream in streams {
            assert!(stream.await.unwrap(), "a stream was never served");
        }
        assert!(fleet.ended() <= ENDED_AT_MOST, "{} targets ended", fleet.ended());
        assert_eq!(fleet.routers[0].gw.stats.held_back.get(), 1);
    });
}

#[test]
fn targets_live_when_answers_are_lost() {
    // A request is held back although no target ended: its answers were lost, three times.
    run_local(async {
        let fleet = Fleet::start().await;
        for n in 0..ENDED_AT_MOST {
            fleet.targets.iter().for_each(|t| t.fail(&[TargetFault::LosesAnswer]));
            let call = Call::get("/once/a").id(&format!("l{n}"));
            assert_eq!(call.send(fleet.routers[0].front).await.status(), 502);
        }
        assert_eq!(fleet.routers[0].gw.stats.targets_ended.get(), 0);
    });
}

#[test]
fn fatal_request_of_callers_that_leave() {
    // Targets go on ending although each of them had the same request.
    // Its callers leave before the target ends; by then the router has closed the connection, and
    // only the next request finds that nobody listens there any more.
    run_local(async {
        let fleet = Fleet::start().await;
        let front = fleet.routers[0].front;
        fleet.targets.iter().for_each(|t| t.set_event_gap(Duration::from_millis(30)));
        for n in 0..2 * ENDED_AT_MOST {
            let (ended, ran) = (fleet.ended(), fleet.fatal_runs());
            let mut conn = Conn::dial(front, Duration::from_secs(5)).await.unwrap();
            let call = Call::get("/safe/fatal").id(&format!("f{n}")).body("fatal");
            conn.write(&call.bytes()).await.unwrap();
            tokio::select! {
                () = eventually("it runs", || fleet.fatal_runs() > ran) => (),
                // One that is held back is answered at once.
                _ = conn.wait_for_data() => (),
            }
            drop(conn);
            if fleet.fatal_runs() == ran {
                break;
            }
            eventually("the target ends", || fleet.ended() > ended).await;
            // Others meet the target that has ended.
            for m in 0..2 * ENDED_AT_MOST {
                let other = Call::get("/safe/a").body(&format!("other {m}"));
                assert_eq!(other.send(front).await.status(), 200);
            }
            tokio::time::sleep(Duration::from_millis(700)).await;
        }
        assert!(fleet.ended() <= ENDED_AT_MOST, "{} targets ended", fleet.ended());
    });
}

#[test]
fn targets_end_under_request_that_ends_well() {
    // A request that callers send alike all day is held back because targets ended under it now
    // and then, although it was answered whole each time, by the next target.
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.earn_retries().await;
        let front = fleet.routers[0].front;
        fleet.targets.iter().for_each(|t| t.set_event_gap(Duration::from_millis(10)));
        for n in 0..ENDED_AT_MOST {
            let call = Call::get("/resumable/a").id(&format!("s{n}")).tokens(10, 20).body("same");
            let got = tokio::task::spawn_local(async move { call.send(front).await });
            let has_it = |t: &&StandinTarget| t.runs().iter().any(|r| r.id == format!("s{n}"));
            eventually("it runs", || fleet.targets.iter().any(|t| has_it(&t))).await;
            fleet.targets.iter().find(has_it).unwrap().end();
            let got = got.await.unwrap();
            assert_eq!((got.status(), got.is_complete), (200, true));
        }
        assert!(fleet.routers[0].gw.stats.targets_ended.get() >= ENDED_AT_MOST as u64);
    });
}

#[test]
fn fatal_request_not_retried_once_held_back() {
    // A request that has ended three targets is sent to a fourth within the same attempt.
    // The router's own retry follows the third end at once, before it is known that it was one.
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.earn_retries().await;
        for n in 0..2 * ENDED_AT_MOST {
            let call = Call::get("/safe/fatal").id(&format!("f{n}")).body("fatal");
            let status = call.send(fleet.routers[0].front).await.status();
            assert!([502, 503].contains(&status));
        }
        assert_eq!(fleet.ended(), CRASHES_TO_CONVICT);
    });
}

#[rstest]
#[case::announced("draining", 0)]
#[case::entry_lost("ready", 1)]
fn target_ends_while_store_says(#[case] state: &str, #[case] counted: u64) {
    // A long answer breaks off because its target leaves as announced: nobody's request is the
    // cause. An entry that lapsed in an outage of the store announces nothing.
    run_local(async {
        let fleet = Fleet::start().await;
        let gw = &fleet.routers[0].gw;
        fleet.targets.iter().for_each(|t| t.set_event_gap(Duration::from_millis(10)));
        let front = fleet.routers[0].front;
        let call = Call::get("/stream/a").tokens(10, 1_000);
        let got = tokio::task::spawn_local(async move { call.send(front).await });
        let has_it = |t: &&StandinTarget| !t.runs().is_empty();
        eventually("it runs", || fleet.targets.iter().any(|t| has_it(&t))).await;
        let target = fleet.targets.iter().find(has_it).unwrap();
        let ready = gw.targets.count().1;
        match state {
            "ready" => gw.targets.lapse(&target.id),
            _ => {
                fleet.platform.register(target, state);
                eventually("it leaves", || gw.targets.count().1 < ready).await;
            }
        }
        target.end();
        let got = got.await.unwrap();
        assert!(got.status() == 502 || !got.is_complete);
        // Nothing listens there any more: the answer comes at once.
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(gw.stats.targets_ended.get(), counted);
    });
}

#[test]
fn target_refuses_connections_and_lives() {
    // Requests are held back as if targets had ended under them: targets that had all the
    // connections they can keep refused one, and long after that answers were lost.
    run_local(async {
        let fleet = Fleet::start().await;
        let front = fleet.routers[0].front;
        let targets = &fleet.routers[0].gw.targets;
        let refused = std::io::Error::from(std::io::ErrorKind::ConnectionRefused);
        for target in targets.all() {
            target.process_state.unreached(&refused);
            assert!(target.process_state.has_ended());
        }
        for n in 0..ENDED_AT_MOST {
            fleet.targets.iter().for_each(|t| t.fail(&[TargetFault::LosesAnswer]));
            let call = Call::get("/once/a").id(&format!("l{n}"));
            assert_eq!(call.send(front).await.status(), 502);
        }
        assert_eq!(fleet.routers[0].gw.stats.targets_ended.get(), 0);
    });
}

#[test]
fn target_ends_mid_stream() {
    // A request that ends its target only after some events goes on ending targets: its stream
    // breaks off where answers are relayed, not where they are awaited.
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.targets.iter().for_each(|t| t.set_event_gap(Duration::from_millis(10)));
        let mut conn = Conn::dial(fleet.routers[0].front, Duration::from_secs(5)).await.unwrap();
        let call = Call::get("/stream/a").tokens(10, 1_000);
        conn.write(&call.bytes()).await.unwrap();
        // The answer has begun: events of it are here.
        assert!(conn.wait_for_data().await.unwrap());
        fleet.targets.iter().find(|t| !t.runs().is_empty()).unwrap().end();
        assert!(!CallResult::read(&mut conn).await.is_complete);
        let stats = &fleet.routers[0].gw.stats;
        eventually("it counts", || stats.targets_ended.get() == 1).await;
    });
}

#[test]
fn fatal_request_while_the_store_is_away() {
    // During an outage of the store each router lets the request end three targets of its own:
    // rows cannot be written, and what one router saw reaches the other by datagram only.
    run_local(async {
        let fleet = Fleet::start().await;
        let [first, second] = &fleet.routers[..] else { panic!("two routers") };
        fleet.routers.iter().for_each(|r| r.platform.rows.set_fault(Fault::Reject(503)));
        while Call::get("/safe/fatal").body("fatal").send(first.front).await.status() != 503 {}
        eventually("the other router hears of it", || second.gw.stats.held_back.get() == 1).await;
    });
}

#[test]
fn crash_reported_by_late_write() {
    // Guards against a crash that is forgotten because a dead router's last write of its row takes
    // effect only after its successor has read the row.
    run_local(async {
        let late = Duration::from_millis(1_500);
        let mut fleet = Fleet::start().await;
        fleet.routers[0].platform.rows.set_fault(Fault::Late(late));
        fleet.send_fatal(0).await;
        let reported = |r: &GatewayHost| {
            r.gw.crashes.report(r.gw.budget_shares.store_now()).crashes.len() == 1
        };
        eventually("the crash is known", || reported(&fleet.routers[0])).await;
        // Until the row is on its way.
        tokio::time::sleep(Duration::from_millis(700)).await;
        fleet.routers.drain(..).for_each(GatewayHost::kill);
        fleet.start_routers(2).await;
        assert!(!fleet.routers.iter().any(reported));
        tokio::time::sleep(late).await;
        eventually("the successor reports the crash", || reported(&fleet.routers[0])).await;
        // Its own row says so from the next renewal on.
        tokio::time::sleep(Duration::from_millis(2_200)).await;
        fleet.routers.drain(..).for_each(GatewayHost::kill);
        fleet.start_routers(3).await;
        eventually("the crash is still known", || reported(&fleet.routers[0])).await;
    });
}

#[test]
fn unreached_says_ended_only_if_refused() {
    let life = Life::default();
    life.unreached(&std::io::ErrorKind::TimedOut.into());
    life.unreached(&std::io::ErrorKind::HostUnreachable.into());
    assert!(!life.has_ended());
    life.unreached(&std::io::ErrorKind::ConnectionRefused.into());
    assert!(life.has_ended());
}
