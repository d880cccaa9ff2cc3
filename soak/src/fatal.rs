//! A caller whose requests crash every target that runs them. It repeats each request under a new
//! id and through any router, and the check counts how many targets it crashes.

use std::rc::Rc;
use std::time::Duration;

use compact_str::{CompactString, format_compact};
use fastrand::Rng;
use kingcupwall::gateway::quarantine::CRASHES_TO_QUARANTINE;
use kingcupwall::standin::gateway_target::{FATAL_BODY, ReceivedRequest};
use kingcupwall_platform::names;
use tokio::time::{Instant, sleep, timeout};

use crate::callers::{Callers, HOST, REQUEST_TIMEOUT, connect};

/// Pause between two attempts.
const SEND_PAUSE: Duration = Duration::from_millis(150);
/// How often a request may still run after it has crashed enough targets to be quarantined.
const MAX_SENDS_AFTER_QUARANTINE: usize = 3;

/// Sends each of `variants` different requests repeatedly for `time_per_variant`, and the last one
/// until callers are stopped.
pub async fn send_fatal_requests(
    callers: Rc<Callers>,
    variants: u32,
    time_per_variant: Duration,
    seed: u64,
) {
    let mut rng = Rng::with_seed(seed);
    let began = Instant::now();
    let mut sent = 0_u32;
    while !callers.stop_requested.get() {
        let variant = (began.elapsed().as_secs_f64() / time_per_variant.as_secs_f64()) as u32;
        let path = format_compact!("/safe/fatal-{}", variant.min(variants - 1));
        if let Some((_, mut conn)) = connect(&callers, &mut rng, sent).await {
            let bytes = request(&path, sent, &callers.keys[0]);
            sent += 1;
            // The outcome is checked at the targets.
            let _ = timeout(REQUEST_TIMEOUT, async {
                conn.write(&bytes).await?;
                conn.wait_for_data().await
            })
            .await;
        }
        sleep(SEND_PAUSE).await;
    }
}

fn request(path: &str, number: u32, key: &str) -> Vec<u8> {
    let names = names::headers();
    let mut bytes = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{}: fatal-{number}\r\n{}: {}\r\n\
         Authorization: Bearer {key}\r\nContent-Length: {}\r\n\r\n",
        names.request_id,
        names.time_left,
        REQUEST_TIMEOUT.as_millis(),
        FATAL_BODY.len(),
    )
    .into_bytes();
    bytes.extend_from_slice(FATAL_BODY);
    bytes
}

/// How often each fatal request ran, by path.
fn runs_by_path(runs: &[ReceivedRequest]) -> Vec<(CompactString, usize)> {
    let mut paths: Vec<_> = runs.iter().filter(|r| r.body == FATAL_BODY).collect();
    paths.sort_by(|a, b| a.target.cmp(&b.target));
    let by_path = paths.chunk_by(|a, b| a.target == b.target);
    by_path.map(|same| (same[0].target.clone(), same.len())).collect()
}

/// Returns the fatal requests that crashed too many targets between `before` and `after`, the runs
/// at the start and at the end of the recovery check. Without faults every router is informed of
/// every crash of a target.
pub fn check(before: &[ReceivedRequest], after: &[ReceivedRequest]) -> Vec<String> {
    let earlier = runs_by_path(before);
    let excess = |(path, runs): (CompactString, usize)| {
        let before = earlier.iter().find(|(p, _)| *p == path).map_or(0, |(_, n)| *n);
        let allowed = CRASHES_TO_QUARANTINE.saturating_sub(before) + MAX_SENDS_AFTER_QUARANTINE;
        let more = runs - before;
        (more > allowed)
            .then(|| format!("calm again: {path} ended {more} more targets after {before}"))
    };
    runs_by_path(after).into_iter().filter_map(excess).collect()
}
