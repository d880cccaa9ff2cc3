//! Stages of a request, and how a failure at each stage is handled and reported.

use crate::error::{Kind, NotRun};

/// How far a request has progressed.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// Parsed, and its organisation identified.
    Received,
    /// Its largest possible cost is reserved.
    Held,
    /// Its key is claimed in the table. Only for calls that must not run twice.
    Claimed,
    /// Its hold survives a crash of this router.
    Protected,
    /// Its first byte may have been sent to a target.
    Dispatched,
    /// Part of the answer has been received.
    Streaming,
    /// The complete answer has been received.
    Ended,
    /// Its bill survives a crash of this router.
    Billed,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeatable {
    /// Running it again is harmless.
    Yes,
    /// It may be dispatched at most once.
    No,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Dispatch to another target.
    Retry,
    /// Return this error to the caller.
    GiveUp(Kind),
}

/// Returns what is known at a stage about whether the request ran.
pub fn not_run(stage: Stage) -> NotRun {
    match stage {
        Stage::Received | Stage::Held | Stage::Claimed | Stage::Protected => NotRun::Yes,
        Stage::Dispatched => NotRun::Unknown,
        Stage::Streaming | Stage::Ended | Stage::Billed => NotRun::No,
    }
}

/// Decides what to do after a failure of `kind` at `stage`. `has_budget` tells whether the retry
/// budget allows another attempt.
///
/// An attempt fails with `NoTarget` only if no byte was sent, so even a call that must not run
/// twice may be dispatched to another target. After any other failure past dispatch it is unknown
/// whether the call ran, so it is not dispatched again and not reported as "not run".
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
