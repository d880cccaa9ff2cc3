//! Messages between routers about budgets: one CBOR-encoded message in each datagram.
//!
//! Messages may be lost, delayed or duplicated, and may arrive at a successor of the process that
//! they were sent to. The number of a loan request is never reused at its endpoint, so a lender
//! gives one loan for duplicate loan requests, and a process recognises answers to its predecessor.
//! Reports are cumulative, and the last report of a loan is sent until it is acknowledged.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind, Result};
use crate::ids::Tokens;

/// Format of a datagram. Datagrams of another format are ignored.
const FORMAT: u8 = 1;
/// Maximum number of reports in one datagram. At 50 bytes each they fit into a usual packet.
pub const MAX_USES: usize = 20;

/// A request of one router for tokens of another.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoanRequest {
    /// Number of the loan, unique at the sender's endpoint.
    pub number: u64,
    /// The organisation.
    pub org: CompactString,
    /// Number of tokens.
    #[serde(rename = "most")]
    pub max_cost: Tokens,
    /// The organisation's prepaid amount, as known to the sender.
    pub prepaid: Tokens,
}

/// Answer to a loan request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Answer {
    /// The sender may spend the tokens it asked for.
    Lent,
    /// The lender has too little left. The time in ms until its spending limit covers the loan
    /// request, if known.
    NoneHere(Option<u32>),
    /// The organisation's ledger proves that the loan request exceeds what is left of the budget.
    Spent,
}

/// A report on the use of a loan.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoanUse {
    /// Number of the loan.
    pub number: u64,
    /// Incarnation of the lender; 0 if its answer never arrived.
    pub lender: u64,
    /// Tokens spent so far.
    pub actual: Tokens,
    /// Tokens spent for certain so far.
    pub proven: Tokens,
    /// Whether the loan has ended.
    pub ended: bool,
}

/// A message.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Message {
    /// Loan request, sent to a lender.
    Ask(LoanRequest),
    /// Answer of a lender to the loan request with this number.
    Answer(u64, Answer),
    /// Reports on loans, sent to their lender.
    Uses(Vec<LoanUse>),
    /// Acknowledgement by a lender of the final reports of these loans.
    Noted(Vec<u64>),
}

/// A message with its sender's incarnation.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Envelope {
    format: u8,
    /// Incarnation of the sender.
    pub from: u64,
    /// The message.
    pub message: Message,
}

impl Envelope {
    /// Wraps a message from the process `from`.
    pub fn new(from: u64, message: Message) -> Envelope {
        Envelope { format: FORMAT, from, message }
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// `BadFormat` if the datagram is damaged or has another format.
    pub fn decode(bytes: &[u8]) -> Result<Envelope> {
        let unreadable =
            |_| Error::new(Kind::BadFormat, "budget datagram is not a CBOR-encoded message");
        let envelope: Envelope = ciborium::from_reader(bytes).map_err(unreadable)?;
        if envelope.format != FORMAT {
            return Err(Error::new(
                Kind::BadFormat,
                "budget datagram has an unsupported format number",
            ));
        }
        Ok(envelope)
    }

    /// The encoded datagram.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(128);
        ciborium::into_writer(self, &mut out).expect("writing to memory cannot fail");
        out
    }
}
