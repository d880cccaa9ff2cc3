//! What happens after a send to a target has failed: a decision table without I/O.

use super::catalog::RouteKind;

/// Outcome of a send to a target that returned no usable answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendOutcome {
    /// The target could not be reached: no byte of the request was sent.
    NotSent,
    /// Not sent, because the target accepts no request at the moment: it is cold and has no room,
    /// its zone has just been emptied, or it has just asked for no more requests.
    HeldOff,
    /// Not sent, because neither this router nor another one that it asked reaches the targets.
    NoPath,
    /// The target proved that it did not run the request.
    NotRun,
    /// The address now belongs to another target.
    OtherTarget,
    /// The request was sent, and the connection ended without an answer.
    NoAnswer,
    /// The request was sent, and no answer came within the time after which another target is
    /// tried. The connection is still open.
    Silent,
    /// The target answered with a server error (5xx).
    Failed,
    /// The answer broke off before any of it was forwarded to the caller.
    Truncated,
}

impl SendOutcome {
    /// Whether the connection to the target ended before the answer was complete.
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

/// What to do next with the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Send it to another target, without using the retry budget.
    SendAgain,
    /// Send it to another target if the retry budget allows; otherwise give the contained answer.
    Retry(FinalAnswer),
    /// Give the final answer.
    Answer(FinalAnswer),
}

/// Final answers to the caller after failed sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FinalAnswer {
    /// The request did not run and never will: 503 with a retry delay.
    NotRun,
    /// Unknown whether the request ran: 502.
    Unknown,
    /// The target's own error response, forwarded unchanged.
    TargetAnswer,
}

/// Sends of one request so far.
#[derive(Clone, Copy, Debug)]
pub struct SendCounts {
    /// Sends after which the request may have run.
    pub runs: u32,
    /// All sends that reached a target.
    pub sends: u32,
}

/// Maximum number of sends of one request. Each further send adds load to a service that is already
/// short of capacity.
const MAX_SENDS_PER_REQUEST: u32 = 4;

/// Decides what to do after a failed send. `max_attempts` limits the sends after which the request
/// may have run.
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
        SendOutcome::NotSent | SendOutcome::HeldOff | SendOutcome::NoPath => {
            NextStep::Answer(not_run_answer(ran_before))
        }
        SendOutcome::NotRun | SendOutcome::OtherTarget if sends_left => {
            NextStep::Retry(not_run_answer(ran_before))
        }
        SendOutcome::NotRun | SendOutcome::OtherTarget => {
            NextStep::Answer(not_run_answer(ran_before))
        }
        SendOutcome::Failed if kind.allows_repeats() && runs_left && sends_left => {
            NextStep::Retry(FinalAnswer::TargetAnswer)
        }
        SendOutcome::Failed => NextStep::Answer(FinalAnswer::TargetAnswer),
        SendOutcome::NoAnswer | SendOutcome::Silent | SendOutcome::Truncated
            if kind.allows_repeats() && runs_left && sends_left =>
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
