//! Checks the invariants on the responses that callers got and the requests that targets ran.

use std::collections::HashMap;

use compact_str::CompactString;
use kingcupwall::standin::gateway_target::{ReceivedRequest, TOKENS_PER_EVENT};

use crate::callers::Exchange;

/// Statuses which state that the request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Returns one line for each violation: a wrong response, a request that ran too often or despite a
/// refusal, or an organisation that used more than its prepaid tokens.
pub fn check(exchanges: &[Exchange], runs: &[ReceivedRequest], prepaid: &[u64]) -> Vec<String> {
    let mut run_counts: HashMap<&CompactString, u64> = HashMap::new();
    runs.iter().for_each(|r| *run_counts.entry(&r.id).or_default() += 1);
    let mut violations: Vec<String> = exchanges.iter().filter_map(check_response).collect();
    violations.extend(check_versions(exchanges));
    for e in exchanges.iter().filter(|e| !e.request_kind.is_repeatable()) {
        let n = run_counts.get(&e.id).copied().unwrap_or(0);
        if n > 1 {
            violations.push(format!("{}: ran {n} times, may run once", e.id));
        }
        if n > 0 && e.status.is_some_and(|s| NOT_RUN_STATUSES.contains(&s)) {
            violations.push(format!("{}: answered {:?} and ran", e.id, e.status));
        }
    }
    for (org, prepaid) in prepaid.iter().enumerate() {
        let ran = exchanges.iter().filter(|e| e.org == org && run_counts.contains_key(&e.id));
        let used: u64 = ran.map(|e| e.tokens.0 + e.events().len() as u64 * TOKENS_PER_EVENT).sum();
        if used > *prepaid {
            violations.push(format!("organisation {org}: used {used} of {prepaid}"));
        }
    }
    violations
}

/// Returns one line for each stream with events of several software versions, in one response or
/// over the attempts of its caller.
fn check_versions(exchanges: &[Exchange]) -> Vec<String> {
    let mut streams: HashMap<&CompactString, Vec<&str>> = HashMap::new();
    for e in exchanges.iter().filter(|e| e.request_kind.is_stream()) {
        streams.entry(e.root()).or_default().extend(e.versions());
    }
    streams.retain(|_, versions| versions.windows(2).any(|v| v[0] != v[1]));
    streams.iter().map(|(root, versions)| format!("{root}: events of {versions:?}")).collect()
}

/// Returns the violation in one response, if any.
fn check_response(e: &Exchange) -> Option<String> {
    // These callers send each request once, so their requests cannot be the ones that crash targets
    // and must never be quarantined.
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
        let has_expected_text = e.body.ends_with(&format!(" to {}", e.id));
        return (e.is_complete && !has_expected_text)
            .then(|| format!("{}: body {:?}", e.id, e.body));
    }
    let events = e.events();
    let before = e.events_before();
    let in_order = events.iter().copied().eq(before + 1..=before + events.len() as u64);
    if !in_order {
        return Some(format!("{}: events {events:?}", e.id));
    }
    let is_truncated = e.is_complete && events.len() as u64 != e.expected_events();
    is_truncated.then(|| format!("{}: {} events look whole", e.id, events.len()))
}
