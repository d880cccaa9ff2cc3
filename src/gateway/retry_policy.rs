//! What may follow a failed send: one table, no I/O.

use super::catalog::RouteKind;

/// How a send to a target outcome, as far as is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendOutcome {
    /// No byte of the request left.
    NotSent,
    /// No byte of the request left: the target is cold and has no room for it, or a moment ago its
    /// zone was emptied or it asked for no more requests.
    HeldOff,
    /// The target proved that it did not run the request.
    NotRun,
    /// The address belongs to another target now.
    OtherTarget,
    /// The request was sent, and no answer to it came.
    NoAnswer,
    /// The same, and another target is asked before the connection says anything.
    Silent,
    /// The target answered with a failure of its own (5xx).
    Failed,
    /// The answer began and broke off; nothing of it was forwarded.
    Truncated,
}

impl SendOutcome {
    /// Whether the connection to the target outcome before its answer did.
    pub fn is_broken(self) -> bool {
        matches!(self, SendOutcome::NoAnswer | SendOutcome::Truncated)
    }

    /// Whether the target may have run the request.
    pub fn may_have_run(self) -> bool {
        matches!(
            self,
            SendOutcome::NoAnswer
                | SendOutcome::Silent
                | SendOutcome::Failed
                | SendOutcome::Truncated
        )
    }
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Send it to another target, without drawing on the retry budget.
    SendAgain,
    /// Send it to another target if the retry budget allows; else as the second field says.
    Retry(FinalAnswer),
    /// Give the final answer.
    Answer(FinalAnswer),
}

/// FinalAnswer answers after failed sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FinalAnswer {
    /// The request did not run and never will: 503 with a time to come back.
    NotRun,
    /// Nobody knows whether it ran: 502.
    Unknown,
    /// The target's own failure, as it was sent.
    TargetAnswer,
}

/// Sends that a request may make.
#[derive(Clone, Copy, Debug)]
pub struct SendCounts {
    /// Sends after which the request may have run.
    pub runs: u32,
    /// All sends that reached a target.
    pub sends: u32,
}

/// Sends of one request in all; every further one burdens a service that is already short.
const MAX_SENDS_PER_REQUEST: u32 = 4;

/// The table.
pub fn next_step(
    kind: RouteKind,
    outcome: SendOutcome,
    counts: SendCounts,
    max_attempts: u32,
) -> NextStep {
    let runs_left = counts.runs < max_attempts.max(1);
    let sends_left = counts.sends < MAX_SENDS_PER_REQUEST;
    let ran_before = counts.runs > 0;
    match outcome {
        SendOutcome::NotSent | SendOutcome::HeldOff if sends_left => NextStep::SendAgain,
        SendOutcome::NotSent | SendOutcome::HeldOff => NextStep::Answer(not_run_answer(ran_before)),
        SendOutcome::NotRun | SendOutcome::OtherTarget if sends_left => {
            NextStep::Retry(not_run_answer(ran_before))
        }
        SendOutcome::NotRun | SendOutcome::OtherTarget => {
            NextStep::Answer(not_run_answer(ran_before))
        }
        SendOutcome::Failed if kind.repeats() && runs_left && sends_left => {
            NextStep::Retry(FinalAnswer::TargetAnswer)
        }
        SendOutcome::Failed => NextStep::Answer(FinalAnswer::TargetAnswer),
        SendOutcome::NoAnswer | SendOutcome::Silent | SendOutcome::Truncated
            if kind.repeats() && runs_left && sends_left =>
        {
            NextStep::Retry(FinalAnswer::Unknown)
        }
        SendOutcome::NoAnswer | SendOutcome::Silent | SendOutcome::Truncated => {
            NextStep::Answer(FinalAnswer::Unknown)
        }
    }
}

fn not_run_answer(ran_before: bool) -> FinalAnswer {
    if ran_before { FinalAnswer::Unknown } else { FinalAnswer::NotRun }
}
