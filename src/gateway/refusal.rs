//! Responses that the router itself generates, and their retry delays.

use std::time::Duration;

use compact_str::CompactString;

/// Retry delay of a refusal for which no better one is known.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Maximum retry delay while the time until there is room is unknown: a partition from the store
/// can end at any moment.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);
/// Jitter on the retry delay for cold and full targets, as a fraction of the delay.
const ROOM_JITTER: f64 = 1.0;
/// Minimum retry delay while all targets are backing off. Other callers take the first free slots.
const MIN_BACKOFF_RETRY_AFTER: Duration = Duration::from_millis(150);
/// Maximum jitter on the retry delay while all targets are backing off.
const MAX_BACKOFF_JITTER: Duration = Duration::from_millis(400);

/// A response that the router itself generates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RouterResponse {
    /// HTTP status code. 408, 421, 429 and 503 guarantee that the request did not run and never
    /// will.
    pub status: u16,
    /// Reason code for the caller and the log.
    pub reason: &'static str,
    /// Delay after which the caller should retry.
    pub retry_after: Option<Duration>,
}

impl RouterResponse {
    /// Creates a response without a retry delay.
    pub fn new(status: u16, reason: &'static str) -> RouterResponse {
        RouterResponse { status, reason, retry_after: None }
    }

    /// Creates a 503 response with a retry delay. The request did not run.
    pub fn refusal(reason: &'static str, after: Duration) -> RouterResponse {
        RouterResponse { status: 503, reason, retry_after: Some(after) }
    }
}

/// A request that was rejected before admission, with the facts known by then.
#[derive(Clone, Debug)]
pub struct RejectedRequest {
    /// The response to the caller.
    pub response: RouterResponse,
    /// Name of the matching route, if it was found.
    pub route: Option<CompactString>,
    /// Organisation of the caller, if it was identified.
    pub org: Option<CompactString>,
}

/// Refusal while all available targets are cold or full. Callers should retry once there is room, with
/// jitter so that they do not all return at once.
pub fn no_room_refusal(reason: &'static str, room_in: Duration) -> RouterResponse {
    let after = room_in.mul_f64(1.0 + ROOM_JITTER * fastrand::f64());
    RouterResponse::refusal(reason, after.clamp(DEFAULT_RETRY_AFTER, MAX_RETRY_AFTER))
}

/// Refusal while all targets are backing off. Callers should retry once the first target accepts
/// requests again, with jitter so that they do not all return at once.
pub fn backoff_refusal(retry_after: Duration) -> RouterResponse {
    let least = retry_after.max(MIN_BACKOFF_RETRY_AFTER);
    let jitter = least.min(MAX_BACKOFF_JITTER).mul_f64(fastrand::f64());
    RouterResponse::refusal("targets_rest", least + jitter)
}
