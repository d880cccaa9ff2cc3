//! Requests that crash every target that runs them.

use std::time::Duration;

use kingcupwall::gateway::backend::target_digest;
use kingcupwall::gateway::liveness::Liveness;
use kingcupwall::gateway::quarantine::CRASHES_TO_QUARANTINE;
use kingcupwall::http1::Conn;
use kingcupwall::rows::{Fault, MemoryRows, RowKey};
use kingcupwall::standin::gateway::{LocalPlatform, catalog_parts};
use kingcupwall::standin::gateway_host::GatewayHost;
use kingcupwall::standin::gateway_target::{FATAL_BODY, StandinTarget, TargetFault};
use rstest::rstest;

use crate::gateway_fleet::{Call, CallResult, eventually, run_local};

/// Number of crashes that quarantine a request, plus the attempts allowed to reach a target after
/// that.
const MAX_ENDED_TARGETS: usize = 3 + 3;

/// Number of requests after which one of them has certainly tried each target.
const MAX_OTHER_REQUESTS: usize = 400;

/// Longest time in seconds for which a request that crashes no target may be refused: the time by
/// which the routers' reports have arrived.
const MAX_HELD_BACK_S: f64 = 3.0;

/// Two routers, and more targets than one request may crash.
struct Fleet {
    platform: LocalPlatform,
    targets: Vec<StandinTarget>,
    routers: Vec<GatewayHost>,
}

impl Fleet {
    async fn start() -> Fleet {
        let platform = LocalPlatform::new();
        platform.configure(catalog_parts(1, 1_000_000));
        let mut targets = Vec::new();
        for n in 0..2 * MAX_ENDED_TARGETS {
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
            eventually("discovery of all targets", || r.gw.targets.count().0 == all).await;
            eventually("discovery of the other router", || !r.gw.peers.borrow().is_empty()).await;
        }
    }

    /// Waits until each router has written its row with all crashes that it has seen by now.
    async fn wait_for_renewal_of_rows(&self) {
        for name in ["r1", "r2"] {
            let row = RowKey::new("routers", name);
            let before = self.platform.rows.peek(&row);
            eventually("the renewal of a row", || self.platform.rows.peek(&row) != before).await;
        }
    }

    fn ended(&self) -> usize {
        self.targets.iter().filter(|t| t.has_crashed()).count()
    }

    /// Fills the first router's retry budget.
    async fn fill_retry_budget(&self) {
        for n in 0..20 {
            let call = Call::get("/safe/warm").body(&format!("warm {n}"));
            assert_eq!(call.send(self.routers[0].front).await.status(), 200);
        }
    }

    /// Number of crashed targets to which the first router has not tried to connect since.
    fn untried_ended(&self) -> usize {
        let targets = &self.routers[0].gw.targets;
        let is_untried = |t: &&StandinTarget| {
            let known = targets.by_digest(target_digest(&t.id)).unwrap();
            t.has_crashed() && !known.process_state.has_ended()
        };
        self.targets.iter().filter(is_untried).count()
    }

    fn fatal_runs(&self) -> usize {
        let runs = self.targets.iter().flat_map(StandinTarget::runs);
        runs.filter(|r| r.body == FATAL_BODY).count()
    }

    /// Sends the fatal request once more, to the routers in turn.
    async fn send_fatal(&self, n: usize) -> CallResult {
        let call = Call::get("/safe/fatal").id(&format!("f{n}")).body("fatal");
        let got = call.send(self.routers[n % self.routers.len()].front).await;
        // Callers retry after a longer time than datagrams between routers take.
        tokio::time::sleep(Duration::from_millis(20)).await;
        got
    }
}

#[test]
fn fatal_request_retried_under_new_ids() {
    // Guards against a fatal request that crashes all targets because its caller retries it under
    // new ids. Limits per id and per service don't apply to these, and failures recorded per target
    // don't show the cause. Only the fingerprint is the same in all attempts.
    run_local(async {
        let fleet = Fleet::start().await;
        let mut last = None;
        for n in 0..2 * MAX_ENDED_TARGETS {
            last = Some(fleet.send_fatal(n).await);
        }
        assert!(fleet.ended() <= MAX_ENDED_TARGETS, "{} targets ended", fleet.ended());
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
fn fatal_request_after_restart_of_all_routers() {
    // Guards against losing the recorded crashes when all routers are killed at the same time,
    // twice: their successors would send the fatal request to the remaining targets.
    run_local(async {
        let mut fleet = Fleet::start().await;
        for n in 0..MAX_ENDED_TARGETS {
            fleet.send_fatal(n).await;
        }
        for incarnation in 2..=3 {
            fleet.wait_for_renewal_of_rows().await;
            fleet.routers.drain(..).for_each(GatewayHost::kill);
            fleet.start_routers(incarnation).await;
            for n in 0..MAX_ENDED_TARGETS {
                fleet.send_fatal(n).await;
            }
        }
        assert!(fleet.ended() <= MAX_ENDED_TARGETS, "{} targets ended", fleet.ended());
    });
}

#[test]
fn fatal_request_at_other_router() {
    // Guards against a router that accepts a fatal request again after another router has
    // quarantined it.
    run_local(async {
        let fleet = Fleet::start().await;
        let [first, second] = &fleet.routers[..] else { panic!("two routers") };
        while Call::get("/safe/fatal").body("fatal").send(first.front).await.status() != 503 {}
        let ended = fleet.ended();
        assert!(ended <= MAX_ENDED_TARGETS);
        eventually("quarantine at the other router", || {
            second.gw.stats.quarantined_requests.get() == 1
        })
        .await;
        for _ in 0..4 {
            let got = Call::get("/safe/fatal").body("fatal").send(second.front).await;
            assert_eq!((got.status(), fleet.ended()), (503, ended));
        }
        let text = second.log.take();
        assert!(text.contains("event=held_back id=q1") && text.contains("reason=ends_targets"));
    });
}

#[test]
fn fatal_request_with_concurrent_streams() {
    // Guards against quarantining requests that ran on the same targets as a fatal one. Their
    // streams break off with each of its crashes, and their callers retry them each time.
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
                let retry_after = got.header("Retry-After").map(|s| s.parse::<f64>().unwrap());
                assert!(retry_after.is_none_or(|s| s <= MAX_HELD_BACK_S), "{retry_after:?}");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            false
        };
        let streams: Vec<_> = (0..30).map(|n| tokio::task::spawn_local(stream(n))).collect();
        for n in 0..MAX_ENDED_TARGETS {
            fleet.send_fatal(n).await;
        }
        for stream in streams {
            assert!(stream.await.unwrap(), "a stream was never served");
        }
        assert!(fleet.ended() <= MAX_ENDED_TARGETS, "{} targets ended", fleet.ended());
        assert_eq!(fleet.routers[0].gw.stats.quarantined_requests.get(), 1);
    });
}

#[test]
fn lost_answers_are_no_crashes() {
    // Guards against quarantining a request without a crash, after three of its answers were lost.
    run_local(async {
        let fleet = Fleet::start().await;
        for n in 0..MAX_ENDED_TARGETS {
            fleet.targets.iter().for_each(|t| t.fail(&[TargetFault::LosesAnswer]));
            let call = Call::get("/once/a").id(&format!("l{n}"));
            assert_eq!(call.send(fleet.routers[0].front).await.status(), 502);
        }
        assert_eq!(fleet.routers[0].gw.stats.target_crashes.get(), 0);
    });
}

#[test]
fn fatal_request_of_disconnected_callers() {
    // Guards against missing crashes when callers disconnect before their target ends. The router
    // has closed the connection by then, and only the next request is refused a connection.
    run_local(async {
        let fleet = Fleet::start().await;
        let front = fleet.routers[0].front;
        fleet.targets.iter().for_each(|t| t.set_event_gap(Duration::from_millis(30)));
        for n in 0..2 * MAX_ENDED_TARGETS {
            let (ended, ran) = (fleet.ended(), fleet.fatal_runs());
            let mut conn = Conn::dial(front, Duration::from_secs(5)).await.unwrap();
            let call = Call::get("/safe/fatal").id(&format!("f{n}")).body("fatal");
            conn.write(&call.bytes()).await.unwrap();
            tokio::select! {
                () = eventually("the start of the run", || fleet.fatal_runs() > ran) => (),
                // A quarantined request is answered at once.
                _ = conn.wait_for_data() => (),
            }
            drop(conn);
            if fleet.fatal_runs() == ran {
                break;
            }
            eventually("the end of the target", || fleet.ended() > ended).await;
            // Other requests, until one of them tries to connect to the crashed target.
            for m in 0..MAX_OTHER_REQUESTS {
                if fleet.untried_ended() == 0 {
                    break;
                }
                let other = Call::get("/safe/a").body(&format!("other {m}"));
                assert_eq!(other.send(front).await.status(), 200);
            }
            assert_eq!(fleet.untried_ended(), 0);
            tokio::time::sleep(Duration::from_millis(700)).await;
        }
        assert!(fleet.ended() <= MAX_ENDED_TARGETS, "{} targets ended", fleet.ended());
    });
}

#[test]
fn crashes_during_completed_requests() {
    // Guards against quarantining a frequent request because targets end now and then while running
    // it, although each time the next target answers it completely.
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.fill_retry_budget().await;
        let front = fleet.routers[0].front;
        fleet.targets.iter().for_each(|t| t.set_event_gap(Duration::from_millis(10)));
        for n in 0..MAX_ENDED_TARGETS {
            let call = Call::get("/resumable/a").id(&format!("s{n}")).tokens(10, 20).body("same");
            let got = tokio::task::spawn_local(async move { call.send(front).await });
            let has_it = |t: &&StandinTarget| t.runs().iter().any(|r| r.id == format!("s{n}"));
            eventually("the start of the run", || fleet.targets.iter().any(|t| has_it(&t))).await;
            fleet.targets.iter().find(has_it).unwrap().crash();
            let got = got.await.unwrap();
            assert_eq!((got.status(), got.is_complete), (200, true));
        }
        assert!(fleet.routers[0].gw.stats.target_crashes.get() >= MAX_ENDED_TARGETS as u64);
    });
}

#[test]
fn fatal_request_not_retried_in_quarantine() {
    // Guards against retrying a request at a fourth target within the same attempt. The router's
    // own retry follows the third crash at once, before it is known to be a crash.
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.fill_retry_budget().await;
        for n in 0..2 * MAX_ENDED_TARGETS {
            let call = Call::get("/safe/fatal").id(&format!("f{n}")).body("fatal");
            let status = call.send(fleet.routers[0].front).await.status();
            assert!([502, 503].contains(&status));
        }
        assert_eq!(fleet.ended(), CRASHES_TO_QUARANTINE);
    });
}

#[rstest]
#[case::announced("draining", 0)]
#[case::entry_lost("ready", 1)]
fn target_end_by_entry_state(#[case] state: &str, #[case] counted: u64) {
    // Guards against recording a crash when a target stops as announced and a long answer breaks
    // off. An entry that lapsed during a store outage is no announcement.
    run_local(async {
        let fleet = Fleet::start().await;
        let gw = &fleet.routers[0].gw;
        fleet.targets.iter().for_each(|t| t.set_event_gap(Duration::from_millis(10)));
        let front = fleet.routers[0].front;
        let call = Call::get("/stream/a").tokens(10, 1_000);
        let got = tokio::task::spawn_local(async move { call.send(front).await });
        let has_it = |t: &&StandinTarget| !t.runs().is_empty();
        eventually("the start of the run", || fleet.targets.iter().any(|t| has_it(&t))).await;
        let target = fleet.targets.iter().find(has_it).unwrap();
        let ready = gw.targets.count().1;
        match state {
            "ready" => gw.targets.lapse(&target.id),
            _ => {
                fleet.platform.register(target, state);
                eventually("the state change to leaving", || gw.targets.count().1 < ready).await;
            }
        }
        target.crash();
        let got = got.await.unwrap();
        assert!(got.status() == 502 || !got.is_complete);
        // Connections are refused by now, so the probe ends at once.
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(gw.stats.target_crashes.get(), counted);
    });
}

#[test]
fn refused_connection_is_no_crash() {
    // Guards against quarantining requests because of a refused connection: targets at their
    // connection limit refuse one, and answers are lost long after that.
    run_local(async {
        let fleet = Fleet::start().await;
        let front = fleet.routers[0].front;
        let targets = &fleet.routers[0].gw.targets;
        let refused = std::io::Error::from(std::io::ErrorKind::ConnectionRefused);
        for target in targets.all() {
            target.process_state.connect_failed(&refused);
            assert!(target.process_state.has_ended());
        }
        for n in 0..MAX_ENDED_TARGETS {
            fleet.targets.iter().for_each(|t| t.fail(&[TargetFault::LosesAnswer]));
            let call = Call::get("/once/a").id(&format!("l{n}"));
            assert_eq!(call.send(front).await.status(), 502);
        }
        assert_eq!(fleet.routers[0].gw.stats.target_crashes.get(), 0);
    });
}

#[test]
fn crash_mid_stream() {
    // Guards against missing a crash that happens after some events of a stream. The failure then
    // shows while the answer is relayed, not while it is awaited.
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.targets.iter().for_each(|t| t.set_event_gap(Duration::from_millis(10)));
        let mut conn = Conn::dial(fleet.routers[0].front, Duration::from_secs(5)).await.unwrap();
        let call = Call::get("/stream/a").tokens(10, 1_000);
        conn.write(&call.bytes()).await.unwrap();
        // The answer has begun, and its first events have arrived.
        assert!(conn.wait_for_data().await.unwrap());
        fleet.targets.iter().find(|t| !t.runs().is_empty()).unwrap().crash();
        assert!(!CallResult::read(&mut conn).await.is_complete);
        let stats = &fleet.routers[0].gw.stats;
        eventually("recording the end of the target", || stats.target_crashes.get() == 1).await;
    });
}

#[test]
fn fatal_request_during_store_outage() {
    // Guards against each router letting a fatal request crash three targets during a store outage.
    // Rows cannot be written then, so crashes reach the other routers by datagram only.
    run_local(async {
        let fleet = Fleet::start().await;
        let [first, second] = &fleet.routers[..] else { panic!("two routers") };
        fleet.routers.iter().for_each(|r| r.platform.rows.set_fault(Fault::Reject(503)));
        while Call::get("/safe/fatal").body("fatal").send(first.front).await.status() != 503 {}
        eventually("quarantine at the other router", || {
            second.gw.stats.quarantined_requests.get() == 1
        })
        .await;
    });
}

/// A fleet in which the first router records a crash and then dies, with the write of its row on
/// the way, and was replaced. Also returns the dead router's client of the store, which holds that
/// write.
async fn replace_router_with_held_row() -> (Fleet, MemoryRows) {
    let mut fleet = Fleet::start().await;
    let rows = fleet.routers[0].platform.rows.clone();
    rows.set_fault(Fault::Held);
    fleet.send_fatal(0).await;
    eventually("recording the crash", || has_crash_report(&fleet.routers[0])).await;
    let held = rows.held_writes("routers");
    eventually("the write of the row", || rows.held_writes("routers") > held).await;
    fleet.routers.drain(..).for_each(GatewayHost::kill);
    fleet.start_routers(2).await;
    assert!(!fleet.routers.iter().any(has_crash_report));
    (fleet, rows)
}

fn has_crash_report(r: &GatewayHost) -> bool {
    r.gw.crashes.report(r.gw.budget_shares.store_now()).crashes.len() == 1
}

#[test]
fn crash_reported_by_late_write() {
    // Guards against losing a crash because the last write of a killed router's row takes effect
    // only after its successor has read the row.
    run_local(async {
        let (mut fleet, rows) = replace_router_with_held_row().await;
        rows.release_held();
        let row = RowKey::new("routers", "r1");
        let late_row = rows.peek(&row);
        eventually("the crash report of the successor", || has_crash_report(&fleet.routers[0]))
            .await;
        // The successor's own row contains the crash from the next renewal on.
        eventually("the renewal of the row", || rows.peek(&row) != late_row).await;
        fleet.routers.drain(..).for_each(GatewayHost::kill);
        fleet.start_routers(3).await;
        eventually("the crash report after the second restart", || {
            has_crash_report(&fleet.routers[0])
        })
        .await;
    });
}

#[test]
fn crash_reported_by_late_write_during_renewal() {
    // Guards against losing a crash because the last write of a killed router's row takes effect
    // after its successor has read the row, and before the successor's own write.
    run_local(async {
        let (fleet, rows) = replace_router_with_held_row().await;
        let own_rows = fleet.routers[0].platform.rows.clone();
        own_rows.set_fault(Fault::Held);
        eventually("the renewal of the row", || own_rows.held_writes("routers") > 0).await;
        rows.release_held();
        own_rows.set_fault(Fault::None);
        own_rows.release_held();
        eventually("the crash report of the successor", || has_crash_report(&fleet.routers[0]))
            .await;
    });
}

#[test]
fn connect_failed_ended_only_if_refused() {
    let liveness = Liveness::default();
    liveness.connect_failed(&std::io::ErrorKind::TimedOut.into());
    liveness.connect_failed(&std::io::ErrorKind::HostUnreachable.into());
    assert!(!liveness.has_ended());
    liveness.connect_failed(&std::io::ErrorKind::ConnectionRefused.into());
    assert!(liveness.has_ended());
}

/// The part that crashes targets, and the one before it, which sound requests share.
const FATAL_PART: u64 = 0xbad;
const SHARED_PART: u64 = 0xf00d;

/// Position of the fatal part among those that several requests have.
#[derive(Clone, Copy, Debug)]
enum Position {
    First,
    Last,
}

/// A request with fresh content. `part` follows or precedes the shared part.
fn call_with_part(n: usize, part: u64, position: Position) -> Call {
    let parts = match position {
        Position::First => format!("{part:x}:50,{SHARED_PART:x}:50"),
        Position::Last => format!("{SHARED_PART:x}:50,{part:x}:50"),
    };
    Call::get(&format!("/resumable/p{n}"))
        .id(&format!("p{n}"))
        .with_header(&format!("Prompt-Parts: {parts},{:x}:10", 0x1000_0000 + n))
        .body(&format!("prompt {n}"))
        .tokens(110, 4)
}

/// Guards against targets that crash one after the other because each request with the fatal prompt
/// part differs from those before it.
#[rstest]
#[case::first(Position::First)]
#[case::last(Position::Last)]
fn fatal_part_in_different_requests(#[case] position: Position) {
    run_local(async move {
        let fleet = Fleet::start().await;
        fleet.targets.iter().for_each(|t| t.set_fatal_part(Some(FATAL_PART)));
        let mut served = 0;
        for n in 0..30 {
            let router = &fleet.routers[n % 2];
            call_with_part(2 * n, FATAL_PART, position).send(router.front).await;
            // Every other part is specific to one of ten callers.
            let sound = call_with_part(2 * n + 1, n as u64 % 10, position);
            let got = sound.send(router.front).await;
            served += usize::from(got.status() == 200 && got.is_complete);
        }
        assert!(fleet.ended() <= MAX_ENDED_TARGETS, "{} targets crashed", fleet.ended());
        assert!(served >= 25, "{served} of 30 sound requests were served");
    });
}
