//! Targets as this project needs them: model engines and plain services behind a small trait.

pub mod http;

use std::future::Future;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::error::Result;
use crate::ids::{RequestKey, RunId};

/// A run to start at a model engine.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StartRun {
    /// Unique over all routers; the engine keeps at most one run of an id.
    pub run: RunId,
    /// The model that answers.
    pub model: CompactString,
    /// The prompt, roles and all.
    pub prompt: String,
    /// Answer tokens at most, those of `so_far` included.
    pub max_tokens: u64,
    /// Larger is more urgent.
    pub priority: u8,
    /// Tokens of an answer that another target began; this one continues it.
    pub so_far: Vec<CompactString>,
}

/// What a run cost.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RunUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub tokens: u64,
}

/// A piece of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Piece {
    /// The token at `offset`.
    Token {
        /// Place in the answer, from 0.
        offset: u64,
        /// Its text.
        text: CompactString,
    },
    /// The answer is whole.
    End(RunUsage),
}

/// A piece and the run that it belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RunPiece {
    /// Whose piece it is.
    pub run: RunId,
    /// The piece.
    pub piece: Piece,
}

/// A target's own view of its load, some time old when it arrives.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoadReport {
    /// Runs in the batch.
    pub active: u32,
    /// Runs that wait for a place in it.
    pub queued: u32,
    /// Places in the batch.
    pub slots: u32,
    /// How old the counts are, as far as the target knows, in milliseconds.
    pub age_ms: u64,
    /// Models loaded and plain services served.
    pub serves: Vec<CompactString>,
    /// It will go away and wants no new work.
    pub leaving: bool,
    /// Fencing number of the last order it took.
    pub fence: u64,
}

/// What a target knows of a run that was to be cancelled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CancelOutcome {
    /// It never started, and from now on never will.
    NeverRan,
    /// It had run this far, and is stopped.
    Stopped(RunUsage),
    /// It had ended.
    Ended(RunUsage),
}

/// An order to a target.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Order {
    /// Fencing number of the decider's lease. Some targets refuse an older one, some ignore it.
    pub fence: u64,
    /// Models that shall be loaded, all others unloaded.
    pub load: Vec<CompactString>,
}

/// A call of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceCall {
    /// Unique over all routers.
    pub run: RunId,
    /// The caller's key, passed on.
    pub key: RequestKey,
    /// The service.
    pub service: CompactString,
    /// Path below the service.
    pub path: String,
    /// The body as it came.
    pub body: String,
}

/// A plain service's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// The body as it came.
    pub body: String,
}

/// The pieces of a running answer.
pub trait PieceStream: Send {
    /// The next piece; `None` when the stream broke off or ended.
    ///
    /// # Errors
    /// `TargetFailed` for a broken stream or a malformed piece.
    fn next(&mut self) -> impl Future<Output = Result<Option<RunPiece>>> + Send;
}

/// The protocol of targets.
pub trait Engine: Clone + Send + Sync + 'static {
    /// The pieces of a run.
    type PieceStream: PieceStream + 'static;

    /// Starts a run, or joins the one of the same id.
    ///
    /// # Errors
    /// `NoTarget` when no byte can have left; `TargetFailed` otherwise.
    fn start(
        &self,
        addr: &str,
        run: &StartRun,
    ) -> impl Future<Output = Result<Self::PieceStream>> + Send;

    /// Joins a run at a token.
    ///
    /// # Errors
    /// `RunLost` when the target does not know it, `NoTarget` or `TargetFailed`.
    fn resume(
        &self,
        addr: &str,
        run: &RunId,
        from: u64,
    ) -> impl Future<Output = Result<Self::PieceStream>> + Send;

    /// Stops a run, and forbids it for the future.
    ///
    /// # Errors
    /// `NoTarget` or `TargetFailed`: nothing is known then.
    fn cancel(&self, addr: &str, run: &RunId)
    -> impl Future<Output = Result<CancelOutcome>> + Send;

    /// The target's load.
    ///
    /// # Errors
    /// `NoTarget` or `TargetFailed`.
    fn report(&self, addr: &str) -> impl Future<Output = Result<LoadReport>> + Send;

    /// Gives an order.
    ///
    /// # Errors
    /// `Fenced` when the target took a newer one; `NoTarget` or `TargetFailed`.
    fn order(&self, addr: &str, order: &Order) -> impl Future<Output = Result<()>> + Send;

    /// Calls a plain service.
    ///
    /// # Errors
    /// `NoTarget` when no byte can have left; `TargetFailed` when the outcome is unknown.
    fn call(
        &self,
        addr: &str,
        call: &ServiceCall,
    ) -> impl Future<Output = Result<ServiceAnswer>> + Send;
}
