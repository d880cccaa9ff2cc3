//! A router's accounts: requests take their parts here, and the accounts are kept in step with
//! the store.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::account::{Account, Denied};
use super::calls::{BACKOFF, BATCH, Went};
use super::ledger::HolderName;
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

/// How long a request waits for its line to open, at the most. A cut from the store begins with a
/// time in which the lines of nearly spent budgets do not open yet; a refusal would bring the
/// caller back no sooner, and perhaps in vain. Mean worth of 30 days with 1,000 and 1,500 ms:
/// 0.695 and 0.699.
const OPENING: Duration = Duration::from_millis(1_500);
/// Pause between two looks of a request that waits for its line: the clock's tick.
const LEAST_PAUSE: Duration = Duration::from_millis(1);

/// Settings of budgets.
#[derive(Clone, Copy, Debug)]
pub struct KeeperSettings {
    /// The longest cut from the store that should not be felt, ms.
    pub horizon_ms: u64,
    /// How long a request waits for a part of the budget to be fetched.
    pub patience: Duration,
}

/// The newest store time that an answer carried, and when it arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct Seen {
    pub(super) at: StoreMs,
    pub(super) learnt: Instant,
}

/// One organisation at this router.
pub(super) struct Slot {
    pub(super) org: CompactString,
    pub(super) account: Account,
    /// When the call for its row that is under way was sent.
    pub(super) sent: Option<Instant>,
    /// No call for its row before this.
    pub(super) not_before: Instant,
    /// Whether the last call failed.
    pub(super) failing: bool,
    /// Races lost in a row.
    pub(super) races: u32,
    /// When its row was read last.
    pub(super) read: Instant,
}

impl Slot {
    fn new(org: CompactString, me: &HolderName, now: Instant) -> Slot {
        Slot {
            org,
            account: Account::new(me.clone(), now),
            sent: None,
            not_before: now,
            failing: false,
            races: 0,
            read: now,
        }
    }

    pub(super) fn is_free(&self, now: Instant) -> bool {
        self.sent.is_none() && self.not_before <= now
    }

    /// Whether waiting for the store is in vain.
    fn is_slow(&self, now: Instant) -> bool {
        self.failing || self.sent.is_some_and(|t| now - t > SLOW)
    }
}

/// All accounts of a router.
pub struct Keeper<S> {
    pub(super) store: S,
    pub(super) me: HolderName,
    pub(super) settings: KeeperSettings,
    pub(super) log: Log,
    pub(super) slots: RefCell<Vec<Slot>>,
    pub(super) seen: Cell<Option<Seen>>,
    /// The first store time that this process learnt.
    pub(super) began: Cell<Option<StoreMs>>,
    /// Calls under way.
    pub(super) under_way: Cell<usize>,
    /// Ledgers that go into one transaction.
    pub(super) batch: Cell<usize>,
    pub(super) started: Instant,
    /// Where in the time for it this router closes what its predecessors left open for
    /// organisations that spend nothing here, 0 to 1.
    pub(super) turn: f64,
    /// Routers of the fleet, once that is known.
    pub(super) routers: Cell<Option<u64>>,
    pub(super) urgent: Notify,
    pub(super) changed: Notify,
    pub(super) stopped: Cell<bool>,
}

/// A request's part of a budget; given back as spent when dropped, unless settled.
pub struct Hold<S: RowStore> {
    keeper: Rc<Keeper<S>>,
    org: CompactString,
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
        let more = Tokens(self.actual.0.min(self.most.0).saturating_sub(self.proven.0));
        self.proven.0 += more.0;
        self.keeper.with(&self.org, |a| a.prove(more));
    }

    /// What it has cost so far.
    pub fn spent(&self) -> Tokens {
        self.actual
    }
}

impl<S: RowStore> Drop for Hold<S> {
    fn drop(&mut self) {
        let (most, actual, proven) = (self.most, self.actual, self.proven);
        self.keeper.with(&self.org, |a| a.settle(most, actual, proven));
    }
}

impl<S: RowStore> Keeper<S> {
    /// A keeper for the process `me`.
    pub fn new(store: S, me: HolderName, settings: KeeperSettings, log: Log) -> Keeper<S> {
        Keeper {
            store,
            me,
            settings,
            log,
            slots: RefCell::default(),
            seen: Cell::new(None),
            began: Cell::new(None),
            under_way: Cell::new(0),
            batch: Cell::new(BATCH.0),
            started: Instant::now(),
            turn: fastrand::f64(),
            routers: Cell::new(None),
            urgent: Notify::new(),
            changed: Notify::new(),
            stopped: Cell::new(false),
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
                    slots.insert(i, Slot::new(org, &self.me, now));
                    i
                }
            };
            slots[i].account.set_prepaid(prepaid);
        }
        drop(slots);
        self.urgent.notify_one();
    }

    /// How many routers may draw on the budgets.
    pub fn set_routers(&self, n: u64) {
        self.routers.set(Some(n.max(1)));
    }

    /// Notes the store time that some answer carried.
    pub fn saw(&self, at: StoreMs) {
        if self.began.get().is_none() {
            self.began.set(Some(at));
        }
        if self.seen.get().is_none_or(|s| s.at < at) {
            self.seen.set(Some(Seen { at, learnt: Instant::now() }));
        }
    }

    pub(super) fn with_slot<T>(&self, org: &str, f: impl FnOnce(&mut Slot) -> T) -> Option<T> {
        let mut slots = self.slots.borrow_mut();
        let i = slots.binary_search_by(|s| s.org.as_str().cmp(org)).ok()?;
        Some(f(&mut slots[i]))
    }

    pub(super) fn with<T>(&self, org: &str, f: impl FnOnce(&mut Account) -> T) -> Option<T> {
        self.with_slot(org, |s| f(&mut s.account))
    }

    /// How long until this router may spend `most` more for an organisation, if it knows.
    pub fn room_in(&self, org: &str, most: Tokens) -> Option<Duration> {
        self.with(org, |a| a.room_in(most, Instant::now())).flatten()
    }

    /// What a refusal of an organisation's request rests on, for the log.
    pub fn describe(&self, org: &str) -> String {
        let state = self.with(org, |a| a.describe(Instant::now()));
        state.unwrap_or_else(|| "unknown_organisation".to_owned())
    }

    /// Takes `most` tokens of an organisation's budget for a request. If this router has no
    /// part left, it waits a moment for one.
    ///
    /// # Errors
    /// See [`Denied`].
    pub async fn hold(self: &Rc<Self>, org: &str, most: Tokens) -> Result<Hold<S>, Denied> {
        let until = Instant::now() + self.settings.patience;
        let opened = Instant::now() + OPENING;
        loop {
            if self.stopped.get() {
                return Err(Denied::NoneHere);
            }
            let changed = self.changed.notified();
            let taken = self.with(org, |a| a.hold(most, Instant::now()));
            match taken {
                None => return Err(Denied::NoneHere),
                Some(Ok(())) => {
                    let org = CompactString::from(org);
                    let (actual, proven) = (Tokens(0), Tokens(0));
                    return Ok(Hold { keeper: self.clone(), org, most, actual, proven });
                }
                Some(Err(Denied::Spent)) => return Err(Denied::Spent),
                Some(Err(Denied::NoneHere)) => self.urgent.notify_one(),
            }
            let now = Instant::now();
            let room = self.with(org, |a| a.room_in(most, now)).flatten().map(|d| now + d);
            let in_vain = self.with_slot(org, |s| s.is_slow(now)).unwrap_or(true);
            // What the line in force lets through soon needs no answer of the store.
            let next = match room.filter(|r| *r <= opened) {
                Some(room) => room.max(now + LEAST_PAUSE),
                None if in_vain || now >= until => return Err(Denied::NoneHere),
                None => until,
            };
            // Either the time is over or something changed: both are looked at above.
            let _ = timeout_at(next, changed).await;
        }
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
                return;
            }
            let calls: FuturesUnordered<_> =
                leaving.chunks(self.batch.get()).map(|c| self.take_leave(c)).collect();
            let went: Vec<Went> = calls.collect().await;
            if went.contains(&Went::Failed) {
                sleep(BACKOFF).await;
            }
        }
    }
}
