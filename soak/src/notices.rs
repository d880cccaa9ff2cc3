//! Targets that say in their answers that they leave, or ask for rest, while their entries say that
//! they are ready and faults go on.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use kingcupwall::standin::gateway_target::{Arrival, StandinTarget};
use tokio::time::Instant;

use crate::callers::Exchange;

/// The span after an answer that says so within which requests may still reach a target that leaves.
const DRAIN: Duration = Duration::from_secs(2);
/// The span after a refusal within which requests may still reach a target that asked for rest.
const HEARD: Duration = Duration::from_millis(500);
/// Requests of one router that may reach it in the rest of that time.
const MOST_IN_REST: usize = 2;
/// How long a target says that it leaves before another takes its place, ms.
pub const LEAVES_MS: std::ops::Range<u64> = 3_500..6_000;
/// How long a target turns everything away, ms.
pub const SHEDS_MS: std::ops::Range<u64> = 500..3_000;
/// The rests that it asks for, s.
pub const RESTS: [&str; 3] = ["1", "2.5", "3"];
/// Pause between two targets that say something, ms.
pub const PAUSE_MS: std::ops::Range<u64> = 300..1_500;

/// A router was paused, killed or stopped, or the link to a target was harmed: what was heard may be
/// gone, and what was sent may come late.
#[derive(Clone, Debug)]
pub struct Harm<T> {
    /// Which router or target.
    pub whom: T,
    /// When it began.
    pub from: Instant,
    /// When it was over.
    pub to: Instant,
}

fn harmed<T: PartialEq>(harms: &[Harm<T>], whom: &T, from: Instant, to: Instant) -> bool {
    harms.iter().any(|h| h.whom == *whom && h.from <= to && h.to >= from)
}

/// What was seen of one run.
pub struct Seen<'a> {
    /// What callers got.
    pub exchanges: &'a [Exchange],
    /// Harms of routers, by where callers connect.
    pub routers: &'a [Harm<SocketAddr>],
    /// Harms of links to targets, by target.
    pub links: &'a [Harm<CompactString>],
}

/// What is wrong with what targets got after they had said something.
pub fn check(targets: &[StandinTarget], seen: &Seen<'_>) -> Vec<String> {
    let by_id: HashMap<&str, &Exchange> =
        seen.exchanges.iter().map(|e| (e.id.as_str(), e)).collect();
    let check_one = |t: &StandinTarget| {
        let arrivals = t.arrivals();
        let of_callers: Vec<(&Exchange, &Arrival)> =
            arrivals.iter().filter_map(|a| Some((*by_id.get(a.id.as_str())?, a))).collect();
        let mut found = check_leaving(&t.id, &of_callers, seen);
        found.extend(check_rest(&t.id, &of_callers, seen));
        found
    };
    targets.iter().flat_map(check_one).collect()
}

/// Requests that came through a router which had passed on that the target leaves.
pub fn check_leaving(
    target: &str,
    arrivals: &[(&Exchange, &Arrival)],
    seen: &Seen<'_>,
) -> Vec<String> {
    let of_target = |e: &&Exchange| {
        e.seal.as_deref().and_then(|s| s.split_once('.')).is_some_and(|(t, _)| t == target)
    };
    let told: Vec<(SocketAddr, Instant)> = seen
        .exchanges
        .iter()
        .filter(of_target)
        .filter_map(|e| Some((e.router, e.leaving_at?)))
        .collect();
    let late = |(e, a): &(&Exchange, &Arrival)| {
        let before =
            |(router, at): &&(SocketAddr, Instant)| *router == e.router && *at + DRAIN < e.sent_at;
        let heard = told.iter().filter(before).map(|(_, at)| *at).max()?;
        let ms = (a.at - heard).as_millis();
        (!harmed(seen.routers, &e.router, heard, a.at))
            .then(|| format!("{target}: {} reached it {ms} ms after it said that it leaves", e.id))
    };
    arrivals.iter().filter_map(late).collect()
}

/// Requests of a router that the target had asked for rest.
pub fn check_rest(
    target: &str,
    arrivals: &[(&Exchange, &Arrival)],
    seen: &Seen<'_>,
) -> Vec<String> {
    let target_id = CompactString::from(target);
    let too_many = |(e, a): &(&Exchange, &Arrival)| {
        let rest = Duration::from_secs_f64(a.retry_after?.parse().ok()?);
        let (from, to) = (a.at + HEARD, a.at + rest);
        let within = |(other, b): &&(&Exchange, &Arrival)| {
            other.router == e.router && b.at > from && b.at < to
        };
        let n = arrivals.iter().filter(within).count();
        let excused =
            harmed(seen.routers, &e.router, a.at, to) || harmed(seen.links, &target_id, a.at, to);
        (n > MOST_IN_REST && !excused)
            .then(|| format!("{target}: {n} requests in {rest:?} of rest after {}", e.id))
    };
    arrivals.iter().filter_map(too_many).collect()
}
