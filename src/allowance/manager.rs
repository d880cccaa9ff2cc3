//! A router's accounts: requests take their parts here, from this router's own grants or from
//! another router's, and the accounts are kept in step with the store.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::account::{Account, Denied, MissingCover};
use super::calls::{CALL_BACKOFF, CallOutcome};
use super::ledger::ProcessId;
use super::lenders::{Lender, Lenders, Source};
use super::peers::Peers;
use super::spending::PredecessorSpending;
use super::spending_row::SpendingRow;
use crate::ids::Tokens;
use crate::oplog::Log;
use crate::rows::{RowStore, StoreMs};

/// Pause between two looks at what should be written when nothing is urgent.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A write that is not answered after so long will not be in time for a request that waits.
const STALLED_AFTER: Duration = Duration::from_millis(40);
/// Time from an urgent demand to its write, so that requests that come together share one.
const URGENT_BATCH_DELAY: Duration = Duration::from_millis(4);
/// Attempts to write the last state at a planned stop.
const MAX_RELEASE_ATTEMPTS: u32 = 12;
/// Pauses between two readings of a row while a request waits in vain, the first one and the
/// longest: doubled while nothing changes. Shorter ones cost more store calls than all writes
/// together once many organisations are nearly spent.
pub(super) const REREAD_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(750), Duration::from_secs(6));

/// How long a request waits for a line to open, at the most. A cut from the store begins with a
/// time in which the lines of nearly spent budgets do not open yet; a refusal would bring the
/// caller back no sooner, and perhaps in vain. Mean worth of 30 days with 1,000 and 1,500 ms:
/// 0.695 and 0.699.
const MAX_LIMIT_WAIT: Duration = Duration::from_millis(1_500);
/// Pause between two looks of a request that waits for its line: the clock's tick.
const MIN_LIMIT_PAUSE: Duration = Duration::from_millis(1);
/// Once nobody had a part, requests of that size or more are refused without asking for so long.
const UNAVAILABLE_TTL: Duration = Duration::from_millis(200);
/// Routers that are reckoned with until it is known how many there are.
const ROUTERS_WHEN_UNKNOWN: u64 = 64;

/// Settings of budgets.
#[derive(Clone, Copy, Debug)]
pub struct BudgetSettings {
    /// The longest cut from the store that should not be felt, ms.
    pub horizon_ms: u64,
    /// How long a request waits for a part of the budget to be fetched.
    pub patience: Duration,
}

/// Why a request got no part of its organisation's budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// No router that was asked has a part left.
    NoneHere(LenderSearch),
    /// The organisation's row shows that the request does not fit any more.
    Spent,
}

/// Whom a request asked for a part in vain.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LenderSearch {
    /// How soon one of them has a part, if any knows.
    pub available_in: Option<Duration>,
    /// Those that have none, this router among them.
    pub insufficient: u32,
    /// Those that did not answer.
    pub unresponsive: u32,
}

/// The newest store time that an answer carried, and when it arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct ObservedStoreTime {
    pub(super) at: StoreMs,
    pub(super) received_at: Instant,
}

/// One organisation at this router.
pub(super) struct OrgState {
    pub(super) org: CompactString,
    pub(super) account: Account,
    /// What earlier processes at this place left open.
    pub(super) predecessors: Vec<PredecessorSpending>,
    /// When the call for its row that is under way was sent.
    pub(super) sent_at: Option<Instant>,
    /// No call for its row before this.
    pub(super) not_before: Instant,
    /// Whether the last call failed.
    pub(super) last_call_failed: bool,
    /// Races lost in a row.
    pub(super) conflicts: u32,
    /// When its row was read last, and the pause until it is read again in vain.
    pub(super) read_at: Instant,
    pub(super) reread_backoff: Duration,
    /// Whom to ask for a part, as of a number of the lenders' list.
    lending_order: (u64, Rc<[Source]>),
    /// Nobody had a part for a request of this size, until when that counts.
    unavailable: Option<(Tokens, Instant)>,
}

impl OrgState {
    fn new(org: CompactString, me: &ProcessId, now: Instant) -> OrgState {
        OrgState {
            org,
            account: Account::new(me.clone(), now),
            predecessors: Vec::new(),
            sent_at: None,
            not_before: now,
            last_call_failed: false,
            conflicts: 0,
            read_at: now,
            reread_backoff: REREAD_BACKOFF.0,
            lending_order: (0, Rc::new([Source::Own])),
            unavailable: None,
        }
    }

    pub(super) fn can_call(&self, now: Instant) -> bool {
        self.sent_at.is_none() && self.not_before <= now
    }

    /// Somebody may have a part again.
    pub(super) fn clear_unavailable(&mut self) {
        self.unavailable = None;
    }

    /// Whether waiting for its row is in vain.
    fn is_stalled(&self, now: Instant) -> bool {
        self.last_call_failed || self.sent_at.is_some_and(|t| now - t > STALLED_AFTER)
    }

    /// Whether the row as it was read a moment ago has nothing for a request of `most`.
    fn is_exhausted_for(&self, max_cost: Tokens, now: Instant) -> bool {
        self.account.is_known()
            && !self.account.may_be_granted(max_cost)
            && now.saturating_duration_since(self.read_at) < self.reread_backoff
    }
}

/// All accounts of a router.
pub struct BudgetManager<S> {
    pub(super) store: S,
    pub(super) me: ProcessId,
    pub(super) settings: BudgetSettings,
    pub(super) log: Log,
    pub(super) org_states: RefCell<Vec<OrgState>>,
    /// This place's row.
    pub(super) spending_row: RefCell<SpendingRow>,
    pub(super) store_time: Cell<Option<ObservedStoreTime>>,
    /// The first store time that this process learnt.
    pub(super) first_store_time: Cell<Option<StoreMs>>,
    /// Calls under way.
    pub(super) calls_in_flight: Cell<usize>,
    /// See [`Keeper::set_routers`].
    routers: Cell<u64>,
    /// The routers that lend, and how often they changed.
    lenders: RefCell<(u64, Lenders)>,
    /// What is said to other routers, and what was lent and borrowed.
    pub(super) peers: Peers,
    pub(super) urgent: Notify,
    pub(super) changed: Notify,
    pub(super) stopped: Cell<bool>,
    /// Set once this router no longer lends.
    pub(super) lending_stopped: Cell<bool>,
}

/// Why one router has no part for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Shortfall {
    /// It has none left; in so long its line will let one through, if it will.
    NoneHere(Option<Duration>),
    /// See [`Refusal::Spent`].
    Spent,
}

/// Where a request's part of a budget came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReservedFrom {
    /// This router's own grant.
    Own,
    /// The loan of this number.
    Loan(u64),
}

/// A request's part of a budget; given back as spent when dropped, unless settled.
pub struct Reservation<S: RowStore> {
    keeper: Rc<BudgetManager<S>>,
    org: CompactString,
    reserved_from: ReservedFrom,
    max_cost: Tokens,
    actual: Tokens,
    proven: Tokens,
}

impl<S: RowStore> Reservation<S> {
    /// Sets what the request has cost so far.
    pub fn set_cost(&mut self, actual: Tokens) {
        self.actual = actual;
    }

    /// Its caller has all that it has cost so far.
    pub fn confirm_delivered(&mut self) {
        let more = self.actual.min(self.max_cost).minus(self.proven);
        self.proven.0 += more.0;
        match self.reserved_from {
            ReservedFrom::Own => self.keeper.update_account(&self.org, |a| a.prove(more)),
            ReservedFrom::Loan(number) => self.keeper.use_loan(number, self.actual, self.proven),
        }
    }

    /// What it has cost so far.
    pub fn spent(&self) -> Tokens {
        self.actual
    }
}

impl<S: RowStore> Drop for Reservation<S> {
    fn drop(&mut self) {
        let (max_cost, actual, proven) = (self.max_cost, self.actual, self.proven);
        match self.reserved_from {
            ReservedFrom::Own => {
                self.keeper.update_account(&self.org, |a| a.settle(max_cost, actual, proven))
            }
            ReservedFrom::Loan(number) => self.keeper.end_loan(number, actual, proven),
        }
    }
}

/// A request's demand while it waits for this router's rows.
struct WaitingDemand<'a, S: RowStore> {
    keeper: &'a BudgetManager<S>,
    org: &'a str,
    max_cost: Tokens,
}

impl<'a, S: RowStore> WaitingDemand<'a, S> {
    fn begin(keeper: &'a BudgetManager<S>, org: &'a str, max_cost: Tokens) -> WaitingDemand<'a, S> {
        keeper.update_account(org, |a| a.add_waiting(max_cost));
        WaitingDemand { keeper, org, max_cost }
    }
}

impl<S: RowStore> Drop for WaitingDemand<'_, S> {
    fn drop(&mut self) {
        self.keeper.update_account(self.org, |a| a.remove_waiting(self.max_cost));
    }
}

impl<S: RowStore> BudgetManager<S> {
    /// A keeper for the process `me`.
    pub fn new(store: S, me: ProcessId, settings: BudgetSettings, log: Log) -> BudgetManager<S> {
        BudgetManager {
            store,
            me,
            settings,
            log,
            org_states: RefCell::default(),
            spending_row: RefCell::default(),
            store_time: Cell::new(None),
            first_store_time: Cell::new(None),
            calls_in_flight: Cell::new(0),
            routers: Cell::new(ROUTERS_WHEN_UNKNOWN),
            lenders: RefCell::default(),
            peers: Peers::default(),
            urgent: Notify::new(),
            changed: Notify::new(),
            stopped: Cell::new(false),
            lending_stopped: Cell::new(false),
        }
    }

    /// Takes over the operator's amounts; `orgs` is sorted by name.
    pub fn set_prepaid(&self, orgs: impl Iterator<Item = (CompactString, Tokens)>) {
        let now = Instant::now();
        let mut org_states = self.org_states.borrow_mut();
        for (org, prepaid) in orgs {
            let i = match org_states.binary_search_by(|s| s.org.cmp(&org)) {
                Ok(i) => i,
                Err(i) => {
                    let mut org_state = OrgState::new(org, &self.me, now);
                    org_state.predecessors =
                        self.spending_row.borrow_mut().take_unassigned(&org_state.org);
                    org_states.insert(i, org_state);
                    i
                }
            };
            org_states[i].account.set_prepaid(prepaid);
            org_states[i].unavailable = None;
        }
        drop(org_states);
        self.urgent.notify_one();
    }

    /// How many routers may draw on the budgets, as long as it is not known who lends.
    pub fn set_routers(&self, n: u64) {
        self.routers.set(n.max(1));
    }

    /// Sets who lends: chosen among the routers that stay, this one included, which is of `zone`.
    pub fn set_lenders(&self, name: &str, zone: &str, routers: Vec<Lender>) {
        let (number, lenders) = &mut *self.lenders.borrow_mut();
        let next = Lenders::choose(name, zone, routers);
        if *lenders != next {
            *lenders = next;
            *number += 1;
        }
    }

    /// Routers that draw on the budgets.
    pub(super) fn spenders(&self) -> u64 {
        match self.lenders.borrow().1.count() {
            0 => self.routers.get(),
            n => n as u64,
        }
    }

    /// Notes the store time that some answer carried.
    pub fn observe_store_time(&self, at: StoreMs) {
        if self.first_store_time.get().is_none() {
            self.first_store_time.set(Some(at));
        }
        if self.store_time.get().is_none_or(|s| s.at < at) {
            self.store_time.set(Some(ObservedStoreTime { at, received_at: Instant::now() }));
        }
    }

    /// The store's time as far as it is known; 0 before its first answer.
    pub fn store_now(&self) -> StoreMs {
        let since = |s: ObservedStoreTime| {
            s.at.0 + u64::try_from(s.received_at.elapsed().as_millis()).unwrap_or(0)
        };
        StoreMs(self.store_time.get().map_or(0, since))
    }

    pub(super) fn with_org_state<T>(
        &self,
        org: &str,
        f: impl FnOnce(&mut OrgState) -> T,
    ) -> Option<T> {
        let mut org_states = self.org_states.borrow_mut();
        let i = org_states.binary_search_by(|s| s.org.as_str().cmp(org)).ok()?;
        Some(f(&mut org_states[i]))
    }

    pub(super) fn with_account<T>(
        &self,
        org: &str,
        f: impl FnOnce(&mut Account) -> T,
    ) -> Option<T> {
        self.with_org_state(org, |s| f(&mut s.account))
    }

    /// Changes the account of an organisation that has one. Accounts are never removed, so that
    /// whatever was taken from one can be settled there.
    pub(super) fn update_account(&self, org: &str, f: impl FnOnce(&mut Account)) {
        if self.with_account(org, f).is_none() {
            self.log.note("budget_row", format_args!("org={org} error=no_account"));
        }
    }

    /// What a refusal of an organisation's request rests on, for the log.
    pub fn describe(&self, org: &str) -> String {
        let state = self.with_account(org, |a| a.describe(Instant::now()));
        state.unwrap_or_else(|| "unknown_organisation".to_owned())
    }

    /// Whom to ask for a part of an organisation's budget.
    fn lending_order(&self, org: &str) -> Rc<[Source]> {
        let lenders = self.lenders.borrow();
        let (number, lenders) = &*lenders;
        let lending_order = self.with_org_state(org, |s| {
            if s.lending_order.0 != *number {
                s.lending_order = (*number, lenders.order(org).into());
            }
            s.lending_order.1.clone()
        });
        lending_order.unwrap_or_else(|| Rc::new([]))
    }

    /// Takes `most` tokens of an organisation's budget for a request. See [`Keeper::hold_by`].
    ///
    /// # Errors
    /// See [`Refusal`].
    pub async fn reserve_tokens(
        self: &Rc<Self>,
        org: &str,
        max_cost: Tokens,
    ) -> Result<Reservation<S>, Refusal> {
        self.reserve_by(org, max_cost, Instant::now() + MAX_LIMIT_WAIT).await
    }

    /// Takes `most` tokens of an organisation's budget for a request that must go on before
    /// `until`. Asks one router after another, this one among them; if all are short but some
    /// line opens in time, waits for that.
    ///
    /// # Errors
    /// See [`Refusal`].
    pub async fn reserve_by(
        self: &Rc<Self>,
        org: &str,
        max_cost: Tokens,
        until: Instant,
    ) -> Result<Reservation<S>, Refusal> {
        let wait_until = (Instant::now() + MAX_LIMIT_WAIT).min(until);
        if self.is_known_unavailable(org, max_cost) {
            return Err(Refusal::NoneHere(LenderSearch::default()));
        }
        loop {
            let search = match self.try_lenders(org, max_cost, until).await {
                Ok(reserved_from) => {
                    let org = CompactString::from(org);
                    let (actual, proven) = (Tokens(0), Tokens(0));
                    return Ok(Reservation {
                        keeper: self.clone(),
                        org,
                        reserved_from,
                        max_cost,
                        actual,
                        proven,
                    });
                }
                Err(Refusal::Spent) => return Err(Refusal::Spent),
                Err(Refusal::NoneHere(search)) => search,
            };
            let Some(available_in) =
                search.available_in.filter(|r| Instant::now() + *r <= wait_until)
            else {
                if search.available_in.is_none() {
                    let unavailable_until = Instant::now() + UNAVAILABLE_TTL;
                    self.with_org_state(org, |s| {
                        s.unavailable = Some((max_cost, unavailable_until))
                    });
                }
                return Err(Refusal::NoneHere(search));
            };
            sleep(available_in.max(MIN_LIMIT_PAUSE)).await;
        }
    }

    fn is_known_unavailable(&self, org: &str, max_cost: Tokens) -> bool {
        let now = Instant::now();
        let unavailable = self.with_org_state(org, |s| s.unavailable).flatten();
        unavailable
            .is_some_and(|(size, unavailable_until)| max_cost >= size && now < unavailable_until)
    }

    /// Asks all that may have a part, once.
    async fn try_lenders(
        self: &Rc<Self>,
        org: &str,
        max_cost: Tokens,
        until: Instant,
    ) -> Result<ReservedFrom, Refusal> {
        let mut search = LenderSearch::default();
        for source in self.lending_order(org).iter() {
            let reserved_from = match source {
                Source::Fallback if search.unresponsive == 0 && search.insufficient > 0 => continue,
                Source::Own | Source::Fallback => self
                    .reserve_own(org, max_cost, self.settings.patience)
                    .await
                    .map(|()| ReservedFrom::Own),
                Source::Peer(addr) => match self.borrow(*addr, org, max_cost).await {
                    Some(answer) => answer.map(ReservedFrom::Loan),
                    None => {
                        search.unresponsive += 1;
                        continue;
                    }
                },
            };
            match reserved_from {
                Ok(reserved_from) => return Ok(reserved_from),
                Err(Shortfall::Spent) => return Err(Refusal::Spent),
                Err(Shortfall::NoneHere(available_in)) => {
                    search.insufficient += 1;
                    search.available_in = search.available_in.into_iter().chain(available_in).min();
                }
            }
            if Instant::now() >= until {
                break;
            }
        }
        Err(Refusal::NoneHere(search))
    }

    /// Takes `most` out of this router's own grant. While the store answers, waits for the writes
    /// that it takes.
    pub(super) async fn reserve_own(
        &self,
        org: &str,
        max_cost: Tokens,
        patience: Duration,
    ) -> Result<(), Shortfall> {
        let until = Instant::now() + patience;
        let mut waiting = None;
        loop {
            if self.stopped.get() {
                return Err(Shortfall::NoneHere(None));
            }
            let changed = self.changed.notified();
            let now = Instant::now();
            match self.with_account(org, |a| a.reserve_tokens(max_cost, now)) {
                None => return Err(Shortfall::NoneHere(None)),
                Some(Ok(())) => return Ok(()),
                Some(Err(Denied::Spent)) => return Err(Shortfall::Spent),
                Some(Err(Denied::NoneHere)) => (),
            }
            if waiting.is_none() {
                waiting = Some(WaitingDemand::begin(self, org, max_cost));
            }
            self.urgent.notify_one();
            if now >= until || self.cannot_be_covered_soon(org, max_cost, now) {
                let available_in =
                    self.with_account(org, |a| a.time_until_allowed(max_cost, now)).flatten();
                return Err(Shortfall::NoneHere(available_in));
            }
            // Either the time is over or something changed: both are looked at above.
            let _ = timeout_at(until, changed).await;
        }
    }

    /// Whether no write that is under way or due can help a request of `most`.
    fn cannot_be_covered_soon(&self, org: &str, max_cost: Tokens, now: Instant) -> bool {
        let spending_row_stalled = self.spending_row.borrow().is_stalled(now, STALLED_AFTER);
        let is_hopeless = |s: &mut OrgState| match s.account.missing_cover(max_cost, now) {
            Some(MissingCover::Grant) => {
                s.is_stalled(now) || s.is_exhausted_for(max_cost, now) || spending_row_stalled
            }
            Some(MissingCover::SpendingLimit) => spending_row_stalled,
            None => false,
        };
        self.with_org_state(org, is_hopeless).unwrap_or(true)
    }

    /// Runs until [`Keeper::stop`].
    pub async fn run(self: Rc<Self>) {
        let mut calls = FuturesUnordered::new();
        let mut batch_until: Option<Instant> = None;
        while !self.stopped.get() {
            if batch_until.is_none() {
                calls.extend(self.due_calls().into_iter().map(|call| self.perform(call)));
            }
            let next_check = batch_until.unwrap_or_else(|| Instant::now() + CHECK_INTERVAL);
            tokio::select! {
                () = sleep_until(next_check) => batch_until = None,
                Some(()) = calls.next(), if !calls.is_empty() => (),
                () = self.urgent.notified(), if batch_until.is_none() => {
                    batch_until = Some(Instant::now() + URGENT_BATCH_DELAY);
                }
            }
        }
        // What was sent may still take effect: its answer says so.
        while calls.next().await.is_some() {}
    }

    /// Lends to no other router any more: a planned stop has begun.
    pub fn stop_lending(&self) {
        self.lending_stopped.set(true);
    }

    /// Ends the keeper without a word to the store, as the end of the process would.
    pub fn halt(&self) {
        self.stopped.set(true);
    }

    /// Ends the keeper and gives back everything that is not spent. Called once nothing runs.
    pub async fn stop(&self) {
        self.stopped.set(true);
        self.urgent.notify_one();
        while self.calls_in_flight.get() > 0 {
            self.changed.notified().await;
        }
        for _ in 0..MAX_RELEASE_ATTEMPTS {
            let releases = self.pending_releases();
            if releases.is_empty() {
                return self.clear_spending().await;
            }
            let calls: FuturesUnordered<_> =
                releases.into_iter().map(|(org, l, v)| self.write_release(org, l, v)).collect();
            let outcome: Vec<CallOutcome> = calls.collect().await;
            if outcome.contains(&CallOutcome::Failed) {
                sleep(CALL_BACKOFF).await;
            }
        }
    }
}
