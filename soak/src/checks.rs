//! What must hold, from what callers got and targets ran.

use std::collections::HashMap;

use compact_str::CompactString;
use kingcupwall::standin::gateway_target::{Seen, TOKENS_PER_EVENT};

use crate::callers::Exchange;

/// Statuses that say: not run, and never will be.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Everything that did not hold, a line each.
pub fn check(seen: &[Exchange], runs: &[Seen], prepaid: &[u64]) -> Vec<String> {
    let mut times: HashMap<&CompactString, u64> = HashMap::new();
    runs.iter().for_each(|r| *times.entry(&r.id).or_default() += 1);
    let mut found: Vec<String> = seen.iter().filter_map(check_answer).collect();
    for e in seen.iter().filter(|e| !e.request_kind.is_repeatable()) {
        let n = times.get(&e.id).copied().unwrap_or(0);
        if n > 1 {
            found.push(format!("{}: ran {n} times, may run once", e.id));
        }
        if n > 0 && e.status.is_some_and(|s| NOT_RUN.contains(&s)) {
            found.push(format!("{}: answered {:?} and ran", e.id, e.status));
        }
    }
    for (org, prepaid) in prepaid.iter().enumerate() {
        let ran = seen.iter().filter(|e| e.org == org && times.contains_key(&e.id));
        let used: u64 = ran.map(|e| e.tokens.0 + e.events().len() as u64 * TOKENS_PER_EVENT).sum();
        if used > *prepaid {
            found.push(format!("organisation {org}: used {used} of {prepaid}"));
        }
    }
    found
}

/// What is wrong with one answer.
fn check_answer(e: &Exchange) -> Option<String> {
    // Each request of these callers is sent once: none can be the cause of targets' ends.
    if e.status == Some(503) && e.body.contains("ends_targets") {
        return Some(format!("{}: held back as if it ended targets", e.id));
    }
    let is_success = e.status.is_some_and(|s| (200..300).contains(&s));
    if !is_success {
        return None;
    }
    let owner = e.seal.as_ref().and_then(|s| s.rsplit('.').next());
    if owner != Some(e.id.as_str()) {
        return Some(format!("{}: success that belongs to {:?}", e.id, e.seal));
    }
    if !e.request_kind.is_stream() {
        let is_whole_text = e.body.ends_with(&format!(" to {}", e.id));
        return (e.is_complete && !is_whole_text).then(|| format!("{}: body {:?}", e.id, e.body));
    }
    let events = e.events();
    let in_order = events.iter().copied().eq(1..=events.len() as u64);
    if !in_order {
        return Some(format!("{}: events {events:?}", e.id));
    }
    let is_short = e.is_complete && events.len() as u64 != e.expected_events();
    is_short.then(|| format!("{}: {} events look whole", e.id, events.len()))
}
