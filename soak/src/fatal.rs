//! A caller whose requests crash every target that runs them. It repeats some of them under a new
//! id and through any router; the others differ and share one part of their prompts. The check
//! counts how many targets each of them, and the part, crash.

use std::rc::Rc;
use std::time::Duration;

use compact_str::{CompactString, format_compact};
use fastrand::Rng;
use kingcupwall::gateway::quarantine::{CRASHES_TO_QUARANTINE, MAX_SHARED_CRASHES};
use kingcupwall::standin::gateway_target::{FATAL_BODY, ReceivedRequest};
use kingcupwall_platform::names;
use tokio::time::{Instant, sleep, timeout};

use crate::callers::{Callers, HOST, REQUEST_TIMEOUT, connect};

/// The prompt part that crashes targets.
pub const FATAL_PART: u64 = 0xbad;
/// Path of requests with this part, without the number that makes each of them different.
const PART_PATH: &str = "/safe/part-";
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
            let bytes = if sent.is_multiple_of(2) {
                request(&path, sent, FATAL_BODY, "", &callers.keys[0])
            } else {
                let path = format_compact!("{PART_PATH}{sent}");
                let parts = format!("f00d:20,{FATAL_PART:x}:20,{:x}:20", 0x1_0000 + sent);
                request(&path, sent, path.as_bytes(), &parts, &callers.keys[0])
            };
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

fn request(path: &str, number: u32, body: &[u8], parts: &str, key: &str) -> Vec<u8> {
    let names = names::headers();
    let mut bytes = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{}: fatal-{number}\r\n{}: {}\r\n\
         {}: {parts}\r\nAuthorization: Bearer {key}\r\nContent-Length: {}\r\n\r\n",
        names.request_id,
        names.time_left,
        REQUEST_TIMEOUT.as_millis(),
        names.prompt_parts,
        body.len(),
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// How often each fatal request ran, by path, and how often any request with the fatal part.
fn runs_by_path(runs: &[ReceivedRequest]) -> Vec<(CompactString, usize)> {
    let has_part = |r: &&ReceivedRequest| r.target.starts_with(PART_PATH);
    let with_part = runs.iter().filter(has_part).map(|_| PART_PATH.into());
    let fatal = runs.iter().filter(|r| r.body == FATAL_BODY).map(|r| r.target.clone());
    let mut paths: Vec<CompactString> = fatal.chain(with_part).collect();
    paths.sort_unstable();
    let by_path = paths.chunk_by(|a, b| a == b);
    by_path.map(|same| (same[0].clone(), same.len())).collect()
}

/// Returns the fatal requests that crashed too many targets between `before` and `after`, the runs
/// at the start and at the end of the recovery check. Without faults every router is informed of
/// every crash of a target.
pub fn check(before: &[ReceivedRequest], after: &[ReceivedRequest]) -> Vec<String> {
    let earlier = runs_by_path(before);
    let excess = |(path, runs): (CompactString, usize)| {
        let before = earlier.iter().find(|(p, _)| *p == path).map_or(0, |(_, n)| *n);
        // Other requests run on the same targets as the part, each time.
        let crashes = if path == PART_PATH { MAX_SHARED_CRASHES } else { CRASHES_TO_QUARANTINE };
        let allowed = crashes.saturating_sub(before) + MAX_SENDS_AFTER_QUARANTINE;
        let more = runs - before;
        (more > allowed)
            .then(|| format!("calm again: {path} ended {more} more targets after {before}"))
    };
    runs_by_path(after).into_iter().filter_map(excess).collect()
}
