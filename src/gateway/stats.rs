//! Functions that map outcomes to metrics.

use std::io;

use super::notice::{Notice, RejectionLimit, RetryAfter};
use super::outcome::SendOutcome;
use crate::stats::{OutcomeLabels, ReasonLabel, Stats};

/// Counts a finished request by route kind and outcome.
pub fn count_request_end(stats: &Stats, kind: &'static str, outcome: &'static str) {
    stats.requests.get_or_create(&OutcomeLabels { kind, outcome }).inc();
}

/// Counts a failed send by its reason.
pub fn count_failed_send(stats: &Stats, ended: SendOutcome) {
    let reason = match ended {
        SendOutcome::NotSent => "not_sent",
        SendOutcome::HeldOff => "held_off",
        SendOutcome::NoPath => "no_path",
        SendOutcome::NotRun => "not_run",
        SendOutcome::OtherTarget => "other_target",
        SendOutcome::NoAnswer => "no_answer",
        SendOutcome::Silent => "silent",
        SendOutcome::Failed => "failed",
        SendOutcome::Truncated => "truncated",
    };
    stats.sends.get_or_create(&ReasonLabel { reason }).inc();
}

/// Name of the outcome of a connection attempt to a target, for metrics and logs.
pub fn connect_outcome(e: &io::Error) -> &'static str {
    match e.kind() {
        io::ErrorKind::ConnectionRefused => "refused",
        io::ErrorKind::TimedOut => "timed_out",
        _ => "failed",
    }
}

/// Counts a connection attempt to a target.
pub fn count_connect<T>(stats: &Stats, outcome: &io::Result<T>) {
    let reason = outcome.as_ref().err().map_or("opened", connect_outcome);
    stats.target_connects.get_or_create(&ReasonLabel { reason }).inc();
}

/// Counts what an answer reports about its target.
pub fn count_notice(stats: &Stats, notice: Notice) {
    let count = |reason| {
        stats.target_notices.get_or_create(&ReasonLabel { reason }).inc();
    };
    if notice.leaving {
        count("leaving");
    }
    match notice.retry_after {
        Some(RetryAfter::Delay(_)) => count("retry_after"),
        Some(RetryAfter::Unreadable) => count("unreadable"),
        None => (),
    }
    match notice.rejection_limit {
        Some(RejectionLimit::PerSecond(_)) => count("rejection_limit"),
        Some(RejectionLimit::Unreadable) => count("unreadable_rejection_limit"),
        None => (),
    }
}
