//! Messages between routers.
//!
//! Unknown fields are ignored and new ones have defaults, so that neighbouring versions
//! understand each other. A message of an unknown kind closes the link and is counted.

use std::future::Future;

use serde::{Deserialize, Serialize};

use super::view::Entry;
use crate::budget::holder::HoldId;
use crate::budget::ledger::Bill;
use crate::budget::witness::HoldCopy;
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
pub enum Ask {
    /// A heartbeat with entries of several routers.
    Beat(Vec<Entry>),
    /// Keep copies of this holder's holds.
    Keep {
        /// The incarnation that is meant to keep them.
        keeper: Incarnation,
        /// The holder.
        holder: Incarnation,
        /// New or newer copies.
        copies: Vec<HoldCopy>,
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
        copy: HoldCopy,
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
pub struct Found {
    /// Digest of the request's content.
    pub content: Digest,
    /// The execution, once there is one.
    pub run: Option<(RunId, TargetId)>,
    /// A plain service's answer, once there is one.
    pub service: Option<ServiceAnswer>,
}

impl Found {
    /// What a copy tells.
    pub fn of_copy(copy: &HoldCopy) -> Found {
        let run = Some((copy.bill.run.clone(), copy.target.clone()));
        Found { content: copy.bill.content, run, service: None }
    }
}

/// An answer of another router.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// Done.
    Done,
    /// Entries of several routers.
    Beat(Vec<Entry>),
    /// What is known of a request.
    Found(Option<Found>),
    /// Copies of a sealed holder.
    Copies(Vec<HoldCopy>),
    /// So much is free.
    Free(Tokens),
    /// Tokens are held under this number.
    Held(HoldId),
    /// Revisions in order.
    Revisions(Vec<RevisionRow>),
    /// Not done.
    Refused(Refusal),
}

/// An error as it travels.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Refusal {
    /// Its kind.
    pub kind: crate::error::Kind,
    /// Its message.
    pub message: String,
}

impl From<Error> for Reply {
    fn from(e: Error) -> Reply {
        Reply::Refused(Refusal { kind: e.kind, message: e.message })
    }
}

impl Reply {
    /// A refusal as an error.
    ///
    /// # Errors
    /// The other router's own error.
    pub fn accepted(self) -> Result<Reply> {
        match self {
            Reply::Refused(r) => Err(Error::new(r.kind, r.message)),
            other => Ok(other),
        }
    }
}

/// The other routers as somebody to talk to.
pub trait Mesh: Clone + Send + Sync + 'static {
    /// Asks `to`, and waits for its reply for a short time.
    ///
    /// # Errors
    /// `Timeout` or `Io` when there is no reply: the message may or may not have arrived.
    fn ask(&self, to: &Entry, ask: Ask) -> impl Future<Output = Result<Reply>> + Send;
}
