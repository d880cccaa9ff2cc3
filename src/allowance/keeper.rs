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
use super::calls::{BACKOFF, Went};
use super::ledger::ProcessId;
use super::order::{Lender, Lenders, Source};
use super::peers::Peers;
use super::place::Place;
use super::spending::PredecessorSpending;
use crate::ids::Tokens;
use crate::oplog::Log;
use crate::rows::{RowStore, StoreMs};

/// Pause between two looks at what should be written when nothing is urgent.
const TICK: Duration = Duration::from_millis(100);
/// A write that is not answered after so long will not be in time for a request that waits.
const SLOW: Duration = Duration::from_millis(40);
/// Time from an urgent demand to its write, so that requests that come together share one.
const GATHER: Duration = Duration::from_millis(4);
/// Attempts to write the last state at a planned stop.
const FAREWELL_TRIES: u32 = 12;
/// Pauses between two readings of a row while a request waits in vain, the first one and the
/// longest: doubled while nothing changes. Shorter ones cost more store calls than all writes
/// together once many organisations are nearly spent.
pub(super) const REREAD: (Duration, Duration) =
    (Duration::from_millis(750), Duration::from_secs(6));

/// How long a request waits for a line to open, at the most. A cut from the store begins with a
/// time in which the lines of nearly spent budgets do not open yet; a refusal would bring the
/// caller back no sooner, and perhaps in vain. Mean worth of 30 days with 1,000 and 1,500 ms:
/// 0.695 and 0.699.
const OPENING: Duration = Duration::from_millis(1_500);
/// Pause between two looks of a request that waits for its line: the clock's tick.
const LEAST_PAUSE: Duration = Duration::from_millis(1);
/// Once nobody had a part, requests of that size or more are refused without asking for so long.
const NOWHERE: Duration = Duration::from_millis(200);
/// Routers that are reckoned with until it is known how many there are.
const ROUTERS_UNKNOWN: u64 = 64;

/// Settings of budgets.
#[derive(Clone, Copy, Debug)]
pub struct KeeperSettings {
    /// The longest cut from the store that should not be felt, ms.
    pub horizon_ms: u64,
    /// How long a request waits for a part of the budget to be fetched.
    pub patience: Duration,
}

/// Why a request got no part of its organisation's budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// No router that was asked has a part left.
    NoneHere(Asked),
    /// The organisation's row shows that the request does not fit any more.
    Spent,
}

/// Whom a request asked for a part in vain.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Asked {
    /// How soon one of them has a part, if any knows.
    pub room: Option<Duration>,
    /// Those that have none, this router among them.
    pub short: u32,
    /// Those that did not answer.
    pub silent: u32,
}

/// The newest store time that an answer carried, and when it arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct Seen {
    pub(super) at: StoreMs,
    pub(super) received_at: Instant,
}

/// One organisation at this router.
pub(super) struct Slot {
    pub(super) org: CompactString,
    pub(super) account: Account,
    /// What earlier processes at this place left open.
    pub(super) predecessors: Vec<PredecessorSpending>,
    /// When the call for its row that is under way was sent.
    pub(super) sent: Option<Instant>,
    /// No call for its row before this.
    pub(super) not_before: Instant,
    /// Whether the last call failed.
    pub(super) failing: bool,
    /// Races lost in a row.
    pub(super) races: u32,
    /// When its row was read last, and the pause until it is read again in vain.
    pub(super) read: Instant,
    pub(super) reread: Duration,
    /// Whom to ask for a part, as of a number of the lenders' list.
    order: (u64, Rc<[Source]>),
    /// Nobody had a part for a request of this size, until when that counts.
    nowhere: Option<(Tokens, Instant)>,
}

impl Slot {
    fn new(org: CompactString, me: &ProcessId, now: Instant) -> Slot {
        Slot {
            org,
            account: Account::new(me.clone(), now),
            predecessors: Vec::new(),
            sent: None,
            not_before: now,
            failing: false,
            races: 0,
            read: now,
            reread: REREAD.0,
            order: (0, Rc::new([Source::Own])),
            nowhere: None,
        }
    }

    pub(super) fn is_free(&self, now: Instant) -> bool {
        self.sent.is_none() && self.not_before <= now
    }

    /// Somebody may have a part again.
    pub(super) fn forget_nowhere(&mut self) {
        self.nowhere = None;
    }

    /// Whether waiting for its row is in vain.
    fn is_slow(&self, now: Instant) -> bool {
        self.failing || self.sent.is_some_and(|t| now - t > SLOW)
    }

    /// Whether the row as it was read a moment ago has nothing for a request of `most`.
    fn is_empty_for(&self, most: Tokens, now: Instant) -> bool {
        self.account.is_known()
            && !self.account.may_be_granted(most)
            && now.saturating_duration_since(self.read) < self.reread
    }
}

/// All accounts of a router.
pub struct Keeper<S> {
    pub(super) store: S,
    pub(super) me: ProcessId,
    pub(super) settings: KeeperSettings,
    pub(super) log: Log,
    pub(super) slots: RefCell<Vec<Slot>>,
    /// This place's row.
    pub(super) place: RefCell<Place>,
    pub(super) seen: Cell<Option<Seen>>,
    /// The first store time that this process learnt.
    pub(super) began: Cell<Option<StoreMs>>,
    /// Calls under way.
    pub(super) under_way: Cell<usize>,
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
    pub(super) leaving: Cell<bool>,
}

/// Why one router has no part for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Short {
    /// It has none left; in so long its line will let one through, if it will.
    NoneHere(Option<Duration>),
    /// See [`Refusal::Spent`].
    Spent,
}

/// Where a request's part of a budget came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Part {
    /// This router's own grant.
    Own,
    /// The loan of this number.
    Loan(u64),
}

/// A request's part of a budget; given back as spent when dropped, unless settled.
pub struct Hold<S: RowStore> {
    keeper: Rc<Keeper<S>>,
    org: CompactString,
    part: Part,
    most: Tokens,
    actual: Tokens,
    proven: Tokens,
}

impl<S: RowStore> Hold<S> {
    /// Sets what the request has cost so far.
    pub fn cost(&mut self, actual: Tokens) {
        self.actual = actual;
    }

    /// Its caller has all that it has cost so far.
    pub fn prove(&mut self) {
        let more = self.actual.min(self.most).minus(self.proven);
        self.proven.0 += more.0;
        match self.part {
            Part::Own => self.keeper.change(&self.org, |a| a.prove(more)),
            Part::Loan(number) => self.keeper.use_loan(number, self.actual, self.proven),
        }
    }

    /// What it has cost so far.
    pub fn spent(&self) -> Tokens {
        self.actual
    }
}

impl<S: RowStore> Drop for Hold<S> {
    fn drop(&mut self) {
        let (most, actual, proven) = (self.most, self.actual, self.proven);
        match self.part {
            Part::Own => self.keeper.change(&self.org, |a| a.settle(most, actual, proven)),
            Part::Loan(number) => self.keeper.end_loan(number, actual, proven),
        }
    }
}

/// A request's demand while it waits for this router's rows.
struct Waiting<'a, S: RowStore> {
    keeper: &'a Keeper<S>,
    org: &'a str,
    most: Tokens,
}

impl<'a, S: RowStore> Waiting<'a, S> {
    fn begin(keeper: &'a Keeper<S>, org: &'a str, most: Tokens) -> Waiting<'a, S> {
        keeper.change(org, |a| a.add_waiting(most));
        Waiting { keeper, org, most }
    }
}

impl<S: RowStore> Drop for Waiting<'_, S> {
    fn drop(&mut self) {
        self.keeper.change(self.org, |a| a.remove_waiting(self.most));
    }
}

impl<S: RowStore> Keeper<S> {
    /// A keeper for the process `me`.
    pub fn new(store: S, me: ProcessId, settings: KeeperSettings, log: Log) -> Keeper<S> {
        Keeper {
            store,
            me,
            settings,
            log,
            slots: RefCell::default(),
            place: RefCell::default(),
            seen: Cell::new(None),
            began: Cell::new(None),
            under_way: Cell::new(0),
            routers: Cell::new(ROUTERS_UNKNOWN),
            lenders: RefCell::default(),
            peers: Peers::default(),
            urgent: Notify::new(),
            changed: Notify::new(),
            stopped: Cell::new(false),
            leaving: Cell::new(false),
        }
    }

    /// Takes over the operator's amounts; `orgs` is sorted by name.
    pub fn set_prepaid(&self, orgs: impl Iterator<Item = (CompactString, Tokens)>) {
        let now = Instant::now();
        let mut slots = self.slots.borrow_mut();
        for (org, prepaid) in orgs {
            let i = match slots.binary_search_by(|s| s.org.cmp(&org)) {
                Ok(i) => i,
                Err(i) => {
                    let mut slot = Slot::new(org, &self.me, now);
                    slot.predecessors = self.place.borrow_mut().take_orphans(&slot.org);
                    slots.insert(i, slot);
                    i
                }
            };
            slots[i].account.set_prepaid(prepaid);
            slots[i].nowhere = None;
        }
        drop(slots);
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
    pub fn saw(&self, at: StoreMs) {
        if self.began.get().is_none() {
            self.began.set(Some(at));
        }
        if self.seen.get().is_none_or(|s| s.at < at) {
            self.seen.set(Some(Seen { at, received_at: Instant::now() }));
        }
    }

    /// The store's time as far as it is known; 0 before its first answer.
    pub fn store_now(&self) -> StoreMs {
        let since =
            |s: Seen| s.at.0 + u64::try_from(s.received_at.elapsed().as_millis()).unwrap_or(0);
        StoreMs(self.seen.get().map_or(0, since))
    }

    pub(super) fn with_slot<T>(&self, org: &str, f: impl FnOnce(&mut Slot) -> T) -> Option<T> {
        let mut slots = self.slots.borrow_mut();
        let i = slots.binary_search_by(|s| s.org.as_str().cmp(org)).ok()?;
        Some(f(&mut slots[i]))
    }

    pub(super) fn with<T>(&self, org: &str, f: impl FnOnce(&mut Account) -> T) -> Option<T> {
        self.with_slot(org, |s| f(&mut s.account))
    }

    /// Changes the account of an organisation that has one. Accounts are never removed, so that
    /// whatever was taken from one can be settled there.
    pub(super) fn change(&self, org: &str, f: impl FnOnce(&mut Account)) {
        if self.with(org, f).is_none() {
            self.log.note("budget_row", format_args!("org={org} error=no_account"));
        }
    }

    /// What a refusal of an organisation's request rests on, for the log.
    pub fn describe(&self, org: &str) -> String {
        let state = self.with(org, |a| a.describe(Instant::now()));
        state.unwrap_or_else(|| "unknown_organisation".to_owned())
    }

    /// Whom to ask for a part of an organisation's budget.
    fn order(&self, org: &str) -> Rc<[Source]> {
        let lenders = self.lenders.borrow();
        let (number, lenders) = &*lenders;
        let order = self.with_slot(org, |s| {
            if s.order.0 != *number {
                s.order = (*number, lenders.order(org).into());
            }
            s.order.1.clone()
        });
        order.unwrap_or_else(|| Rc::new([]))
    }

    /// Takes `most` tokens of an organisation's budget for a request. See [`Keeper::hold_by`].
    ///
    /// # Errors
    /// See [`Refusal`].
    pub async fn hold(self: &Rc<Self>, org: &str, most: Tokens) -> Result<Hold<S>, Refusal> {
        self.hold_by(org, most, Instant::now() + OPENING).await
    }

    /// Takes `most` tokens of an organisation's budget for a request that must go on before
    /// `until`. Asks one router after another, this one among them; if all are short but some
    /// line opens in time, waits for that.
    ///
    /// # Errors
    /// See [`Refusal`].
    pub async fn hold_by(
        self: &Rc<Self>,
        org: &str,
        most: Tokens,
        until: Instant,
    ) -> Result<Hold<S>, Refusal> {
        let opened = (Instant::now() + OPENING).min(until);
        if self.is_nowhere(org, most) {
            return Err(Refusal::NoneHere(Asked::default()));
        }
        loop {
            let asked = match self.seek(org, most, until).await {
                Ok(part) => {
                    let org = CompactString::from(org);
                    let (actual, proven) = (Tokens(0), Tokens(0));
                    return Ok(Hold { keeper: self.clone(), org, part, most, actual, proven });
                }
                Err(Refusal::Spent) => return Err(Refusal::Spent),
                Err(Refusal::NoneHere(asked)) => asked,
            };
            let Some(room) = asked.room.filter(|r| Instant::now() + *r <= opened) else {
                if asked.room.is_none() {
                    let over = Instant::now() + NOWHERE;
                    self.with_slot(org, |s| s.nowhere = Some((most, over)));
                }
                return Err(Refusal::NoneHere(asked));
            };
            sleep(room.max(LEAST_PAUSE)).await;
        }
    }

    fn is_nowhere(&self, org: &str, most: Tokens) -> bool {
        let now = Instant::now();
        let nowhere = self.with_slot(org, |s| s.nowhere).flatten();
        nowhere.is_some_and(|(size, over)| most >= size && now < over)
    }

    /// Asks all that may have a part, once.
    async fn seek(
        self: &Rc<Self>,
        org: &str,
        most: Tokens,
        until: Instant,
    ) -> Result<Part, Refusal> {
        let mut asked = Asked::default();
        for source in self.order(org).iter() {
            let part = match source {
                Source::Fallback if asked.silent == 0 && asked.short > 0 => continue,
                Source::Own | Source::Fallback => {
                    self.lend(org, most, self.settings.patience).await.map(|()| Part::Own)
                }
                Source::Peer(addr) => match self.borrow(*addr, org, most).await {
                    Some(answer) => answer.map(Part::Loan),
                    None => {
                        asked.silent += 1;
                        continue;
                    }
                },
            };
            match part {
                Ok(part) => return Ok(part),
                Err(Short::Spent) => return Err(Refusal::Spent),
                Err(Short::NoneHere(room)) => {
                    asked.short += 1;
                    asked.room = asked.room.into_iter().chain(room).min();
                }
            }
            if Instant::now() >= until {
                break;
            }
        }
        Err(Refusal::NoneHere(asked))
    }

    /// Takes `most` out of this router's own grant. While the store answers, waits for the writes
    /// that it takes.
    pub(super) async fn lend(
        &self,
        org: &str,
        most: Tokens,
        patience: Duration,
    ) -> Result<(), Short> {
        let until = Instant::now() + patience;
        let mut waiting = None;
        loop {
            if self.stopped.get() {
                return Err(Short::NoneHere(None));
            }
            let changed = self.changed.notified();
            let now = Instant::now();
            match self.with(org, |a| a.hold(most, now)) {
                None => return Err(Short::NoneHere(None)),
                Some(Ok(())) => return Ok(()),
                Some(Err(Denied::Spent)) => return Err(Short::Spent),
                Some(Err(Denied::NoneHere)) => (),
            }
            if waiting.is_none() {
                waiting = Some(Waiting::begin(self, org, most));
            }
            self.urgent.notify_one();
            if now >= until || self.is_in_vain(org, most, now) {
                let room = self.with(org, |a| a.time_until_allowed(most, now)).flatten();
                return Err(Short::NoneHere(room));
            }
            // Either the time is over or something changed: both are looked at above.
            let _ = timeout_at(until, changed).await;
        }
    }

    /// Whether no write that is under way or due can help a request of `most`.
    fn is_in_vain(&self, org: &str, most: Tokens, now: Instant) -> bool {
        let place_slow = self.place.borrow().is_slow(now, SLOW);
        let of_slot = |s: &mut Slot| match s.account.missing_cover(most, now) {
            Some(MissingCover::Grant) => s.is_slow(now) || s.is_empty_for(most, now) || place_slow,
            Some(MissingCover::SpendingLimit) => place_slow,
            None => false,
        };
        self.with_slot(org, of_slot).unwrap_or(true)
    }

    /// Runs until [`Keeper::stop`].
    pub async fn run(self: Rc<Self>) {
        let mut calls = FuturesUnordered::new();
        let mut gathering: Option<Instant> = None;
        while !self.stopped.get() {
            if gathering.is_none() {
                calls.extend(self.due_calls().into_iter().map(|call| self.perform(call)));
            }
            let next_look = gathering.unwrap_or_else(|| Instant::now() + TICK);
            tokio::select! {
                () = sleep_until(next_look) => gathering = None,
                Some(()) = calls.next(), if !calls.is_empty() => (),
                () = self.urgent.notified(), if gathering.is_none() => {
                    gathering = Some(Instant::now() + GATHER);
                }
            }
        }
        // What was sent may still take effect: its answer says so.
        while calls.next().await.is_some() {}
    }

    /// Lends to no other router any more: a planned stop has begun.
    pub fn leave(&self) {
        self.leaving.set(true);
    }

    /// Ends the keeper without a word to the store, as the end of the process would.
    pub fn halt(&self) {
        self.stopped.set(true);
    }

    /// Ends the keeper and gives back everything that is not spent. Called once nothing runs.
    pub async fn stop(&self) {
        self.stopped.set(true);
        self.urgent.notify_one();
        while self.under_way.get() > 0 {
            self.changed.notified().await;
        }
        for _ in 0..FAREWELL_TRIES {
            let leaving = self.farewells();
            if leaving.is_empty() {
                return self.clear_place().await;
            }
            let calls: FuturesUnordered<_> =
                leaving.into_iter().map(|(org, l, v)| self.take_leave(org, l, v)).collect();
            let went: Vec<Went> = calls.collect().await;
            if went.contains(&Went::Failed) {
                sleep(BACKOFF).await;
            }
        }
    }
}
