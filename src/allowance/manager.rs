//! The budgets of one router. Requests reserve tokens here, from the router's own grants or from
//! other routers' grants, and the accounts are synchronised with the store.

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

/// Interval at which the manager checks for due store calls while no request waits.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A write that is not answered within this time will not finish in time for a waiting request.
const STALLED_AFTER: Duration = Duration::from_millis(40);
/// Delay between an urgent demand and its write, so that requests that arrive together share one
/// write.
const URGENT_BATCH_DELAY: Duration = Duration::from_millis(4);
/// Maximum number of attempts to return the grants at a planned stop.
const MAX_RELEASE_ATTEMPTS: u32 = 12;
/// First and longest interval between two reads of a ledger while a request waits for tokens that
/// the ledger does not have. The interval doubles while the row is unchanged. Shorter intervals
/// cost more store calls than all writes together once many organisations have nearly spent their
/// budgets.
pub(super) const REREAD_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(750), Duration::from_secs(6));

/// Maximum time for which a request waits until a spending limit allows it. At the start of a store
/// outage the limits of nearly spent budgets do not open at once. A refused caller would come back
/// no sooner, and might be refused again.
const MAX_LIMIT_WAIT: Duration = Duration::from_millis(1_500);
/// Minimum pause between two attempts of a request that waits for a spending limit: the resolution
/// of the timer.
const MIN_LIMIT_PAUSE: Duration = Duration::from_millis(1);
/// For this time after a request found no tokens at any router, requests of the same size or larger
/// are refused without asking again.
const UNAVAILABLE_TTL: Duration = Duration::from_millis(200);
/// Number of routers that is assumed until the actual number is known.
const ROUTERS_WHEN_UNKNOWN: u64 = 64;

/// Settings of the budget manager.
#[derive(Clone, Copy, Debug)]
pub struct BudgetSettings {
    /// Longest store outage that grants are sized to bridge, in ms.
    pub horizon_ms: u64,
    /// Maximum time for which a request waits for store writes, or for another router's answer.
    pub patience: Duration,
}

/// Reason for refusing to reserve tokens of an organisation's budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// None of the routers that were asked has enough tokens left.
    NoneHere(LenderSearch),
    /// The organisation's ledger proves that the request exceeds what is left of the budget.
    Spent,
}

/// Result of asking routers for tokens without success.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LenderSearch {
    /// The shortest time until one of the routers has enough tokens, if any router reported one.
    pub available_in: Option<Duration>,
    /// Number of routers without enough tokens, this router included.
    pub insufficient: u32,
    /// Number of routers that did not answer.
    pub unresponsive: u32,
}

/// The newest store time that an answer carried, and the local time at which the answer arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct ObservedStoreTime {
    pub(super) at: StoreMs,
    pub(super) received_at: Instant,
}

/// State of one organisation at this router.
pub(super) struct OrgState {
    pub(super) org: CompactString,
    pub(super) account: Account,
    /// Spending of earlier processes at this endpoint that is not closed yet.
    pub(super) predecessors: Vec<PredecessorSpending>,
    /// When the call in flight for the ledger was sent.
    pub(super) sent_at: Option<Instant>,
    /// Earliest time of the next call for the ledger.
    pub(super) not_before: Instant,
    /// Whether the last call for the ledger failed.
    pub(super) last_call_failed: bool,
    /// Number of consecutive write conflicts.
    pub(super) conflicts: u32,
    /// When the ledger was read last, and the interval until it is read again while requests wait
    /// for tokens that it does not have.
    pub(super) read_at: Instant,
    pub(super) reread_backoff: Duration,
    /// Routers to ask for tokens, in order, and the version of the lenders' list that this order
    /// was made from.
    lending_order: (u64, Rc<[Source]>),
    /// Size of a request for which no router had tokens, and until when this result is used.
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

    /// Clears the record that no router had tokens, because that may have changed.
    pub(super) fn clear_unavailable(&mut self) {
        self.unavailable = None;
    }

    /// Whether the store is too slow for a request to wait for this ledger.
    fn is_stalled(&self, now: Instant) -> bool {
        self.last_call_failed || self.sent_at.is_some_and(|t| now - t > STALLED_AFTER)
    }

    /// Whether the ledger was read recently and has too little for a request of `max_cost`.
    fn is_exhausted_for(&self, max_cost: Tokens, now: Instant) -> bool {
        self.account.is_known()
            && !self.account.may_be_granted(max_cost)
            && now.saturating_duration_since(self.read_at) < self.reread_backoff
    }
}

/// The budgets of all organisations at one router.
pub struct BudgetManager<S> {
    pub(super) store: S,
    pub(super) me: ProcessId,
    pub(super) settings: BudgetSettings,
    pub(super) log: Log,
    pub(super) org_states: RefCell<Vec<OrgState>>,
    /// State of this endpoint's row.
    pub(super) spending_row: RefCell<SpendingRow>,
    pub(super) store_time: Cell<Option<ObservedStoreTime>>,
    /// The first store time that this process received.
    pub(super) first_store_time: Cell<Option<StoreMs>>,
    /// Number of store calls in flight.
    pub(super) calls_in_flight: Cell<usize>,
    /// See [`BudgetManager::set_routers`].
    routers: Cell<u64>,
    /// The routers that lend, with a version that grows with each change.
    lenders: RefCell<(u64, Lenders)>,
    /// Messages to other routers, and the loans given and taken.
    pub(super) peers: Peers,
    pub(super) urgent: Notify,
    pub(super) changed: Notify,
    pub(super) stopped: Cell<bool>,
    /// Set once this router no longer lends.
    pub(super) lending_stopped: Cell<bool>,
}

/// Why one router cannot cover a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Shortfall {
    /// The router has too little left. The time after which its spending limit allows the request,
    /// if it will.
    NoneHere(Option<Duration>),
    /// See [`Refusal::Spent`].
    Spent,
}

/// Source of a reservation's tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReservedFrom {
    /// This router's own grant.
    Own,
    /// The loan with this number.
    Loan(u64),
}

/// Tokens reserved for a request. On drop, the actual cost is charged and the rest is returned.
pub struct Reservation<S: RowStore> {
    manager: Rc<BudgetManager<S>>,
    org: CompactString,
    reserved_from: ReservedFrom,
    max_cost: Tokens,
    actual: Tokens,
    proven: Tokens,
}

impl<S: RowStore> Reservation<S> {
    /// Sets the cost of the request so far.
    pub fn set_cost(&mut self, actual: Tokens) {
        self.actual = actual;
    }

    /// Records that the caller has received everything that the request has cost so far.
    pub fn confirm_delivered(&mut self) {
        let more = self.actual.min(self.max_cost).minus(self.proven);
        self.proven.0 += more.0;
        match self.reserved_from {
            ReservedFrom::Own => self.manager.update_account(&self.org, |a| a.prove(more)),
            ReservedFrom::Loan(number) => self.manager.use_loan(number, self.actual, self.proven),
        }
    }

    /// The cost of the request so far.
    pub fn spent(&self) -> Tokens {
        self.actual
    }
}

impl<S: RowStore> Drop for Reservation<S> {
    fn drop(&mut self) {
        let (max_cost, actual, proven) = (self.max_cost, self.actual, self.proven);
        match self.reserved_from {
            ReservedFrom::Own => {
                self.manager.update_account(&self.org, |a| a.settle(max_cost, actual, proven))
            }
            ReservedFrom::Loan(number) => self.manager.end_loan(number, actual, proven),
        }
    }
}

/// Counts a request as waiting demand until dropped.
struct WaitingDemand<'a, S: RowStore> {
    manager: &'a BudgetManager<S>,
    org: &'a str,
    max_cost: Tokens,
}

impl<'a, S: RowStore> WaitingDemand<'a, S> {
    fn begin(
        manager: &'a BudgetManager<S>,
        org: &'a str,
        max_cost: Tokens,
    ) -> WaitingDemand<'a, S> {
        manager.update_account(org, |a| a.add_waiting(max_cost));
        WaitingDemand { manager, org, max_cost }
    }
}

impl<S: RowStore> Drop for WaitingDemand<'_, S> {
    fn drop(&mut self) {
        self.manager.update_account(self.org, |a| a.remove_waiting(self.max_cost));
    }
}

impl<S: RowStore> BudgetManager<S> {
    /// A budget manager for the process `me`.
    pub fn new(store: S, me: ProcessId, settings: BudgetSettings, log: Log) -> BudgetManager<S> {
        let peers = Peers::new(me.incarnation);
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
            peers,
            urgent: Notify::new(),
            changed: Notify::new(),
            stopped: Cell::new(false),
            lending_stopped: Cell::new(false),
        }
    }

    /// Applies the prepaid amounts of the configuration; `orgs` is sorted by name.
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

    /// Sets the number of routers that may draw on the budgets. Used while the lenders are unknown.
    pub fn set_routers(&self, n: u64) {
        self.routers.set(n.max(1));
    }

    /// Chooses the lenders among `routers`, those that are not leaving, this router included. This
    /// router is the instance `name` in `zone`.
    pub fn set_lenders(&self, name: &str, zone: &str, routers: Vec<Lender>) {
        let (number, lenders) = &mut *self.lenders.borrow_mut();
        let next = Lenders::choose(name, zone, routers);
        if *lenders != next {
            *lenders = next;
            *number += 1;
        }
    }

    /// Number of routers that draw on the budgets.
    pub(super) fn spenders(&self) -> u64 {
        match self.lenders.borrow().1.count() {
            0 => self.routers.get(),
            n => n as u64,
        }
    }

    /// Records the store time that an answer carried.
    pub fn observe_store_time(&self, at: StoreMs) {
        if self.first_store_time.get().is_none() {
            self.first_store_time.set(Some(at));
        }
        if self.store_time.get().is_none_or(|s| s.at < at) {
            self.store_time.set(Some(ObservedStoreTime { at, received_at: Instant::now() }));
        }
    }

    /// Estimate of the store's current time; 0 before the first answer.
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

    /// Updates the account of an organisation that has one. Accounts are never removed, so every
    /// reservation can be settled in the account that it was taken from.
    pub(super) fn update_account(&self, org: &str, f: impl FnOnce(&mut Account)) {
        if self.with_account(org, f).is_none() {
            self.log.note("budget_row", format_args!("org={org} error=no_account"));
        }
    }

    /// State that a refusal for this organisation is based on, for the log.
    pub fn describe(&self, org: &str) -> String {
        let state = self.with_account(org, |a| a.describe(Instant::now()));
        state.unwrap_or_else(|| "unknown_organisation".to_owned())
    }

    /// Routers to ask for tokens of an organisation's budget, in order.
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

    /// Reserves `max_cost` tokens of an organisation's budget for a request. See
    /// [`BudgetManager::reserve_by`].
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

    /// Reserves `max_cost` tokens of an organisation's budget for a request that must proceed
    /// before `until`. Asks the routers that may have tokens one after another, this router
    /// included. If none of them has enough but a spending limit allows the request in time, waits
    /// for that.
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
                        manager: self.clone(),
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

    /// Asks each router that may have tokens once.
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

    /// Reserves `max_cost` tokens of this router's own grant. Waits up to `patience` for the writes
    /// that this takes, as long as the store answers.
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
            // Both a timeout and a notification are handled at the start of the loop.
            let _ = timeout_at(until, changed).await;
        }
    }

    /// Whether no write that is in flight or due can cover a request of `max_cost` in time.
    fn cannot_be_covered_soon(&self, org: &str, max_cost: Tokens, now: Instant) -> bool {
        let spending_row_stalled = self.spending_row.borrow().is_stalled(now, STALLED_AFTER);
        let cannot_be_covered = |s: &mut OrgState| match s.account.missing_cover(max_cost, now) {
            Some(MissingCover::Grant) => {
                s.is_stalled(now) || s.is_exhausted_for(max_cost, now) || spending_row_stalled
            }
            Some(MissingCover::SpendingLimit) => spending_row_stalled,
            None => false,
        };
        self.with_org_state(org, cannot_be_covered).unwrap_or(true)
    }

    /// Runs until [`BudgetManager::stop`].
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
        // Writes that were sent may still take effect, so their answers are awaited.
        while calls.next().await.is_some() {}
    }

    /// Stops lending to other routers, at the start of a planned stop.
    pub fn stop_lending(&self) {
        self.lending_stopped.set(true);
    }

    /// Stops without returning the grants to the store, as a crash would.
    pub fn halt(&self) {
        self.stopped.set(true);
    }

    /// Stops and returns all unspent tokens. Called once no request is running.
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
