//! Random schedules of a fleet with lending: crashes, store outages, network partitions, lost and
//! duplicated datagrams, late writes and top-ups. Callers never receive more than was prepaid, and
//! after recovery every token that is neither closed nor granted is unspent.

use std::rc::Rc;
use std::time::Duration;

use kingcupwall::allowance::{Ledger, Spending};
use kingcupwall::rows::Fault;
use proptest::prelude::*;
use tokio::time::sleep;

use crate::lending_fleet::{Fleet, NetworkFaults, in_virtual_time};

const ROUTERS: usize = 6;

#[derive(Clone, Debug)]
enum Step {
    /// Requests at a router: their number, the maximum cost of each, the part of it that is used in
    /// percent, and their duration in ms.
    Requests(usize, u64, u64, u64, u64),
    /// Injects a fault into a router's calls to the store.
    SetFault(usize, u8),
    /// Clears a router's fault.
    ClearFault(usize),
    /// Injects a fault into all routers' calls to the store.
    SetFaultAll(u8),
    ClearFaultAll,
    /// Makes a partition of the store unresponsive: the organisation's, or a router's.
    SilencePartition(Option<usize>),
    /// Makes all partitions respond.
    RestorePartitions,
    /// Isolates a router from all other routers.
    Isolate(usize),
    /// Reconnects all routers.
    Reconnect,
    /// Sets the percentages of datagrams that are lost and duplicated.
    NetworkFaults(u32, u32),
    /// Kills a router and starts its successor after a delay in ms.
    Kill(usize, u64),
    /// Kills all routers and starts their successors after a delay in ms.
    KillAll(u64),
    /// Stops a router as planned and starts it again.
    Restart(usize),
    /// Raises the operator's budget.
    TopUp(u64),
    /// Waits for a time in ms.
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let router = 0..ROUTERS;
    let requests = (router.clone(), 1_u64..8, 1_u64..3_000, 0_u64..=100, 1_u64..3_000);
    prop_oneof![
        10 => requests.prop_map(|(r, n, m, p, ms)| Step::Requests(r, n, m, p, ms)),
        2 => (router.clone(), 0_u8..4).prop_map(|(r, f)| Step::SetFault(r, f)),
        2 => router.clone().prop_map(Step::ClearFault),
        1 => (0_u8..4).prop_map(Step::SetFaultAll),
        2 => Just(Step::ClearFaultAll),
        1 => proptest::option::of(router.clone()).prop_map(Step::SilencePartition),
        1 => Just(Step::RestorePartitions),
        1 => router.clone().prop_map(Step::Isolate),
        1 => Just(Step::Reconnect),
        1 => (0_u32..60, 0_u32..60).prop_map(|(l, d)| Step::NetworkFaults(l, d)),
        1 => (router.clone(), 0_u64..4_000).prop_map(|(r, ms)| Step::Kill(r, ms)),
        1 => (0_u64..3_000).prop_map(Step::KillAll),
        1 => router.prop_map(Step::Restart),
        1 => (1_u64..20_000).prop_map(Step::TopUp),
        6 => (1_u64..3_000).prop_map(Step::Wait),
    ]
}

/// Steps of borrowers that are replaced while they have a few loans open, in a zone whose lenders
/// are routers 0 and 1. Each request costs its maximum, so that charges for lost loans do not hide
/// spending that is missing in the ledger.
fn replace_step() -> impl Strategy<Value = Step> {
    let borrower = 2..ROUTERS;
    let requests = (borrower.clone(), 1_u64..3, 1_u64..300, 1_u64..3_000);
    prop_oneof![
        10 => requests.prop_map(|(r, n, m, ms)| Step::Requests(r, n, m, 100, ms)),
        6 => (borrower.clone(), 0_u64..500).prop_map(|(r, ms)| Step::Kill(r, ms)),
        2 => (0..ROUTERS).prop_map(Step::Restart),
        1 => (0_u32..30, 0_u32..100).prop_map(|(l, d)| Step::NetworkFaults(l, d)),
        4 => (1_u64..4_000).prop_map(Step::Wait),
    ]
}

/// Steps around the return of an idle grant: the write's answer is lost, and the holder's next calls
/// are rejected while there are requests again. A router spends its own grant or that of a lender.
fn lost_return() -> impl Strategy<Value = Vec<Step>> {
    let routers = (0..ROUTERS, 0..ROUTERS);
    let requests = (1_u64..4, 2_u64..1_000, 1_u64..500);
    // The grant is returned after 10 s without requests.
    let times = (9_000_u64..10_500, 0_u64..1_500, 0_u64..3_000);
    (routers, requests, times, any::<bool>()).prop_map(|(routers, requests, times, is_late)| {
        let ((r, holder), (n, max_cost, ms), (idle, lost, rejected)) = (routers, requests, times);
        vec![
            Step::Requests(r, n, max_cost, 90, ms),
            Step::Wait(ms + idle),
            Step::SetFault(holder, if is_late { LATE } else { LOSE_ANSWERS }),
            Step::Wait(lost),
            Step::SetFault(holder, REJECT),
            Step::Wait(rejected),
            Step::Requests(r, n, max_cost, 100, ms),
            Step::Wait(rejected),
            Step::ClearFault(holder),
        ]
    })
}

/// Numbers of faults, see [`fault`].
const REJECT: u8 = 0;
const LOSE_ANSWERS: u8 = 2;
const LATE: u8 = 3;

fn fault(n: u8) -> Fault {
    match n {
        REJECT => Fault::Reject(503),
        1 => Fault::Silent,
        LOSE_ANSWERS => Fault::LoseAnswers,
        _ => Fault::Late(Duration::from_millis(3_000)),
    }
}

async fn apply_step(fleet: &Rc<Fleet>, step: &Step) {
    match *step {
        Step::Requests(r, n, max_cost, percent, ms) => {
            for _ in 0..n {
                fleet.request(r, max_cost, max_cost * percent / 100, Duration::from_millis(ms));
            }
        }
        Step::SetFault(r, f) => fleet.set_fault(r, fault(f)),
        Step::ClearFault(r) => fleet.set_fault(r, Fault::None),
        Step::SetFaultAll(f) => (0..ROUTERS).for_each(|r| fleet.set_fault(r, fault(f))),
        Step::ClearFaultAll => fleet.cut_store(false),
        Step::SilencePartition(None) => fleet.store.set_unresponsive(&[crate::lending_fleet::ORG]),
        Step::SilencePartition(Some(r)) => fleet.store.set_unresponsive(&[&format!("r{r}")]),
        Step::RestorePartitions => fleet.store.set_unresponsive(&[]),
        Step::Isolate(r) => fleet.isolated.borrow_mut().push(r),
        Step::Reconnect => fleet.isolated.borrow_mut().clear(),
        Step::NetworkFaults(lost_percent, duplicated_percent) => {
            fleet.network.set(NetworkFaults { lost_percent, duplicated_percent })
        }
        Step::Kill(r, ms) => {
            fleet.kill(r);
            sleep(Duration::from_millis(ms)).await;
            fleet.start_router(r);
        }
        Step::KillAll(ms) => {
            fleet.kill_all();
            sleep(Duration::from_millis(ms)).await;
            fleet.start_all();
        }
        Step::Restart(r) => {
            fleet.stop(r).await;
            fleet.start_all();
        }
        Step::TopUp(more) => fleet.top_up(more),
        Step::Wait(ms) => sleep(Duration::from_millis(ms)).await,
    }
}

async fn run_schedule(prepaid: u64, zones: usize, steps: &[Step]) {
    let fleet = Fleet::start(ROUTERS, zones, prepaid);
    for step in steps {
        apply_step(&fleet, step).await;
        let (spent, prepaid) = (fleet.spent.get(), fleet.prepaid());
        assert!(spent <= prepaid, "{spent} of {prepaid} at {step:?}");
        let committed = fleet.ledger().committed().0;
        assert!(committed <= prepaid, "{committed} of {prepaid} granted at {step:?}");
    }
    fleet.store.set_unresponsive(&[]);
    fleet.cut_store(false);
    fleet.isolated.borrow_mut().clear();
    fleet.network.set(NetworkFaults::default());
    // Longer than the expiry of a loan whose borrower is gone, and than idle grants are kept.
    sleep(Duration::from_secs(200)).await;
    let ledger = fleet.ledger();
    assert!(ledger.closed.0 >= fleet.spent.get(), "{} spent: {ledger:?}", fleet.spent.get());
    assert!(ledger.grants.is_empty(), "grants without requests: {ledger:?}");
    // Everything that is proven was really spent.
    assert!(ledger.settled().0 <= fleet.spent.get(), "{} spent: {ledger:?}", fleet.spent.get());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        ..ProptestConfig::default()
    })]

    #[test]
    fn fleet_never_overspends(
        prepaid in 1_000_u64..80_000,
        zones in 1_usize..4,
        steps in proptest::collection::vec(step(), 1..60),
        seed in any::<u64>(),
    ) {
        in_virtual_time(seed, run_schedule(prepaid, zones, &steps));
    }

    /// Guards against spending that no ledger records because messages to a process reach its
    /// successor.
    #[test]
    fn fleet_never_overspends_over_replacements(
        prepaid in 1_000_u64..80_000,
        steps in proptest::collection::vec(replace_step(), 1..60),
        seed in any::<u64>(),
    ) {
        in_virtual_time(seed, run_schedule(prepaid, 1, &steps));
    }

    /// Guards against a grant that is spent on although a write that returned it took effect.
    #[test]
    fn fleet_never_overspends_after_lost_returns(
        prepaid in 1_000_u64..20_000,
        zones in 1_usize..4,
        rounds in proptest::collection::vec(lost_return(), 1..5),
        others in proptest::collection::vec(step(), 0..6),
        seed in any::<u64>(),
    ) {
        let steps: Vec<_> = rounds.into_iter().flatten().chain(others).collect();
        in_virtual_time(seed, run_schedule(prepaid, zones, &steps));
    }

    #[test]
    fn rows_decode_arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        // Arbitrary bytes in a row must cause no panic and no partial result.
        drop(Ledger::decode(&bytes));
        drop(Spending::decode(&bytes));
    }

    #[test]
    fn receive_arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        in_virtual_time(1, async {
            let fleet = Fleet::start(1, 1, 1_000);
            let manager = fleet.manager(0).expect("the router was started");
            manager.receive(([10, 0, 0, 9], 7_000).into(), &bytes);
        });
    }
}

/// Number of schedules. `KINGCUPWALL_SCHEDULES` overrides it for long manual runs.
fn cases() -> u32 {
    let set = std::env::var("KINGCUPWALL_SCHEDULES").ok().and_then(|n| n.parse().ok());
    set.unwrap_or(150)
}
