//! Keeps a router's accounts in step with the store.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout_at};

use super::account::{Account, Denied, Plan, Sizing};
use super::ledger::{HolderName, Ledger};
use crate::ids::Tokens;
use crate::oplog::Log;
use crate::rows::{Row, RowKey, RowStore, StoreError, StoreMs, Tx, Ver};

/// The table of ledgers, one row an organisation.
const TABLE: &str = "budgets";
/// Pause between two looks at what should be written, for each router of the fleet, when
/// nothing is urgent. All routers together then write about 25 times a second, however many
/// they are: little against the store's limit of some hundred, and races stay rare.
const TICK_PER_ROUTER: Duration = Duration::from_millis(40);
/// Shortest and longest such pause. What is in doubt after a death grows with it.
const TICKS: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(2_500));
/// Pause between two readings of all ledgers while a request waits in vain.
const REREAD: Duration = Duration::from_millis(250);
/// A write that is not answered after so long will not be in time for a request that waits.
const SLOW: Duration = Duration::from_millis(40);
/// Shortest pause between two transactions, so that many waiting requests share one.
const GATHER: Duration = Duration::from_millis(4);
/// Pause after a transaction that the store turned away or did not answer.
const BACKOFF: Duration = Duration::from_millis(150);
/// Ledgers in one transaction, at most. The store takes 100 entries, a condition and a write
/// for each ledger.
const MAX_BATCH: usize = 40;
/// Tries in a row that lost the race for a row before a pause is made.
const RACES: u32 = 4;
/// Attempts to write the last state at a planned stop.
const FAREWELL_TRIES: u32 = 12;

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
struct Seen {
    at: StoreMs,
    learnt: Instant,
}

struct Slot {
    org: CompactString,
    account: Account,
}

/// All accounts of a router.
pub struct Keeper<S> {
    store: S,
    me: HolderName,
    settings: KeeperSettings,
    log: Log,
    slots: RefCell<Vec<Slot>>,
    seen: Cell<Option<Seen>>,
    /// The first store time that this process learnt.
    began: Cell<Option<StoreMs>>,
    /// Whether the last write failed.
    away: Cell<bool>,
    /// When the write that is under way was sent.
    sent: Cell<Option<Instant>>,
    reread: Cell<Instant>,
    routers: Cell<u64>,
    urgent: Notify,
    changed: Notify,
    stopped: Cell<bool>,
}

/// A request's part of a budget; given back as spent when dropped, unless settled.
pub struct Hold<S: RowStore> {
    keeper: Rc<Keeper<S>>,
    org: CompactString,
    most: Tokens,
    actual: Tokens,
}

impl<S: RowStore> Hold<S> {
    /// Sets what the request has cost so far.
    pub fn cost(&mut self, actual: Tokens) {
        self.actual = actual;
    }

    /// What it has cost so far.
    pub fn spent(&self) -> Tokens {
        self.actual
    }
}

impl<S: RowStore> Drop for Hold<S> {
    fn drop(&mut self) {
        let (most, actual) = (self.most, self.actual);
        self.keeper.with(&self.org, |a| a.settle(most, actual));
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
            away: Cell::new(false),
            sent: Cell::new(None),
            reread: Cell::new(Instant::now()),
            routers: Cell::new(1),
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
                    let account = Account::new(self.me.clone(), now);
                    slots.insert(i, Slot { org, account });
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
        self.routers.set(n.max(1));
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

    fn with<T>(&self, org: &str, f: impl FnOnce(&mut Account) -> T) -> Option<T> {
        let mut slots = self.slots.borrow_mut();
        let i = slots.binary_search_by(|s| s.org.as_str().cmp(org)).ok()?;
        Some(f(&mut slots[i].account))
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
                    return Ok(Hold { keeper: self.clone(), org, most, actual: Tokens(0) });
                }
                Some(Err(Denied::Spent)) => return Err(Denied::Spent),
                Some(Err(Denied::NoneHere)) => self.urgent.notify_one(),
            }
            if self.is_slow() || timeout_at(until, changed).await.is_err() {
                return Err(Denied::NoneHere);
            }
        }
    }

    /// Whether waiting for the store is in vain.
    fn is_slow(&self) -> bool {
        self.away.get() || self.sent.get().is_some_and(|t| t.elapsed() > SLOW)
    }

    fn tick(&self) -> Duration {
        let (least, most) = TICKS;
        let n = u32::try_from(self.routers.get()).unwrap_or(u32::MAX);
        TICK_PER_ROUTER.saturating_mul(n).clamp(least, most)
    }

    /// Runs until [`Keeper::stop`].
    pub async fn run(self: Rc<Self>) {
        while !self.stopped.get() {
            if !self.is_read() && !self.read_all().await {
                sleep(BACKOFF).await;
                continue;
            }
            let urgent = self.urgent.notified();
            // Either way there is something to look at.
            let _ = timeout_at(Instant::now() + self.tick(), urgent).await;
            sleep(GATHER).await;
            self.write_due(Only::Starved).await;
            self.write_due(Only::Due).await;
            self.reread_if_starved().await;
        }
    }

    fn is_read(&self) -> bool {
        self.slots.borrow().iter().all(|s| s.account.is_known())
    }

    /// Reads the ledgers again while a request waits and nothing seems to be free: other routers
    /// give back what they do not need, and this one would not hear of it.
    async fn reread_if_starved(&self) {
        let now = Instant::now();
        let starved = self.slots.borrow().iter().any(|s| s.account.is_starved(now));
        if !starved || self.away.get() || now - self.reread.get() < REREAD {
            return;
        }
        self.reread.set(now);
        if self.read_all().await {
            self.urgent.notify_one();
        }
    }

    /// Reads every ledger; a missing row is an untouched budget.
    async fn read_all(&self) -> bool {
        let page = match self.store.scan(TABLE).await {
            Ok(page) => page,
            Err(e) => {
                self.log.note("budget_read", format_args!("outcome=failed cause={e}"));
                return false;
            }
        };
        self.saw(page.now);
        for slot in self.slots.borrow_mut().iter_mut() {
            let row = page.rows.iter().find(|r| r.at.key == slot.org);
            let value = row.and_then(|r| r.value.clone()).unwrap_or_default();
            let ver = row.map_or(Ver(0), |r| r.ver);
            self.take_in(slot, &value, ver);
        }
        self.changed.notify_waiters();
        true
    }

    /// Only a row without a version is an untouched budget. One that has a version and no
    /// readable value is an error, and nothing is spent from it.
    fn take_in(&self, slot: &mut Slot, value: &[u8], ver: Ver) {
        let ledger = if ver.0 == 0 { Ok(Ledger::default()) } else { Ledger::decode(value) };
        match ledger {
            Ok(ledger) => slot.account.observe(ledger, ver),
            Err(e) => self.log.note("budget_row", format_args!("org={} error={e}", slot.org)),
        }
    }

    fn take_in_row(&self, row: &Row) {
        let mut slots = self.slots.borrow_mut();
        if let Ok(i) = slots.binary_search_by(|s| s.org.cmp(&row.at.key)) {
            let value = row.value.clone().unwrap_or_default();
            self.take_in(&mut slots[i], &value, row.ver);
        }
    }

    /// Writes the lines that are due, and tries again at once when a race was lost: the answer
    /// then carries the rows as they stand.
    async fn write_due(&self, only: Only) {
        for _ in 0..RACES {
            let Some(seen) = self.seen.get() else { return };
            let plans = self.plans(seen, only);
            if plans.is_empty() {
                return;
            }
            if !self.write(&plans).await {
                return;
            }
        }
        sleep(Duration::from_millis(fastrand::u64(2..12))).await;
        self.urgent.notify_one();
    }

    fn plans(&self, seen: Seen, only: Only) -> Vec<(CompactString, Plan)> {
        let sizing = Sizing {
            horizon_ms: self.settings.horizon_ms,
            routers: self.routers.get(),
            renew_ms: u64::try_from(self.tick().as_millis()).unwrap_or(u64::MAX),
        };
        let began = self.began.get().unwrap_or(seen.at);
        let now = Instant::now();
        let slots = self.slots.borrow();
        let due =
            slots.iter().filter(|s| only == Only::Due || s.account.is_starved(now)).filter_map(
                |s| s.account.plan(began, seen.at, now, sizing).map(|plan| (s.org.clone(), plan)),
            );
        due.take(MAX_BATCH).collect()
    }

    /// Sends one transaction. Returns whether a race was lost and another try is worth it.
    async fn write(&self, plans: &[(CompactString, Plan)]) -> bool {
        let Some(seen) = self.seen.get() else { return false };
        // Once this process has left the ledgers, a new line would count its spending twice.
        if self.stopped.get() {
            return false;
        }
        let mut tx = Tx::default();
        for (org, plan) in plans {
            let at = RowKey::new(TABLE, org);
            tx.expect.push((at.clone(), plan.expect));
            tx.write.push((at, Bytes::from(plan.ledger.encode())));
            self.with(org, |a| a.sending(plan, seen.learnt));
        }
        let sent = Instant::now();
        self.sent.set(Some(sent));
        let outcome = self.store.commit(&tx).await;
        self.sent.set(None);
        self.away.set(matches!(outcome, Err(StoreError::Rejected(_) | StoreError::Unknown(_))));
        let again = self.conclude(plans, outcome, sent);
        self.changed.notify_waiters();
        if again == Again::AfterPause {
            sleep(BACKOFF).await;
        }
        again == Again::AtOnce
    }

    fn conclude(
        &self,
        plans: &[(CompactString, Plan)],
        outcome: Result<crate::rows::Committed, StoreError>,
        sent: Instant,
    ) -> Again {
        let ms = sent.elapsed().as_millis();
        let n = plans.len();
        match outcome {
            Ok(done) => {
                self.saw(done.now);
                let now = Instant::now();
                for (org, plan) in plans {
                    self.with(org, |a| a.committed(plan, done.ver, now));
                }
                self.log.routine(
                    "grant",
                    format_args!(
                        "orgs={n} ver={} store_ms={} took_ms={ms} outcome=written",
                        done.ver, done.now
                    ),
                );
                Again::No
            }
            Err(StoreError::Conflict(rows)) => {
                for (org, plan) in plans {
                    self.with(org, |a| a.rejected(plan));
                }
                rows.iter().for_each(|row| self.take_in_row(row));
                self.log.routine("grant", format_args!("orgs={n} took_ms={ms} outcome=conflict"));
                Again::AtOnce
            }
            Err(e @ StoreError::Rejected(_)) => {
                for (org, plan) in plans {
                    self.with(org, |a| a.rejected(plan));
                }
                self.log.note("grant", format_args!("orgs={n} took_ms={ms} outcome={e}"));
                Again::AfterPause
            }
            Err(e) => {
                self.log.note("grant", format_args!("orgs={n} took_ms={ms} outcome={e}"));
                Again::AfterPause
            }
        }
    }

    /// Ends the keeper without a word to the store, as the end of the process would.
    pub fn halt(&self) {
        self.stopped.set(true);
    }

    /// Ends the keeper and gives back everything that is not spent. Called once nothing runs.
    pub async fn stop(&self) {
        self.stopped.set(true);
        while self.sent.get().is_some() {
            self.changed.notified().await;
        }
        for _ in 0..FAREWELL_TRIES {
            let farewells: Vec<(CompactString, Ledger, Ver)> = {
                let slots = self.slots.borrow();
                let leaving = |s: &Slot| s.account.farewell().map(|(l, v)| (s.org.clone(), l, v));
                slots.iter().filter_map(leaving).take(MAX_BATCH).collect()
            };
            if farewells.is_empty() {
                return;
            }
            let mut tx = Tx::default();
            for (org, ledger, ver) in &farewells {
                let at = RowKey::new(TABLE, org);
                tx.expect.push((at.clone(), *ver));
                tx.write.push((at, Bytes::from(ledger.encode())));
            }
            match self.store.commit(&tx).await {
                Ok(done) => {
                    for (org, ledger, _) in farewells {
                        self.with(&org, |a| a.observe(ledger, done.ver));
                    }
                }
                Err(StoreError::Conflict(rows)) => rows.iter().for_each(|r| self.take_in_row(r)),
                Err(e) => {
                    self.log.note("grant", format_args!("outcome=farewell_failed cause={e}"));
                    sleep(BACKOFF).await;
                }
            }
        }
    }
}

/// Which lines go into a transaction. Those that requests wait for go alone: the fewer rows, the
/// fewer races with other routers.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Only {
    Starved,
    Due,
}

/// Whether another write should follow.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Again {
    No,
    AtOnce,
    AfterPause,
}
