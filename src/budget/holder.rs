//! State machine for the grants of one router. Events go in, effects come out; it has no clock and
//! does no I/O.

use std::collections::VecDeque;

pub use super::budget_state::Protection;
use super::budget_state::{BudgetState, Hold, PendingBill, Waiting};
use super::ledger::{Bill, BudgetRow, GrantChange, GrantRow, Versioned};
use super::sizing::{Sizing, SizingInputs};
use crate::error::Kind;
use crate::ids::{BudgetId, Millis, Revision, Tokens};
use crate::table::Version;

/// Maximum number of bills that wait to be recorded. Above this limit no request is admitted: bills
/// are never dropped, so the queue can only be bounded at admission.
pub const MAX_PENDING_BILLS: usize = 50_000;
/// Maximum number of bills in one change.
const MAX_BILLS_PER_CHANGE: usize = 200;
/// Minimum time between two flushes of bills, so that one transaction carries the bills of all
/// budgets. Until a bill is recorded, the witness keeps a copy of it.
const MIN_FLUSH_INTERVAL: Millis = Millis(3_000);
/// Flush interval per router in the fleet. The interval grows with the fleet so that the combined
/// write rate stays within what the table can take.
const FLUSH_INTERVAL_PER_ROUTER: Millis = Millis(10);
/// Time without requests after which the free part of a grant is released.
const IDLE_TIMEOUT: Millis = Millis(60_000);

/// Identifies a hold within one incarnation of a router.
///
/// A hold reserves the largest possible cost of a request until the request is billed or cancelled.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(transparent)]
pub struct HoldId(pub u64);

/// Prepaid amount of a budget according to the configuration.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Limit {
    /// Total amount ever prepaid.
    pub prepaid: Tokens,
    /// Revision of the configuration that `prepaid` was read from.
    pub revision: Revision,
}

/// Result of a request for a hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The tokens are reserved.
    Held(HoldId),
    /// The grant has to be extended first. The result follows as an [`Effect::Notify`] with this
    /// id.
    Wait(HoldId),
    /// The tokens are not reserved, for this reason.
    Refused(Kind),
}

/// Result of an earlier [`Admission::Wait`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitResult {
    /// Id from [`Admission::Wait`]. If `refused` is `None`, this is the id of the hold.
    pub ticket: HoldId,
    /// Reason for a refusal; `None` if the tokens are reserved.
    pub refused: Option<Kind>,
}

/// I/O for the driver of the state machine to perform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Read the rows of this budget, then call [`Holder::loaded`].
    Load(BudgetId),
    /// Write this change, guarded by the versions of the two rows, then call [`Holder::changed`].
    Write(BudgetId, GrantChange, Versioned<BudgetRow>, Versioned<GrantRow>),
    /// Send this result to the request that waits for it.
    Notify(WaitResult),
    /// The bills of these holds are recorded; the witness may drop its copies.
    Recorded(Vec<HoldId>),
}

/// Rows read from the ledger for one budget.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LoadedRows {
    /// Row of the budget.
    pub budget: Versioned<BudgetRow>,
    /// Row of this holder's grant.
    pub grant: Versioned<GrantRow>,
    /// Pending bills whose row already exists in the table.
    pub billed: Vec<Bill>,
}

/// Grants, holds and pending bills of one router.
#[derive(Debug)]
pub struct Holder {
    sizing: Sizing,
    solo_per_mille: u32,
    holders: u64,
    routers: u64,
    next: u64,
    budgets: Vec<BudgetState>,
    holds: Vec<Hold>,
    pending: usize,
    next_flush: Millis,
    flushing: bool,
}

/// Usage of one budget at this router, for reports and tests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(kameo::Reply)]
pub struct Usage {
    /// Size of the grant as recorded in the table.
    pub granted: Tokens,
    /// Reserved for running requests.
    pub held: Tokens,
    /// Billed but not yet recorded in the table.
    pub unrecorded: Tokens,
    /// Billed and recorded in the table.
    pub settled: Tokens,
    /// Available for new holds.
    pub free: Tokens,
    /// Tokens that the budget could still grant when its row was last read or written.
    pub left: Tokens,
}

impl Holder {
    /// Creates a holder without grants.
    pub fn new(sizing: Sizing) -> Holder {
        Holder {
            sizing,
            solo_per_mille: 0,
            holders: 1,
            routers: 1,
            next: 0,
            budgets: Vec::new(),
            holds: Vec::new(),
            pending: 0,
            next_flush: Millis(0),
            flushing: false,
        }
    }

    /// Sets the sizing policy, the solo share of each extension in thousandths, and the number of
    /// routers that may hold parts of the same budget.
    pub fn set_policy(&mut self, sizing: Sizing, solo_per_mille: u32, holders: u64) {
        self.sizing = sizing;
        self.solo_per_mille = solo_per_mille;
        self.holders = holders;
    }

    /// Number of bills not yet recorded.
    pub fn pending_bills(&self) -> usize {
        self.pending
    }

    /// Sets the number of routers that write to the ledger. The flush interval grows with it.
    pub fn set_routers(&mut self, routers: u64) {
        self.routers = routers;
    }

    /// Returns the bills of one budget that are not yet recorded, at most one change's worth.
    pub fn pending_bills_of(&self, id: &BudgetId) -> Vec<Bill> {
        let Ok(index) = self.find(id) else { return Vec::new() };
        self.budgets[index]
            .pending
            .iter()
            .take(MAX_BILLS_PER_CHANGE)
            .map(|b| b.bill.clone())
            .collect()
    }

    /// Number of holds of running requests.
    pub fn holds(&self) -> usize {
        self.holds.len()
    }

    /// Number of budgets with state at this router.
    pub fn budgets(&self) -> usize {
        self.budgets.len()
    }

    /// Returns the usage of a budget; all zero if the budget has no state here.
    pub fn usage(&self, id: &BudgetId) -> Usage {
        let Ok(index) = self.find(id) else { return Usage::default() };
        let state = &self.budgets[index];
        Usage {
            granted: state.grant.row.granted,
            held: state.held,
            unrecorded: state.unrecorded,
            settled: state.grant.row.settled,
            free: state.free(),
            left: state.grantable().minus(state.budget.row.committed),
        }
    }

    fn find(&self, id: &BudgetId) -> Result<usize, usize> {
        self.budgets.binary_search_by(|state| state.id.cmp(id))
    }

    fn budget_state(&mut self, id: &BudgetId, now: Millis) -> &mut BudgetState {
        let index = self.find(id).unwrap_or_else(|index| {
            self.budgets.insert(index, BudgetState::new(id.clone(), now));
            index
        });
        &mut self.budgets[index]
    }

    fn next_id(&mut self) -> HoldId {
        self.next += 1;
        HoldId(self.next)
    }

    fn add_hold(&mut self, id: HoldId, budget: BudgetId, amount: Tokens, protection: Protection) {
        let index = self.holds.partition_point(|h| h.id < id);
        self.holds.insert(index, Hold { id, budget, amount, protection });
    }

    /// Reserves `amount` tokens of a budget for a request.
    ///
    /// If the grant is too small, the request waits for an extension if `wait_for_grant` is set and
    /// is refused otherwise.
    pub fn admit(
        &mut self,
        now: Millis,
        id: &BudgetId,
        limit: Limit,
        amount: Tokens,
        protection: Protection,
        wait_for_grant: bool,
    ) -> (Admission, Vec<Effect>) {
        if self.pending >= MAX_PENDING_BILLS {
            return (Admission::Refused(Kind::PlatformAway), Vec::new());
        }
        let ticket = self.next_id();
        let state = self.budget_state(id, now);
        state.limit = limit;
        state.last_used = now;
        state.rate.count(now, amount);
        let admission = if state.waiting.is_empty() && state.can_hold(amount, protection) {
            state.reserve_tokens(amount, protection);
            Admission::Held(ticket)
        } else if !wait_for_grant || amount > limit.prepaid {
            Admission::Refused(Kind::BudgetExhausted)
        } else {
            state.waiting.push_back(Waiting { ticket, amount, protection });
            Admission::Wait(ticket)
        };
        if admission == Admission::Held(ticket) {
            self.add_hold(ticket, id.clone(), amount, protection);
        }
        let effects = self.advance(now, id);
        (admission, effects)
    }

    /// Cancels a waiting request, or releases a hold whose request did not run.
    pub fn cancel(&mut self, ticket: HoldId) {
        for state in &mut self.budgets {
            state.waiting.retain(|w| w.ticket != ticket);
        }
        self.drop_hold(ticket);
    }

    fn drop_hold(&mut self, id: HoldId) -> Option<Hold> {
        let index = self.holds.binary_search_by(|h| h.id.cmp(&id)).ok()?;
        let hold = self.holds.remove(index);
        if let Ok(index) = self.find(&hold.budget) {
            let state = &mut self.budgets[index];
            state.held = state.held.minus(hold.amount);
            if hold.protection == Protection::Solo {
                state.solo_used = state.solo_used.minus(hold.amount);
            }
        }
        Some(hold)
    }

    /// Moves a hold to the solo part of the grant, for when no witness can be reached. Returns
    /// whether the solo part had enough room.
    pub fn move_to_solo(&mut self, id: HoldId) -> bool {
        let Ok(index) = self.holds.binary_search_by(|h| h.id.cmp(&id)) else { return false };
        let (budget, amount) = (self.holds[index].budget.clone(), self.holds[index].amount);
        let Ok(at) = self.find(&budget) else { return false };
        let state = &mut self.budgets[at];
        if amount > state.grant.row.solo.minus(state.solo_used) {
            return false;
        }
        state.solo_used = state.solo_used.plus(amount);
        self.holds[index].protection = Protection::Solo;
        true
    }

    /// Records that a witness keeps a copy of this hold, which frees its share of the solo part.
    pub fn mark_witnessed(&mut self, id: HoldId) {
        let Ok(index) = self.holds.binary_search_by(|h| h.id.cmp(&id)) else { return };
        let hold = &mut self.holds[index];
        if hold.protection == Protection::Witness {
            return;
        }
        hold.protection = Protection::Witness;
        let (budget, amount) = (hold.budget.clone(), hold.amount);
        if let Ok(index) = self.find(&budget) {
            let state = &mut self.budgets[index];
            state.solo_used = state.solo_used.minus(amount);
        }
    }

    /// Turns the hold of an ended request into a bill.
    ///
    /// The cost is capped at the held amount, so that a target that reports too many tokens cannot
    /// overspend the budget. Returns the excess over that cap. A hold that was already settled or
    /// cancelled is ignored.
    pub fn settle(&mut self, now: Millis, id: HoldId, mut bill: Bill) -> (Tokens, Vec<Effect>) {
        let Some(hold) = self.drop_hold(id) else { return (Tokens::ZERO, Vec::new()) };
        let excess = bill.cost.minus(hold.amount);
        bill.cost = Tokens(bill.cost.0.min(hold.amount.0));
        let state = self.budget_state(&hold.budget, now);
        state.unrecorded = state.unrecorded.plus(bill.cost);
        if hold.protection == Protection::Solo {
            state.solo_used = state.solo_used.plus(bill.cost);
        }
        state.pending.push_back(PendingBill { hold: id, protection: hold.protection, bill });
        state.last_used = now;
        self.pending += 1;
        let effects = self.advance(now, &hold.budget);
        (excess, effects)
    }

    /// Handles the rows of a budget read for [`Effect::Load`].
    pub fn loaded(&mut self, now: Millis, id: &BudgetId, rows: LoadedRows) -> Vec<Effect> {
        let Ok(index) = self.find(id) else { return Vec::new() };
        let state = &mut self.budgets[index];
        state.budget = rows.budget;
        state.grant = rows.grant;
        state.rows_known = true;
        state.in_flight = None;
        let mut effects = Vec::new();
        let (gone, stay): (VecDeque<_>, VecDeque<_>) = state
            .pending
            .drain(..)
            .partition(|b| rows.billed.iter().any(|x| same_bill(x, &b.bill)));
        state.pending = stay;
        for b in &gone {
            clear_unrecorded(state, b);
        }
        self.pending -= gone.len();
        if !gone.is_empty() {
            effects.push(Effect::Recorded(gone.iter().map(|b| b.hold).collect()));
        }
        effects.extend(self.advance(now, id));
        effects
    }

    /// Handles the outcome of an [`Effect::Write`]: the version at which the change was written, or
    /// `None` if a guard failed.
    pub fn changed(&mut self, now: Millis, id: &BudgetId, version: Option<Version>) -> Vec<Effect> {
        let Ok(index) = self.find(id) else { return Vec::new() };
        let state = &mut self.budgets[index];
        let Some(change) = state.in_flight.take() else { return Vec::new() };
        let Some(version) = version else {
            state.rows_known = false;
            state.retry = true;
            state.in_flight = Some(GrantChange::default());
            return vec![Effect::Load(id.clone())];
        };
        state.retry = false;
        let (budget, grant) = change.after(state.budget.row, state.grant.row);
        if change.changes_budget_row() {
            state.budget = Versioned { version: Some(version), row: budget };
        }
        state.grant = Versioned { version: Some(version), row: grant };
        if change.close {
            state.grant = Versioned::default();
        }
        let done: Vec<PendingBill> = state.pending.drain(..change.bills.len()).collect();
        for b in &done {
            clear_unrecorded(state, b);
        }
        self.pending -= done.len();
        let mut effects = Vec::new();
        if !done.is_empty() {
            effects.push(Effect::Recorded(done.iter().map(|b| b.hold).collect()));
        }
        effects.extend(self.advance(now, id));
        effects
    }

    /// Releases idle grants, flushes bills when the flush interval is over, and drops the state of
    /// unused budgets.
    pub fn tick(&mut self, now: Millis) -> Vec<Effect> {
        let ids: Vec<BudgetId> = self.budgets.iter().map(|state| state.id.clone()).collect();
        self.flushing = now >= self.next_flush;
        if self.flushing {
            self.next_flush = Millis(now.0 + self.flush_interval().0);
        }
        let effects = ids.iter().flat_map(|id| self.advance(now, id)).collect();
        self.flushing = false;
        self.budgets.retain(|state| {
            !(state.is_empty() && state.grant.version.is_none() && state.rows_known)
        });
        effects
    }

    /// Releases the free tokens of one budget now, for a shutdown or at the request of another
    /// router.
    pub fn release(&mut self, now: Millis, id: &BudgetId) -> Vec<Effect> {
        if let Ok(index) = self.find(id) {
            self.budgets[index].last_used = Millis(0);
        }
        self.flushing = true;
        let effects = self.advance(now, id);
        self.flushing = false;
        effects
    }

    /// Releases the free tokens of all budgets.
    pub fn release_all(&mut self, now: Millis) -> Vec<Effect> {
        self.budgets.iter_mut().for_each(|state| state.last_used = Millis(0));
        self.next_flush = now;
        self.tick(now)
    }

    /// Admits waiting requests, then starts the next change if one is due.
    fn advance(&mut self, now: Millis, id: &BudgetId) -> Vec<Effect> {
        let Ok(index) = self.find(id) else { return Vec::new() };
        let mut effects = self.admit_waiting(index);
        let state = &mut self.budgets[index];
        if state.in_flight.is_some() {
            return effects;
        }
        if !state.rows_known {
            state.in_flight = Some(GrantChange::default());
            effects.push(Effect::Load(id.clone()));
            return effects;
        }
        let change = self.next_change(now, index);
        if let Some(change) = change {
            let state = &mut self.budgets[index];
            state.in_flight = Some(change.clone());
            effects.push(Effect::Write(id.clone(), change, state.budget, state.grant));
        } else {
            effects.extend(self.refuse_waiting(index));
        }
        effects
    }

    fn admit_waiting(&mut self, index: usize) -> Vec<Effect> {
        let mut out = Vec::new();
        while let Some(w) = self.budgets[index].waiting.front().copied()
            && self.budgets[index].can_hold(w.amount, w.protection)
        {
            let state = &mut self.budgets[index];
            state.waiting.pop_front();
            state.reserve_tokens(w.amount, w.protection);
            let id = state.id.clone();
            self.add_hold(w.ticket, id, w.amount, w.protection);
            out.push(Effect::Notify(WaitResult { ticket: w.ticket, refused: None }));
        }
        out
    }

    /// Refuses the waiting requests that cannot be admitted.
    ///
    /// Called when the rows are known, no change is in flight and none is to be made, so waiting
    /// longer would not help. After each refusal, smaller requests further back in the queue are
    /// admitted if they fit.
    fn refuse_waiting(&mut self, index: usize) -> Vec<Effect> {
        let mut out = Vec::new();
        while let Some(w) = self.budgets[index].waiting.pop_front() {
            let refused = Some(Kind::BudgetExhausted);
            out.push(Effect::Notify(WaitResult { ticket: w.ticket, refused }));
            // The row may be stale by the time of the next request, so it is read again then.
            self.budgets[index].rows_known = false;
            out.extend(self.admit_waiting(index));
        }
        out
    }

    /// Returns the next change of a grant, if there is one worth a write now.
    ///
    /// A grant is extended at once only for a waiting request. Prefetches, releases and bills wait
    /// for the next flush, so that one transaction carries the changes of all budgets.
    fn next_change(&mut self, now: Millis, index: usize) -> Option<GrantChange> {
        let state = &mut self.budgets[index];
        let waiting = state.waiting.iter().fold(Tokens::ZERO, |sum, w| sum.plus(w.amount));
        let missing_tokens = waiting.minus(state.free());
        let record = self.flushing || state.retry;
        let mut change = GrantChange::default();
        if missing_tokens > Tokens::ZERO {
            change.extend = self.extension(now, index, missing_tokens);
        } else if record {
            let idle = self.is_idle(now, index);
            if !idle && self.is_low(now, index) {
                change.extend = self.extension(now, index, Tokens::ZERO);
            }
            if idle || self.sizing == Sizing::PerRequest {
                change.release = self.budgets[index].free();
            }
            change.close = idle && self.can_close(index);
        }
        change.solo = change.extend.scaled(u64::from(self.solo_per_mille), 1_000);
        let state = &self.budgets[index];
        if record || change.changes_budget_row() || state.pending.len() >= MAX_BILLS_PER_CHANGE {
            let bills = state.pending.iter().take(MAX_BILLS_PER_CHANGE);
            change.bills = bills.map(|b| b.bill.clone()).collect();
        }
        let useful = !change.bills.is_empty() || change.changes_budget_row();
        useful.then_some(change)
    }

    fn is_idle(&self, now: Millis, index: usize) -> bool {
        now.since(self.budgets[index].last_used) >= IDLE_TIMEOUT
    }

    /// Returns whether the free tokens would last less than half of the horizon.
    fn is_low(&mut self, now: Millis, index: usize) -> bool {
        let Sizing::ByRate { horizon } = self.sizing else { return false };
        let state = &mut self.budgets[index];
        state.free() < state.rate.expected_over(now, Millis(horizon.0 / 2))
    }

    fn can_close(&self, index: usize) -> bool {
        let state = &self.budgets[index];
        let all_bills = state.pending.len() <= MAX_BILLS_PER_CHANGE;
        state.held == Tokens::ZERO && all_bills && state.grant.version.is_some()
    }

    fn extension(&mut self, now: Millis, index: usize, missing_tokens: Tokens) -> Tokens {
        let horizon = match self.sizing {
            Sizing::ByRate { horizon } => horizon,
            _ => Millis(0),
        };
        let min_prefetch = Millis(self.flush_interval().0.saturating_mul(2));
        let state = &mut self.budgets[index];
        if matches!(self.sizing, Sizing::EqualSplit(_)) && state.grant.version.is_some() {
            return Tokens::ZERO;
        }
        let inputs = SizingInputs {
            shortfall: missing_tokens,
            upcoming: state.rate.expected_over(now, horizon),
            min_prefetch: state.rate.expected_over(now, min_prefetch),
            free: state.free(),
            prepaid: state.grantable(),
            committed: state.budget.row.committed,
            holders: self.holders,
        };
        self.sizing.extension(inputs)
    }

    fn flush_interval(&self) -> Millis {
        Millis(FLUSH_INTERVAL_PER_ROUTER.0.saturating_mul(self.routers).max(MIN_FLUSH_INTERVAL.0))
    }
}

fn same_bill(a: &Bill, b: &Bill) -> bool {
    (&a.organisation, &a.key, &a.content) == (&b.organisation, &b.key, &b.content)
}

fn clear_unrecorded(state: &mut BudgetState, b: &PendingBill) {
    state.unrecorded = state.unrecorded.minus(b.bill.cost);
    if b.protection == Protection::Solo {
        state.solo_used = state.solo_used.minus(b.bill.cost);
    }
}
