//! Lending between routers: which routers are asked, and what becomes of loans when messages,
//! borrowers or lenders are lost.

use std::time::Duration;

use kingcupwall::allowance::{Lender, Lenders, Source};
use kingcupwall::rows::{Fault, MemoryRows, RowStore};
use rstest::rstest;
use tokio::time::sleep;

use crate::lending_fleet::{Fleet, NetworkFaults, ORG, in_virtual_time};

const SECOND: Duration = Duration::from_secs(1);

fn routers(zones: &[&str], per_zone: usize) -> Vec<Lender> {
    let in_zone = |zone: &str| {
        let zone = zone.to_owned();
        (0..per_zone).map(move |i| Lender {
            name: format!("{zone}-{i}").into(),
            zone: zone.as_str().into(),
            addr: ([10, zone.len() as u8, zone.as_bytes()[0], i as u8], 7_000).into(),
            capacity: if i % 3 == 0 { 200 } else { 100 },
        })
    };
    zones.iter().flat_map(|z| in_zone(z)).collect()
}

#[rstest]
#[case::two_of_a_small_zone(4, 2)]
#[case::one_in_sixteen(39, 3)]
#[case::single_router(1, 1)]
fn lenders_choose(#[case] per_zone: usize, #[case] expected: usize) {
    let lenders = Lenders::choose("a-0", "a", routers(&["a", "b"], per_zone));
    assert_eq!(lenders.count(), 2 * expected);
}

#[test]
fn lenders_order_own_zone_first() {
    let all = routers(&["a", "b", "c"], 20);
    for org in ["norte", "sur", "este", "oeste"] {
        let order_for =
            |name: &str, zone: &str| Lenders::choose(name, zone, all.clone()).order(org);
        let (own_zone, other_zone) = (order_for("a-19", "a"), order_for("b-19", "b"));
        // Two routers of a zone ask the same lender first; those of another zone ask another.
        assert_eq!(own_zone, order_for("a-18", "a"));
        assert_ne!(own_zone[0], other_zone[0]);
        // Each zone's first lender is asked by the other zones before any second lender.
        assert!(own_zone[1..3].contains(&other_zone[0]), "{own_zone:?} {other_zone:?}");
        assert_eq!(own_zone.last(), Some(&Source::Fallback));
    }
}

#[test]
fn lenders_order_lender_itself() {
    let all = routers(&["a"], 2);
    let order = Lenders::choose("a-0", "a", all.clone()).order("norte");
    assert_eq!(order.len(), 2);
    assert!(order.contains(&Source::Own) && !order.contains(&Source::Fallback));
    assert_eq!(Lenders::default().order("norte"), [Source::Fallback]);
}

/// Guards against every router writing an organisation's ledger. Only the zones' lenders write it,
/// no matter which routers serve the requests.
#[test]
fn reserve_tokens_few_spenders() {
    in_virtual_time(1, async {
        let fleet = Fleet::start(40, 4, 100_000_000);
        sleep(SECOND).await;
        fleet.load(5_000, 200, 4_000).await;
        assert_eq!(fleet.refused.get(), 0);
        let ledger = fleet.ledger();
        assert!(ledger.grants.len() <= 4, "{} grants", ledger.grants.len());
    });
}

/// Guards against refusing the first request of an organisation, or at a router without a grant,
/// after 60 ms with all of the budget free. Such requests wait for a few store calls at most.
#[test]
fn reserve_tokens_first_request() {
    in_virtual_time(2, async {
        let fleet = Fleet::start(40, 4, 10_000_000);
        sleep(SECOND).await;
        fleet.request(0, 4_000, 4_000, SECOND);
        sleep(SECOND).await;
        assert_eq!(fleet.refused.get(), 0);
        assert!(
            fleet.longest_wait.get() < Duration::from_millis(40),
            "{:?}",
            fleet.longest_wait.get()
        );
        // Now the zone's lender has a grant, and the others wait for two datagrams.
        fleet.longest_wait.set(Duration::ZERO);
        (1..10).for_each(|i| fleet.request(4 * i, 400, 400, SECOND));
        sleep(SECOND).await;
        assert_eq!(fleet.refused.get(), 0);
        assert!(
            fleet.longest_wait.get() < Duration::from_millis(20),
            "{:?}",
            fleet.longest_wait.get()
        );
    });
}

/// Guards against refusals with two thirds of the budget free when a burst arrives at the start of
/// a store outage, at routers without a grant or with one that is used up. Any router with tokens
/// must lend them.
#[test]
fn reserve_tokens_store_outage() {
    in_virtual_time(3, async {
        let fleet = Fleet::start(40, 4, 12_000_000);
        sleep(SECOND).await;
        fleet.load(8_000, 60, 4_000).await;
        fleet.cut_store(true);
        let before = fleet.refused.get();
        fleet.load(8_000, 150, 4_000).await;
        sleep(2 * SECOND).await;
        let refused = fleet.refused.get() - before;
        let free = fleet.prepaid() - fleet.spent.get();
        assert!(refused <= 24, "{refused} of 1200 refused with {free} free");
    });
}

/// Guards against refusals with 2 to 3% of the budget left because its last tokens are split among
/// 25 routers. Lenders are asked one after another, and each has one piece.
#[test]
fn reserve_tokens_end_of_budget() {
    in_virtual_time(4, async {
        let fleet = Fleet::start(40, 4, 4_000_000);
        sleep(SECOND).await;
        fleet.load(12_000, 100, 4_000).await;
        sleep(3 * SECOND).await;
        assert!(fleet.refused.get() > 0);
        let left = fleet.prepaid() - fleet.spent.get();
        assert!(left < 4 * 4_000, "{left} tokens left");
        // The spending is proven, so callers learn that the budget is spent and do not retry in
        // vain.
        let before = fleet.refused_as_spent.get();
        fleet.load(2_000, 50, 20_000).await;
        sleep(SECOND).await;
        let as_spent = fleet.refused_as_spent.get() - before;
        assert!(as_spent >= 80, "{as_spent} of 100 refused as spent");
    });
}

/// Guards against requests that wait for an unresponsive lender one after another. Only the first
/// ones wait for the timeout; later ones skip the lender.
#[test]
fn reserve_tokens_lender_unresponsive() {
    in_virtual_time(5, async {
        let fleet = Fleet::start(16, 4, 100_000_000);
        sleep(SECOND).await;
        fleet.load(2_000, 100, 4_000).await;
        let lender = fleet.ledger().grants[0].name.endpoint.clone();
        let router: usize = lender[1..].parse().unwrap();
        fleet.isolated.borrow_mut().push(router);
        sleep(Duration::from_millis(100)).await;
        for i in 0..200 {
            // The isolated router has no callers.
            let at = (i * 7) % 16;
            if at != router {
                fleet.request(at, 4_000, 4_000, SECOND);
            }
            sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(fleet.refused.get(), 0);
        assert!(
            fleet.longest_wait.get() < Duration::from_millis(130),
            "{:?}",
            fleet.longest_wait.get()
        );
    });
}

/// Guards against leaking tokens when datagrams are lost or duplicated: a loan that is given twice,
/// or whose end is never reported, would never be returned.
#[rstest]
#[case::lossy(30, 0)]
#[case::doubling(0, 50)]
#[case::both(20, 30)]
fn loans_lost_messages(#[case] lost_percent: u32, #[case] duplicated_percent: u32) {
    in_virtual_time(6, async {
        let fleet = Fleet::start(16, 4, 100_000_000);
        sleep(SECOND).await;
        fleet.network.set(NetworkFaults { lost_percent, duplicated_percent });
        fleet.load(5_000, 100, 4_000).await;
        fleet.network.set(NetworkFaults::default());
        // All grants are returned without requests, so the closed amount equals what was spent.
        sleep(40 * SECOND).await;
        let ledger = fleet.ledger();
        assert!(ledger.grants.is_empty(), "{ledger:?}");
        assert_eq!(ledger.closed.0, fleet.spent.get());
        assert_eq!(ledger.doubt.0, 0);
    });
}

/// A borrower dies while its requests run, and what its callers received is unknown. The loans stay
/// charged, but do not count as proof that the budget is spent.
#[test]
fn loans_borrower_dies() {
    in_virtual_time(7, async {
        let fleet = Fleet::start(16, 1, 1_000_000);
        sleep(SECOND).await;
        // Not a lender: the lenders are the first two.
        (0..10).for_each(|_| fleet.request(9, 40_000, 10_000, 20 * SECOND));
        sleep(SECOND).await;
        fleet.kill(9);
        sleep(120 * SECOND).await;
        let row = fleet.ledger();
        assert_eq!(row.closed.0, 400_000, "{row:?}");
        assert!(row.doubt.0 >= 300_000, "{row:?}");
    });
}

/// A lender dies. Its borrowers continue with another lender, and the loans are closed exactly
/// once.
#[test]
fn loans_lender_dies() {
    in_virtual_time(8, async {
        let fleet = Fleet::start(16, 2, 100_000_000);
        sleep(SECOND).await;
        fleet.load(4_000, 60, 4_000).await;
        let lender = fleet.ledger().grants[0].name.endpoint.clone();
        let router: usize = lender[1..].parse().unwrap();
        fleet.kill(router);
        fleet.load(1_000, 60, 4_000).await;
        fleet.start_router(router);
        fleet.load(4_000, 60, 4_000).await;
        // Only requests at the dead router itself, or on their way to it, may be refused.
        assert!(fleet.refused.get() <= 2, "{}", fleet.refused.get());
        sleep(100 * SECOND).await;
        let row = fleet.ledger();
        assert!(row.closed.0 >= fleet.spent.get());
        let over = row.closed.0 - fleet.spent.get();
        assert!(over < fleet.prepaid() / 100, "{over} closed but not spent");
    });
}

/// A planned stop of a lender leaves nothing in doubt, even with open loans.
#[test]
fn loans_lender_stops() {
    in_virtual_time(9, async {
        let fleet = Fleet::start(16, 2, 100_000_000);
        sleep(SECOND).await;
        fleet.load(4_000, 60, 4_000).await;
        for router in 0..16 {
            fleet.stop(router).await;
            fleet.start_router(router);
            fleet.load(500, 60, 4_000).await;
        }
        sleep(40 * SECOND).await;
        let row = fleet.ledger();
        assert_eq!((row.closed.0, row.doubt.0), (fleet.spent.get(), 0), "{row:?}");
        assert_eq!(fleet.refused.get(), 0);
    });
}

/// A router that is isolated from all others serves requests from its own grant.
#[test]
fn reserve_tokens_isolated_router() {
    in_virtual_time(10, async {
        let fleet = Fleet::start(16, 2, 100_000_000);
        sleep(SECOND).await;
        fleet.load(2_000, 60, 4_000).await;
        fleet.isolated.borrow_mut().push(9);
        for _ in 0..40 {
            fleet.request(9, 4_000, 4_000, SECOND);
            sleep(Duration::from_millis(50)).await;
        }
        assert!(fleet.refused.get() <= 2, "{}", fleet.refused.get());
    });
}

/// Guards against holding a request for 1.5 s although its route allows 300 ms. In a store outage
/// the limit opens later than that, and the refusal comes after the caller has gone.
#[test]
fn reserve_by_deadline() {
    in_virtual_time(11, async {
        let fleet = Fleet::start(1, 1, 400_000);
        sleep(SECOND).await;
        fleet.load(6_000, 10, 4_000).await;
        fleet.cut_store(true);
        let manager = fleet.hosts.borrow()[0].as_ref().unwrap().manager.clone();
        let (started, max_cost) = (tokio::time::Instant::now(), kingcupwall::ids::Tokens(30_000));
        let until = started + Duration::from_millis(300);
        assert!(manager.reserve_by(ORG, max_cost, until).await.is_err());
        assert!(started.elapsed() <= Duration::from_millis(310), "{:?}", started.elapsed());
    });
}

/// Guards against double spending if, contrary to the platform's guarantee, two processes run at
/// one endpoint. The older one must stop spending once the newer one has written the endpoint's
/// row.
#[test]
fn endpoint_taken_over() {
    in_virtual_time(12, async {
        let fleet = Fleet::start(1, 1, 1_000_000);
        sleep(SECOND).await;
        fleet.load(1_000, 10, 4_000).await;
        let manager = fleet.hosts.borrow()[0].as_ref().unwrap().manager.clone();
        fleet.start_router(0);
        sleep(SECOND).await;
        let first = manager.reserve_tokens(ORG, kingcupwall::ids::Tokens(4_000)).await;
        // The first attempt may still be covered by the old limit, but a write of the old process
        // fails.
        drop(first);
        sleep(SECOND).await;
        assert!(manager.reserve_tokens(ORG, kingcupwall::ids::Tokens(4_000)).await.is_err());
    });
}

/// Rows that are damaged or have another format must not be spent from or closed.
#[rstest]
#[case::budget("budgets", ORG)]
#[case::spending_row("spending", "r0")]
fn rows_unreadable(#[case] table: &str, #[case] key: &str) {
    in_virtual_time(13, async {
        let fleet = Fleet::start(1, 1, 1_000_000);
        fleet.kill(0);
        let store: &MemoryRows = &fleet.store;
        let at = kingcupwall::rows::RowKey::own_partition(table, key);
        let tx = kingcupwall::rows::Tx {
            write: vec![(at, bytes::Bytes::from_static(b"no row"))],
            ..Default::default()
        };
        store.commit(&tx).await.unwrap();
        fleet.start_router(0);
        sleep(SECOND).await;
        fleet.load(1_000, 10, 4_000).await;
        sleep(SECOND).await;
        assert_eq!((fleet.refused.get(), fleet.spent.get()), (10, 0));
        let page = store.scan(table, key).await.unwrap();
        assert_eq!(page.rows[0].value.as_deref(), Some(&b"no row"[..]));
    });
}

/// Guards against spending twice what was written without an answer. Store answers are lost for a
/// while.
#[test]
fn reserve_tokens_lost_answers() {
    in_virtual_time(14, async {
        let fleet = Fleet::start(8, 2, 4_000_000);
        sleep(SECOND).await;
        fleet.load(2_000, 60, 4_000).await;
        (0..8).for_each(|p| fleet.set_fault(p, Fault::LoseAnswers));
        fleet.load(3_000, 60, 4_000).await;
        fleet.cut_store(false);
        fleet.load(8_000, 60, 4_000).await;
        sleep(40 * SECOND).await;
        assert!(fleet.spent.get() <= fleet.prepaid());
        let row = fleet.ledger();
        assert!(row.committed().0 <= fleet.prepaid());
        assert_eq!((row.closed.0, row.doubt.0), (fleet.spent.get(), 0), "{row:?}");
    });
}

/// Runs a fleet in which router 2 borrows `cost` tokens for `duration`, is killed at `killed_at`
/// and started again, and then borrows again `pause` after that.
async fn borrow_before_and_after_restart(
    (cost, duration): (u64, Duration),
    killed_at: Duration,
    pause: Duration,
    network: NetworkFaults,
) -> std::rc::Rc<Fleet> {
    let fleet = Fleet::start(3, 1, 1_000_000);
    sleep(SECOND).await;
    fleet.network.set(network);
    fleet.request(2, cost, cost, duration);
    sleep(killed_at).await;
    fleet.kill(2);
    fleet.start_router(2);
    fleet.longest_wait.set(Duration::ZERO);
    sleep(pause).await;
    fleet.request(2, 300, 300, Duration::from_millis(50));
    sleep(120 * SECOND).await;
    fleet
}

/// Guards against spending that no ledger records: a lender reminds a restarted borrower of the
/// loan of its predecessor, and the successor takes that for the answer to its own loan request.
#[test]
fn loans_reminder_after_borrower_restarts() {
    for pause in (0..7_000).step_by(40) {
        in_virtual_time(15, async move {
            let pause = Duration::from_millis(pause);
            let long = (40, 60 * SECOND);
            let fleet =
                borrow_before_and_after_restart(long, SECOND, pause, NetworkFaults::default())
                    .await;
            let row = fleet.ledger();
            assert_eq!(row.closed.0, fleet.spent.get(), "{pause:?} {row:?}");
            assert_eq!(fleet.refused.get(), 0, "{pause:?}");
            let waited = fleet.longest_wait.get();
            assert!(waited < Duration::from_millis(20), "{waited:?} after {pause:?}");
        });
    }
}

/// Guards against telling a lender about a loan of another process: a successor has no part in the
/// loans of its predecessor, which the lender writes off once it has heard nothing for long.
#[test]
fn loans_reminder_not_answered_by_successor() {
    in_virtual_time(16, async {
        let fleet = Fleet::start(3, 1, 1_000_000);
        sleep(SECOND).await;
        fleet.request(2, 40, 40, 60 * SECOND);
        sleep(SECOND).await;
        fleet.kill(2);
        fleet.start_router(2);
        let before = fleet.sent.borrow().clone();
        sleep(60 * SECOND).await;
        let after = fleet.sent.borrow().clone();
        let lenders_sent = after[0] + after[1] - before[0] - before[1];
        assert!(lenders_sent >= 15, "{lenders_sent} reminders");
        assert_eq!(after[2], before[2]);
    });
}

/// Guards against spending that no ledger records: a delayed acknowledgement of the predecessor's
/// last report arrives at a restarted borrower, which stops reporting a loan of its own.
#[test]
fn loans_late_acknowledgement_after_borrower_restarts() {
    for seed in 0..200 {
        in_virtual_time(seed, async {
            let network = NetworkFaults { lost_percent: 0, duplicated_percent: 100 };
            let short = (40, Duration::from_millis(50));
            let killed_at = Duration::from_millis(100);
            let fleet =
                borrow_before_and_after_restart(short, killed_at, Duration::ZERO, network).await;
            let row = fleet.ledger();
            assert_eq!(row.closed.0, fleet.spent.get(), "{row:?}");
        });
    }
}
