//! The budget manager's calls to the store: which ones are due, and how their answers are applied.
//!
//! Each ledger and each spending row has a partition of its own, so that a failing partition delays
//! no other row. Calls for different rows run concurrently; each row has at most one call in
//! flight.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use tokio::time::{Instant, sleep};

use super::account::{GrantChange, GrantWrite, Sizing};
use super::ledger::{ClosedGrant, Ledger};
use super::manager::{BudgetManager, ObservedStoreTime, OrgState, REREAD_BACKOFF};
use super::spending::{OrgSpending, PredecessorSpending, Spending};
use crate::rows::{Committed, Page, Row, RowKey, RowStore, StoreError, StoreResult, Tx, Ver};

/// Table of ledgers, with one row for each organisation.
const BUDGETS: &str = "budgets";
/// Table of spending rows, with one row for each endpoint.
const SPENDING: &str = "spending";
/// Backoff for a row after the store rejected a call for it or did not answer.
pub(super) const CALL_BACKOFF: Duration = Duration::from_millis(150);
/// A row that other routers write too is read again before a write, unless the last read is at most
/// this old. Grants change every few seconds, so the cached version is usually stale: of 133 writes
/// a second at 195 routers half met a newer version. Such a conflict costs the store a write and
/// returns the same row as a read.
const MAX_READ_AGE_BEFORE_WRITE: Duration = Duration::from_millis(150);
/// Interval at which the ledger of an organisation that spends at this router is read again. The
/// headroom of spending limits depends on what the other routers have spent.
const LEDGER_REREAD_INTERVAL: Duration = Duration::from_millis(2_500);
/// Maximum number of concurrent calls to the store. Each call takes some 10 ms, so this allows over
/// a thousand calls a second, which is more than a router's share of the store's throughput.
/// Unresponsive partitions occupy some of these slots.
const MAX_CALLS_IN_FLIGHT: usize = 12;
/// Consecutive write conflicts on a ledger before the next write is delayed.
const CONFLICTS_BEFORE_PAUSE: u32 = 2;
/// Random delay after repeated conflicts, in ms.
const CONFLICT_PAUSE_MS: std::ops::Range<u64> = 2..20;

/// A store call for one row.
pub(super) enum Call {
    ReadSpending,
    WriteSpending,
    ReadLedger(CompactString),
    WriteLedger(CompactString, LedgerWrite),
}

/// A change of this router's grant that is due.
pub(super) struct LedgerWrite {
    grant_change: GrantChange,
    /// Spending of predecessors that the change closes.
    predecessors: Vec<PredecessorSpending>,
    /// Set when the write begins.
    write: Option<GrantWrite>,
}

/// Outcome of a store call.
#[derive(Clone, Copy, Eq, PartialEq)]
pub(super) enum CallOutcome {
    /// The call had the intended effect.
    Succeeded,
    /// Another write came first; the answer held the current row.
    Conflicted,
    /// The call was rejected or not answered.
    Failed,
}

/// A transaction that replaces one row if it still has version `expect`.
fn replace(at: RowKey, value: Vec<u8>, expect: Ver) -> Tx {
    Tx {
        expect: vec![(at.clone(), expect)],
        write: vec![(at, Bytes::from(value))],
        ..Tx::default()
    }
}

fn ledger_tx(org: &str, ledger: &Ledger, expect: Ver) -> Tx {
    replace(RowKey::own_partition(BUDGETS, org), ledger.encode(), expect)
}

impl<S: RowStore> BudgetManager<S> {
    /// The calls to start now, those that requests wait for first. Marks their rows as having a
    /// call in flight.
    pub(super) fn due_calls(&self) -> Vec<Call> {
        let now = Instant::now();
        let free_slots = MAX_CALLS_IN_FLIGHT.saturating_sub(self.calls_in_flight.get());
        let mut calls: Vec<Call> = self.due_spending_call(now).into_iter().collect();
        let mut for_ledgers = self.due_ledger_calls(now);
        for_ledgers.sort_by_key(|(awaited, _)| !awaited);
        calls.extend(for_ledgers.into_iter().map(|(_, call)| call));
        calls.truncate(free_slots);
        for call in &mut calls {
            match call {
                Call::ReadSpending | Call::WriteSpending => {
                    self.spending_row.borrow_mut().sent_at = Some(now)
                }
                Call::ReadLedger(org) => drop(self.with_org_state(org, |s| s.sent_at = Some(now))),
                Call::WriteLedger(org, due) => {
                    due.write = self.with_org_state(org, |s| {
                        s.sent_at = Some(now);
                        // The lower ceiling counts from here, not from the moment of sending:
                        // tokens reserved in between could exceed it.
                        s.account.begin_grant_write(&due.grant_change)
                    });
                }
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

    fn due_spending_call(&self, now: Instant) -> Option<Call> {
        let spending_row = self.spending_row.borrow();
        if !spending_row.can_call(now) {
            return None;
        }
        if !spending_row.known {
            return Some(Call::ReadSpending);
        }
        let org_states = self.org_states.borrow();
        let predecessors = !spending_row.unassigned.is_empty()
            || org_states.iter().any(|s| !s.predecessors.is_empty());
        let fence = predecessors && !spending_row.owned;
        let due = || org_states.iter().any(|s| s.account.limit_due(now).is_some());
        (fence || spending_row.needs_rewrite || due()).then_some(Call::WriteSpending)
    }

    /// Calls for organisations' ledgers, each with whether requests wait for it.
    fn due_ledger_calls(&self, now: Instant) -> Vec<(bool, Call)> {
        let (owned, sizing) = (self.spending_row.borrow().owned, self.sizing());
        let org_states = self.org_states.borrow();
        let due_call = |s: &OrgState| {
            let awaited = s.account.has_unmet_demand(now);
            if !s.account.is_known() {
                let needed = awaited || !s.predecessors.is_empty();
                return needed.then(|| (awaited, Call::ReadLedger(s.org.clone())));
            }
            // Spending of predecessors is closed only once none of their writes can take effect.
            let predecessors = if owned { &s.predecessors[..] } else { &[] };
            if let Some(grant_change) = s.account.next_grant_change(predecessors, now, sizing) {
                let fresh = now.saturating_duration_since(s.read_at) < MAX_READ_AGE_BEFORE_WRITE;
                if !fresh && s.account.is_shared() {
                    return Some((awaited, Call::ReadLedger(s.org.clone())));
                }
                let predecessors = predecessors.to_vec();
                let due = LedgerWrite { grant_change, predecessors, write: None };
                return Some((awaited, Call::WriteLedger(s.org.clone(), due)));
            }
            // Other routers may have returned tokens or may have nearly used up the budget; only a
            // read shows this.
            let age = now.saturating_duration_since(s.read_at);
            let stale = awaited && age > s.reread_backoff;
            let outdated = s.account.is_spending(now) && age > LEDGER_REREAD_INTERVAL;
            (stale || outdated).then(|| (awaited, Call::ReadLedger(s.org.clone())))
        };
        org_states.iter().filter(|s| s.can_call(now)).filter_map(due_call).collect()
    }

    pub(super) async fn perform(&self, call: Call) {
        self.calls_in_flight.set(self.calls_in_flight.get() + 1);
        match call {
            Call::ReadSpending => {
                let outcome = self.read_spending().await;
                self.finish_spending_call(outcome);
            }
            Call::WriteSpending => {
                let outcome = self.write_spending().await;
                self.finish_spending_call(outcome);
            }
            Call::ReadLedger(org) => {
                let outcome = self.read_ledger(&org).await;
                self.finish_ledger_call(&org, outcome).await;
            }
            Call::WriteLedger(org, due) => {
                let outcome = self.write_ledger(&org, due).await;
                self.finish_ledger_call(&org, outcome).await;
            }
        }
        self.calls_in_flight.set(self.calls_in_flight.get() - 1);
        self.changed.notify_waiters();
    }

    fn finish_spending_call(&self, outcome: CallOutcome) {
        let now = Instant::now();
        let mut spending_row = self.spending_row.borrow_mut();
        spending_row.sent_at = None;
        spending_row.last_call_failed = outcome == CallOutcome::Failed;
        spending_row.not_before = spending_row.last_call_failed.then(|| now + CALL_BACKOFF);
    }

    async fn finish_ledger_call(&self, org: &str, outcome: CallOutcome) {
        let conflicts = self.with_org_state(org, |s| {
            s.conflicts = if outcome == CallOutcome::Conflicted { s.conflicts + 1 } else { 0 };
            s.conflicts
        });
        if conflicts.unwrap_or(0) >= CONFLICTS_BEFORE_PAUSE {
            sleep(Duration::from_millis(fastrand::u64(CONFLICT_PAUSE_MS))).await;
        }
        let now = Instant::now();
        self.with_org_state(org, |s| {
            s.sent_at = None;
            s.last_call_failed = outcome == CallOutcome::Failed;
            s.not_before = if s.last_call_failed { now + CALL_BACKOFF } else { now };
        });
    }

    async fn read_row(&self, at: &RowKey) -> StoreResult<Row> {
        let page: Page = self.store.scan(&at.table, &at.part).await?;
        self.observe_store_time(page.now);
        let row = page.rows.into_iter().find(|r| r.at.key == at.key);
        Ok(row.unwrap_or(Row { at: at.clone(), ver: Ver(0), value: None }))
    }

    fn spending_key(&self) -> RowKey {
        RowKey::own_partition(SPENDING, &self.me.endpoint)
    }

    fn spending_tx(&self, row: &Spending, expect: Ver) -> Tx {
        replace(self.spending_key(), row.encode(), expect)
    }

    async fn read_spending(&self) -> CallOutcome {
        match self.read_row(&self.spending_key()).await {
            Ok(row) => self.apply_spending_row(&row),
            Err(e) => {
                self.log.note("spending", format_args!("outcome=unread cause={e}"));
                CallOutcome::Failed
            }
        }
    }

    /// Applies this endpoint's row as read from the store.
    ///
    /// Until this process has written the row, its content comes from a predecessor, which has
    /// ended. A late write of the predecessor may still take effect; the row is read again in that
    /// case.
    fn apply_spending_row(&self, row: &Row) -> CallOutcome {
        let value = row.value.clone().unwrap_or_default();
        // Only a row without a version means that nothing was spent at this endpoint.
        let spending =
            if row.ver.0 == 0 { Ok(Spending::default()) } else { Spending::decode(&value) };
        let spending = match spending {
            Ok(spending) => spending,
            Err(e) => {
                self.log.note("spending", format_args!("row_ver={} error={e}", row.ver));
                return CallOutcome::Failed;
            }
        };
        let (owned, was_owned) =
            (spending.incarnation == self.me.incarnation, self.spending_row.borrow().owned);
        self.spending_row.borrow_mut().ver = row.ver;
        if owned && row.ver.0 > 0 {
            self.limits_in_force(spending.number);
            return CallOutcome::Conflicted;
        }
        if was_owned {
            self.log.note("spending", format_args!("row_ver={} outcome=taken_over", row.ver));
            self.spending_row.borrow_mut().taken_over = true;
            self.org_states.borrow_mut().iter_mut().for_each(|s| s.account.omit_limit());
            return CallOutcome::Failed;
        }
        let ended_by = self.first_store_time.get().unwrap_or_default();
        self.assign_predecessors(spending.into_predecessors(ended_by));
        self.spending_row.borrow_mut().known = true;
        CallOutcome::Conflicted
    }

    fn assign_predecessors(&self, predecessors: Vec<PredecessorSpending>) {
        let mut unassigned = Vec::new();
        let mut org_states = self.org_states.borrow_mut();
        org_states.iter_mut().for_each(|s| s.predecessors.clear());
        for p in predecessors {
            match org_states.binary_search_by(|s| s.org.cmp(&p.org)) {
                Ok(i) => org_states[i].predecessors.push(p),
                Err(_) => unassigned.push(p),
            }
        }
        self.spending_row.borrow_mut().unassigned = unassigned;
    }

    /// Records that write `number` of this endpoint's row is in force.
    fn limits_in_force(&self, number: u64) {
        let now = Instant::now();
        self.org_states.borrow_mut().iter_mut().for_each(|s| s.account.limit_written(number, now));
        self.spending_row.borrow_mut().owned = true;
    }

    /// Builds the next content of this endpoint's row.
    fn next_spending(&self, store_time: ObservedStoreTime, number: u64) -> Spending {
        let (now, sizing) = (Instant::now(), self.sizing());
        let mut org_states = self.org_states.borrow_mut();
        let mut next = Spending::new(self.me.incarnation, number);
        next.predecessors.clone_from(&self.spending_row.borrow().unassigned);
        for s in org_states.iter_mut() {
            next.predecessors.extend(s.predecessors.iter().cloned());
            match s.account.next_limit(store_time.at, now, sizing) {
                Some((settled, spending_limit)) => {
                    s.account.begin_limit_write(number, spending_limit, store_time.received_at);
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

    async fn write_spending(&self) -> CallOutcome {
        let Some(store_time) = self.store_time.get() else { return CallOutcome::Failed };
        // After the shutdown has returned the grants, the row must not list any spending.
        if self.stopped.get() {
            return CallOutcome::Failed;
        }
        let (number, expect) = {
            let mut spending_row = self.spending_row.borrow_mut();
            spending_row.number += 1;
            spending_row.needs_rewrite = false;
            (spending_row.number, spending_row.ver)
        };
        let next = self.next_spending(store_time, number);
        let sent_at = Instant::now();
        let outcome = self.store.commit(&self.spending_tx(&next, expect)).await;
        let ms = sent_at.elapsed().as_millis();
        let n = next.spending_limits.len();
        match outcome {
            Ok(done) => {
                self.observe_store_time(done.now);
                self.spending_row.borrow_mut().ver = done.ver;
                self.limits_in_force(number);
                self.log.routine(
                    "spending",
                    format_args!(
                        "orgs={n} ver={} store_ms={} took_ms={ms} outcome=written",
                        done.ver, done.now
                    ),
                );
                CallOutcome::Succeeded
            }
            Err(StoreError::Conflict(rows)) => {
                self.limit_rejected(number);
                self.log.note("spending", format_args!("orgs={n} took_ms={ms} outcome=conflict"));
                let own_row = rows.iter().find(|r| r.at.key == self.me.endpoint);
                own_row.map_or(CallOutcome::Failed, |row| self.apply_spending_row(row))
            }
            Err(e) => {
                if matches!(e, StoreError::Rejected(_)) {
                    self.limit_rejected(number);
                }
                self.log.note("spending", format_args!("orgs={n} took_ms={ms} outcome={e}"));
                CallOutcome::Failed
            }
        }
    }

    /// Records that write `number` of this endpoint's row was rejected. The limits that it held are
    /// due again.
    fn limit_rejected(&self, number: u64) {
        self.org_states.borrow_mut().iter_mut().for_each(|s| s.account.limit_rejected(number));
    }

    /// Reads a ledger. A missing row means an unused budget.
    async fn read_ledger(&self, org: &str) -> CallOutcome {
        match self.read_row(&RowKey::own_partition(BUDGETS, org)).await {
            Ok(row) => {
                let read = self.with_org_state(org, |s| {
                    let before = s.account.ver();
                    let read = self.apply_ledger_row(s, &row);
                    let same = s.account.ver() == before;
                    s.reread_backoff = if same {
                        (s.reread_backoff * 2).min(REREAD_BACKOFF.1)
                    } else {
                        REREAD_BACKOFF.0
                    };
                    read
                });
                if read == Some(true) { CallOutcome::Succeeded } else { CallOutcome::Failed }
            }
            Err(e) => {
                self.log.note("budget_read", format_args!("org={org} outcome=failed cause={e}"));
                CallOutcome::Failed
            }
        }
    }

    /// Applies a ledger as read from the store; returns whether it could be decoded. Only a row
    /// without a version means an unused budget. A row with a version but without a readable value
    /// is an error, and nothing is spent from it.
    fn apply_ledger_row(&self, org_state: &mut OrgState, row: &Row) -> bool {
        let value = row.value.clone().unwrap_or_default();
        let ledger = if row.ver.0 == 0 { Ok(Ledger::default()) } else { Ledger::decode(&value) };
        match ledger {
            Ok(ledger) => {
                org_state.account.observe(ledger, row.ver);
                org_state.read_at = Instant::now();
                true
            }
            Err(e) => {
                self.log.note("budget_row", format_args!("org={} error={e}", org_state.org));
                false
            }
        }
    }

    /// Writes a change of this router's grant.
    async fn write_ledger(&self, org: &str, due: LedgerWrite) -> CallOutcome {
        let LedgerWrite { grant_change, predecessors, write } = due;
        let reject = || {
            if let Some(write) = write {
                self.update_account(org, |a| a.grant_rejected(write));
            }
        };
        // After the shutdown has returned the grants, a new grant would count this process's
        // spending twice.
        if self.stopped.get() {
            reject();
            return CallOutcome::Failed;
        }
        let sent_at = Instant::now();
        let tx = ledger_tx(org, &grant_change.ledger, grant_change.expect);
        let outcome = self.store.commit(&tx).await;
        let ms = sent_at.elapsed().as_millis();
        let ceiling = grant_change.ceiling.map_or(0, |c| c.0);
        match outcome {
            Ok(done) => {
                self.apply_written_grant(org, &grant_change, &predecessors, done);
                self.log.routine(
                    "grant",
                    format_args!(
                        "org={org} cause={:?} ceiling={ceiling} ver={} store_ms={} took_ms={ms} outcome=written",
                        grant_change.cause, done.ver, done.now
                    ),
                );
                CallOutcome::Succeeded
            }
            Err(StoreError::Conflict(rows)) => {
                reject();
                for row in rows.iter().filter(|r| r.at.key == org) {
                    self.with_org_state(org, |s| self.apply_ledger_row(s, row));
                }
                self.log.routine("grant", format_args!("org={org} took_ms={ms} outcome=conflict"));
                CallOutcome::Conflicted
            }
            Err(e) => {
                if matches!(e, StoreError::Rejected(_)) {
                    reject();
                }
                self.log.note("grant", format_args!("org={org} took_ms={ms} outcome={e}"));
                CallOutcome::Failed
            }
        }
    }

    fn apply_written_grant(
        &self,
        org: &str,
        grant_change: &GrantChange,
        predecessors: &[PredecessorSpending],
        done: Committed,
    ) {
        self.observe_store_time(done.now);
        let now = Instant::now();
        self.with_org_state(org, |s| {
            s.account.grant_written(grant_change, done.ver, now);
            s.read_at = now;
            s.predecessors.retain(|p| !predecessors.contains(p));
            s.clear_unavailable();
        });
        if !predecessors.is_empty() {
            self.spending_row.borrow_mut().needs_rewrite = true;
        }
        grant_change.closes.iter().for_each(|c| self.log_closed_grant(org, c));
    }

    /// Logs how a dead process's grant was closed. Start here when an organisation disputes a
    /// refusal after a crash.
    fn log_closed_grant(&self, org: &str, c: &ClosedGrant) {
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

    pub(super) fn pending_releases(&self) -> Vec<(CompactString, Ledger, Ver)> {
        let as_release =
            |s: &mut OrgState| s.account.released_ledger().map(|(l, v)| (s.org.clone(), l, v));
        self.org_states.borrow_mut().iter_mut().filter_map(as_release).collect()
    }

    pub(super) async fn write_release(
        &self,
        org: CompactString,
        ledger: Ledger,
        ver: Ver,
    ) -> CallOutcome {
        match self.store.commit(&ledger_tx(&org, &ledger, ver)).await {
            Ok(done) => {
                self.with_account(&org, |a| a.observe(ledger, done.ver));
                CallOutcome::Succeeded
            }
            Err(StoreError::Conflict(rows)) => {
                for row in rows.iter().filter(|r| r.at.key == org) {
                    self.with_org_state(&org, |s| self.apply_ledger_row(s, row));
                }
                CallOutcome::Conflicted
            }
            Err(e) => {
                self.log.note("grant", format_args!("org={org} outcome=farewell_failed cause={e}"));
                CallOutcome::Failed
            }
        }
    }

    /// Removes this process's spending from the endpoint's row at a planned stop, so that its
    /// successor has nothing to close. If the write fails, the successor reads spending for which
    /// the ledgers have no grants any more, and closes nothing.
    /// A grant whose write is unresolved may still take effect, and no process would close it once
    /// the row is cleared; the row is left as it is then.
    pub(super) async fn clear_spending(&self) {
        let (owned, number, expect, unassigned) = {
            let row = self.spending_row.borrow();
            (row.owned, row.number + 1, row.ver, row.unassigned.clone())
        };
        let unresolved = self.org_states.borrow().iter().any(|s| s.account.has_pending_change());
        if !owned || unresolved {
            return;
        }
        let mut cleared = Spending::new(self.me.incarnation, number);
        let assigned: Vec<PredecessorSpending> =
            self.org_states.borrow().iter().flat_map(|s| s.predecessors.iter().cloned()).collect();
        cleared.predecessors = [unassigned, assigned].concat();
        if let Err(e) = self.store.commit(&self.spending_tx(&cleared, expect)).await {
            self.log.note("spending", format_args!("outcome=farewell_failed cause={e}"));
        }
    }
}
