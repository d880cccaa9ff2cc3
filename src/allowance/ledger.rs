//! One organisation's row: what is settled, and who may spend how much of the rest.

use std::fmt;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::spending::PredecessorSpending;
use crate::error::{Error, Kind, Result};
use crate::ids::Tokens;
use crate::rows::StoreMs;

/// Format of the row; one of another format is not touched.
const FORMAT: u8 = 3;

/// A place that runs one process at a time, and the process that runs there now.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct ProcessId {
    /// Instance and address. The platform starts the next process of the same name only once
    /// the one before has ended.
    #[serde(rename = "place")]
    pub endpoint: CompactString,
    /// One start of a process there; never used again.
    pub incarnation: u64,
}

impl fmt::Display for ProcessId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{:x}", self.endpoint, self.incarnation)
    }
}

/// One process's part of a budget.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Grant {
    /// Whose it is.
    pub name: ProcessId,
    /// The most that it may spend in all. Nobody else may use it.
    pub ceiling: Tokens,
    /// What it had surely spent when it wrote this.
    pub settled: Tokens,
    /// Its mean rate of spending then, tokens a second.
    pub rate: Tokens,
    /// The newest store time that it knew then.
    pub seen: StoreMs,
}

impl Grant {
    /// What the process has probably spent by store time `now`: grants change seldom, and what was
    /// settled when one was written is seconds old.
    pub fn spent_by(&self, now: StoreMs) -> Tokens {
        let ms = now.0.saturating_sub(self.seen.0);
        let since = self.rate.0.saturating_mul(ms) / 1_000;
        Tokens(self.settled.0.saturating_add(since).min(self.ceiling.0))
    }
}

/// What became of the grant of a process that has ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClosedGrant {
    /// What was known of its spending.
    pub predecessor: PredecessorSpending,
    /// The most that it can have spent; this much stays spent.
    pub spent: Tokens,
    /// The part of `spent` that is proved.
    pub settled: Tokens,
    /// What goes back to the organisation.
    pub returned: Tokens,
}

impl ClosedGrant {
    /// The part of `spent` that nobody can prove.
    pub fn doubt(&self) -> Tokens {
        self.spent.minus(self.settled)
    }
}

/// An organisation's budget as it stands in the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Ledger {
    format: u8,
    /// Spent by processes that have ended or left, at the most.
    pub closed: Tokens,
    /// The part of `closed` that nobody can prove: what a dead process may have spent beyond
    /// what it had settled. It stays spent, but no request is told that the budget is used up
    /// because of it.
    pub doubt: Tokens,
    /// The processes that may spend, by name.
    pub grants: Vec<Grant>,
}

impl Ledger {
    /// Reads a row.
    ///
    /// # Errors
    /// `BadFormat` if the row is damaged or of another format. Spending from it is refused then:
    /// a budget that cannot be read must not be taken for an unused one.
    pub fn decode(value: &[u8]) -> Result<Ledger> {
        let unreadable = |_| Error::new(Kind::BadFormat, "budget row cannot be read");
        let ledger: Ledger = ciborium::from_reader(value).map_err(unreadable)?;
        if ledger.format != FORMAT {
            return Err(Error::new(Kind::BadFormat, "budget row is of another format"));
        }
        Ok(ledger)
    }

    /// The row's value.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(64 + 80 * self.grants.len());
        let row = Ledger { format: FORMAT, ..self.clone() };
        ciborium::into_writer(&row, &mut out).expect("writing to memory cannot fail");
        out
    }

    /// What is granted or spent: nobody else may use it.
    pub fn committed(&self) -> Tokens {
        let granted: u64 = self.grants.iter().map(|g| g.ceiling.0).sum();
        Tokens(self.closed.0 + granted)
    }

    /// What is surely spent.
    pub fn settled(&self) -> Tokens {
        let granted: u64 = self.grants.iter().map(|g| g.settled.0).sum();
        Tokens((self.closed.0 + granted).saturating_sub(self.doubt.0))
    }

    /// What may still be granted out of `prepaid`.
    pub fn free(&self, prepaid: Tokens) -> Tokens {
        prepaid.minus(self.committed())
    }

    fn position(&self, name: &ProcessId) -> std::result::Result<usize, usize> {
        self.grants.binary_search_by(|g| g.name.cmp(name))
    }

    /// A process's grant.
    pub fn grant(&self, name: &ProcessId) -> Option<&Grant> {
        self.position(name).ok().map(|i| &self.grants[i])
    }

    /// The grants of all other processes.
    pub fn others<'a>(&'a self, name: &'a ProcessId) -> impl Iterator<Item = &'a Grant> {
        self.grants.iter().filter(move |g| g.name != *name)
    }

    /// Sets a process's grant. The caller has checked that it fits.
    pub fn set(&mut self, grant: Grant) {
        match self.position(&grant.name) {
            Ok(i) => self.grants[i] = grant,
            Err(i) => self.grants.insert(i, grant),
        }
    }

    /// Closes the grant of a process that has ended. None if there is none (any more): it was
    /// closed before, or the process never got one.
    pub fn close(
        &mut self,
        endpoint: &str,
        predecessor: &PredecessorSpending,
    ) -> Option<ClosedGrant> {
        let name = ProcessId { endpoint: endpoint.into(), incarnation: predecessor.incarnation };
        let i = self.position(&name).ok()?;
        let grant = self.grants.remove(i);
        let settled = grant.settled.max(predecessor.settled);
        let spent = predecessor.spent.min(grant.ceiling).max(settled);
        self.closed.0 += spent.0;
        self.doubt.0 += spent.0 - settled.0;
        let returned = grant.ceiling.minus(spent);
        Some(ClosedGrant { predecessor: predecessor.clone(), spent, settled, returned })
    }

    /// Ends a process's grant: it spent at most `spent`, of which `settled` for sure, and will
    /// spend no more.
    pub fn close_own(&mut self, me: &ProcessId, spent: Tokens, settled: Tokens) {
        if let Ok(i) = self.position(me) {
            self.grants.remove(i);
            self.closed.0 += spent.0;
            self.doubt.0 += spent.0 - settled.0;
        }
    }
}
