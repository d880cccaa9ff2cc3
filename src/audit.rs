//! Checks the guarantees of the fleet after a load, by comparing the callers' records with the
//! platform's table: no overspending, and exactly one correct bill for each answered request.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::budget::actor::versioned;
use crate::budget::ledger::{Bill, BudgetRow, Versioned, budget_key};
use crate::config::Config;
use crate::error::Result;
use crate::ids::Tokens;
use crate::load::RequestRecord;
use crate::table::{Table, read_one, scan_all};

/// The result of an audit.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Serialize)]
pub struct Audit {
    /// Requests that callers sent.
    pub requests: usize,
    /// Requests that got a complete answer.
    pub answered: usize,
    /// Complete answers whose text was not the expected one.
    pub wrong: usize,
    /// Requests that were refused or failed.
    pub refused: usize,
    /// Bills in the table.
    pub billed: usize,
    /// Idempotency keys with more than one bill.
    pub duplicate_bills: usize,
    /// Answered requests without a bill.
    pub unbilled: usize,
    /// Answered requests whose bill differs from the token count in the answer.
    pub differing: usize,
    /// Tokens billed beyond the prepaid amounts, summed over all budgets.
    pub overspend: u64,
    /// Tokens committed beyond the prepaid amounts, summed over all budgets.
    pub overcommitted: u64,
}

impl Audit {
    /// Returns whether all guarantees were kept.
    pub fn passed(&self) -> bool {
        let violations = [self.wrong, self.duplicate_bills, self.unbilled, self.differing];
        violations.iter().all(|n| *n == 0) && self.overspend == 0 && self.overcommitted == 0
    }

    /// Returns the result as one line of `key=value` pairs.
    pub fn summary_line(&self) -> String {
        format!(
            "requests={} answered={} refused={} billed={} duplicate_bills={} overspend={} overcommitted={} \
             unbilled={} differing={} wrong_answers={}",
            self.requests,
            self.answered,
            self.refused,
            self.billed,
            self.duplicate_bills,
            self.overspend,
            self.overcommitted,
            self.unbilled,
            self.differing,
            self.wrong
        )
    }
}

/// Compares the callers' `records` with the bills and budgets in `table`.
///
/// # Errors
/// `PlatformAway` if the table cannot be read, `BadFormat` if a row cannot be decoded.
pub async fn audit<T: Table>(table: &T, cfg: &Config, records: &[RequestRecord]) -> Result<Audit> {
    let rows = scan_all(table, "bill/").await?;
    let bills: Vec<Bill> = rows.iter().map(|r| r.decode()).collect::<Result<_>>()?;
    let mut by_key: BTreeMap<(&str, &str), Vec<&Bill>> = BTreeMap::new();
    for b in &bills {
        by_key.entry((b.organisation.as_str(), b.key.as_str())).or_default().push(b);
    }
    let mut result = Audit { requests: records.len(), billed: bills.len(), ..Audit::default() };
    result.duplicate_bills = by_key.values().filter(|b| b.len() > 1).count();
    for r in records {
        let Ok(t) = &r.outcome else {
            result.refused += 1;
            continue;
        };
        result.answered += 1;
        result.wrong += usize::from(!r.is_correct);
        match by_key.get(&(r.organisation.as_str(), r.key.as_str())) {
            None => result.unbilled += 1,
            Some(b) => result.differing += usize::from(b[0].cost != Tokens(t.total_tokens)),
        }
    }
    for budget in &cfg.budgets {
        let budget_bills = bills.iter().filter(|b| b.budget == budget.id);
        let spent = budget_bills.fold(Tokens::ZERO, |sum, b| sum.plus(b.cost));
        result.overspend += spent.minus(budget.prepaid).0;
        let row: Versioned<BudgetRow> =
            versioned(read_one(table, budget_key(&budget.id)).await?.as_ref())?;
        result.overcommitted += row.row.committed.minus(budget.prepaid).0;
    }
    Ok(result)
}
