//! Rows of the ledger, and the mutations that change them.

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

use crate::ids::{
    BudgetId, Digest, Incarnation, OrganisationId, RequestKey, Revision, RunId, Tokens, ZoneId,
};
use crate::table::{Mutation, RowKey, Version};

/// What is out of one budget.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct BudgetRow {
    /// `closed` plus everything granted to holders; never more than the prepaid amount.
    pub committed: Tokens,
    /// Settled cost of grants that are closed and gone.
    pub closed: Tokens,
    /// The revision that last lowered the prepaid amount. A router that runs an older revision
    /// knows too large an amount and must not grant.
    pub floor: Revision,
}

/// One holder's part of one budget.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct GrantRow {
    /// Everything this holder may ever bill to the budget.
    pub granted: Tokens,
    /// The part of it that may be spent without a witness.
    pub solo: Tokens,
    /// Bills recorded.
    pub settled: Tokens,
}

/// State of a holder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HolderState {
    /// May be granted tokens.
    Live,
    /// Went away and gave everything back.
    Left,
    /// Reclaimed by its witness: nothing may be granted to it again.
    Sealed,
}

/// One incarnation of a router, as a holder of grants.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HolderRow {
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its listener for callers.
    pub api: CompactString,
    /// Its listener for routers.
    pub peer: CompactString,
    /// The incarnation that keeps copies of its holds, and settles them after its death.
    pub witness: Option<Incarnation>,
    /// Another that may have copies: while the witness cannot be reached, its word is enough.
    #[serde(default)]
    pub backup: Option<Incarnation>,
    /// May it hold grants?
    pub state: HolderState,
}

/// The settled cost of one request. Its row is inserted once, whoever tries.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Bill {
    /// Who pays.
    pub organisation: OrganisationId,
    /// The caller's key.
    pub key: RequestKey,
    /// Digest of the request's content.
    pub content: Digest,
    /// The budget charged.
    pub budget: BudgetId,
    /// The execution that is paid for.
    pub run: RunId,
    /// Cost in tokens.
    pub cost: Tokens,
}

/// Row of a budget.
pub fn budget_key(id: &BudgetId) -> RowKey {
    format_compact!("budget/{id}")
}

/// Row of a holder's grant.
pub fn grant_key(holder: &Incarnation, id: &BudgetId) -> RowKey {
    format_compact!("grant/{holder}/{id}")
}

/// Prefix of all grants of a holder.
pub fn grants_prefix(holder: &Incarnation) -> RowKey {
    format_compact!("grant/{holder}/")
}

/// Prefix of all holders.
pub const HOLDERS_PREFIX: &str = "holder/";

/// Row of a holder.
pub fn holder_key(holder: &Incarnation) -> RowKey {
    format_compact!("{HOLDERS_PREFIX}{holder}")
}

/// Prefix of all bills of an organisation.
pub fn bills_prefix(organisation: &OrganisationId) -> RowKey {
    format_compact!("bill/{organisation}/")
}

/// Row of a bill. The content is part of the key, so that a key used again for other content
/// much later is another bill.
pub fn bill_key(bill: &Bill) -> RowKey {
    format_compact!("bill/{}/{}/{}", bill.organisation, bill.key, bill.content)
}

/// A row as last seen, with its version; `None` for one that does not exist.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Versioned<T> {
    /// Version of the row.
    pub version: Option<Version>,
    /// Its content, or the default.
    pub row: T,
}

/// One change of a grant: bills recorded, tokens added or given back, all in one mutation.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GrantChange {
    /// Bills to insert and settle.
    pub bills: Vec<Bill>,
    /// Tokens to add to the grant.
    pub extend: Tokens,
    /// Tokens to give back.
    pub release: Tokens,
    /// Part of the extension that needs no witness.
    pub solo: Tokens,
    /// Remove the grant row; everything left must be settled.
    pub close: bool,
}

impl GrantChange {
    /// Whether the budget's row takes part.
    pub fn changes_budget_row(&self) -> bool {
        self.extend > Tokens::ZERO || self.release > Tokens::ZERO || self.close
    }

    /// The rows after the change.
    pub fn after(&self, budget: BudgetRow, grant: GrantRow) -> (BudgetRow, GrantRow) {
        let cost = self.bills.iter().fold(Tokens::ZERO, |sum, b| sum.plus(b.cost));
        let granted = grant.granted.plus(self.extend).minus(self.release);
        let solo = Tokens(grant.solo.plus(self.solo).0.min(granted.0));
        let after = GrantRow { granted, solo, settled: grant.settled.plus(cost) };
        let committed = budget.committed.plus(self.extend).minus(self.release);
        let closed = if self.close { budget.closed.plus(after.settled) } else { budget.closed };
        (BudgetRow { committed, closed, ..budget }, after)
    }

    /// The mutation that makes the change.
    ///
    /// The guard on the holder's row is the fence against a holder that was paused, reclaimed by
    /// its witness, and woke: its next change fails, whatever it believes. Each bill's row must
    /// be absent, so that a request run twice is billed once. `fence` is the version of the
    /// holder's row; its witness, which seals that row first, needs none.
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
