//! The row of one endpoint: an upper bound of what its process has spent, for each organisation.
//!
//! Only the process at that endpoint writes the row, so there are no conflicts with other routers.
//! Each write is conditional on the previous version: a late write cannot undo a newer one, and no
//! write of a dead process takes effect once its successor has written the row.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::limit::SpendingLimit;
use crate::error::{Error, Kind, Result};
use crate::ids::Tokens;
use crate::rows::StoreMs;

/// Format of the row. Rows of another format are not modified.
const FORMAT: u8 = 1;

/// A process's reported spending for one organisation.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OrgSpending {
    /// The organisation.
    pub org: CompactString,
    /// Tokens spent for certain so far.
    pub settled: Tokens,
    /// Upper bound of the tokens spent.
    #[serde(rename = "line")]
    pub spending_limit: SpendingLimit,
}

/// Spending of an earlier process at this endpoint that is not closed in the organisation's ledger
/// yet.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PredecessorSpending {
    /// The organisation.
    pub org: CompactString,
    /// Incarnation of the earlier process.
    pub incarnation: u64,
    /// Upper bound of the tokens spent, regardless of the ceiling of its grant.
    pub spent: Tokens,
    /// Tokens spent for certain.
    pub settled: Tokens,
    /// Floor of its last spending limit.
    pub floor: Tokens,
    /// Time from its last spending limit to the store time by which it had ended, in ms.
    pub age_ms: u64,
}

/// An endpoint's row.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Spending {
    format: u8,
    /// Incarnation of the process that wrote the row.
    pub incarnation: u64,
    /// Number of this write among that process's writes.
    pub number: u64,
    /// Spending of that process, by organisation.
    #[serde(rename = "lines")]
    pub spending_limits: Vec<OrgSpending>,
    /// Spending of earlier processes that is not closed yet.
    #[serde(rename = "former")]
    pub predecessors: Vec<PredecessorSpending>,
}

impl Spending {
    /// The row of a process that spends nothing.
    pub fn new(incarnation: u64, number: u64) -> Spending {
        Spending { incarnation, number, ..Spending::default() }
    }

    /// Decodes a row.
    ///
    /// # Errors
    /// `BadFormat` if the row is damaged or has another format. Nothing may be closed based on it
    /// then.
    pub fn decode(value: &[u8]) -> Result<Spending> {
        let unreadable =
            |_| Error::new(Kind::BadFormat, "spending row is not CBOR-encoded spending");
        let row: Spending = ciborium::from_reader(value).map_err(unreadable)?;
        if row.format != FORMAT {
            return Err(Error::new(
                Kind::BadFormat,
                "spending row has an unsupported format number",
            ));
        }
        Ok(row)
    }

    /// The encoded row.
    pub fn encode(&self) -> Vec<u8> {
        let mut out =
            Vec::with_capacity(64 + 96 * (self.spending_limits.len() + self.predecessors.len()));
        let row = Spending { format: FORMAT, ..self.clone() };
        ciborium::into_writer(&row, &mut out).expect("writing to memory cannot fail");
        out
    }

    /// The spending of this row's process and its predecessors, once the process has ended before
    /// store time `ended`. Each limit bounds what was spent by then.
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
