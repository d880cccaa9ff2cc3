//! What routers say to one another about budgets: one datagram a message, in CBOR.
//!
//! Any message may be lost, late or doubled. An ask bears a number that its sender never uses
//! again, so that a lender that hears it twice lends once; uses are cumulative, and the last one of
//! a loan is sent until it is acknowledged.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind, Result};
use crate::ids::Tokens;

/// Format of a datagram; others are ignored.
const FORMAT: u8 = 1;
/// Uses in one datagram, at most: 50 bytes each keep it under a usual packet.
pub const MAX_USES: usize = 20;

/// A request for a part of a budget.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Ask {
    /// Number of the loan, among those of the sender's process.
    pub number: u64,
    /// The organisation.
    pub org: CompactString,
    /// How much.
    #[serde(rename = "most")]
    pub max_cost: Tokens,
    /// What the organisation prepaid, as the sender knows it.
    pub prepaid: Tokens,
}

/// What became of an ask.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Answer {
    /// The sender may spend what it asked for.
    Lent,
    /// The lender has no part left; in so many ms its line will cover it, if it knows.
    NoneHere(Option<u32>),
    /// The organisation's row shows that it does not fit any more.
    Spent,
}

/// How a loan is used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoanUse {
    /// Its number.
    pub number: u64,
    /// The process that lent it; 0 if its answer never came.
    pub lender: u64,
    /// Spent so far.
    pub actual: Tokens,
    /// Surely spent so far.
    pub proven: Tokens,
    /// Whether nothing more will be spent.
    pub ended: bool,
}

/// A message.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Message {
    /// To a lender.
    Ask(Ask),
    /// From a lender, about the ask of this number.
    Answer(u64, Answer),
    /// To a lender.
    Uses(Vec<LoanUse>),
    /// From a lender: the last uses of these loans have arrived.
    Noted(Vec<u64>),
}

/// A message with its sender's process.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Envelope {
    format: u8,
    /// The sender's process.
    pub from: u64,
    /// What it says.
    pub message: Message,
}

impl Envelope {
    /// A message of the process `from`.
    pub fn new(from: u64, message: Message) -> Envelope {
        Envelope { format: FORMAT, from, message }
    }

    /// Reads a datagram.
    ///
    /// # Errors
    /// `BadFormat` if it is damaged or of another format.
    pub fn decode(bytes: &[u8]) -> Result<Envelope> {
        let unreadable = |_| Error::new(Kind::BadFormat, "budget datagram cannot be read");
        let envelope: Envelope = ciborium::from_reader(bytes).map_err(unreadable)?;
        if envelope.format != FORMAT {
            return Err(Error::new(Kind::BadFormat, "budget datagram is of another format"));
        }
        Ok(envelope)
    }

    /// The datagram.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(128);
        ciborium::into_writer(self, &mut out).expect("writing to memory cannot fail");
        out
    }
}
