//! The keeper's calls to the store: which are due, and what becomes of them.
//!
//! Each organisation's row and each place's row has a partition of its own, so that trouble with
//! one holds up no other. Calls for different rows run side by side; a row has one call at a time.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use tokio::time::{Instant, sleep};

use super::account::{GrantChange, Sizing};
use super::keeper::{Keeper, REREAD, Seen, Slot};
use super::ledger::{ClosedGrant, Ledger};
use super::spending::{OrgSpending, PredecessorSpending, Spending};
use crate::rows::{Committed, Page, Row, RowKey, RowStore, StoreError, StoreResult, Tx, Ver};

/// The table of ledgers, one row an organisation.
const BUDGETS: &str = "budgets";
/// The table of what processes have spent, one row a place.
const SPENDING: &str = "spending";
/// Pause for a row after a call for it that the store turned away or did not answer.
pub(super) const BACKOFF: Duration = Duration::from_millis(150);
/// A row that others write too is read before it is written, unless it was seen so lately. Grants
/// change every few seconds, so most have been written by somebody else since: of 133 writes a
/// second at 195 routers half met a newer version, which costs the store a write and brings the
/// same row.
const FRESH: Duration = Duration::from_millis(150);
/// A row of an organisation that spends here is read again after so long: how generous lines are
/// rests on what the others have spent.
const LOOK: Duration = Duration::from_millis(2_500);
/// Calls to the store at once. Each takes some 10 ms, so this is over a thousand a second, more
/// than a router's part of what the store takes; partitions that are silent hold up some.
const CALLS_AT_ONCE: usize = 12;
/// Writes of a ledger in a row that lost the race for it before a pause is made.
const RACES: u32 = 2;
/// The pause after lost races, ms.
const RACE_PAUSE_MS: std::ops::Range<u64> = 2..20;

/// A call for one row.
pub(super) enum Call {
    ReadPlace,
    WritePlace,
    Read(CompactString),
    /// A change of this router's grant, and what it closes of predecessors.
    Write(CompactString, GrantChange, Vec<PredecessorSpending>),
}

/// How a call went.
#[derive(Clone, Copy, Eq, PartialEq)]
pub(super) enum Went {
    /// It did what it was for.
    Well,
    /// Another write came first; the row as it stands was in the answer.
    Lost,
    /// It was turned away or not answered.
    Failed,
}

/// A transaction that replaces one row of that version.
fn replace(at: RowKey, value: Vec<u8>, expect: Ver) -> Tx {
    Tx {
        expect: vec![(at.clone(), expect)],
        write: vec![(at, Bytes::from(value))],
        ..Tx::default()
    }
}

fn org_tx(org: &str, ledger: &Ledger, expect: Ver) -> Tx {
    replace(RowKey::alone(BUDGETS, org), ledger.encode(), expect)
}

impl<S: RowStore> Keeper<S> {
    /// The calls to make now; their rows count as under way from here on. Those that requests
    /// wait for come first.
    pub(super) fn due_calls(&self) -> Vec<Call> {
        let now = Instant::now();
        let room = CALLS_AT_ONCE.saturating_sub(self.under_way.get());
        let mut calls: Vec<Call> = self.place_call(now).into_iter().collect();
        let mut of_orgs = self.org_calls(now);
        of_orgs.sort_by_key(|(awaited, _)| !awaited);
        calls.extend(of_orgs.into_iter().map(|(_, call)| call));
        calls.truncate(room);
        for call in &calls {
            match call {
                Call::ReadPlace | Call::WritePlace => self.place.borrow_mut().sent = Some(now),
                Call::Read(org) => drop(self.with_slot(org, |s| s.sent = Some(now))),
                Call::Write(org, plan, _) => drop(self.with_slot(org, |s| {
                    s.sent = Some(now);
                    // From here on, not from when it is sent: what is taken in between could be
                    // more than a lower ceiling allows.
                    s.account.begin_grant_write(plan);
                })),
            }
        }
        calls
    }

    fn sizing(&self) -> Sizing {
        Sizing {
            horizon_ms: self.settings.horizon_ms,
            spenders: self.spenders(),
            now: self.store_now(),
        }
    }

    fn place_call(&self, now: Instant) -> Option<Call> {
        let place = self.place.borrow();
        if !place.is_free(now) {
            return None;
        }
        if !place.known {
            return Some(Call::ReadPlace);
        }
        let slots = self.slots.borrow();
        let predecessors =
            !place.orphans.is_empty() || slots.iter().any(|s| !s.predecessors.is_empty());
        let fence = predecessors && !place.mine;
        let due = || slots.iter().any(|s| s.account.limit_due(now).is_some());
        (fence || place.outdated || due()).then_some(Call::WritePlace)
    }

    /// Calls for organisations' rows, and whether requests wait for them.
    fn org_calls(&self, now: Instant) -> Vec<(bool, Call)> {
        let (mine, sizing) = (self.place.borrow().mine, self.sizing());
        let slots = self.slots.borrow();
        let of_slot = |s: &Slot| {
            let awaited = s.account.has_unmet_demand(now);
            if !s.account.is_known() {
                let needed = awaited || !s.predecessors.is_empty();
                return needed.then(|| (awaited, Call::Read(s.org.clone())));
            }
            // What predecessors left may be closed once none of their writes can take effect.
            let predecessors = if mine { &s.predecessors[..] } else { &[] };
            if let Some(plan) = s.account.next_grant_change(predecessors, now, sizing) {
                let fresh = now.saturating_duration_since(s.read) < FRESH;
                if !fresh && s.account.is_shared() {
                    return Some((awaited, Call::Read(s.org.clone())));
                }
                return Some((awaited, Call::Write(s.org.clone(), plan, predecessors.to_vec())));
            }
            // Other routers give back what they do not need, or are nearly at the end, and this
            // one would not hear of it.
            let age = now.saturating_duration_since(s.read);
            let stale = awaited && age > s.reread;
            let unseen = s.account.is_spending(now) && age > LOOK;
            (stale || unseen).then(|| (awaited, Call::Read(s.org.clone())))
        };
        slots.iter().filter(|s| s.is_free(now)).filter_map(of_slot).collect()
    }

    pub(super) async fn perform(&self, call: Call) {
        self.under_way.set(self.under_way.get() + 1);
        match call {
            Call::ReadPlace => {
                let went = self.read_place().await;
                self.end_place_call(went);
            }
            Call::WritePlace => {
                let went = self.write_place().await;
                self.end_place_call(went);
            }
            Call::Read(org) => {
                let went = self.read(&org).await;
                self.end_call(&org, went).await;
            }
            Call::Write(org, plan, predecessors) => {
                let went = self.write(&org, &plan, &predecessors).await;
                self.end_call(&org, went).await;
            }
        }
        self.under_way.set(self.under_way.get() - 1);
        self.changed.notify_waiters();
    }

    fn end_place_call(&self, went: Went) {
        let now = Instant::now();
        let mut place = self.place.borrow_mut();
        place.sent = None;
        place.failing = went == Went::Failed;
        place.not_before = place.failing.then(|| now + BACKOFF);
    }

    async fn end_call(&self, org: &str, went: Went) {
        let races = self.with_slot(org, |s| {
            s.races = if went == Went::Lost { s.races + 1 } else { 0 };
            s.races
        });
        if races.unwrap_or(0) >= RACES {
            sleep(Duration::from_millis(fastrand::u64(RACE_PAUSE_MS))).await;
        }
        let now = Instant::now();
        self.with_slot(org, |s| {
            s.sent = None;
            s.failing = went == Went::Failed;
            s.not_before = if s.failing { now + BACKOFF } else { now };
        });
    }

    async fn scan_row(&self, at: &RowKey) -> StoreResult<Row> {
        let page: Page = self.store.scan(&at.table, &at.part).await?;
        self.saw(page.now);
        let row = page.rows.into_iter().find(|r| r.at.key == at.key);
        Ok(row.unwrap_or(Row { at: at.clone(), ver: Ver(0), value: None }))
    }

    fn place_at(&self) -> RowKey {
        RowKey::alone(SPENDING, &self.me.endpoint)
    }

    fn place_tx(&self, row: &Spending, expect: Ver) -> Tx {
        replace(self.place_at(), row.encode(), expect)
    }

    async fn read_place(&self) -> Went {
        match self.scan_row(&self.place_at()).await {
            Ok(row) => self.take_in_place(&row),
            Err(e) => {
                self.log.note("spending", format_args!("outcome=unread cause={e}"));
                Went::Failed
            }
        }
    }

    /// Takes in this place's row as it stands.
    ///
    /// Until this process has written it, it is a predecessor's, which has ended; one of that
    /// one's writes may still take effect, and the row is read anew then.
    fn take_in_place(&self, row: &Row) -> Went {
        let value = row.value.clone().unwrap_or_default();
        // Only a row without a version is a place where nothing was spent.
        let spending =
            if row.ver.0 == 0 { Ok(Spending::default()) } else { Spending::decode(&value) };
        let spending = match spending {
            Ok(spending) => spending,
            Err(e) => {
                self.log.note("spending", format_args!("row_ver={} error={e}", row.ver));
                return Went::Failed;
            }
        };
        let (mine, was_mine) =
            (spending.incarnation == self.me.incarnation, self.place.borrow().mine);
        self.place.borrow_mut().ver = row.ver;
        if mine && row.ver.0 > 0 {
            self.line_in_force(spending.number);
            return Went::Lost;
        }
        if was_mine {
            self.log.note("spending", format_args!("row_ver={} outcome=taken_over", row.ver));
            self.place.borrow_mut().lost = true;
            self.slots.borrow_mut().iter_mut().for_each(|s| s.account.omit_limit());
            return Went::Failed;
        }
        let ended = self.began.get().unwrap_or_default();
        self.set_former(spending.into_predecessors(ended));
        self.place.borrow_mut().known = true;
        Went::Lost
    }

    fn set_former(&self, predecessors: Vec<PredecessorSpending>) {
        let mut orphans = Vec::new();
        let mut slots = self.slots.borrow_mut();
        slots.iter_mut().for_each(|s| s.predecessors.clear());
        for f in predecessors {
            match slots.binary_search_by(|s| s.org.cmp(&f.org)) {
                Ok(i) => slots[i].predecessors.push(f),
                Err(_) => orphans.push(f),
            }
        }
        self.place.borrow_mut().orphans = orphans;
    }

    /// Write `number` of this place's row is the one in force.
    fn line_in_force(&self, number: u64) {
        let now = Instant::now();
        self.slots.borrow_mut().iter_mut().for_each(|s| s.account.limit_written(number, now));
        self.place.borrow_mut().mine = true;
    }

    /// The row of this place as it should stand.
    fn next_spending(&self, seen: Seen, number: u64) -> Spending {
        let (now, sizing) = (Instant::now(), self.sizing());
        let mut slots = self.slots.borrow_mut();
        let mut next = Spending::new(self.me.incarnation, number);
        next.predecessors.clone_from(&self.place.borrow().orphans);
        for s in slots.iter_mut() {
            next.predecessors.extend(s.predecessors.iter().cloned());
            match s.account.next_limit(seen.at, now, sizing) {
                Some((settled, spending_limit)) => {
                    s.account.begin_limit_write(number, spending_limit, seen.received_at);
                    next.spending_limits.push(OrgSpending {
                        org: s.org.clone(),
                        settled,
                        spending_limit,
                    });
                }
                None => s.account.omit_limit(),
            }
        }
        next
    }

    async fn write_place(&self) -> Went {
        let Some(seen) = self.seen.get() else { return Went::Failed };
        // Once this process has left, nothing may be listed any more.
        if self.stopped.get() {
            return Went::Failed;
        }
        let (number, expect) = {
            let mut place = self.place.borrow_mut();
            place.number += 1;
            place.outdated = false;
            (place.number, place.ver)
        };
        let next = self.next_spending(seen, number);
        let sent = Instant::now();
        let outcome = self.store.commit(&self.place_tx(&next, expect)).await;
        let ms = sent.elapsed().as_millis();
        let n = next.spending_limits.len();
        match outcome {
            Ok(done) => {
                self.saw(done.now);
                self.place.borrow_mut().ver = done.ver;
                self.line_in_force(number);
                self.log.routine(
                    "spending",
                    format_args!(
                        "orgs={n} ver={} store_ms={} took_ms={ms} outcome=written",
                        done.ver, done.now
                    ),
                );
                Went::Well
            }
            Err(StoreError::Conflict(rows)) => {
                self.limit_rejected(number);
                self.log.note("spending", format_args!("orgs={n} took_ms={ms} outcome=conflict"));
                let own = rows.iter().find(|r| r.at.key == self.me.endpoint);
                own.map_or(Went::Failed, |row| self.take_in_place(row))
            }
            Err(e) => {
                if matches!(e, StoreError::Rejected(_)) {
                    self.limit_rejected(number);
                }
                self.log.note("spending", format_args!("orgs={n} took_ms={ms} outcome={e}"));
                Went::Failed
            }
        }
    }

    /// A write of this place's row never happens. What it should have said is due again.
    fn limit_rejected(&self, number: u64) {
        self.slots.borrow_mut().iter_mut().for_each(|s| s.account.limit_rejected(number));
    }

    /// Reads a ledger; a missing row is an untouched budget.
    async fn read(&self, org: &str) -> Went {
        match self.scan_row(&RowKey::alone(BUDGETS, org)).await {
            Ok(row) => {
                let read = self.with_slot(org, |s| {
                    let before = s.account.ver();
                    let read = self.take_in(s, &row);
                    let same = s.account.ver() == before;
                    s.reread = if same { (s.reread * 2).min(REREAD.1) } else { REREAD.0 };
                    read
                });
                if read == Some(true) { Went::Well } else { Went::Failed }
            }
            Err(e) => {
                self.log.note("budget_read", format_args!("org={org} outcome=failed cause={e}"));
                Went::Failed
            }
        }
    }

    /// Only a row without a version is an untouched budget. One that has a version and no
    /// readable value is an error, and nothing is spent from it. Returns whether it was read.
    fn take_in(&self, slot: &mut Slot, row: &Row) -> bool {
        let value = row.value.clone().unwrap_or_default();
        let ledger = if row.ver.0 == 0 { Ok(Ledger::default()) } else { Ledger::decode(&value) };
        match ledger {
            Ok(ledger) => {
                slot.account.observe(ledger, row.ver);
                slot.read = Instant::now();
                true
            }
            Err(e) => {
                self.log.note("budget_row", format_args!("org={} error={e}", slot.org));
                false
            }
        }
    }

    /// Writes a change of this router's grant.
    async fn write(
        &self,
        org: &str,
        plan: &GrantChange,
        predecessors: &[PredecessorSpending],
    ) -> Went {
        // Once this process has left the ledgers, a new grant would count its spending twice.
        if self.stopped.get() {
            self.with(org, |a| a.grant_rejected(plan));
            return Went::Failed;
        }
        let sent = Instant::now();
        let tx = org_tx(org, &plan.ledger, plan.expect);
        let outcome = self.store.commit(&tx).await;
        let ms = sent.elapsed().as_millis();
        let ceiling = plan.ceiling.map_or(0, |c| c.0);
        match outcome {
            Ok(done) => {
                self.granted(org, plan, predecessors, done);
                self.log.routine(
                    "grant",
                    format_args!(
                        "org={org} cause={:?} ceiling={ceiling} ver={} store_ms={} took_ms={ms} outcome=written",
                        plan.cause, done.ver, done.now
                    ),
                );
                Went::Well
            }
            Err(StoreError::Conflict(rows)) => {
                self.with(org, |a| a.grant_rejected(plan));
                for row in rows.iter().filter(|r| r.at.key == org) {
                    self.with_slot(org, |s| self.take_in(s, row));
                }
                self.log.routine("grant", format_args!("org={org} took_ms={ms} outcome=conflict"));
                Went::Lost
            }
            Err(e) => {
                if matches!(e, StoreError::Rejected(_)) {
                    self.with(org, |a| a.grant_rejected(plan));
                }
                self.log.note("grant", format_args!("org={org} took_ms={ms} outcome={e}"));
                Went::Failed
            }
        }
    }

    fn granted(
        &self,
        org: &str,
        plan: &GrantChange,
        predecessors: &[PredecessorSpending],
        done: Committed,
    ) {
        self.saw(done.now);
        let now = Instant::now();
        self.with_slot(org, |s| {
            s.account.grant_written(plan, done.ver, now);
            s.read = now;
            s.predecessors.retain(|f| !predecessors.contains(f));
            s.forget_nowhere();
        });
        if !predecessors.is_empty() {
            self.place.borrow_mut().outdated = true;
        }
        plan.closes.iter().for_each(|c| self.note_closing(org, c));
    }

    /// What a dead process may have spent: the first line to read when an organisation disputes
    /// a refusal after a death.
    fn note_closing(&self, org: &str, c: &ClosedGrant) {
        self.log.note(
            "closed",
            format_args!(
                "org={org} process={:x} settled={} floor={} spent={} doubt={} back={} age_ms={}",
                c.predecessor.incarnation,
                c.settled,
                c.predecessor.floor,
                c.spent,
                c.doubt(),
                c.returned,
                c.predecessor.age_ms
            ),
        );
    }

    pub(super) fn farewells(&self) -> Vec<(CompactString, Ledger, Ver)> {
        let leaving = |s: &Slot| s.account.released_ledger().map(|(l, v)| (s.org.clone(), l, v));
        self.slots.borrow().iter().filter_map(leaving).collect()
    }

    pub(super) async fn take_leave(&self, org: CompactString, ledger: Ledger, ver: Ver) -> Went {
        match self.store.commit(&org_tx(&org, &ledger, ver)).await {
            Ok(done) => {
                self.with(&org, |a| a.observe(ledger, done.ver));
                Went::Well
            }
            Err(StoreError::Conflict(rows)) => {
                for row in rows.iter().filter(|r| r.at.key == org) {
                    self.with_slot(&org, |s| self.take_in(s, row));
                }
                Went::Lost
            }
            Err(e) => {
                self.log.note("grant", format_args!("org={org} outcome=farewell_failed cause={e}"));
                Went::Failed
            }
        }
    }

    /// Writes that nothing is spent here any more, so that the next process at this place has
    /// nothing to close. If it fails, that one finds no grants for what it closes. A grant that may
    /// still be written, late, would be nobody's then: such a row is left as it is.
    pub(super) async fn clear_place(&self) {
        let (mine, number, expect) = {
            let place = self.place.borrow();
            (place.mine, place.number + 1, place.ver)
        };
        let unresolved = self.slots.borrow().iter().any(|s| s.account.has_pending_change());
        if !mine || unresolved {
            return;
        }
        let mut left = Spending::new(self.me.incarnation, number);
        left.predecessors =
            self.slots.borrow().iter().flat_map(|s| s.predecessors.iter().cloned()).collect();
        if let Err(e) = self.store.commit(&self.place_tx(&left, expect)).await {
            self.log.note("spending", format_args!("outcome=farewell_failed cause={e}"));
        }
    }
}
