//! What may follow a failed send: one table, no I/O.

use super::catalog::RouteKind;

/// How a send to a target ended, as far as is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
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

impl Ended {
    /// Whether the connection to the target ended before its answer did.
    pub fn is_broken(self) -> bool {
        matches!(self, Ended::NoAnswer | Ended::Truncated)
    }

    /// Whether the target may have run the request.
    pub fn may_have_run(self) -> bool {
        matches!(self, Ended::NoAnswer | Ended::Silent | Ended::Failed | Ended::Truncated)
    }
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Send it to another target, without drawing on the retry budget.
    SendAgain,
    /// Send it to another target if the retry budget allows; else as the second field says.
    Retry(Final),
    /// Give the final answer.
    Answer(Final),
}

/// Final answers after failed sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Final {
    /// The request did not run and never will: 503 with a time to come back.
    NotRun,
    /// Nobody knows whether it ran: 502.
    Unknown,
    /// The target's own failure, as it was sent.
    TargetsOwn,
}

/// Sends that a request may make.
#[derive(Clone, Copy, Debug)]
pub struct Made {
    /// Sends after which the request may have run.
    pub runs: u32,
    /// All sends that reached a target.
    pub sends: u32,
}

/// Sends of one request in all; every further one burdens a service that is already short.
const MAX_SENDS: u32 = 4;

/// The table.
pub fn next(kind: RouteKind, ended: Ended, made: Made, max_attempts: u32) -> Next {
    let runs_left = made.runs < max_attempts.max(1);
    let sends_left = made.sends < MAX_SENDS;
    let ran_before = made.runs > 0;
    match ended {
        Ended::NotSent | Ended::HeldOff if sends_left => Next::SendAgain,
        Ended::NotSent | Ended::HeldOff => Next::Answer(refusal(ran_before)),
        Ended::NotRun | Ended::OtherTarget if sends_left => Next::Retry(refusal(ran_before)),
        Ended::NotRun | Ended::OtherTarget => Next::Answer(refusal(ran_before)),
        Ended::Failed if kind.allows_repeats() && runs_left && sends_left => {
            Next::Retry(Final::TargetsOwn)
        }
        Ended::Failed => Next::Answer(Final::TargetsOwn),
        Ended::NoAnswer | Ended::Silent | Ended::Truncated
            if kind.allows_repeats() && runs_left && sends_left =>
        {
            Next::Retry(Final::Unknown)
        }
        Ended::NoAnswer | Ended::Silent | Ended::Truncated => Next::Answer(Final::Unknown),
    }
}

fn refusal(ran_before: bool) -> Final {
    if ran_before { Final::Unknown } else { Final::NotRun }
}
