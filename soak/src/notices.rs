//! Checks that routers follow the notices in targets' responses, a leaving announcement or a
//! `Retry-After`, while the targets' entries in the store say that they are ready and faults are
//! injected.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use kingcupwall::standin::gateway_target::{Arrival, StandinTarget};
use tokio::time::Instant;

use crate::callers::Exchange;

/// How long after a response that announces leaving requests may still be sent to the target.
const LEAVING_GRACE: Duration = Duration::from_secs(2);
/// How long after a refusal with `Retry-After` requests may still reach the target.
const BACKOFF_GRACE: Duration = Duration::from_millis(500);
/// Maximum number of requests from one router that may reach the target in the remainder of the
/// backoff.
const MAX_REQUESTS_IN_BACKOFF: usize = 2;
/// Range of the time for which a target announces that it is leaving before it is replaced, in
/// milliseconds.
pub const LEAVING_MS: std::ops::Range<u64> = 3_500..6_000;
/// Range of the time for which a target refuses all requests, in milliseconds.
pub const SHEDDING_MS: std::ops::Range<u64> = 500..3_000;
/// Values of `Retry-After`, in seconds.
pub const RETRY_AFTER_S: [&str; 3] = ["1", "2.5", "3"];
/// Range of the pause between two targets with notices, in milliseconds.
pub const PAUSE_MS: std::ops::Range<u64> = 300..1_500;

/// A period in which a router was paused, killed or stopped, or the link to a target was impaired.
/// Notices may be lost in it, and requests may arrive late.
#[derive(Clone, Debug)]
pub struct Disturbance<T> {
    /// The router, by the address that callers connect to, or the target, by its id.
    pub subject: T,
    /// When the period began.
    pub from: Instant,
    /// When the period ended.
    pub to: Instant,
}

/// Whether the subject was disturbed at any time between `from` and `to`.
pub(crate) fn is_disturbed<T: PartialEq>(
    disturbances: &[Disturbance<T>],
    subject: &T,
    from: Instant,
    to: Instant,
) -> bool {
    disturbances.iter().any(|h| h.subject == *subject && h.from <= to && h.to >= from)
}

/// Everything that was recorded in one run.
pub struct Observations<'a> {
    /// The requests that callers sent and the responses they got.
    pub exchanges: &'a [Exchange],
    /// Disturbances of routers, by the address that callers connect to.
    pub routers: &'a [Disturbance<SocketAddr>],
    /// Disturbances of the links to targets, by target.
    pub links: &'a [Disturbance<CompactString>],
}

/// Returns the violations at all targets: requests that arrived despite a notice.
pub fn check(targets: &[StandinTarget], observed: &Observations<'_>) -> Vec<String> {
    let by_id: HashMap<&str, &Exchange> =
        observed.exchanges.iter().map(|e| (e.id.as_str(), e)).collect();
    let check_one = |t: &StandinTarget| {
        let arrivals = t.arrivals();
        let from_callers: Vec<(&Exchange, &Arrival)> =
            arrivals.iter().filter_map(|a| Some((*by_id.get(a.id.as_str())?, a))).collect();
        let mut violations = check_leaving(&t.id, &from_callers, observed);
        violations.extend(check_backoff(&t.id, &from_callers, observed));
        violations
    };
    targets.iter().flat_map(check_one).collect()
}

/// Returns the requests that arrived through a router which had already forwarded a response of the
/// target that announces leaving.
pub fn check_leaving(
    target: &str,
    arrivals: &[(&Exchange, &Arrival)],
    observed: &Observations<'_>,
) -> Vec<String> {
    let from_target = |e: &&Exchange| {
        e.seal.as_deref().and_then(|s| s.split_once('.')).is_some_and(|(t, _)| t == target)
    };
    let leaving_notices: Vec<(SocketAddr, Instant)> = observed
        .exchanges
        .iter()
        .filter(from_target)
        .filter_map(|e| Some((e.router, e.leaving_at?)))
        .collect();
    let late_arrival = |(e, a): &(&Exchange, &Arrival)| {
        let earlier_notice = |(router, at): &&(SocketAddr, Instant)| {
            *router == e.router && *at + LEAVING_GRACE < e.sent_at
        };
        let noticed_at = leaving_notices.iter().filter(earlier_notice).map(|(_, at)| *at).max()?;
        let ms = (a.at - noticed_at).as_millis();
        (!is_disturbed(observed.routers, &e.router, noticed_at, a.at))
            .then(|| format!("{target}: {} reached it {ms} ms after it said that it leaves", e.id))
    };
    arrivals.iter().filter_map(late_arrival).collect()
}

/// Returns the refusals with `Retry-After` after which the same router sent too many requests to
/// the target during the backoff.
pub fn check_backoff(
    target: &str,
    arrivals: &[(&Exchange, &Arrival)],
    observed: &Observations<'_>,
) -> Vec<String> {
    let target_id = CompactString::from(target);
    let excess_requests = |(e, a): &(&Exchange, &Arrival)| {
        let backoff = Duration::from_secs_f64(a.retry_after?.parse().ok()?);
        let (from, to) = (a.at + BACKOFF_GRACE, a.at + backoff);
        let in_backoff = |(other, b): &&(&Exchange, &Arrival)| {
            other.router == e.router && b.at > from && b.at < to
        };
        let n = arrivals.iter().filter(in_backoff).count();
        let was_disturbed = is_disturbed(observed.routers, &e.router, a.at, to)
            || is_disturbed(observed.links, &target_id, a.at, to);
        (n > MAX_REQUESTS_IN_BACKOFF && !was_disturbed)
            .then(|| format!("{target}: {n} requests in {backoff:?} of rest after {}", e.id))
    };
    arrivals.iter().filter_map(excess_requests).collect()
}
