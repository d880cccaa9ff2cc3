//! Answers of the router's own, and when callers should come back.

use std::time::Duration;

use compact_str::CompactString;

/// When to come back after a refusal that names no better time.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(400);
/// The longest time to come back that is named while it is not known when there is room: a cut
/// from the store can end at any moment.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);
/// How far the times to come back for a cold target are spread, against the time itself.
const COLD_JITTER: f64 = 1.0;
/// The shortest time to come back to targets that rest: other callers take the first room.
const MIN_BACKOFF_RETRY_AFTER: Duration = Duration::from_millis(150);
/// How far the times to come back to targets that rest are spread, at most.
const MAX_BACKOFF_JITTER: Duration = Duration::from_millis(400);

/// An answer of the router's own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RouterResponse {
    /// Status code. 408, 421, 429 and 503 promise that the request did not run and will not.
    pub status: u16,
    /// Why, for the caller and the log.
    pub reason: &'static str,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl RouterResponse {
    /// An answer without a time to come back.
    pub fn new(status: u16, reason: &'static str) -> RouterResponse {
        RouterResponse { status, reason, retry_after: None }
    }

    /// A refusal: not run, with the time to come back.
    pub fn refusal(reason: &'static str, after: Duration) -> RouterResponse {
        RouterResponse { status: 503, reason, retry_after: Some(after) }
    }
}

/// A request that was not admitted, and as much of it as was known by then.
#[derive(Clone, Debug)]
pub struct RejectedRequest {
    /// The answer.
    pub response: RouterResponse,
    /// Name of its route.
    pub route: Option<CompactString>,
    /// Whose it is.
    pub org: Option<CompactString>,
}

/// Callers come back when there is room, and not all at once.
pub fn cold_refusal(room_in: Duration) -> RouterResponse {
    let after = room_in.mul_f64(1.0 + COLD_JITTER * fastrand::f64());
    RouterResponse::refusal("cold", after.clamp(DEFAULT_RETRY_AFTER, MAX_RETRY_AFTER))
}

/// Callers come back when the first target wants requests again, and not all at once.
pub fn backoff_refusal(retry_after: Duration) -> RouterResponse {
    let least = retry_after.max(MIN_BACKOFF_RETRY_AFTER);
    let jitter = least.min(MAX_BACKOFF_JITTER).mul_f64(fastrand::f64());
    RouterResponse::refusal("targets_rest", least + jitter)
}
