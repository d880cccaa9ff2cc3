//! The grants of one router, as a pure state machine: event in, effects out, no clock, no I/O.

use std::collections::VecDeque;

pub use super::budget_state::Protection;
use super::budget_state::{BudgetState, Hold, PendingBill, Waiting};
use super::ledger::{Bill, BudgetRow, GrantChange, GrantRow, Versioned};
use super::sizing::{Sizing, SizingInputs};
use crate::error::Kind;
use crate::ids::{BudgetId, Millis, Revision, Tokens};
use crate::table::Version;

/// Bills that wait to be recorded, at most. Past that nothing is admitted: a bill is never
/// dropped, so the queue has to be bounded at its entrance.
pub const MAX_PENDING_BILLS: usize = 50_000;
/// Bills in one change, at most.
const MAX_BILLS_PER_CHANGE: usize = 200;
/// Shortest pause between records of bills: one transaction then carries those of all budgets.
/// Until then the witness has them.
const MIN_FLUSH_INTERVAL: Millis = Millis(3_000);
/// Pause added for each router, so that the fleet's records together stay within what the table
/// takes.
const FLUSH_INTERVAL_PER_ROUTER: Millis = Millis(10);
/// Unused time after which what is free of a grant goes back.
const IDLE_TIMEOUT: Millis = Millis(60_000);

/// Number of a hold within its incarnation.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(transparent)]
pub struct HoldId(pub u64);

/// What the configuration allows, and the revision that says so.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Limit {
    /// Everything ever prepaid.
    pub prepaid: Tokens,
    /// The revision it was read from.
    pub revision: Revision,
}

/// The answer to a request for a hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The tokens are held.
    Held(HoldId),
    /// A grant is being fetched; the verdict comes later under this number.
    Wait(HoldId),
    /// Not held.
    Refused(Kind),
}

/// A verdict on an earlier [`Admission::Wait`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitResult {
    /// The number given before; it is the hold's number when `refused` is `None`.
    pub ticket: HoldId,
    /// Why not, if not.
    pub refused: Option<Kind>,
}

/// What the driver has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Read the rows of this budget and answer with [`Holder::loaded`].
    Load(BudgetId),
    /// Write this change and answer with [`Holder::changed`].
    Write(BudgetId, GrantChange, Versioned<BudgetRow>, Versioned<GrantRow>),
    /// Tell a waiting request.
    Notify(WaitResult),
    /// These holds are recorded: the witness may forget them.
    Recorded(Vec<HoldId>),
}

/// Rows read for a budget.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LoadedRows {
    /// The budget's row.
    pub budget: Versioned<BudgetRow>,
    /// This holder's grant.
    pub grant: Versioned<GrantRow>,
    /// Of the pending bills: those whose row exists already.
    pub billed: Vec<Bill>,
}

/// Everything a router holds.
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
    /// The grant as the table has it.
    pub granted: Tokens,
    /// Held for running requests.
    pub held: Tokens,
    /// Billed and not yet recorded.
    pub unrecorded: Tokens,
    /// Recorded.
    pub settled: Tokens,
    /// Free to hold.
    pub free: Tokens,
    /// Left to grant in the table, when it was last read.
    pub left: Tokens,
}

impl Holder {
    /// A holder with nothing.
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

    /// Sets policy: the solo share, the sizing, and how many routers may hold the same budget.
    pub fn set_policy(&mut self, sizing: Sizing, solo_per_mille: u32, holders: u64) {
        self.sizing = sizing;
        self.solo_per_mille = solo_per_mille;
        self.holders = holders;
    }

    /// Bills not yet recorded.
    pub fn pending_bills(&self) -> usize {
        self.pending
    }

    /// How many routers write to the ledger: each records the less often, the more there are.
    pub fn set_routers(&mut self, routers: u64) {
        self.routers = routers;
    }

    /// The bills of one budget that are not yet recorded.
    pub fn pending_bills_of(&self, id: &BudgetId) -> Vec<Bill> {
        let Ok(index) = self.find(id) else { return Vec::new() };
        self.budgets[index]
            .pending
            .iter()
            .take(MAX_BILLS_PER_CHANGE)
            .map(|b| b.bill.clone())
            .collect()
    }

    /// Holds of requests that still run.
    pub fn holds(&self) -> usize {
        self.holds.len()
    }

    /// Budgets with state here.
    pub fn budgets(&self) -> usize {
        self.budgets.len()
    }

    /// Usage of a budget.
    pub fn usage(&self, id: &BudgetId) -> Usage {
        let Ok(index) = self.find(id) else { return Usage::default() };
        let p = &self.budgets[index];
        Usage {
            granted: p.grant.row.granted,
            held: p.held,
            unrecorded: p.unrecorded,
            settled: p.grant.row.settled,
            free: p.free(),
            left: p.grantable().minus(p.budget.row.committed),
        }
    }

    fn find(&self, id: &BudgetId) -> Result<usize, usize> {
        self.budgets.binary_search_by(|p| p.id.cmp(id))
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

    /// A request wants `amount` held. Without `wait_for_grant` it does not wait for a grant.
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
        let p = self.budget_state(id, now);
        p.limit = limit;
        p.last_used = now;
        p.rate.count(now, amount);
        let admit = if p.waiting.is_empty() && p.can_hold(amount, protection) {
            p.reserve_tokens(amount, protection);
            Admission::Held(ticket)
        } else if !wait_for_grant || amount > limit.prepaid {
            Admission::Refused(Kind::BudgetExhausted)
        } else {
            p.waiting.push_back(Waiting { ticket, amount, protection });
            Admission::Wait(ticket)
        };
        if admit == Admission::Held(ticket) {
            self.add_hold(ticket, id.clone(), amount, protection);
        }
        let effects = self.advance(now, id);
        (admit, effects)
    }

    /// A waiting request went away, or a hold turned out not to be needed: nothing ran.
    pub fn cancel(&mut self, ticket: HoldId) {
        for p in &mut self.budgets {
            p.waiting.retain(|w| w.ticket != ticket);
        }
        self.drop_hold(ticket);
    }

    fn drop_hold(&mut self, id: HoldId) -> Option<Hold> {
        let index = self.holds.binary_search_by(|h| h.id.cmp(&id)).ok()?;
        let hold = self.holds.remove(index);
        if let Ok(index) = self.find(&hold.budget) {
            let p = &mut self.budgets[index];
            p.held = p.held.minus(hold.amount);
            if hold.protection == Protection::Solo {
                p.solo_used = p.solo_used.minus(hold.amount);
            }
        }
        Some(hold)
    }

    /// No witness can be reached: the hold moves to the solo part, if that has room.
    pub fn move_to_solo(&mut self, id: HoldId) -> bool {
        let Ok(index) = self.holds.binary_search_by(|h| h.id.cmp(&id)) else { return false };
        let (budget, amount) = (self.holds[index].budget.clone(), self.holds[index].amount);
        let Ok(at) = self.find(&budget) else { return false };
        let p = &mut self.budgets[at];
        if amount > p.grant.row.solo.minus(p.solo_used) {
            return false;
        }
        p.solo_used = p.solo_used.plus(amount);
        self.holds[index].protection = Protection::Solo;
        true
    }

    /// A witness took over the cover of a hold.
    pub fn mark_witnessed(&mut self, id: HoldId) {
        let Ok(index) = self.holds.binary_search_by(|h| h.id.cmp(&id)) else { return };
        let hold = &mut self.holds[index];
        if hold.protection == Protection::Witness {
            return;
        }
        hold.protection = Protection::Witness;
        let (budget, amount) = (hold.budget.clone(), hold.amount);
        if let Ok(index) = self.find(&budget) {
            let p = &mut self.budgets[index];
            p.solo_used = p.solo_used.minus(amount);
        }
    }

    /// A request ended: its hold becomes a bill. The cost is capped at the hold, so that a target
    /// that reports too much cannot overspend a budget; the excess is returned.
    pub fn settle(&mut self, now: Millis, id: HoldId, mut bill: Bill) -> (Tokens, Vec<Effect>) {
        let Some(hold) = self.drop_hold(id) else { return (Tokens::ZERO, Vec::new()) };
        let excess = bill.cost.minus(hold.amount);
        bill.cost = Tokens(bill.cost.0.min(hold.amount.0));
        let p = self.budget_state(&hold.budget, now);
        p.unrecorded = p.unrecorded.plus(bill.cost);
        if hold.protection == Protection::Solo {
            p.solo_used = p.solo_used.plus(bill.cost);
        }
        p.pending.push_back(PendingBill { hold: id, protection: hold.protection, bill });
        p.last_used = now;
        self.pending += 1;
        let effects = self.advance(now, &hold.budget);
        (excess, effects)
    }

    /// Rows of a budget were read.
    pub fn loaded(&mut self, now: Millis, id: &BudgetId, rows: LoadedRows) -> Vec<Effect> {
        let Ok(index) = self.find(id) else { return Vec::new() };
        let p = &mut self.budgets[index];
        p.budget = rows.budget;
        p.grant = rows.grant;
        p.rows_known = true;
        p.in_flight = None;
        let mut effects = Vec::new();
        let (gone, stay): (VecDeque<_>, VecDeque<_>) =
            p.pending.drain(..).partition(|b| rows.billed.iter().any(|x| same_bill(x, &b.bill)));
        p.pending = stay;
        for b in &gone {
            clear_unrecorded(p, b);
        }
        self.pending -= gone.len();
        if !gone.is_empty() {
            effects.push(Effect::Recorded(gone.iter().map(|b| b.hold).collect()));
        }
        effects.extend(self.advance(now, id));
        effects
    }

    /// A change was written at `version`, or failed on a guard (`None`).
    pub fn changed(&mut self, now: Millis, id: &BudgetId, version: Option<Version>) -> Vec<Effect> {
        let Ok(index) = self.find(id) else { return Vec::new() };
        let p = &mut self.budgets[index];
        let Some(change) = p.in_flight.take() else { return Vec::new() };
        let Some(version) = version else {
            p.rows_known = false;
            p.retry = true;
            p.in_flight = Some(GrantChange::default());
            return vec![Effect::Load(id.clone())];
        };
        p.retry = false;
        let (budget, grant) = change.after(p.budget.row, p.grant.row);
        if change.changes_budget_row() {
            p.budget = Versioned { version: Some(version), row: budget };
        }
        p.grant = Versioned { version: Some(version), row: grant };
        if change.close {
            p.grant = Versioned::default();
        }
        let done: Vec<PendingBill> = p.pending.drain(..change.bills.len()).collect();
        for b in &done {
            clear_unrecorded(p, b);
        }
        self.pending -= done.len();
        let mut effects = Vec::new();
        if !done.is_empty() {
            effects.push(Effect::Recorded(done.iter().map(|b| b.hold).collect()));
        }
        effects.extend(self.advance(now, id));
        effects
    }

    /// Time passed: idle grants go back, empty pockets are dropped.
    pub fn tick(&mut self, now: Millis) -> Vec<Effect> {
        let ids: Vec<BudgetId> = self.budgets.iter().map(|p| p.id.clone()).collect();
        self.flushing = now >= self.next_flush;
        if self.flushing {
            self.next_flush = Millis(now.0 + self.flush_interval().0);
        }
        let effects = ids.iter().flat_map(|id| self.advance(now, id)).collect();
        self.flushing = false;
        self.budgets.retain(|p| !(p.is_empty() && p.grant.version.is_none() && p.rows_known));
        effects
    }

    /// Gives everything free back now, for a stop or at a peer's request.
    pub fn release(&mut self, now: Millis, id: &BudgetId) -> Vec<Effect> {
        if let Ok(index) = self.find(id) {
            self.budgets[index].last_used = Millis(0);
        }
        self.flushing = true;
        let effects = self.advance(now, id);
        self.flushing = false;
        effects
    }

    /// Gives back everything free of every budget.
    pub fn release_all(&mut self, now: Millis) -> Vec<Effect> {
        self.budgets.iter_mut().for_each(|p| p.last_used = Millis(0));
        self.next_flush = now;
        self.tick(now)
    }

    /// Serves waiting requests, then starts the next change if one is due.
    fn advance(&mut self, now: Millis, id: &BudgetId) -> Vec<Effect> {
        let Ok(index) = self.find(id) else { return Vec::new() };
        let mut effects = self.admit_waiting(index);
        let p = &mut self.budgets[index];
        if p.in_flight.is_some() {
            return effects;
        }
        if !p.rows_known {
            p.in_flight = Some(GrantChange::default());
            effects.push(Effect::Load(id.clone()));
            return effects;
        }
        let change = self.next_change(now, index);
        if let Some(change) = change {
            let p = &mut self.budgets[index];
            p.in_flight = Some(change.clone());
            effects.push(Effect::Write(id.clone(), change, p.budget, p.grant));
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
            let p = &mut self.budgets[index];
            p.waiting.pop_front();
            p.reserve_tokens(w.amount, w.protection);
            let id = p.id.clone();
            self.add_hold(w.ticket, id, w.amount, w.protection);
            out.push(Effect::Notify(WaitResult { ticket: w.ticket, refused: None }));
        }
        out
    }

    /// With the table's rows known, nothing in flight and no change to make, the first waiting
    /// request cannot be served: it learns so at once. Smaller ones behind it get their chance.
    fn refuse_waiting(&mut self, index: usize) -> Vec<Effect> {
        let mut out = Vec::new();
        while let Some(w) = self.budgets[index].waiting.pop_front() {
            let refused = Some(Kind::BudgetExhausted);
            out.push(Effect::Notify(WaitResult { ticket: w.ticket, refused }));
            // The row may be stale by the next request: it is read again then.
            self.budgets[index].rows_known = false;
            out.extend(self.admit_waiting(index));
        }
        out
    }

    /// The next change of a grant, if one is worth a write now.
    ///
    /// Only a waiting request has its grant extended at once. Prefetches, returns and bills wait
    /// for the next common record, so that one transaction carries those of all budgets.
    fn next_change(&mut self, now: Millis, index: usize) -> Option<GrantChange> {
        let p = &mut self.budgets[index];
        let waiting = p.waiting.iter().fold(Tokens::ZERO, |sum, w| sum.plus(w.amount));
        let missing_tokens = waiting.minus(p.free());
        let record = self.flushing || p.retry;
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
        let p = &self.budgets[index];
        if record || change.changes_budget_row() || p.pending.len() >= MAX_BILLS_PER_CHANGE {
            let bills = p.pending.iter().take(MAX_BILLS_PER_CHANGE);
            change.bills = bills.map(|b| b.bill.clone()).collect();
        }
        let useful = !change.bills.is_empty() || change.changes_budget_row();
        useful.then_some(change)
    }

    fn is_idle(&self, now: Millis, index: usize) -> bool {
        now.since(self.budgets[index].last_used) >= IDLE_TIMEOUT
    }

    /// Whether what is free would not last half the horizon.
    fn is_low(&mut self, now: Millis, index: usize) -> bool {
        let Sizing::ByRate { horizon } = self.sizing else { return false };
        let p = &mut self.budgets[index];
        p.free() < p.rate.expected_over(now, Millis(horizon.0 / 2))
    }

    fn can_close(&self, index: usize) -> bool {
        let p = &self.budgets[index];
        let all_bills = p.pending.len() <= MAX_BILLS_PER_CHANGE;
        p.held == Tokens::ZERO && all_bills && p.grant.version.is_some()
    }

    fn extension(&mut self, now: Millis, index: usize, missing_tokens: Tokens) -> Tokens {
        let horizon = match self.sizing {
            Sizing::ByRate { horizon } => horizon,
            _ => Millis(0),
        };
        let min_prefetch = Millis(self.flush_interval().0.saturating_mul(2));
        let p = &mut self.budgets[index];
        if matches!(self.sizing, Sizing::EqualSplit(_)) && p.grant.version.is_some() {
            return Tokens::ZERO;
        }
        let inputs = SizingInputs {
            shortfall: missing_tokens,
            upcoming: p.rate.expected_over(now, horizon),
            min_prefetch: p.rate.expected_over(now, min_prefetch),
            free: p.free(),
            prepaid: p.grantable(),
            committed: p.budget.row.committed,
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

fn clear_unrecorded(p: &mut BudgetState, b: &PendingBill) {
    p.unrecorded = p.unrecorded.minus(b.bill.cost);
    if b.protection == Protection::Solo {
        p.solo_used = p.solo_used.minus(b.bill.cost);
    }
}
