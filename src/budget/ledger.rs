//! Rows of the budget ledger, and the mutations that change them.
//!
//! The ledger is part of the table that all routers share. It has one row per budget, per holder
//! (an incarnation of a router), per grant (the part of a budget that a holder may spend) and per
//! bill.

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

use crate::ids::{
    BudgetId, Digest, Incarnation, OrganisationId, RequestKey, Revision, RunId, Tokens, ZoneId,
};
use crate::table::{Mutation, RowKey, Version};

/// Totals of one budget.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct BudgetRow {
    /// `closed` plus everything granted to holders. Never exceeds the prepaid amount.
    pub committed: Tokens,
    /// Settled cost of grants whose rows have been removed.
    pub closed: Tokens,
    /// Revision that last lowered the prepaid amount. A router on an older revision still has the
    /// larger amount and must not extend grants.
    pub floor: Revision,
}

/// Part of one budget that one holder may spend.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct GrantRow {
    /// Upper bound for everything this holder bills to the budget.
    pub granted: Tokens,
    /// Part of `granted` that may be spent without a witness.
    pub solo: Tokens,
    /// Total cost of the recorded bills.
    pub settled: Tokens,
}

/// State of a holder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HolderState {
    /// May be granted tokens.
    Live,
    /// Has stopped and released all its grants.
    Left,
    /// Reclaimed by its witness. Must not be granted tokens again.
    Sealed,
}

/// One incarnation of a router, as a holder of grants.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HolderRow {
    /// Availability zone of the router.
    pub zone: ZoneId,
    /// Listener address for callers.
    pub api: CompactString,
    /// Listener address for other routers.
    pub peer: CompactString,
    /// Incarnation that keeps copies of this holder's holds and settles them if the holder crashes.
    pub witness: Option<Incarnation>,
    /// Second incarnation that may keep copies. A copy there is sufficient while the witness cannot
    /// be reached.
    #[serde(default)]
    pub backup: Option<Incarnation>,
    /// Whether the incarnation may hold grants.
    pub state: HolderState,
}

/// Settled cost of one request. Its row is inserted at most once, no matter how many routers try.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Bill {
    /// The organisation that pays.
    pub organisation: OrganisationId,
    /// Idempotency key of the request.
    pub key: RequestKey,
    /// Digest of the request's content.
    pub content: Digest,
    /// Budget that is charged.
    pub budget: BudgetId,
    /// The run that is billed.
    pub run: RunId,
    /// Cost in tokens.
    pub cost: Tokens,
}

/// Key of a budget's row.
pub fn budget_key(id: &BudgetId) -> RowKey {
    format_compact!("budget/{id}")
}

/// Key of the row of a holder's grant.
pub fn grant_key(holder: &Incarnation, id: &BudgetId) -> RowKey {
    format_compact!("grant/{holder}/{id}")
}

/// Key prefix of all grants of a holder.
pub fn grants_prefix(holder: &Incarnation) -> RowKey {
    format_compact!("grant/{holder}/")
}

/// Key prefix of all holders.
pub const HOLDERS_PREFIX: &str = "holder/";

/// Key of a holder's row.
pub fn holder_key(holder: &Incarnation) -> RowKey {
    format_compact!("{HOLDERS_PREFIX}{holder}")
}

/// Key prefix of all bills of an organisation.
pub fn bills_prefix(organisation: &OrganisationId) -> RowKey {
    format_compact!("bill/{organisation}/")
}

/// Key of a bill's row. The key contains the content digest, so that an idempotency key reused much
/// later with other content gives a separate bill.
pub fn bill_key(bill: &Bill) -> RowKey {
    format_compact!("bill/{}/{}/{}", bill.organisation, bill.key, bill.content)
}

/// A row as last read or written, with its version.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Versioned<T> {
    /// Version of the row; `None` if the row does not exist.
    pub version: Option<Version>,
    /// Content of the row, or the default if the row does not exist.
    pub row: T,
}

/// One change of a grant. Bills, extension and release are written in one mutation.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GrantChange {
    /// Bills to insert and add to the settled cost.
    pub bills: Vec<Bill>,
    /// Tokens to add to the grant.
    pub extend: Tokens,
    /// Tokens to return to the budget.
    pub release: Tokens,
    /// Part of the extension that may be spent without a witness.
    pub solo: Tokens,
    /// Whether to remove the grant's row. All tokens that remain in the grant must be settled.
    pub close: bool,
}

impl GrantChange {
    /// Returns whether the change also modifies the budget's row.
    pub fn changes_budget_row(&self) -> bool {
        self.extend > Tokens::ZERO || self.release > Tokens::ZERO || self.close
    }

    /// Returns both rows as they are after the change.
    pub fn after(&self, budget: BudgetRow, grant: GrantRow) -> (BudgetRow, GrantRow) {
        let cost = self.bills.iter().fold(Tokens::ZERO, |sum, b| sum.plus(b.cost));
        let granted = grant.granted.plus(self.extend).minus(self.release);
        let solo = Tokens(grant.solo.plus(self.solo).0.min(granted.0));
        let after = GrantRow { granted, solo, settled: grant.settled.plus(cost) };
        let committed = budget.committed.plus(self.extend).minus(self.release);
        let closed = if self.close { budget.closed.plus(after.settled) } else { budget.closed };
        (BudgetRow { committed, closed, ..budget }, after)
    }

    /// Builds the mutation that applies the change.
    ///
    /// `fence` is the expected version of the holder's row. It fences off a holder that was paused
    /// and meanwhile reclaimed by its witness: sealing changed the row's version, so any later
    /// change by that holder fails. The witness itself seals the row first and passes no fence.
    ///
    /// Each bill's row must not exist yet, so that a request that ran twice is billed once.
    pub fn mutation(
        &self,
        holder: &Incarnation,
        fence: Option<Version>,
        id: &BudgetId,
        budget: Versioned<BudgetRow>,
        grant: Versioned<GrantRow>,
    ) -> Mutation {
        let (budget_after, grant_after) = self.after(budget.row, grant.row);
        let mut m = Mutation::default().guard(grant_key(holder, id), grant.version);
        if fence.is_some() {
            m = m.guard(holder_key(holder), fence);
        }
        if self.changes_budget_row() {
            m = m.guard(budget_key(id), budget.version).put(budget_key(id), &budget_after);
        }
        m = match self.close {
            true => m.delete(grant_key(holder, id)),
            false => m.put(grant_key(holder, id), &grant_after),
        };
        for bill in &self.bills {
            m = m.guard(bill_key(bill), None).put(bill_key(bill), bill);
        }
        m
    }
}
