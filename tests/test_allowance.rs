//! Unit tests of spending limits, ledgers, spending rows and accounts.

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

fn process_id(endpoint: &str, incarnation: u64) -> ProcessId {
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
fn spending_limit_at(#[case] now: u64, #[case] expected: u64) {
    assert_eq!(spending_limit(100, 50, 1_000).at(StoreMs(now)), Tokens(expected));
}

#[tokio::test(start_paused = true)]
async fn anchored_limit_below_store_limit() {
    // Guards against a process that allows itself more than its successor accounts for. The store's
    // clock was past `seen` when the answer arrived, so at any later time the limit by store time
    // must be above the limit by local time.
    let l = spending_limit(100, 1_000, 5_000);
    let anchored = AnchoredLimit { spending_limit: l, received_at: Instant::now() };
    for ms in [0, 1, 10, 100, 1_000, 7_777, 60_000] {
        let local = anchored.at(Instant::now() + Duration::from_millis(ms));
        assert!(local <= l.at(StoreMs(5_000 + ms)), "{ms}");
    }
}

#[tokio::test(start_paused = true)]
async fn anchored_limit_time_until() {
    let now = Instant::now();
    let anchored =
        AnchoredLimit { spending_limit: spending_limit(100, 1_000, 0), received_at: now };
    assert_eq!(anchored.time_until(Tokens(100), now), Some(Duration::ZERO));
    let wait = anchored.time_until(Tokens(1_100), now).unwrap();
    assert!(anchored.at(now + wait + Duration::from_millis(2)) >= Tokens(1_100));
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
fn spending_into_predecessors() {
    // Guards against counting a dead process's spending for the lifetime of its successor. Two
    // processes die before the spending of either is closed; the first one's bound must not grow
    // meanwhile.
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
fn ledger_close_predecessor() {
    let mut ledger = Ledger::default();
    ledger.set(grant(process_id("a", 1), 1_000, 60, 10));
    ledger.set(grant(process_id("b", 1), 1_000, 80, 10));
    assert_eq!(ledger.committed(), Tokens(2_000));
    let closing = ledger.close("a", &predecessor(1, 200, 80)).unwrap();
    assert_eq!((closing.returned, closing.doubt()), (Tokens(800), Tokens(120)));
    assert_eq!((ledger.closed, ledger.doubt), (Tokens(200), Tokens(120)));
    assert_eq!(ledger.grants.len(), 1);
    // The amount in doubt stays charged, but proves nothing.
    assert_eq!(ledger.settled(), Tokens(80 + 80));
    // A grant can be closed only once.
    assert!(ledger.close("a", &predecessor(1, 200, 80)).is_none());
    assert_eq!(ledger.closed, Tokens(200));
}

#[rstest]
#[case::limit_above_ceiling(5_000, 80, 1_000)]
#[case::limit_below_settled(50, 80, 80)]
fn ledger_close_bounds(#[case] spent: u64, #[case] settled: u64, #[case] closed: u64) {
    let mut ledger = Ledger::default();
    ledger.set(grant(process_id("a", 1), 1_000, 60, 10));
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

/// An account at one router, with the write counter of its endpoint's row.
struct AccountFixture {
    account: Account,
    number: u64,
}

impl AccountFixture {
    fn new(prepaid: u64) -> AccountFixture {
        let mut account = Account::new(process_id("a", 1), Instant::now());
        account.set_prepaid(Tokens(prepaid));
        account.observe(Ledger::default(), Ver(0));
        AccountFixture { account, number: 0 }
    }

    /// Starts an unanswered write of the endpoint's row and returns its number.
    fn send_limit(&mut self, seen: u64, at: Instant) -> u64 {
        let (_, spending_limit) =
            self.account.next_limit(StoreMs(seen), at, SIZING).expect("the budget is in use");
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
        let change = self.next_grant_change(now).expect("a grant is due");
        self.account.begin_grant_write(&change);
        let ver = Ver(self.account.ver().0 + 1);
        self.account.grant_written(&change, ver, now);
    }

    fn reserve_tokens(&mut self, max_cost: u64) -> Result<(), Denied> {
        self.account.reserve_tokens(Tokens(max_cost), Instant::now())
    }

    /// Reserves `max_cost` tokens after all writes that this needs.
    fn reserve_written(&mut self, max_cost: u64) {
        while self.reserve_tokens(max_cost).is_err() {
            match self.account.missing_cover(Tokens(max_cost), Instant::now()) {
                Some(MissingCover::Grant) if self.next_grant_change(Instant::now()).is_some() => {
                    self.write_grant();
                }
                _ => self.write_limit(),
            }
        }
    }

    fn settle(&mut self, max_cost: u64, actual: u64) {
        self.account.settle(Tokens(max_cost), Tokens(actual), Tokens(0));
    }
}

#[tokio::test(start_paused = true)]
async fn account_first_request() {
    let mut fixture = AccountFixture::new(10_000);
    assert_eq!(fixture.reserve_tokens(500), Err(Denied::NoneHere));
    // The endpoint's row must list the organisation before anything is granted. A successor that
    // does not find it there would never close the grant.
    assert!(fixture.next_grant_change(Instant::now()).is_none());
    fixture.write_limit();
    assert_eq!(fixture.reserve_tokens(500), Err(Denied::NoneHere));
    fixture.write_grant();
    assert_eq!(fixture.reserve_tokens(500), Ok(()));
    fixture.settle(500, 120);
    assert_eq!(fixture.account.charged(), Tokens(120));
}

#[tokio::test(start_paused = true)]
async fn account_omitted_spending_limit() {
    // Guards against a grant that no successor closes. A write of the endpoint's row that omits the
    // organisation is in flight, so nothing may be spent or granted.
    let mut fixture = AccountFixture::new(10_000);
    fixture.reserve_written(500);
    fixture.account.omit_limit();
    assert_eq!(fixture.account.allowed(Instant::now()), Tokens(0));
    assert_eq!(fixture.reserve_tokens(5_000), Err(Denied::NoneHere));
    assert!(fixture.next_grant_change(Instant::now() + Duration::from_secs(2)).is_none());
}

#[tokio::test(start_paused = true)]
async fn account_large_request_raises_limit() {
    // Guards against refusing a large request while its organisation has plenty and the store
    // answers. The grant covers the request but its limit rises too slowly: a limit with a higher
    // floor is due at once, and no change of the grant.
    let mut fixture = AccountFixture::new(60_000);
    for _ in 0..20 {
        fixture.reserve_written(500);
    }
    let now = Instant::now();
    let headroom = fixture.account.allowed(now).0 - fixture.account.charged().0;
    let large = headroom + 1;
    assert!(fixture.account.charged().0 + large < fixture.account.ceiling().0);
    assert_eq!(fixture.reserve_tokens(large), Err(Denied::NoneHere));
    assert_eq!(
        fixture.account.missing_cover(Tokens(large), now),
        Some(MissingCover::SpendingLimit)
    );
    assert!(fixture.next_grant_change(now).is_none());
    assert_eq!(fixture.account.limit_due(now), Some(true));
    fixture.write_limit();
    assert_eq!(fixture.reserve_tokens(large), Ok(()));
}

#[tokio::test(start_paused = true)]
async fn account_limit_covers_all_waiting() {
    // Guards against one write for each waiting request when many arrive at once. One spending
    // limit must cover all waiting requests.
    let mut fixture = AccountFixture::new(1_000_000);
    fixture.reserve_written(500);
    for _ in 0..10 {
        assert_eq!(fixture.reserve_tokens(5_000), Err(Denied::NoneHere));
        fixture.account.add_waiting(Tokens(5_000));
    }
    fixture.write_limit();
    if fixture.next_grant_change(Instant::now()).is_some() {
        fixture.write_grant();
    }
    for n in 0..10 {
        fixture.account.remove_waiting(Tokens(5_000));
        assert_eq!(fixture.reserve_tokens(5_000), Ok(()), "request {n}");
    }
}

#[tokio::test(start_paused = true)]
async fn account_unanswered_grant() {
    // Guards against overspending after a lost answer and a power failure. A write that returns
    // part of the grant is not answered; if it took effect, another router has that part, so it may
    // not be spent here once the write is sent.
    let mut fixture = AccountFixture::new(10_000);
    fixture.reserve_written(4_000);
    fixture.settle(4_000, 0);
    let before = fixture.account.ceiling();
    assert!(before >= Tokens(4_000));
    // Without requests the grant is returned.
    let later = Instant::now() + Duration::from_secs(15);
    let change = fixture.next_grant_change(later).expect("the grant is returned");
    assert_eq!(change.ledger.committed(), Tokens(0));
    let write = fixture.account.begin_grant_write(&change);
    assert_eq!(fixture.account.ceiling(), Tokens(0));
    assert_eq!(fixture.account.reserve_tokens(Tokens(4_000), later), Err(Denied::NoneHere));
    // The store rejected the write, so nothing was returned.
    fixture.account.grant_rejected(write);
    assert_eq!(fixture.account.ceiling(), before);
    assert_eq!(fixture.account.reserve_tokens(Tokens(4_000), later), Ok(()));
}

#[tokio::test(start_paused = true)]
async fn account_rejected_repetition() {
    // Guards against forgetting an unanswered write when the store rejects its repetition.
    let mut fixture = AccountFixture::new(10_000);
    fixture.reserve_written(4_000);
    fixture.settle(4_000, 0);
    let later = Instant::now() + Duration::from_secs(15);
    let change = fixture.next_grant_change(later).expect("the grant is returned");
    let unanswered = fixture.account.begin_grant_write(&change);
    let repetition = fixture.next_grant_change(later).expect("the write is repeated");
    let rejected = fixture.account.begin_grant_write(&repetition);
    fixture.account.grant_rejected(rejected);
    assert_eq!(fixture.account.ceiling(), Tokens(0));
    assert!(fixture.account.has_pending_change());
    fixture.account.grant_rejected(unanswered);
    assert!(!fixture.account.has_pending_change());
}

#[tokio::test(start_paused = true)]
async fn account_unanswered_limit() {
    // Guards against spending more than a successor accounts for after a lost answer. Either of two
    // limits may be in force, so the lower one applies. The next limit must not be lower, or each
    // lost answer would take tokens away.
    let mut fixture = AccountFixture::new(1_000_000);
    for _ in 0..5 {
        fixture.reserve_written(4_000);
    }
    let now = Instant::now();
    let before = fixture.account.allowed(now);
    fixture.send_limit(500, now);
    let lower = fixture.account.allowed(now);
    assert!(lower <= before);
    for _ in 0..4 {
        fixture.send_limit(500, now);
        assert_eq!(fixture.account.allowed(now), lower);
    }
}

#[tokio::test(start_paused = true)]
async fn account_late_grant_superseded() {
    // An unanswered write can no longer take effect once the ledger has a newer version.
    let mut fixture = AccountFixture::new(10_000);
    assert_eq!(fixture.reserve_tokens(100), Err(Denied::NoneHere));
    fixture.write_limit();
    let lost = fixture.next_grant_change(Instant::now()).expect("a grant is due");
    fixture.account.begin_grant_write(&lost);
    let mut others = Ledger::default();
    others.set(grant(process_id("b", 9), 9_990, 0, 0));
    fixture.account.observe(others, Ver(5));
    assert_eq!(fixture.account.allowed(Instant::now()), Tokens(0));
    let next = fixture.next_grant_change(Instant::now());
    assert!(next.is_none_or(|p| p.ceiling.is_none_or(|c| c <= Tokens(10))));
}

#[tokio::test(start_paused = true)]
async fn account_late_grant_took_effect() {
    // An unanswered write took effect before another router's write: its ceiling is in force.
    let mut fixture = AccountFixture::new(10_000);
    assert_eq!(fixture.reserve_tokens(100), Err(Denied::NoneHere));
    fixture.write_limit();
    let lost = fixture.next_grant_change(Instant::now()).expect("a grant is due");
    fixture.account.begin_grant_write(&lost);
    let mut row = lost.ledger.clone();
    row.set(grant(process_id("b", 9), 10, 0, 0));
    fixture.account.observe(row, Ver(5));
    assert_eq!(fixture.account.ceiling(), lost.ceiling.unwrap());
    assert_eq!(fixture.reserve_tokens(100), Ok(()));
}

#[tokio::test(start_paused = true)]
async fn account_insufficient_remainder() {
    // Guards against contention at the end of a budget, when the last tokens are split among many
    // routers and each refused request makes all of them write the ledger. A remainder that does
    // not cover the waiting request must be left alone.
    let mut fixture = AccountFixture::new(10_000);
    fixture.reserve_written(1_000);
    let now = Instant::now();
    let mut ledger = Ledger::default();
    ledger.set(grant(process_id("a", 1), 1_000, 0, 0));
    ledger.set(grant(process_id("b", 1), 7_000, 0, 0));
    fixture.account.observe(ledger.clone(), Ver(8));
    assert_eq!(fixture.reserve_tokens(2_500), Err(Denied::NoneHere));
    assert!(!fixture.account.may_be_granted(Tokens(2_500)));
    assert!(fixture.next_grant_change(now).is_none(), "2,000 are free");
    ledger.set(grant(process_id("b", 1), 1_000, 0, 0));
    fixture.account.observe(ledger, Ver(9));
    let change = fixture.next_grant_change(now).expect("8,000 are free");
    assert!(change.ceiling.is_some_and(|c| c >= Tokens(1_000 + 2_500)));
}

#[tokio::test(start_paused = true)]
async fn account_spent_needs_proof() {
    // Guards against telling a customer that the budget is spent while other routers only hold the
    // rest as grants.
    let mut fixture = AccountFixture::new(1_000);
    let mut ledger = Ledger::default();
    ledger.set(grant(process_id("b", 1), 1_000, 200, 0));
    fixture.account.observe(ledger.clone(), Ver(1));
    assert_eq!(fixture.reserve_tokens(300), Err(Denied::NoneHere));
    ledger.set(grant(process_id("b", 1), 1_000, 800, 0));
    fixture.account.observe(ledger, Ver(2));
    assert_eq!(fixture.reserve_tokens(300), Err(Denied::Spent));
    fixture.account.set_prepaid(Tokens(2_000));
    assert_eq!(fixture.reserve_tokens(300), Err(Denied::NoneHere));
}

#[tokio::test(start_paused = true)]
async fn account_written_off_loan() {
    // Guards against telling a customer that the budget is spent because of a request whose cost is
    // unknown.
    let mut fixture = AccountFixture::new(1_000);
    fixture.reserve_written(800);
    fixture.account.prove(Tokens(100));
    fixture.account.write_off(Tokens(800), Tokens(100));
    assert_eq!((fixture.account.charged(), fixture.account.settled()), (Tokens(800), Tokens(100)));
    assert_eq!(fixture.reserve_tokens(300), Err(Denied::NoneHere));
    let (ledger, _) = fixture.account.released_ledger().unwrap();
    assert_eq!((ledger.closed, ledger.doubt), (Tokens(800), Tokens(700)));
}

#[tokio::test(start_paused = true)]
async fn account_fair_share_of_remainder() {
    // Guards against a router that holds half of the last tokens without need while another refuses
    // requests. Each grant must end at its router's share of the rest, by spending rate.
    let mut fixture = AccountFixture::new(1_000_000);
    let mut ledger = Ledger::default();
    ledger.closed = Tokens(900_000);
    ledger.set(grant(process_id("b", 1), 20_000, 0, 30_000));
    fixture.account.observe(ledger, Ver(1));
    for _ in 0..10 {
        fixture.reserve_written(3_000);
    }
    let later = Instant::now() + Duration::from_secs(1);
    if let Some(change) = fixture.next_grant_change(later) {
        assert!(change.ceiling.is_some_and(|c| c < Tokens(60_000)), "{:?}", change.ceiling);
        assert!(change.ledger.committed() <= Tokens(1_000_000));
    }
    assert!(fixture.account.ceiling() < Tokens(80_000), "{}", fixture.account.ceiling());
}

#[tokio::test(start_paused = true)]
async fn account_idle_release() {
    // Guards against ledgers that list every router that ever spent. A grant without requests is
    // returned together with what was spent of it; later spending starts from zero and needs a new
    // limit.
    let mut fixture = AccountFixture::new(100_000);
    fixture.reserve_written(1_000);
    fixture.settle(1_000, 400);
    let later = Instant::now() + Duration::from_secs(30);
    let change = fixture.next_grant_change(later).expect("the grant is returned");
    assert_eq!((change.ceiling, change.ledger.closed), (None, Tokens(400)));
    fixture.account.begin_grant_write(&change);
    fixture.account.grant_written(&change, Ver(50), later);
    assert_eq!((fixture.account.charged(), fixture.account.allowed(later)), (Tokens(0), Tokens(0)));
    assert!(fixture.account.next_limit(StoreMs(1_000), later, SIZING).is_none());
    fixture.reserve_written(1_000);
    assert_eq!(fixture.account.charged(), Tokens(1_000));
}

#[tokio::test(start_paused = true)]
async fn account_released_ledger() {
    let mut fixture = AccountFixture::new(10_000);
    fixture.reserve_written(500);
    fixture.settle(500, 300);
    let ver = fixture.account.ver();
    let (ledger, expect) = fixture.account.released_ledger().unwrap();
    assert_eq!((ledger.closed, ledger.committed(), expect), (Tokens(300), Tokens(300), ver));
}
