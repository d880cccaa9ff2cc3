//! The stages of a request, and what may be said and done after a failure at each.

use crate::error::{Kind, NotRun};

/// How far a request has come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// Parsed, and its organisation known.
    Received,
    /// Its largest cost is held.
    Held,
    /// Its key is claimed in the table; only for calls that must not be repeated.
    Claimed,
    /// A copy of its hold is safe from this router's death.
    Protected,
    /// The first byte towards a target may have left.
    Dispatched,
    /// Part of the answer is here.
    Streaming,
    /// The whole answer is here.
    Ended,
    /// The bill is safe from this router's death.
    Billed,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeatable {
    /// Another run does no harm.
    Yes,
    /// At most one dispatch, ever.
    No,
}

/// What to do after an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Dispatch to another target.
    Retry,
    /// Tell the caller.
    GiveUp(Kind),
}

/// What is known about execution at a stage.
pub fn not_run(stage: Stage) -> NotRun {
    match stage {
        Stage::Received | Stage::Held | Stage::Claimed | Stage::Protected => NotRun::Yes,
        Stage::Dispatched => NotRun::Unknown,
        Stage::Streaming | Stage::Ended | Stage::Billed => NotRun::No,
    }
}

/// Decides after a failure of `kind` at `stage`.
///
/// `NoTarget` from an attempt is the proof that no byte left, so even a call that must not be
/// repeated may go elsewhere. Any other failure after dispatch leaves it unknown whether the
/// call ran: then there is no second dispatch and no "not run".
pub fn after_failure(stage: Stage, repeatable: Repeatable, kind: Kind, has_budget: bool) -> Next {
    let provably_unsent = kind == Kind::NoTarget && stage <= Stage::Dispatched;
    match (repeatable, provably_unsent) {
        (_, true) if has_budget => Next::Retry,
        (_, true) => Next::GiveUp(Kind::NoTarget),
        (Repeatable::No, false) if stage >= Stage::Dispatched => Next::GiveUp(Kind::OutcomeUnknown),
        (Repeatable::No, false) => Next::GiveUp(kind),
        (Repeatable::Yes, false) if has_budget => Next::Retry,
        (Repeatable::Yes, false) => Next::GiveUp(Kind::TargetFailed),
    }
}
