//! One place's row: how much its process may have spent by now, for each organisation.
//!
//! The row is written by the process at that place alone, so its writes meet no others. Each
//! one is conditional on the version before it: a write that takes effect late cannot undo a newer
//! one, and none of a dead process's takes effect once its successor has written.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::limit::SpendingLimit;
use crate::error::{Error, Kind, Result};
use crate::ids::Tokens;
use crate::rows::StoreMs;

/// Format of the row; one of another format is not touched.
const FORMAT: u8 = 1;

/// What a process says of its spending for one organisation.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OrgSpending {
    /// The organisation.
    pub org: CompactString,
    /// What it has surely spent so far.
    pub settled: Tokens,
    /// The most it may have spent.
    #[serde(rename = "line")]
    pub spending_limit: SpendingLimit,
}

/// The spending of an earlier process at this place that is not closed in the organisation's row
/// yet.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PredecessorSpending {
    /// The organisation.
    pub org: CompactString,
    /// Which process.
    pub incarnation: u64,
    /// The most that it has spent, its grant's ceiling aside.
    pub spent: Tokens,
    /// What it had surely spent.
    pub settled: Tokens,
    /// What its last line let through at once.
    pub floor: Tokens,
    /// From its last line to the store time before which it ended, ms.
    pub age_ms: u64,
}

/// A place's row.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Spending {
    format: u8,
    /// The process that wrote it.
    pub incarnation: u64,
    /// Number of the write among that process's.
    pub number: u64,
    /// What that process may have spent, by organisation.
    #[serde(rename = "lines")]
    pub spending_limits: Vec<OrgSpending>,
    /// What earlier processes left.
    #[serde(rename = "former")]
    pub predecessors: Vec<PredecessorSpending>,
}

impl Spending {
    /// The row of a process that spends nothing.
    pub fn new(incarnation: u64, number: u64) -> Spending {
        Spending { incarnation, number, ..Spending::default() }
    }

    /// Reads a row.
    ///
    /// # Errors
    /// `BadFormat` if the row is damaged or of another format. Nothing is closed by it then.
    pub fn decode(value: &[u8]) -> Result<Spending> {
        let unreadable = |_| Error::new(Kind::BadFormat, "spending row cannot be read");
        let row: Spending = ciborium::from_reader(value).map_err(unreadable)?;
        if row.format != FORMAT {
            return Err(Error::new(Kind::BadFormat, "spending row is of another format"));
        }
        Ok(row)
    }

    /// The row's value.
    pub fn encode(&self) -> Vec<u8> {
        let mut out =
            Vec::with_capacity(64 + 96 * (self.spending_limits.len() + self.predecessors.len()));
        let row = Spending { format: FORMAT, ..self.clone() };
        ciborium::into_writer(&row, &mut out).expect("writing to memory cannot fail");
        out
    }

    /// What is left of this row's process and those before it, once it has ended before store time
    /// `ended`: each line bounds what was spent by then.
    pub fn into_predecessors(self, ended: StoreMs) -> Vec<PredecessorSpending> {
        let incarnation = self.incarnation;
        let as_predecessor = |l: OrgSpending| PredecessorSpending {
            org: l.org,
            incarnation,
            spent: l.spending_limit.at(ended).max(l.settled),
            settled: l.settled,
            floor: l.spending_limit.floor,
            age_ms: ended.0.saturating_sub(l.spending_limit.seen.0),
        };
        let mut predecessors = self.predecessors;
        predecessors.extend(self.spending_limits.into_iter().map(as_predecessor));
        predecessors
    }
}
