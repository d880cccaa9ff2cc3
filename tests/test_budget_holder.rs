//! Event by event tests of the grants of one router.

use kingcupwall::budget::holder::{
    Admission, Effect, HoldId, Holder, Limit, LoadedRows, Protection, WaitResult,
};
use kingcupwall::budget::ledger::{BudgetRow, Versioned};
use kingcupwall::budget::sizing::Sizing;
use kingcupwall::error::Kind;
use kingcupwall::ids::{BudgetId, Millis, Revision, Tokens};
use kingcupwall::table::Version;
use rstest::rstest;

use crate::workdir::{bill, name};

const NOW: Millis = Millis(100_000_000);

fn id() -> BudgetId {
    name("acme/main")
}

fn limit(prepaid: u64) -> Limit {
    Limit { prepaid: Tokens(prepaid), revision: Revision(1) }
}

fn holder() -> Holder {
    Holder::new(Sizing::ByRate { horizon: Millis(1_000) })
}

/// Performs effects against a ledger that accepts every change. Returns the results for waiting
/// requests.
fn run_effects(h: &mut Holder, mut effects: Vec<Effect>, rows: &LoadedRows) -> Vec<WaitResult> {
    let mut out = Vec::new();
    while !effects.is_empty() {
        for e in std::mem::take(&mut effects) {
            match e {
                Effect::Load(id) => effects.extend(h.loaded(NOW, &id, rows.clone())),
                Effect::Write(id, ..) => effects.extend(h.changed(NOW, &id, Some(Version(1)))),
                Effect::Notify(result) => out.push(result),
                Effect::Recorded(_) => {}
            }
        }
    }
    out
}

fn admit(h: &mut Holder, prepaid: u64, amount: u64, rows: &LoadedRows) -> Result<HoldId, Kind> {
    let (admission, effects) =
        h.admit(NOW, &id(), limit(prepaid), Tokens(amount), Protection::Witness, true);
    let results = run_effects(h, effects, rows);
    match admission {
        Admission::Held(hold) => Ok(hold),
        Admission::Refused(kind) => Err(kind),
        Admission::Wait(ticket) => {
            let result = results
                .iter()
                .find(|r| r.ticket == ticket)
                .expect("every waiting request gets a result");
            result.refused.map_or(Ok(ticket), Err)
        }
    }
}

#[rstest]
#[case::zero_budget(0, 1, false)]
#[case::one_token(1, 1, true)]
#[case::one_too_many(1, 2, false)]
#[case::largest(u64::MAX, u64::MAX, true)]
fn admit_edges(#[case] prepaid: u64, #[case] amount: u64, #[case] admitted: bool) {
    let mut h = holder();
    assert_eq!(admit(&mut h, prepaid, amount, &LoadedRows::default()).is_ok(), admitted);
    assert!(h.usage(&id()).granted <= Tokens(prepaid));
}

#[test]
fn admit_until_exhausted() {
    let mut h = holder();
    let held = (0..20).filter(|_| admit(&mut h, 100, 7, &LoadedRows::default()).is_ok()).count();
    assert_eq!(held, 14);
    assert!(h.usage(&id()).granted <= Tokens(100));
}

#[test]
fn admit_under_older_revision() {
    // Guards against overspending a budget after its prepaid amount was lowered, by a router that
    // is still on the older revision. The budget's row names the revision of the lowering, and
    // nothing is granted under an older one.
    let row = BudgetRow { committed: Tokens(50), closed: Tokens(50), floor: Revision(2) };
    let rows = LoadedRows {
        budget: Versioned { version: Some(Version(9)), row },
        ..LoadedRows::default()
    };
    assert_eq!(admit(&mut holder(), 1_000, 10, &rows), Err(Kind::BudgetExhausted));
}

#[test]
fn settle_capped_at_hold() {
    // Guards against overspending by a target that reports more tokens than were reserved.
    let mut h = holder();
    let hold = admit(&mut h, 1_000, 10, &LoadedRows::default()).unwrap();
    let (excess, _) = h.settle(NOW, hold, bill("k", "r", 25));
    assert_eq!(excess, Tokens(15));
    assert_eq!(h.usage(&id()).unrecorded, Tokens(10));
}

#[test]
fn settle_twice() {
    // Guards against billing or releasing a hold twice when its request ends twice.
    let mut h = holder();
    let hold = admit(&mut h, 1_000, 10, &LoadedRows::default()).unwrap();
    h.settle(NOW, hold, bill("k", "r", 4));
    h.settle(NOW, hold, bill("k", "r", 4));
    h.cancel(hold);
    assert_eq!(h.usage(&id()).unrecorded, Tokens(4));
    assert_eq!(h.usage(&id()).held, Tokens::ZERO);
}

#[test]
fn move_to_solo_within_share() {
    // Guards against overspending by a router that cannot reach its witness: it may spend no more
    // than the solo part of its grant.
    let mut h = holder();
    h.set_policy(Sizing::Fixed(Tokens(200)), 500, 1);
    let a = admit(&mut h, 1_000, 80, &LoadedRows::default()).unwrap();
    let b = admit(&mut h, 1_000, 30, &LoadedRows::default()).unwrap();
    assert_eq!(h.usage(&id()).granted, Tokens(200));
    assert!(h.move_to_solo(a));
    assert!(!h.move_to_solo(b), "80 and 30 are more than the solo part of 100");
    h.mark_witnessed(a);
    assert!(h.move_to_solo(b), "a witness keeps a copy of the first hold");
}

#[test]
fn loaded_with_bill_of_another_router() {
    // Guards against billing a request twice when two routers ran it and the other one's bill is
    // recorded first. The guard on the insert fails, the bill's row is found, and the tokens are
    // free again.
    let mut h = holder();
    let hold = admit(&mut h, 1_000, 10, &LoadedRows::default()).unwrap();
    let free = h.usage(&id()).free;
    h.settle(NOW, hold, bill("k", "r", 4));
    let effects = h.tick(Millis(NOW.0 + 1));
    assert!(effects.iter().any(|e| matches!(e, Effect::Write(_, c, ..) if c.bills.len() == 1)));
    assert_eq!(h.changed(NOW, &id(), None), vec![Effect::Load(id())]);
    let granted = h.usage(&id()).granted;
    let grant = kingcupwall::budget::ledger::GrantRow { granted, ..Default::default() };
    let rows = LoadedRows {
        grant: Versioned { version: Some(Version(3)), row: grant },
        billed: vec![bill("k", "other", 4)],
        ..LoadedRows::default()
    };
    let effects = h.loaded(NOW, &id(), rows);
    assert!(effects.contains(&Effect::Recorded(vec![hold])));
    assert_eq!(h.pending_bills(), 0);
    assert_eq!(h.usage(&id()).free, free.plus(Tokens(10)));
}

#[test]
fn tick_drops_idle_budget() {
    // Guards against state that grows with the number of budgets: of 290,000 budgets only ten
    // thousand are in use, and the others must not take up memory or writes.
    let mut h = holder();
    let hold = admit(&mut h, 1_000, 10, &LoadedRows::default()).unwrap();
    let (_, effects) = h.settle(NOW, hold, bill("k", "r", 4));
    run_effects(&mut h, effects, &LoadedRows::default());
    for s in 1..80 {
        let effects = h.tick(Millis(NOW.0 + s * 1_000));
        run_effects(&mut h, effects, &LoadedRows::default());
    }
    assert_eq!((h.budgets(), h.holds(), h.pending_bills()), (0, 0, 0));
}

#[test]
fn admit_clock_steps_back() {
    // Guards against refusals after the clock of the instance steps back by an hour.
    let mut h = holder();
    admit(&mut h, 1_000, 10, &LoadedRows::default()).unwrap();
    let earlier = Millis(NOW.0 - 3_600_000);
    let (a, effects) = h.admit(earlier, &id(), limit(1_000), Tokens(10), Protection::Witness, true);
    run_effects(&mut h, effects, &LoadedRows::default());
    assert!(!matches!(a, Admission::Refused(_)));
}

#[test]
fn loaded_after_guard_failure() {
    // Guards against bills that are missing from the table for many seconds. Routers that extend
    // grants of one budget at the same time fail each other's guards and would wait for the next
    // flush each time. A change that failed on a guard is retried at once.
    let mut h = holder();
    let hold = admit(&mut h, 1_000, 10, &LoadedRows::default()).unwrap();
    h.settle(NOW, hold, bill("k", "r", 4));
    h.tick(Millis(NOW.0 + 10));
    h.changed(NOW, &id(), None);
    let grant =
        kingcupwall::budget::ledger::GrantRow { granted: Tokens(100), ..Default::default() };
    let rows = LoadedRows {
        grant: Versioned { version: Some(Version(3)), row: grant },
        ..LoadedRows::default()
    };
    let effects = h.loaded(NOW, &id(), rows);
    assert!(effects.iter().any(|e| matches!(e, Effect::Write(_, c, ..) if c.bills.len() == 1)));
}
