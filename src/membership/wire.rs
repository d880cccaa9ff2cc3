//! Messages between routers.
//!
//! Unknown fields are ignored and new ones have defaults, so that neighbouring versions
//! understand each other. A message of an unknown kind closes the link and is counted.

use std::future::Future;

use serde::{Deserialize, Serialize};

use super::view::RouterInfo;
use crate::budget::holder::HoldId;
use crate::budget::ledger::Bill;
use crate::budget::witness::Copy;
use crate::config::revision::RevisionRow;
use crate::engine::ServiceAnswer;
use crate::error::{Error, Result};
use crate::ids::{
    BudgetId, Digest, Incarnation, OrganisationId, RequestKey, Revision, RunId, TargetId, Tokens,
};

/// A question to another router.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerRequest {
    /// A heartbeat with entries of several routers.
    Beat(Vec<RouterInfo>),
    /// Keep copies of this holder's holds.
    Keep {
        /// The incarnation that is meant to keep them.
        keeper: Incarnation,
        /// The holder.
        holder: Incarnation,
        /// New or newer copies.
        copies: Vec<Copy>,
    },
    /// Forget copies: the table has them, or nothing ran.
    Forget {
        /// The holder.
        holder: Incarnation,
        /// Numbers of its holds.
        holds: Vec<HoldId>,
    },
    /// Refuse all later copies of a holder, and tell what is known: it is taken for dead.
    Seal {
        /// The incarnation that is meant to keep copies.
        keeper: Incarnation,
        /// The holder.
        holder: Incarnation,
    },
    /// What is known of a request?
    Find {
        /// Who asked.
        organisation: OrganisationId,
        /// Under which key.
        key: RequestKey,
    },
    /// How much of a budget do you have free?
    Free(BudgetId),
    /// Hold tokens of your grant for a run of mine.
    Borrow {
        /// The budget.
        budget: BudgetId,
        /// The largest cost.
        amount: Tokens,
        /// The bill as it would be, and where it runs.
        copy: Copy,
    },
    /// A borrowed hold's run goes to another target.
    Move {
        /// The incarnation that lent it.
        lender: Incarnation,
        /// The hold at the lender.
        hold: HoldId,
        /// Where it runs from now on.
        target: TargetId,
    },
    /// A borrowed hold's run ended with this bill, or never ran (`None`).
    Repay {
        /// The incarnation that lent it; numbers of holds start anew with each.
        lender: Incarnation,
        /// The hold at the lender.
        hold: HoldId,
        /// Its bill.
        bill: Option<Bill>,
    },
    /// Give back what is free of a budget.
    Release(BudgetId),
    /// Revisions after this one.
    Revisions(Revision),
    /// This target leaves.
    TargetLeaves(TargetId),
}

/// What a router knows of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct KnownRequest {
    /// Digest of the request's content.
    pub content: Digest,
    /// The execution, once there is one.
    pub run: Option<(RunId, TargetId)>,
    /// A plain service's answer, once there is one.
    pub service: Option<ServiceAnswer>,
}

impl KnownRequest {
    /// What a copy tells.
    pub fn from_copy(copy: &Copy) -> KnownRequest {
        let run = Some((copy.bill.run.clone(), copy.target.clone()));
        KnownRequest { content: copy.bill.content, run, service: None }
    }
}

/// An answer of another router.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerReply {
    /// Done.
    Done,
    /// Entries of several routers.
    Beat(Vec<RouterInfo>),
    /// What is known of a request.
    Found(Option<KnownRequest>),
    /// Copies of a sealed holder.
    Copies(Vec<Copy>),
    /// So much is free.
    Free(Tokens),
    /// Tokens are held under this number.
    Held(HoldId),
    /// Revisions in order.
    Revisions(Vec<RevisionRow>),
    /// Not done.
    Refused(PeerError),
}

/// An error as it travels.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PeerError {
    /// Its kind.
    pub kind: crate::error::Kind,
    /// Its message.
    pub message: String,
}

impl From<Error> for PeerReply {
    fn from(e: Error) -> PeerReply {
        PeerReply::Refused(PeerError { kind: e.kind, message: e.message })
    }
}

impl PeerReply {
    /// A refusal as an error.
    ///
    /// # Errors
    /// The other router's own error.
    pub fn into_result(self) -> Result<PeerReply> {
        match self {
            PeerReply::Refused(r) => Err(Error::new(r.kind, r.message)),
            other => Ok(other),
        }
    }
}

/// The other routers as somebody to talk to.
pub trait PeerClient: Clone + Send + Sync + 'static {
    /// Asks `to`, and waits for its reply for a short time.
    ///
    /// # Errors
    /// `Timeout` or `Io` when there is no reply: the message may or may not have arrived.
    fn rpc(
        &self,
        to: &RouterInfo,
        request: PeerRequest,
    ) -> impl Future<Output = Result<PeerReply>> + Send;
}
