//! Upper bound of a router's spending, as a function of the store's clock.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::ids::Tokens;
use crate::rows::StoreMs;

/// How much slower than the local clock a limit rises, in per mille. Allows for the drift between
/// two steady clocks.
const CLOCK_DRIFT_PER_MILLE: u64 = 10;

/// An upper bound of one process's total spending that rises over time.
///
/// At store time `t` the process has spent at most `floor + rate × (t − seen − opens)`, where the
/// difference counts as zero if it is negative. The slope bounds the amount in doubt once the
/// process is known to have ended by some time. The tokens that no other router may use are bounded
/// by the ceiling of the grant instead.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SpendingLimit {
    /// Tokens that may be spent at once.
    pub floor: Tokens,
    /// Tokens a second that become available over time.
    pub rate: Tokens,
    /// The newest store time that the process knew when it wrote this limit. It is older than the
    /// write itself, even if the write takes effect late.
    pub seen: StoreMs,
    /// Time after `seen` during which only the floor may be spent, in ms.
    pub opens: u64,
}

impl SpendingLimit {
    fn spendable_after(&self, ms: u64) -> Tokens {
        let opened = self.rate.0.saturating_mul(ms.saturating_sub(self.opens)) / 1_000;
        Tokens(self.floor.0.saturating_add(opened))
    }

    /// Time in ms after `seen` at which `amount` may be spent; `None` if never.
    fn time_until(&self, amount: Tokens) -> Option<u64> {
        let missing = amount.0.saturating_sub(self.floor.0);
        match (missing, self.rate.0) {
            (0, _) => Some(0),
            (_, 0) => None,
            (missing, rate) => Some(self.opens + (missing * 1_000).div_ceil(rate)),
        }
    }

    /// Upper bound of what a process has spent that ended before store time `now`.
    pub fn at(&self, now: StoreMs) -> Tokens {
        self.spendable_after(now.0.saturating_sub(self.seen.0))
    }
}

/// A spending limit as its own process applies it, with the local time at which `seen` was
/// received.
///
/// The store's clock was already past `seen` at that moment, so at any later moment it is past
/// `seen` plus the elapsed local time. A paused process sees less time elapse, never more.
/// Therefore the process never allows itself more than [`SpendingLimit::at`] for the store time at
/// which it ends.
#[derive(Clone, Copy, Debug)]
pub struct AnchoredLimit {
    /// The limit.
    pub spending_limit: SpendingLimit,
    /// Local time at which the answer with `spending_limit.seen` had arrived.
    pub received_at: Instant,
}

impl AnchoredLimit {
    /// Time from local time `now` until `amount` may be spent; `None` if never.
    pub fn time_until(&self, amount: Tokens, now: Instant) -> Option<Duration> {
        let at = self.spending_limit.time_until(amount)?;
        // Rounded up, because a caller that waits too short a time would retry at once.
        let local = (at * 1_000).div_ceil(1_000 - CLOCK_DRIFT_PER_MILLE) + 1;
        let due = self.received_at + Duration::from_millis(if at == 0 { 0 } else { local });
        Some(due.saturating_duration_since(now))
    }

    /// Tokens that may have been spent by local time `now`.
    pub fn at(&self, now: Instant) -> Tokens {
        let ms = now.saturating_duration_since(self.received_at).as_millis();
        let ms = u64::try_from(ms).unwrap_or(u64::MAX / 1_000);
        self.spending_limit.spendable_after(ms - ms * CLOCK_DRIFT_PER_MILLE / 1_000)
    }
}
