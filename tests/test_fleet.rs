//! Tests of a complete fleet over in-memory fakes, with crashes, pauses and outages in virtual
//! time.

use std::time::Duration;

use kingcupwall::budget::holder::HoldId;
use kingcupwall::budget::ledger::Bill;
use kingcupwall::budget::witness::HoldCopy;
use kingcupwall::error::Kind;
use kingcupwall::experiment::budget::{BudgetPolicy, Workload, is_ledger_consistent, run_one};
use kingcupwall::ids::{Digest, Incarnation, OrganisationId, RequestKey, Tokens};
use kingcupwall::membership::wire::{PeerClient, PeerRequest};
use kingcupwall::request::stage::Repeatable;
use kingcupwall::standin::batch::{expected_token, natural_length};
use kingcupwall::standin::local::{ProcessState, TargetCondition};
use kingcupwall::standin::local_fleet::{FleetSetup, LocalFleet, LocalRequest};
use kingcupwall::table::memory::Faults;
use kingcupwall::table::{Mutation, Table, Txn, scan_all};
use rstest::rstest;
use tokio::time::sleep;

use crate::workdir::{bill, name};

const MAX_TOKENS: u64 = 200;

fn config(prepaid: u64) -> String {
    let key = Digest::of(b"key");
    format!(
        "[fleet]\nentry_lifetime = 1s\n[service chat]\nmodel = m\nbytes_per_token = 4\n\
         [service filing]\nkind = plain\ncost = 5\n\
         [organisation acme]\nkey = {key}\n[budget acme/main]\nprepaid = {prepaid}\n"
    )
}

async fn fleet(prepaid: u64) -> LocalFleet {
    let setup = FleetSetup {
        config: config(prepaid),
        routers: 1,
        serves: vec!["m".into(), "filing".into()],
        ..FleetSetup::default()
    };
    LocalFleet::start(setup).await.unwrap()
}

fn org() -> OrganisationId {
    name("acme")
}

/// Builds a request whose answer is long enough for a failure in the middle of it.
fn long_request(key: &str) -> LocalRequest {
    let long = |n: &u32| natural_length(&format!("prompt {n}"), MAX_TOKENS) > 100;
    let n = (0..).find(long).unwrap();
    LocalRequest {
        organisation: org(),
        key: name(key),
        prompt: format!("prompt {n}"),
        max_tokens: MAX_TOKENS,
    }
}

fn expected_answer(req: &LocalRequest) -> String {
    let n = natural_length(&req.prompt, req.max_tokens);
    (0..n).map(|i| expected_token(&req.prompt, i).to_string()).collect()
}

async fn bills(f: &LocalFleet) -> Vec<Bill> {
    let rows = scan_all(&f.net.memory, "bill/").await.unwrap();
    rows.iter().map(|r| r.decode().unwrap()).collect()
}

/// Waits until the ledger has settled, then checks that its sums are consistent.
async fn assert_ledger_settles(f: &LocalFleet) {
    sleep(Duration::from_secs(20)).await;
    assert!(is_ledger_consistent(f).await.unwrap());
}

#[tokio::test(start_paused = true)]
async fn router_killed_mid_stream() {
    // Guards against an answer that never completes because its router died in the middle of the
    // stream. The caller retries with the same key at another router, which gets run and target
    // from the witness and joins the run.
    let mut f = fleet(100_000).await;
    let req = long_request("k1");
    let caller = f.caller();
    let first = caller.routers_to_try(&org())[0];
    let sent = tokio::spawn({
        let (caller, req) = (caller.clone(), req.clone());
        async move { caller.send_to(first, "chat", &req).await }
    });
    sleep(Duration::from_millis(600)).await;
    f.kill(first);
    assert_eq!(sent.await.unwrap().unwrap_err().kind, Kind::Io);
    let answer = caller.send("chat", &req, Duration::from_secs(30)).await.unwrap();
    assert_eq!(answer.text, expected_answer(&req));
    assert_eq!(f.net.target_counts().0, 1, "the run was joined, not started again");
    assert_ledger_settles(&f).await;
    assert_eq!(bills(&f).await.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn same_key_at_two_routers() {
    // Guards against billing one request twice when an impatient caller sends it to two routers at
    // once.
    let f = fleet(100_000).await;
    let (caller, req) = (f.caller(), long_request("k1"));
    let (a, b) = tokio::join!(caller.send_to(0, "chat", &req), caller.send_to(1, "chat", &req));
    assert_eq!(a.unwrap().text, expected_answer(&req));
    assert_eq!(b.unwrap().text, expected_answer(&req));
    assert_ledger_settles(&f).await;
    assert_eq!(bills(&f).await.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn same_key_other_content() {
    // Guards against replaying the answer to another request when a key is reused at a router that
    // has not seen the first request.
    let f = fleet(100_000).await;
    let caller = f.caller();
    caller.send_to(0, "chat", &long_request("k1")).await.unwrap();
    let other = LocalRequest { prompt: "something else".into(), ..long_request("k1") };
    let e = caller.send_to(1, "chat", &other).await.unwrap_err();
    assert_eq!(e.kind, Kind::KeyReused);
}

#[rstest]
#[case::dead(TargetCondition::Dead)]
#[case::silent(TargetCondition::Silent)]
#[tokio::test(start_paused = true)]
async fn target_fails_mid_stream(#[case] fate: TargetCondition) {
    // Guards against an answer that never completes because its target dies or goes silent in the
    // middle of it. Another target must continue the answer where it stopped.
    let f = fleet(100_000).await;
    let (caller, req) = (f.caller(), long_request("k1"));
    let sent = tokio::spawn({
        let (caller, req) = (caller.clone(), req.clone());
        async move { caller.send_to(0, "chat", &req).await }
    });
    sleep(Duration::from_millis(600)).await;
    for (zone, i) in ["a", "b", "c"].iter().flat_map(|z| [(z, 0), (z, 1)]) {
        let started = f.net.started_by_target();
        let place = ["a", "b", "c"].iter().position(|z| z == zone).unwrap() * 2 + i;
        if started[place] > 0 {
            f.net.set_target(&format!("t-{zone}-{i}"), fate);
        }
    }
    let answer = sent.await.unwrap().unwrap();
    assert_eq!(answer.text, expected_answer(&req));
    assert_ledger_settles(&f).await;
    assert_eq!(bills(&f).await.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn call_answer_lost() {
    // Guards against running a non-repeatable call twice when its answer is lost and the caller
    // retries at the same and at other routers. It must be dispatched once and then reported as
    // unknown.
    let f = fleet(100_000).await;
    for t in ["t-a-0", "t-a-1", "t-b-0", "t-b-1", "t-c-0", "t-c-1"] {
        f.net.set_target(t, TargetCondition::LosesCallAnswers);
    }
    let (caller, key): (_, RequestKey) = (f.caller(), name("claim-1"));
    for router in [0, 0, 1, 2] {
        let e = caller.call_at(router, "filing", &org(), &key, Repeatable::No).await.unwrap_err();
        assert_eq!(e.kind, Kind::OutcomeUnknown, "at router {router}");
    }
    let calls = f.net.calls();
    assert_eq!(calls.iter().filter(|(k, _)| *k == key).map(|(_, n)| n).sum::<u64>(), 1);
}

#[tokio::test(start_paused = true)]
async fn call_repeated_elsewhere() {
    // Guards against running a non-repeatable call twice when the retry goes to another router.
    // That router must find the claim and replay the answer.
    let f = fleet(100_000).await;
    let (caller, key): (_, RequestKey) = (f.caller(), name("pr-1"));
    let first = caller.call_at(0, "filing", &org(), &key, Repeatable::No).await.unwrap();
    let second = caller.call_at(1, "filing", &org(), &key, Repeatable::No).await.unwrap();
    assert_eq!(first, second);
    assert_eq!(f.net.calls(), vec![(key, 1)]);
    assert_ledger_settles(&f).await;
    assert_eq!(bills(&f).await.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn call_owner_gone() {
    // Guards against a delay of seconds before "unknown" is reported for a call whose owner died.
    // The router that gets the retry keeps the copy of the owner's hold, but nobody continues the
    // call.
    let f = fleet(100_000).await;
    let owner: Incarnation = name("gone@1");
    let row =
        serde_json::json!({ "content": Digest::of(b"body"), "owner": owner, "state": "taken" });
    let m = Mutation::default().put("claim/acme/claim-1", &row);
    f.net.memory.write(Txn { id: "claim".into(), mutations: vec![m] }).await.unwrap();
    let mut bill = bill("claim-1", "gone@1.1", 5);
    bill.content = Digest::of(b"body");
    let copy =
        HoldCopy { hold: HoldId(1), amount: Tokens(5), bill, target: name("t-a-0"), ended: false };
    f.members[0].node.witness.lock().unwrap().keep(&owner, copy).unwrap();
    let began = tokio::time::Instant::now();
    let e = f
        .caller()
        .call_at(0, "filing", &org(), &name("claim-1"), Repeatable::No)
        .await
        .unwrap_err();
    assert_eq!(e.kind, Kind::OutcomeUnknown);
    // The paused clock makes this exact: it takes one commit and a few round trips.
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
}

#[tokio::test(start_paused = true)]
async fn seal_at_reused_address() {
    // Guards against releasing the tokens of a run that is still going on. A backup dies and loses
    // its copies, and a new process at its address reports to the witness that it has none. The
    // message names the incarnation, so any other process must refuse it.
    let f = fleet(100_000).await;
    let (receiver, sender) = (&f.members[0].node, &f.members[1].node);
    let to = receiver.lock_view().local_router().clone();
    let seal = |keeper| PeerRequest::Seal { keeper, holder: name("h@1") };
    assert!(sender.peer_client.rpc(&to, seal(to.incarnation.clone())).await.is_ok());
    assert!(sender.peer_client.rpc(&to, seal(name("r0@before"))).await.is_err());
    let keep =
        PeerRequest::Keep { keeper: name("r0@before"), holder: name("h@2"), copies: Vec::new() };
    assert!(sender.peer_client.rpc(&to, keep).await.is_err());
}

#[tokio::test(start_paused = true)]
async fn call_platform_away() {
    // Guards against dispatching a call whose claim could not be recorded, which could run again
    // after a crash. While the platform is unavailable, the call must be refused as "not run" and
    // must not run.
    let f = fleet(100_000).await;
    let (caller, key): (_, RequestKey) = (f.caller(), name("claim-1"));
    caller.call_at(0, "filing", &org(), &name("warm"), Repeatable::No).await.unwrap();
    f.net.memory.set_faults(Faults { away: true, ..Faults::default() });
    let e = caller.call_at(0, "filing", &org(), &key, Repeatable::No).await.unwrap_err();
    assert_eq!(e.kind, Kind::PlatformAway);
    f.net.memory.set_faults(Faults::default());
    sleep(Duration::from_secs(10)).await;
    assert!(f.net.calls().iter().all(|(k, _)| *k != key));
    caller.call_at(1, "filing", &org(), &key, Repeatable::No).await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn router_paused_until_reclaimed() {
    // Guards against spending a budget twice, by a router that is paused with a stream open, is
    // reclaimed, and then continues with its old grant. Its witness must refuse its copies, so that
    // it starts a new incarnation without grants.
    let f = fleet(3_000).await;
    let caller = f.caller();
    let sent = tokio::spawn({
        let (caller, req) = (caller.clone(), long_request("k1"));
        async move { caller.send_to(0, "chat", &req).await }
    });
    sleep(Duration::from_millis(600)).await;
    let old_incarnation = f.members[0].node.session().incarnation.clone();
    f.net.set_process(f.members[0].at, ProcessState::Paused);
    sleep(Duration::from_secs(30)).await;
    assert!(sent.await.unwrap().is_err());
    f.net.set_process(f.members[0].at, ProcessState::Up);
    for n in 0..40 {
        let _ = caller.send_to(n % 3, "chat", &long_request(&format!("after-{n}"))).await;
    }
    assert_ne!(f.members[0].node.session().incarnation, old_incarnation);
    assert_ledger_settles(&f).await;
    let spent: u64 = bills(&f).await.iter().map(|b| b.cost.0).sum();
    assert!(spent <= 3_000, "{spent}");
}

#[tokio::test(start_paused = true)]
async fn platform_away_ten_minutes() {
    // Guards against refused or unbilled requests during a ten-minute outage of the platform's
    // table. Routers must continue with their grants, keep the bills, and record each exactly once
    // afterwards.
    let f = fleet(1_000_000).await;
    let caller = f.caller();
    for n in 0..30 {
        caller.send_to(n % 3, "chat", &long_request(&format!("before-{n}"))).await.unwrap();
    }
    f.net.memory.set_faults(Faults { away: true, ..Faults::default() });
    for n in 0..30 {
        caller.send_to(n % 3, "chat", &long_request(&format!("away-{n}"))).await.unwrap();
        sleep(Duration::from_secs(18)).await;
    }
    let writes = f.net.memory.counts().txns;
    f.net.memory.set_faults(Faults::default());
    sleep(Duration::from_secs(4)).await;
    assert!(f.net.memory.counts().txns - writes < 30, "the backlog takes few transactions");
    assert_ledger_settles(&f).await;
    assert_eq!(bills(&f).await.len(), 60);
}

#[tokio::test(start_paused = true)]
async fn prepaid_lowered_below_committed() {
    // Guards against lowering the prepaid amount of an organisation below what is already granted.
    // The edit must be refused with the lowest amount that is possible now.
    let f = fleet(100_000).await;
    f.caller().send_to(0, "chat", &long_request("k1")).await.unwrap();
    sleep(Duration::from_secs(5)).await;
    let e = f.submit_text("[budget acme/main]\nprepaid = 10\n").await.unwrap_err();
    assert_eq!(e.kind, Kind::Conflict);
    assert!(e.message.contains("lowest prepaid amount possible now"), "{}", e.message);
    assert_eq!(f.config().budgets[0].prepaid.0, 100_000);
}

#[rstest]
#[case::steady(BudgetPolicy::Adaptive, Workload::Steady)]
#[case::crowd(BudgetPolicy::Adaptive, Workload::TrafficSpike)]
#[case::store_away(BudgetPolicy::Adaptive, Workload::StoreOutage)]
#[case::zone_cut(BudgetPolicy::Adaptive, Workload::ZonePartition)]
#[case::zone_cut_solo(BudgetPolicy::AdaptiveUnwitnessed(300), Workload::ZonePartitionWithCallers)]
#[case::kills(BudgetPolicy::Adaptive, Workload::RouterKills)]
#[case::kills_solo(BudgetPolicy::AdaptiveUnwitnessed(300), Workload::RouterKills)]
#[tokio::test(start_paused = true)]
async fn overspend_workloads(#[case] policy: BudgetPolicy, #[case] workload: Workload) {
    let cell = run_one(policy, workload, 900, 7).await.unwrap();
    assert_eq!((cell.overspend, cell.duplicate_bills), (0, 0), "{cell:?}");
    assert!(cell.answered > 450, "{cell:?}");
}
