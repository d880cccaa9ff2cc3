//! What a target says of itself in its answers. No I/O.
//!
//! An answer is newer than the target's entry in the store, and comes while the store is away. So
//! what it says is kept apart from the entry, which does not undo it.

use std::cell::Cell;
use std::time::{Duration, SystemTime};

use tokio::time::Instant;

use super::request::HeaderNames;
use crate::http1::{ResponseHead, header};

/// The longest delay that is kept to; a target that states more has most likely a fault.
const MAX_DELAY: Duration = Duration::from_secs(24 * 60 * 60);

/// What an answer says of the target that gave it, apart from the request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Notice {
    /// The target is about to stop.
    pub leaving: bool,
    /// It turned the request away with 503, and says when it wants the next one. With 429 it still
    /// runs others: left alone for the time that it states then, a service whose targets all do so
    /// would take next to nothing.
    pub retry_after: Option<RetryAfter>,
}

/// What a `Retry-After` says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryAfter {
    /// No request until so long from now.
    Delay(Duration),
    /// It cannot be read.
    Unreadable,
}

impl Notice {
    /// Reads what a head says. A 421 comes from another target, which has the address now: it says
    /// nothing of the one that was asked.
    pub fn read(names: &HeaderNames, head: &ResponseHead) -> Notice {
        let stated = |name: &str| header(&head.headers, name);
        match head.status {
            421 => Notice::default(),
            status => Notice {
                leaving: stated(&names.leaving).is_some(),
                retry_after: stated("retry-after")
                    .filter(|_| status == 503)
                    .map(|after| retry_after(after.trim(), stated("date"))),
            },
        }
    }
}

/// Reads a `Retry-After`: seconds, with or without a fraction, or a date. A date is compared with
/// the answer's own, which is of the same clock; this instance's clock may differ.
fn retry_after(after: &str, date: Option<&str>) -> RetryAfter {
    let seconds = after.parse().ok().and_then(|s| match s {
        s if s >= 0.0 => Some(Duration::try_from_secs_f64(s).unwrap_or(MAX_DELAY)),
        _ => None,
    });
    let until = || {
        let parse = |text: &str| httpdate::parse_http_date(text.trim()).ok();
        let (until, now): (SystemTime, SystemTime) = (parse(after)?, parse(date?)?);
        Some(until.duration_since(now).unwrap_or_default())
    };
    let delay = seconds.or_else(until);
    delay.map_or(RetryAfter::Unreadable, |d| RetryAfter::Delay(d.min(MAX_DELAY)))
}

/// What a target has said of itself since its start.
#[derive(Clone, Debug, Default)]
pub struct Standing {
    leaving: Cell<bool>,
    rests_until: Cell<Option<Instant>>,
}

impl Standing {
    /// Takes in what an answer says. Returns whether that is new.
    pub fn take(&self, notice: Notice, now: Instant) -> bool {
        let leaves = notice.leaving && !self.leaving.replace(true);
        let rests = match notice.retry_after {
            Some(RetryAfter::Delay(delay)) => self.rest(now, delay),
            Some(RetryAfter::Unreadable) | None => false,
        };
        leaves || rests
    }

    /// It wants no request for so long. Returns whether that is longer than was known: the latest
    /// end holds, answers to requests that were sent together may each state one.
    pub fn rest(&self, now: Instant, delay: Duration) -> bool {
        let before = self.rests_until.get();
        let until = before.max(now.checked_add(delay));
        self.rests_until.set(until);
        until > before
    }

    /// Whether it has said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// How long it still wants no request, if it said so.
    pub fn rests_for(&self, now: Instant) -> Option<Duration> {
        let until = self.rests_until.get()?;
        until.checked_duration_since(now).filter(|d| !d.is_zero())
    }

    /// Whether it wants no request now.
    pub fn holds_off(&self, now: Instant) -> bool {
        self.is_leaving() || self.rests_for(now).is_some()
    }
}
