//! The properties, checked from outside: from the platform's table and the callers' records.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::budget::actor::versioned;
use crate::budget::ledger::{Bill, BudgetRow, Versioned, budget_key};
use crate::config::Config;
use crate::error::Result;
use crate::ids::Tokens;
use crate::load::Record;
use crate::table::{Table, read_one, scan_all};

/// What was found.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Serialize)]
pub struct Audit {
    /// Requests of the callers.
    pub requests: usize,
    /// Requests with a whole answer.
    pub answered: usize,
    /// Answers with wrong text.
    pub wrong: usize,
    /// Requests without an answer.
    pub refused: usize,
    /// Bills in the table.
    pub billed: usize,
    /// Keys with more than one bill.
    pub duplicate_bills: usize,
    /// Answered requests without a bill.
    pub unbilled: usize,
    /// Answered requests whose bill has another amount than the caller was told.
    pub differing: usize,
    /// Tokens billed past what was prepaid, over all budgets.
    pub overspend: u64,
    /// Tokens committed past what was prepaid, over all budgets.
    pub overcommitted: u64,
}

impl Audit {
    /// Whether every property held.
    pub fn holds(&self) -> bool {
        let bad = [self.wrong, self.duplicate_bills, self.unbilled, self.differing];
        bad.iter().all(|n| *n == 0) && self.overspend == 0 && self.overcommitted == 0
    }

    /// One line for a person and a script.
    pub fn line(&self) -> String {
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

/// Checks records against the table.
///
/// # Errors
/// `PlatformAway`, or `BadFormat` for a row that cannot be read.
pub async fn audit<T: Table>(table: &T, cfg: &Config, records: &[Record]) -> Result<Audit> {
    let rows = scan_all(table, "bill/").await?;
    let bills: Vec<Bill> = rows.iter().map(|r| r.decode()).collect::<Result<_>>()?;
    let mut by_key: BTreeMap<(&str, &str), Vec<&Bill>> = BTreeMap::new();
    for b in &bills {
        by_key.entry((b.organisation.as_str(), b.key.as_str())).or_default().push(b);
    }
    let mut a = Audit { requests: records.len(), billed: bills.len(), ..Audit::default() };
    a.duplicate_bills = by_key.values().filter(|b| b.len() > 1).count();
    for r in records {
        let Ok(t) = &r.outcome else {
            a.refused += 1;
            continue;
        };
        a.answered += 1;
        a.wrong += usize::from(!r.right);
        match by_key.get(&(r.organisation.as_str(), r.key.as_str())) {
            None => a.unbilled += 1,
            Some(b) => a.differing += usize::from(b[0].cost != Tokens(t.total_tokens)),
        }
    }
    for budget in &cfg.budgets {
        let own = bills.iter().filter(|b| b.budget == budget.id);
        let spent = own.fold(Tokens::ZERO, |sum, b| sum.plus(b.cost));
        a.overspend += spent.minus(budget.prepaid).0;
        let row: Versioned<BudgetRow> =
            versioned(read_one(table, budget_key(&budget.id)).await?.as_ref())?;
        a.overcommitted += row.row.committed.minus(budget.prepaid).0;
    }
    Ok(a)
}
