//! Requests and replies between routers.
//!
//! Unknown fields are ignored and new fields have defaults, so that routers of adjacent versions
//! stay compatible. A message of an unknown kind closes the link and is counted as malformed.

use std::future::Future;

use serde::{Deserialize, Serialize};

use super::view::RouterInfo;
use crate::budget::holder::HoldId;
use crate::budget::ledger::Bill;
use crate::budget::witness::HoldCopy;
use crate::config::revision::RevisionRow;
use crate::engine::ServiceAnswer;
use crate::error::{Error, Result};
use crate::ids::{
    BudgetId, Digest, Incarnation, OrganisationId, RequestKey, Revision, RunId, TargetId, Tokens,
};

/// A request to another router.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerRequest {
    /// A heartbeat with gossip entries of several routers.
    Beat(Vec<RouterInfo>),
    /// Store copies of a holder's holds, as its witness or backup.
    Keep {
        /// The incarnation that is to store the copies; any other one rejects the request.
        keeper: Incarnation,
        /// The incarnation whose holds these are.
        holder: Incarnation,
        /// Copies that are new or changed.
        copies: Vec<HoldCopy>,
    },
    /// Delete copies of holds that are recorded in the table or whose run never started.
    Forget {
        /// The incarnation whose holds these are.
        holder: Incarnation,
        /// Ids of the holds at the holder.
        holds: Vec<HoldId>,
    },
    /// Reject all later copies of a holder that is presumed dead, and return the copies stored so
    /// far.
    Seal {
        /// The incarnation that stores the copies; any other one rejects the request.
        keeper: Incarnation,
        /// The incarnation to seal.
        holder: Incarnation,
    },
    /// Return what is known of a request.
    Find {
        /// The organisation that sent the request.
        organisation: OrganisationId,
        /// The request's idempotency key.
        key: RequestKey,
    },
    /// Return how many tokens of a budget are free at this router.
    Free(BudgetId),
    /// Reserve tokens of this router's grant for a run at the sender.
    Borrow {
        /// Id of the budget.
        budget: BudgetId,
        /// The largest cost of the run.
        amount: Tokens,
        /// Copy of the hold: the provisional bill and the target.
        copy: HoldCopy,
    },
    /// The run of a borrowed hold moves to another target.
    Move {
        /// The incarnation that lent the tokens.
        lender: Incarnation,
        /// Id of the hold at the lender.
        hold: HoldId,
        /// The target that executes the run from now on.
        target: TargetId,
    },
    /// The run of a borrowed hold ended with this bill, or never started (`None`).
    Repay {
        /// The incarnation that lent the tokens. Hold ids are unique only within an incarnation.
        lender: Incarnation,
        /// Id of the hold at the lender.
        hold: HoldId,
        /// The bill of the run.
        bill: Option<Bill>,
    },
    /// Return the free tokens of a budget to the table.
    Release(BudgetId),
    /// Return the configuration revisions after this one.
    Revisions(Revision),
    /// This target is shutting down.
    TargetLeaves(TargetId),
}

/// What is known of a request at a router that handles it or stores a copy of its hold.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct KnownRequest {
    /// Digest of the request's content.
    pub content: Digest,
    /// The run and its target, once it was started.
    pub run: Option<(RunId, TargetId)>,
    /// The response of a plain service, once it arrived.
    pub service: Option<ServiceAnswer>,
}

impl KnownRequest {
    /// Builds the entry of a request from the stored copy of its hold.
    pub fn from_copy(copy: &HoldCopy) -> KnownRequest {
        let run = Some((copy.bill.run.clone(), copy.target.clone()));
        KnownRequest { content: copy.bill.content, run, service: None }
    }
}

/// A reply from another router.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerReply {
    /// The request was carried out; there is nothing to return.
    Done,
    /// Gossip entries of several routers.
    Beat(Vec<RouterInfo>),
    /// What is known of the request, if anything.
    Found(Option<KnownRequest>),
    /// Copies of the sealed holder's holds.
    Copies(Vec<HoldCopy>),
    /// Number of free tokens.
    Free(Tokens),
    /// The tokens are reserved under this hold id.
    Held(HoldId),
    /// Configuration revisions in ascending order.
    Revisions(Vec<RevisionRow>),
    /// The request was rejected or failed.
    Refused(PeerError),
}

/// An error in a reply.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PeerError {
    /// Kind of the error.
    pub kind: crate::error::Kind,
    /// Message of the error.
    pub message: String,
}

impl From<Error> for PeerReply {
    fn from(e: Error) -> PeerReply {
        PeerReply::Refused(PeerError { kind: e.kind, message: e.message })
    }
}

impl PeerReply {
    /// Turns an error reply into an error.
    ///
    /// # Errors
    /// The error that the other router returned.
    pub fn into_result(self) -> Result<PeerReply> {
        match self {
            PeerReply::Refused(r) => Err(Error::new(r.kind, r.message)),
            other => Ok(other),
        }
    }
}

/// Sends requests to other routers.
pub trait PeerClient: Clone + Send + Sync + 'static {
    /// Sends a request to a router, and waits for its reply for a short time.
    ///
    /// # Errors
    /// `Timeout` or `Io` when there is no reply, in which case the request may or may not have been
    /// carried out; otherwise the error that the other router returned.
    fn rpc(
        &self,
        to: &RouterInfo,
        request: PeerRequest,
    ) -> impl Future<Output = Result<PeerReply>> + Send;
}
