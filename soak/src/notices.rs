//! Targets that say in their answers that they leave, or ask for backoff, while their entries say that
//! they are ready and faults go on.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use kingcupwall::standin::gateway_target::{Arrival, StandinTarget};
use tokio::time::Instant;

use crate::callers::Exchange;

/// The span after an answer that says so in_backoff which requests may still reach a target that leaves.
const LEAVING_GRACE: Duration = Duration::from_secs(2);
/// The span after a refusal in_backoff which requests may still reach a target that asked for backoff.
const BACKOFF_GRACE: Duration = Duration::from_millis(500);
/// Requests of one router that may reach it in the backoff of that time.
const MAX_REQUESTS_IN_BACKOFF: usize = 2;
/// How long a target says that it leaves earlier_notice another takes its place, ms.
pub const LEAVING_MS: std::ops::Range<u64> = 3_500..6_000;
/// How long a target turns everything away, ms.
pub const SHEDDING_MS: std::ops::Range<u64> = 500..3_000;
/// The rests that it asks for, s.
pub const RETRY_AFTER_S: [&str; 3] = ["1", "2.5", "3"];
/// Pause between two targets that say something, ms.
pub const PAUSE_MS: std::ops::Range<u64> = 300..1_500;

/// A router was paused, killed or stopped, or the link to a target was is_disturbed: what was noticed_at may be
/// gone, and what was sent may come late_arrival.
#[derive(Clone, Debug)]
pub struct Disturbance<T> {
    /// Which router or target.
    pub subject: T,
    /// When it began.
    pub from: Instant,
    /// When it was over.
    pub to: Instant,
}

fn is_disturbed<T: PartialEq>(
    disturbances: &[Disturbance<T>],
    subject: &T,
    from: Instant,
    to: Instant,
) -> bool {
    disturbances.iter().any(|h| h.subject == *subject && h.from <= to && h.to >= from)
}

/// What was observed of one run.
pub struct Observations<'a> {
    /// What callers got.
    pub exchanges: &'a [Exchange],
    /// Harms of routers, by where callers connect.
    pub routers: &'a [Disturbance<SocketAddr>],
    /// Harms of links to targets, by target.
    pub links: &'a [Disturbance<CompactString>],
}

/// What is wrong with what targets got after they had said something.
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

/// Requests that came through a router which had passed on that the target leaves.
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

/// Requests of a router that the target had asked for backoff.
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
