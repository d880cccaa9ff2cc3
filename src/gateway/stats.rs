//! Functions that map outcomes to metrics.

use super::notice::{Notice, RetryAfter};
use super::outcome::Ended;
use crate::stats::{EndLabels, Reason, Stats};

/// Counts a finished request by route kind and outcome.
pub fn count_request_end(stats: &Stats, kind: &'static str, outcome: &'static str) {
    stats.requests.get_or_create(&EndLabels { kind, outcome }).inc();
}

/// Counts a failed send by its reason.
pub fn count_failed_send(stats: &Stats, ended: Ended) {
    let reason = match ended {
        Ended::NotSent => "not_sent",
        Ended::HeldOff => "held_off",
        Ended::NotRun => "not_run",
        Ended::OtherTarget => "other_target",
        Ended::NoAnswer => "no_answer",
        Ended::Silent => "silent",
        Ended::Failed => "failed",
        Ended::Truncated => "truncated",
    };
    stats.sends.get_or_create(&Reason { reason }).inc();
}

/// Counts what an answer reports about its target.
pub fn count_notice(stats: &Stats, notice: Notice) {
    let count = |reason| {
        stats.notices.get_or_create(&Reason { reason }).inc();
    };
    if notice.leaving {
        count("leaving");
    }
    match notice.retry_after {
        Some(RetryAfter::Delay(_)) => count("retry_after"),
        Some(RetryAfter::Unreadable) => count("unreadable"),
        None => (),
    }
}
