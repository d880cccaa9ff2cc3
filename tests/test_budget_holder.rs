//! The grants of one router, event by event.

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

/// Carries out effects against a ledger that accepts everything, and returns the verdicts.
fn carry_out(h: &mut Holder, mut effects: Vec<Effect>, rows: &LoadedRows) -> Vec<WaitResult> {
    let mut out = Vec::new();
    while !effects.is_empty() {
        for e in std::mem::take(&mut effects) {
            match e {
                Effect::Load(id) => effects.extend(h.loaded(NOW, &id, rows.clone())),
                Effect::Write(id, ..) => effects.extend(h.changed(NOW, &id, Some(Version(1)))),
                Effect::Notify(v) => out.push(v),
                Effect::Recorded(_) => {}
            }
        }
    }
    out
}

fn admit(h: &mut Holder, prepaid: u64, amount: u64, rows: &LoadedRows) -> Result<HoldId, Kind> {
    let (admit, effects) =
        h.admit(NOW, &id(), limit(prepaid), Tokens(amount), Protection::Witness, true);
    let told = carry_out(h, effects, rows);
    match admit {
        Admission::Held(hold) => Ok(hold),
        Admission::Refused(kind) => Err(kind),
        Admission::Wait(ticket) => {
            let v = told.iter().find(|v| v.ticket == ticket).expect("every wait gets a verdict");
            v.refused.map_or(Ok(ticket), Err)
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
    // An organisation spends past its lowered budget.
    // The prepaid amount is lowered, and a router that has not heard of it grants under the old.
    // The budget's row names the lowering revision, and nothing is granted under an older one.
    let row = BudgetRow { committed: Tokens(50), closed: Tokens(50), floor: Revision(2) };
    let rows = LoadedRows {
        budget: Versioned { version: Some(Version(9)), row },
        ..LoadedRows::default()
    };
    assert_eq!(admit(&mut holder(), 1_000, 10, &rows), Err(Kind::BudgetExhausted));
}

#[test]
fn settle_capped_at_hold() {
    // A target that reports more tokens than were asked for must not overspend the budget.
    let mut h = holder();
    let hold = admit(&mut h, 1_000, 10, &LoadedRows::default()).unwrap();
    let (excess, _) = h.settle(NOW, hold, bill("k", "r", 25));
    assert_eq!(excess, Tokens(15));
    assert_eq!(h.usage(&id()).unrecorded, Tokens(10));
}

#[test]
fn settle_twice() {
    // A repeated end must not free or bill anything again.
    let mut h = holder();
    let hold = admit(&mut h, 1_000, 10, &LoadedRows::default()).unwrap();
    h.settle(NOW, hold, bill("k", "r", 4));
    h.settle(NOW, hold, bill("k", "r", 4));
    h.cancel(hold);
    assert_eq!(h.usage(&id()).unrecorded, Tokens(4));
    assert_eq!(h.usage(&id()).held, Tokens::ZERO);
}

#[test]
fn go_solo_within_share() {
    // A router cut off from its witness may spend its solo part, and not a token more.
    let mut h = holder();
    h.set_policy(Sizing::Fixed(Tokens(200)), 500, 1);
    let a = admit(&mut h, 1_000, 80, &LoadedRows::default()).unwrap();
    let b = admit(&mut h, 1_000, 30, &LoadedRows::default()).unwrap();
    assert_eq!(h.usage(&id()).granted, Tokens(200));
    assert!(h.move_to_solo(a));
    assert!(!h.move_to_solo(b), "80 and 30 are more than the solo part of 100");
    h.mark_witnessed(a);
    assert!(h.move_to_solo(b), "a witness has the first one now");
}

#[test]
fn loaded_with_bill_of_another_router() {
    // One request is billed twice.
    // Two routers ran it; the other's bill is in the table when this one's is written.
    // The insert's guard fails, the row is found, and the cost comes back as free.
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
fn tick_idle_budget_is_dropped() {
    // 290,000 budgets, ten thousand in use: the others must cost nothing.
    let mut h = holder();
    let hold = admit(&mut h, 1_000, 10, &LoadedRows::default()).unwrap();
    let (_, effects) = h.settle(NOW, hold, bill("k", "r", 4));
    carry_out(&mut h, effects, &LoadedRows::default());
    for s in 1..80 {
        let effects = h.tick(Millis(NOW.0 + s * 1_000));
        carry_out(&mut h, effects, &LoadedRows::default());
    }
    assert_eq!((h.budgets(), h.holds(), h.pending_bills()), (0, 0, 0));
}

#[test]
fn admit_clock_steps_back() {
    // An instance's clock steps back an hour; admission goes on as before.
    let mut h = holder();
    admit(&mut h, 1_000, 10, &LoadedRows::default()).unwrap();
    let earlier = Millis(NOW.0 - 3_600_000);
    let (a, effects) = h.admit(earlier, &id(), limit(1_000), Tokens(10), Protection::Witness, true);
    carry_out(&mut h, effects, &LoadedRows::default());
    assert!(!matches!(a, Admission::Refused(_)));
}

#[test]
fn loaded_after_lost_race() {
    // Bills of served requests are missing from the table for many seconds.
    // Routers that extend grants of one budget at the same time undo each other's records, and
    // each waits for its next common record. Who lost a race tries again at once.
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
