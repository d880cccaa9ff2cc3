//! Lines, rows and accounts, step by step.

use std::time::Duration;

use kingcupwall::allowance::{
    Account, AnchoredLimit, Denied, Grant, GrantChange, Ledger, MissingCover, OrgSpending,
    PredecessorSpending, ProcessId, Sizing, Spending, SpendingLimit,
};
use kingcupwall::ids::Tokens;
use kingcupwall::rows::{StoreMs, Ver};
use rstest::rstest;
use tokio::time::Instant;

const SIZING: Sizing = Sizing { horizon_ms: 10_000, spenders: 2, now: StoreMs(1_000) };

fn me(endpoint: &str, incarnation: u64) -> ProcessId {
    ProcessId { endpoint: endpoint.into(), incarnation }
}

fn spending_limit(floor: u64, rate: u64, seen: u64) -> SpendingLimit {
    SpendingLimit { floor: Tokens(floor), rate: Tokens(rate), seen: StoreMs(seen), opens: 0 }
}

fn grant(name: ProcessId, ceiling: u64, settled: u64, rate: u64) -> Grant {
    let (settled, rate) = (Tokens(settled), Tokens(rate));
    Grant { name, ceiling: Tokens(ceiling), settled, rate, seen: StoreMs(1_000) }
}

#[rstest]
#[case(1_000, 100)]
#[case(500, 100)]
#[case(2_000, 150)]
#[case(60_000, 3_050)]
fn line_at(#[case] now: u64, #[case] most: u64) {
    assert_eq!(spending_limit(100, 50, 1_000).at(StoreMs(now)), Tokens(most));
}

#[tokio::test(start_paused = true)]
async fn anchored_follows_below() {
    // A process must never allow itself more than its successor takes for granted.
    // The store's clock was past `seen` when the answer arrived; whatever the local clock says
    // later, the line read by store time is above the line followed by local time.
    let l = spending_limit(100, 1_000, 5_000);
    let anchored = AnchoredLimit { spending_limit: l, received_at: Instant::now() };
    for ms in [0, 1, 10, 100, 1_000, 7_777, 60_000] {
        let own = anchored.at(Instant::now() + Duration::from_millis(ms));
        assert!(own <= l.at(StoreMs(5_000 + ms)), "{ms}");
    }
}

#[tokio::test(start_paused = true)]
async fn anchored_reaches() {
    let now = Instant::now();
    let anchored =
        AnchoredLimit { spending_limit: spending_limit(100, 1_000, 0), received_at: now };
    assert_eq!(anchored.time_until(Tokens(100), now), Some(Duration::ZERO));
    let add_waiting = anchored.time_until(Tokens(1_100), now).unwrap();
    assert!(anchored.at(now + add_waiting + Duration::from_millis(2)) >= Tokens(1_100));
    let flat = AnchoredLimit { spending_limit: spending_limit(100, 0, 0), received_at: now };
    assert_eq!(flat.time_until(Tokens(101), now), None);
}

fn spending(incarnation: u64, settled: u64, spending_limit: SpendingLimit) -> Spending {
    let mut row = Spending::new(incarnation, 1);
    row.spending_limits.push(OrgSpending {
        org: "norte".into(),
        settled: Tokens(settled),
        spending_limit,
    });
    row
}

#[test]
fn spending_into_former() {
    // Two processes die before anything of theirs is closed: what the first one can have spent
    // does not grow while the second one lives.
    let first = spending(1, 80, spending_limit(100, 50, 1_000)).into_predecessors(StoreMs(3_000));
    let [predecessor] = &first[..] else { panic!("{first:?}") };
    assert_eq!(
        (predecessor.incarnation, predecessor.spent, predecessor.age_ms),
        (1, Tokens(200), 2_000)
    );
    let mut second = spending(2, 10, spending_limit(10, 0, 4_000));
    second.predecessors = first.clone();
    let both = second.into_predecessors(StoreMs(60_000));
    assert_eq!(both[..1], first[..]);
    assert_eq!((both[1].incarnation, both[1].spent), (2, Tokens(10)));
}

#[test]
fn spending_decode_damaged() {
    let value = spending(1, 80, spending_limit(100, 50, 1_000)).encode();
    assert_eq!(Spending::decode(&value).unwrap().spending_limits.len(), 1);
    assert!(Spending::decode(&value[..value.len() - 1]).is_err());
    assert!(Spending::decode(b"").is_err());
}

fn predecessor(incarnation: u64, spent: u64, settled: u64) -> PredecessorSpending {
    PredecessorSpending {
        org: "norte".into(),
        incarnation,
        spent: Tokens(spent),
        settled: Tokens(settled),
        floor: Tokens(spent),
        age_ms: 0,
    }
}

#[test]
fn ledger_closes_predecessor() {
    let mut ledger = Ledger::default();
    ledger.set(grant(me("a", 1), 1_000, 60, 10));
    ledger.set(grant(me("b", 1), 1_000, 80, 10));
    assert_eq!(ledger.committed(), Tokens(2_000));
    let closing = ledger.close("a", &predecessor(1, 200, 80)).unwrap();
    assert_eq!((closing.returned, closing.doubt()), (Tokens(800), Tokens(120)));
    assert_eq!((ledger.closed, ledger.doubt), (Tokens(200), Tokens(120)));
    assert_eq!(ledger.grants.len(), 1);
    // The doubt stays spent, but proves nothing.
    assert_eq!(ledger.settled(), Tokens(80 + 80));
    // Closed once, it is closed.
    assert!(ledger.close("a", &predecessor(1, 200, 80)).is_none());
    assert_eq!(ledger.closed, Tokens(200));
}

#[rstest]
#[case::line_above_ceiling(5_000, 80, 1_000)]
#[case::line_below_settled(50, 80, 80)]
fn ledger_close_bounds(#[case] spent: u64, #[case] settled: u64, #[case] closed: u64) {
    let mut ledger = Ledger::default();
    ledger.set(grant(me("a", 1), 1_000, 60, 10));
    ledger.close("a", &predecessor(1, spent, settled)).unwrap();
    assert_eq!(ledger.closed, Tokens(closed));
}

#[test]
fn ledger_decode_damaged() {
    let mut ledger = Ledger::default();
    ledger.closed = Tokens(7);
    let value = ledger.encode();
    assert_eq!(Ledger::decode(&value).unwrap().closed, Tokens(7));
    assert!(Ledger::decode(&value[..value.len() - 1]).is_err());
    assert!(Ledger::decode(b"").is_err());
}

/// An account at one router, with its place's row.
struct Rows {
    account: Account,
    number: u64,
}

impl Rows {
    fn new(prepaid: u64) -> Rows {
        let mut account = Account::new(me("a", 1), Instant::now());
        account.set_prepaid(Tokens(prepaid));
        account.observe(Ledger::default(), Ver(0));
        Rows { account, number: 0 }
    }

    /// Sends the place's row, which nobody has answered yet. Returns the number of the write.
    fn send_limit(&mut self, seen: u64, at: Instant) -> u64 {
        let (_, spending_limit) =
            self.account.next_limit(StoreMs(seen), at, SIZING).expect("it is used");
        self.number += 1;
        self.account.begin_limit_write(self.number, spending_limit, at);
        self.number
    }

    fn write_limit(&mut self) {
        let now = Instant::now();
        let number = self.send_limit(1_000, now);
        self.account.limit_written(number, now);
    }

    fn next_grant_change(&self, at: Instant) -> Option<GrantChange> {
        self.account.next_grant_change(&[], at, SIZING)
    }

    fn write_grant(&mut self) {
        let now = Instant::now();
        let plan = self.next_grant_change(now).expect("a grant is due");
        self.account.begin_grant_write(&plan);
        let ver = Ver(self.account.ver().0 + 1);
        self.account.grant_written(&plan, ver, now);
    }

    fn reserve_tokens(&mut self, most: u64) -> Result<(), Denied> {
        self.account.reserve_tokens(Tokens(most), Instant::now())
    }

    /// Takes a part, and writes whatever that needs.
    fn reserve_written(&mut self, most: u64) {
        while self.reserve_tokens(most).is_err() {
            match self.account.missing_cover(Tokens(most), Instant::now()) {
                Some(MissingCover::Grant) if self.next_grant_change(Instant::now()).is_some() => {
                    self.write_grant();
                }
                _ => self.write_limit(),
            }
        }
    }

    fn settle(&mut self, most: u64, actual: u64) {
        self.account.settle(Tokens(most), Tokens(actual), Tokens(0));
    }
}

#[tokio::test(start_paused = true)]
async fn account_first_hold() {
    let mut rows = Rows::new(10_000);
    assert_eq!(rows.reserve_tokens(500), Err(Denied::NoneHere));
    // The place's row names the organisation before anything is granted: a successor that does
    // not find it there would leave the grant open for ever.
    assert!(rows.next_grant_change(Instant::now()).is_none());
    rows.write_limit();
    assert_eq!(rows.reserve_tokens(500), Err(Denied::NoneHere));
    rows.write_grant();
    assert_eq!(rows.reserve_tokens(500), Ok(()));
    rows.settle(500, 120);
    assert_eq!(rows.account.charged(), Tokens(120));
}

#[tokio::test(start_paused = true)]
async fn account_omitted_line() {
    // A place's row that no longer names the organisation is on its way: a successor that finds
    // it closes nothing, so nothing may be spent, nor granted.
    let mut rows = Rows::new(10_000);
    rows.reserve_written(500);
    rows.account.omit_limit();
    assert_eq!(rows.account.allowed(Instant::now()), Tokens(0));
    assert_eq!(rows.reserve_tokens(5_000), Err(Denied::NoneHere));
    assert!(rows.next_grant_change(Instant::now() + Duration::from_secs(2)).is_none());
}

#[tokio::test(start_paused = true)]
async fn account_large_request_opens_line() {
    // A large request is refused while its organisation has plenty and the store answers.
    // The grant covers it and the line opens too slowly: a new line with a higher floor is due at
    // once, and no change of the grant.
    let mut rows = Rows::new(60_000);
    for _ in 0..20 {
        rows.reserve_written(500);
    }
    let now = Instant::now();
    let headroom = rows.account.allowed(now).0 - rows.account.charged().0;
    let large = headroom + 1;
    assert!(rows.account.charged().0 + large < rows.account.ceiling().0);
    assert_eq!(rows.reserve_tokens(large), Err(Denied::NoneHere));
    assert_eq!(rows.account.missing_cover(Tokens(large), now), Some(MissingCover::SpendingLimit));
    assert!(rows.next_grant_change(now).is_none());
    assert_eq!(rows.account.limit_due(now), Some(true));
    rows.write_limit();
    assert_eq!(rows.reserve_tokens(large), Ok(()));
}

#[tokio::test(start_paused = true)]
async fn account_one_line_for_all_that_wait() {
    // Many requests come in one moment and all but one wait for a second write each.
    // A line covers what all that wait need together.
    let mut rows = Rows::new(1_000_000);
    rows.reserve_written(500);
    for _ in 0..10 {
        assert_eq!(rows.reserve_tokens(5_000), Err(Denied::NoneHere));
        rows.account.add_waiting(Tokens(5_000));
    }
    rows.write_limit();
    if rows.next_grant_change(Instant::now()).is_some() {
        rows.write_grant();
    }
    for n in 0..10 {
        rows.account.remove_waiting(Tokens(5_000));
        assert_eq!(rows.reserve_tokens(5_000), Ok(()), "request {n}");
    }
}

#[tokio::test(start_paused = true)]
async fn account_unanswered_grant() {
    // An organisation spends past its budget after a lost answer and a power cut.
    // A write that gives part of the grant back is not answered. If it took effect, another router
    // has that part; so it must not be spent here from the moment of sending.
    let mut rows = Rows::new(10_000);
    rows.reserve_written(4_000);
    rows.settle(4_000, 0);
    let before = rows.account.ceiling();
    assert!(before >= Tokens(4_000));
    // Nobody asks any more: it is given back.
    let later = Instant::now() + Duration::from_secs(15);
    let plan = rows.next_grant_change(later).expect("it is given back");
    assert_eq!(plan.ledger.committed(), Tokens(0));
    rows.account.begin_grant_write(&plan);
    assert_eq!(rows.account.ceiling(), Tokens(0));
    assert_eq!(rows.account.reserve_tokens(Tokens(4_000), later), Err(Denied::NoneHere));
    // The store turned it away: nothing was given back.
    rows.account.grant_rejected(&plan);
    assert_eq!(rows.account.ceiling(), before);
    assert_eq!(rows.account.reserve_tokens(Tokens(4_000), later), Ok(()));
}

#[tokio::test(start_paused = true)]
async fn account_unanswered_line() {
    // A process dies after a lost answer, and has spent more than its successor finds.
    // Nobody knows which of two lines is in force: the lower one bounds the spending. The next one
    // is no lower than what this router surely has, or each lost answer would take some away.
    let mut rows = Rows::new(1_000_000);
    for _ in 0..5 {
        rows.reserve_written(4_000);
    }
    let now = Instant::now();
    let before = rows.account.allowed(now);
    rows.send_limit(500, now);
    let lower = rows.account.allowed(now);
    assert!(lower <= before);
    for _ in 0..4 {
        rows.send_limit(500, now);
        assert_eq!(rows.account.allowed(now), lower);
    }
}

#[tokio::test(start_paused = true)]
async fn account_late_grant_is_dead() {
    // A write that was not answered can no longer take effect once the row has moved on.
    let mut rows = Rows::new(10_000);
    assert_eq!(rows.reserve_tokens(100), Err(Denied::NoneHere));
    rows.write_limit();
    let lost = rows.next_grant_change(Instant::now()).expect("a grant is due");
    rows.account.begin_grant_write(&lost);
    let mut others = Ledger::default();
    others.set(grant(me("b", 9), 9_990, 0, 0));
    rows.account.observe(others, Ver(5));
    assert_eq!(rows.account.allowed(Instant::now()), Tokens(0));
    let next = rows.next_grant_change(Instant::now());
    assert!(next.is_none_or(|p| p.ceiling.is_none_or(|c| c <= Tokens(10))));
}

#[tokio::test(start_paused = true)]
async fn account_late_grant_took_effect() {
    // The same, but it did take effect before another router wrote: the ceiling is ours.
    let mut rows = Rows::new(10_000);
    assert_eq!(rows.reserve_tokens(100), Err(Denied::NoneHere));
    rows.write_limit();
    let lost = rows.next_grant_change(Instant::now()).expect("a grant is due");
    rows.account.begin_grant_write(&lost);
    let mut row = lost.ledger.clone();
    row.set(grant(me("b", 9), 10, 0, 0));
    rows.account.observe(row, Ver(5));
    assert_eq!(rows.account.ceiling(), lost.ceiling.unwrap());
    assert_eq!(rows.reserve_tokens(100), Ok(()));
}

#[tokio::test(start_paused = true)]
async fn account_leaves_crumbs() {
    // An organisation's last tokens lie in pieces with many routers, none large enough for a
    // request, while each request that is refused makes all of them race for the row.
    // What is free does not cover the request that waits: it is left to smaller requests.
    let mut rows = Rows::new(10_000);
    rows.reserve_written(1_000);
    let now = Instant::now();
    let mut ledger = Ledger::default();
    ledger.set(grant(me("a", 1), 1_000, 0, 0));
    ledger.set(grant(me("b", 1), 7_000, 0, 0));
    rows.account.observe(ledger.clone(), Ver(8));
    assert_eq!(rows.reserve_tokens(2_500), Err(Denied::NoneHere));
    assert!(!rows.account.may_be_granted(Tokens(2_500)));
    assert!(rows.next_grant_change(now).is_none(), "2,000 are free");
    ledger.set(grant(me("b", 1), 1_000, 0, 0));
    rows.account.observe(ledger, Ver(9));
    let plan = rows.next_grant_change(now).expect("8,000 are free");
    assert!(plan.ceiling.is_some_and(|c| c >= Tokens(1_000 + 2_500)));
}

#[tokio::test(start_paused = true)]
async fn account_spent_needs_proof() {
    // A customer is told "budget spent" while other routers merely hold the rest.
    let mut rows = Rows::new(1_000);
    let mut ledger = Ledger::default();
    ledger.set(grant(me("b", 1), 1_000, 200, 0));
    rows.account.observe(ledger.clone(), Ver(1));
    assert_eq!(rows.reserve_tokens(300), Err(Denied::NoneHere));
    ledger.set(grant(me("b", 1), 1_000, 800, 0));
    rows.account.observe(ledger, Ver(2));
    assert_eq!(rows.reserve_tokens(300), Err(Denied::Spent));
    rows.account.set_prepaid(Tokens(2_000));
    assert_eq!(rows.reserve_tokens(300), Err(Denied::NoneHere));
}

#[tokio::test(start_paused = true)]
async fn account_lost_loan_proves_nothing() {
    // A customer is told "budget spent" because of a request of which nobody knows what became.
    let mut rows = Rows::new(1_000);
    rows.reserve_written(800);
    rows.account.prove(Tokens(100));
    rows.account.write_off(Tokens(800), Tokens(100));
    assert_eq!((rows.account.charged(), rows.account.settled()), (Tokens(800), Tokens(100)));
    assert_eq!(rows.reserve_tokens(300), Err(Denied::NoneHere));
    let (ledger, _) = rows.account.released_ledger().unwrap();
    assert_eq!((ledger.closed, ledger.doubt), (Tokens(800), Tokens(700)));
}

#[tokio::test(start_paused = true)]
async fn account_shares_the_end() {
    // Half a budget's last tokens lie with a router that does not need them, another refuses.
    // Each grant ends at its router's part of what is left, by the rates of spending.
    let mut rows = Rows::new(1_000_000);
    let mut ledger = Ledger::default();
    ledger.closed = Tokens(900_000);
    ledger.set(grant(me("b", 1), 20_000, 0, 30_000));
    rows.account.observe(ledger, Ver(1));
    for _ in 0..10 {
        rows.reserve_written(3_000);
    }
    let later = Instant::now() + Duration::from_secs(1);
    if let Some(plan) = rows.next_grant_change(later) {
        assert!(plan.ceiling.is_some_and(|c| c < Tokens(60_000)), "{:?}", plan.ceiling);
        assert!(plan.ledger.committed() <= Tokens(1_000_000));
    }
    assert!(rows.account.ceiling() < Tokens(80_000), "{}", rows.account.ceiling());
}

#[tokio::test(start_paused = true)]
async fn account_gives_back_when_idle() {
    // Rows hold a grant for every router that ever spent. One that nobody asks of goes, with what
    // was spent of it; what is spent later counts anew, and needs a line of its own.
    let mut rows = Rows::new(100_000);
    rows.reserve_written(1_000);
    rows.settle(1_000, 400);
    let later = Instant::now() + Duration::from_secs(30);
    let plan = rows.next_grant_change(later).expect("it is given back");
    assert_eq!((plan.ceiling, plan.ledger.closed), (None, Tokens(400)));
    rows.account.begin_grant_write(&plan);
    rows.account.grant_written(&plan, Ver(50), later);
    assert_eq!((rows.account.charged(), rows.account.allowed(later)), (Tokens(0), Tokens(0)));
    assert!(rows.account.next_limit(StoreMs(1_000), later, SIZING).is_none());
    rows.reserve_written(1_000);
    assert_eq!(rows.account.charged(), Tokens(1_000));
}

#[tokio::test(start_paused = true)]
async fn account_farewell_is_final() {
    let mut rows = Rows::new(10_000);
    rows.reserve_written(500);
    rows.settle(500, 300);
    let ver = rows.account.ver();
    let (ledger, expect) = rows.account.released_ledger().unwrap();
    assert_eq!((ledger.closed, ledger.committed(), expect), (Tokens(300), Tokens(300), ver));
}
