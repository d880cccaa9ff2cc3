//! What a target announces about itself in its answers. No I/O.
//!
//! An answer is more recent than the target's entry in the store, and also arrives while the store
//! is unavailable. Its content is therefore kept apart from the entry, so that an older entry
//! cannot overwrite it.

use std::cell::Cell;
use std::fmt;
use std::time::{Duration, SystemTime};

use tokio::time::Instant;

use super::request::HeaderNames;
use crate::http1::{ResponseHead, header};

/// Maximum accepted delay. Longer ones are reduced to it, because a target that states more is most
/// likely faulty.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(24 * 60 * 60);

/// What an answer says about the target that sent it, apart from the request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Notice {
    /// The target is about to stop.
    pub leaving: bool,
    /// The delay stated by a target that refused the request with status 503. A `Retry-After` with
    /// 429 is ignored, because the target still runs other requests: if all targets of a service
    /// sent 429 and the router paused them for the stated time, the service would take next to no
    /// requests.
    pub retry_after: Option<RetryAfter>,
    /// How many requests the target can reject; `None` if it states no limit.
    pub rejection_limit: Option<RejectionLimit>,
}

/// The maximum number of requests that a target can reject for want of capacity within one second.
/// It crashes when it rejects more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RejectionLimit {
    /// The number stated.
    PerSecond(u32),
    /// The value cannot be parsed. The target counts as one that can reject nothing.
    Unreadable,
}

impl RejectionLimit {
    fn parse(stated: &str) -> RejectionLimit {
        match stated.trim().parse::<u128>() {
            Ok(n) => RejectionLimit::PerSecond(u32::try_from(n).unwrap_or(u32::MAX)),
            Err(_) => RejectionLimit::Unreadable,
        }
    }

    /// Number of rejections per second that are safe.
    pub fn per_second(self) -> u32 {
        match self {
            RejectionLimit::PerSecond(n) => n,
            RejectionLimit::Unreadable => 0,
        }
    }
}

impl fmt::Display for RejectionLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RejectionLimit::PerSecond(n) => n.fmt(f),
            RejectionLimit::Unreadable => f.write_str("unreadable"),
        }
    }
}

/// The content of a `Retry-After` header.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryAfter {
    /// The target asks for no requests during this time.
    Delay(Duration),
    /// The value cannot be parsed.
    Unreadable,
}

impl Notice {
    /// Reads the notice from a response head. A 421 comes from another target that has taken over
    /// the address, so it says nothing about the intended one.
    pub fn read(names: &HeaderNames, head: &ResponseHead) -> Notice {
        let stated = |name: &str| header(&head.headers, name);
        match head.status {
            421 => Notice::default(),
            status => Notice {
                leaving: stated(&names.leaving).is_some(),
                retry_after: stated("retry-after")
                    .filter(|_| status == 503)
                    .map(|after| retry_after(after.trim(), stated("date"))),
                rejection_limit: stated(&names.rejection_limit).map(RejectionLimit::parse),
            },
        }
    }
}

/// Parses a `Retry-After`: seconds, with or without a fraction, or a date. A date is compared with
/// the `Date` of the same answer, because this instance's clock may differ from the target's.
fn retry_after(after: &str, date: Option<&str>) -> RetryAfter {
    let seconds = after.parse().ok().and_then(|s| match s {
        s if s >= 0.0 => Some(Duration::try_from_secs_f64(s).unwrap_or(MAX_RETRY_AFTER)),
        _ => None,
    });
    let until = || {
        let parse = |text: &str| httpdate::parse_http_date(text.trim()).ok();
        let (until, now): (SystemTime, SystemTime) = (parse(after)?, parse(date?)?);
        Some(until.duration_since(now).unwrap_or_default())
    };
    let delay = seconds.or_else(until);
    delay.map_or(RetryAfter::Unreadable, |d| RetryAfter::Delay(d.min(MAX_RETRY_AFTER)))
}

/// What a target has announced about itself since its start.
#[derive(Clone, Debug, Default)]
pub struct Availability {
    leaving: Cell<bool>,
    backoff_until: Cell<Option<Instant>>,
    rejection_limit: Cell<Option<RejectionLimit>>,
}

impl Availability {
    /// Applies a notice. Returns whether it changed anything.
    pub fn apply_notice(&self, notice: Notice, now: Instant) -> bool {
        let newly_leaving = notice.leaving && !self.leaving.replace(true);
        let longer_backoff = match notice.retry_after {
            Some(RetryAfter::Delay(delay)) => self.back_off(now, delay),
            Some(RetryAfter::Unreadable) | None => false,
        };
        let limit_before = self.rejection_limit.replace(notice.rejection_limit);
        newly_leaving || longer_backoff || limit_before != notice.rejection_limit
    }

    /// Sends the target no requests for `delay`. Returns whether this extends the current backoff.
    /// The latest end applies, because several answers to concurrent requests may each state a
    /// delay.
    pub fn back_off(&self, now: Instant, delay: Duration) -> bool {
        let before = self.backoff_until.get();
        let until = before.max(now.checked_add(delay));
        self.backoff_until.set(until);
        until > before
    }

    /// How many requests the target can reject, by its latest answer; `None` if it states no limit.
    pub fn rejection_limit(&self) -> Option<RejectionLimit> {
        self.rejection_limit.get()
    }

    /// Whether the target has announced that it is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// The remaining backoff, or `None` if there is none.
    pub fn backoff_left(&self, now: Instant) -> Option<Duration> {
        let until = self.backoff_until.get()?;
        until.checked_duration_since(now).filter(|d| !d.is_zero())
    }

    /// Whether the target is leaving or in backoff, and must get no request now.
    pub fn is_unavailable(&self, now: Instant) -> bool {
        self.is_leaving() || self.backoff_left(now).is_some()
    }
}
