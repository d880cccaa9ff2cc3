//! One organisation's row: what is settled, and how much of the rest each process may spend.

use std::fmt;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::spending::PredecessorSpending;
use crate::error::{Error, Kind, Result};
use crate::ids::Tokens;
use crate::rows::StoreMs;

/// Format of the row. Rows of another format are not modified.
const FORMAT: u8 = 3;

/// One start of a process at an endpoint, which runs one process at a time.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct ProcessId {
    /// Instance and address. The platform starts the next process at the same endpoint only once
    /// the previous one has ended.
    #[serde(rename = "place")]
    pub endpoint: CompactString,
    /// Identifies one start of a process at the endpoint; never reused.
    pub incarnation: u64,
}

impl fmt::Display for ProcessId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{:x}", self.endpoint, self.incarnation)
    }
}

/// Tokens of a budget that are reserved for one process.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Grant {
    /// The process.
    pub name: ProcessId,
    /// Maximum total spending of the process. No other process may use these tokens.
    pub ceiling: Tokens,
    /// Tokens that the process had spent for certain when it wrote this grant.
    pub settled: Tokens,
    /// Mean spending rate of the process at that time, in tokens a second.
    pub rate: Tokens,
    /// The newest store time that the process knew at that time.
    pub seen: StoreMs,
}

impl Grant {
    /// Estimate of what the process has spent by store time `now`. Grants change rarely, so the
    /// settled amount is seconds old.
    pub fn spent_by(&self, now: StoreMs) -> Tokens {
        let ms = now.0.saturating_sub(self.seen.0);
        let since = self.rate.0.saturating_mul(ms) / 1_000;
        Tokens(self.settled.0.saturating_add(since).min(self.ceiling.0))
    }
}

/// The closed grant of a process that has ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClosedGrant {
    /// The spending that the process had reported.
    pub predecessor: PredecessorSpending,
    /// Upper bound of what the process has spent; this amount stays charged.
    pub spent: Tokens,
    /// The proven part of `spent`.
    pub settled: Tokens,
    /// Tokens that return to the organisation.
    pub returned: Tokens,
}

impl ClosedGrant {
    /// The part of `spent` that cannot be proven.
    pub fn doubt(&self) -> Tokens {
        self.spent.minus(self.settled)
    }
}

/// An organisation's budget as stored.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Ledger {
    format: u8,
    /// Upper bound of what was spent by processes that have ended or left.
    pub closed: Tokens,
    /// The part of `closed` that cannot be proven: what dead processes may have spent beyond their
    /// settled amounts. It stays charged, but does not count as proof that the budget is spent.
    pub doubt: Tokens,
    /// Grants of the processes that may spend, sorted by name.
    pub grants: Vec<Grant>,
}

impl Ledger {
    /// Decodes a row.
    ///
    /// # Errors
    /// `BadFormat` if the row is damaged or has another format. Nothing may be spent then: an
    /// unreadable budget must not be taken for an unused one.
    pub fn decode(value: &[u8]) -> Result<Ledger> {
        let unreadable = |_| Error::new(Kind::BadFormat, "budget row is not a CBOR-encoded ledger");
        let ledger: Ledger = ciborium::from_reader(value).map_err(unreadable)?;
        if ledger.format != FORMAT {
            return Err(Error::new(Kind::BadFormat, "budget row has an unsupported format number"));
        }
        Ok(ledger)
    }

    /// The encoded row.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(64 + 80 * self.grants.len());
        let row = Ledger { format: FORMAT, ..self.clone() };
        ciborium::into_writer(&row, &mut out).expect("writing to memory cannot fail");
        out
    }

    /// Tokens that are granted or spent, so that no other process may use them.
    pub fn committed(&self) -> Tokens {
        let granted: u64 = self.grants.iter().map(|g| g.ceiling.0).sum();
        Tokens(self.closed.0 + granted)
    }

    /// Tokens spent for certain.
    pub fn settled(&self) -> Tokens {
        let granted: u64 = self.grants.iter().map(|g| g.settled.0).sum();
        Tokens((self.closed.0 + granted).saturating_sub(self.doubt.0))
    }

    /// Tokens of `prepaid` that may still be granted.
    pub fn free(&self, prepaid: Tokens) -> Tokens {
        prepaid.minus(self.committed())
    }

    fn position(&self, name: &ProcessId) -> std::result::Result<usize, usize> {
        self.grants.binary_search_by(|g| g.name.cmp(name))
    }

    /// The grant of a process.
    pub fn grant(&self, name: &ProcessId) -> Option<&Grant> {
        self.position(name).ok().map(|i| &self.grants[i])
    }

    /// The grants of all other processes.
    pub fn others<'a>(&'a self, name: &'a ProcessId) -> impl Iterator<Item = &'a Grant> {
        self.grants.iter().filter(move |g| g.name != *name)
    }

    /// Sets a process's grant. The caller must have checked that it fits into the budget.
    pub fn set(&mut self, grant: Grant) {
        match self.position(&grant.name) {
            Ok(i) => self.grants[i] = grant,
            Err(i) => self.grants.insert(i, grant),
        }
    }

    /// Closes the grant of a process that has ended. Returns `None` if there is no such grant: it
    /// was closed before, or the process never had one.
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

    /// Removes the grant of a process that will spend no more. It spent at most `spent`, of which
    /// `settled` is certain.
    pub fn close_own(&mut self, me: &ProcessId, spent: Tokens, settled: Tokens) {
        if let Ok(i) = self.position(me) {
            self.grants.remove(i);
            self.closed.0 += spent.0;
            self.doubt.0 += spent.0 - settled.0;
        }
    }
}
