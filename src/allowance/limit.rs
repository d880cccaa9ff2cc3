//! The most that a router may have spent, as a function of the store's clock.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::ids::Tokens;
use crate::rows::StoreMs;

/// How much slower than the local clock a line is followed, in per mille: room for two steady
/// clocks that do not run alike.
const CLOCK_DRIFT_PER_MILLE: u64 = 10;

/// A bound on one process's total spending that opens over time.
///
/// At store time `t` the process has spent at most `floor + rate × (t − seen − opens)`, the
/// bracket not below zero. The slope bounds what is in doubt once the process is known to have
/// ended at some time; what nobody else may use is the ceiling of its grant.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SpendingLimit {
    /// May be spent at once.
    pub floor: Tokens,
    /// Becomes available with time, tokens a second.
    pub rate: Tokens,
    /// The newest store time that the process knew when it wrote this line. Older than the
    /// write itself, also if the write takes effect late.
    pub seen: StoreMs,
    /// Time after `seen` for which only the floor may be spent, ms.
    pub opens: u64,
}

impl SpendingLimit {
    fn spendable_after(&self, ms: u64) -> Tokens {
        let opened = self.rate.0.saturating_mul(ms.saturating_sub(self.opens)) / 1_000;
        Tokens(self.floor.0.saturating_add(opened))
    }

    /// Time after `seen` at which `amount` may be spent; none if never.
    fn time_until(&self, amount: Tokens) -> Option<u64> {
        let missing = amount.0.saturating_sub(self.floor.0);
        match (missing, self.rate.0) {
            (0, _) => Some(0),
            (_, 0) => None,
            (missing, rate) => Some(self.opens + (missing * 1_000).div_ceil(rate)),
        }
    }

    /// The most that was spent by a process that ended before store time `now`.
    pub fn at(&self, now: StoreMs) -> Tokens {
        self.spendable_after(now.0.saturating_sub(self.seen.0))
    }
}

/// A line as its own process follows it: with the local time at which `seen` was learnt.
///
/// The store's clock was past `seen` at that moment, so at any later one it is past `seen` plus
/// the local time gone by. A process that is paused sees less time go by, not more. What it
/// allows itself is therefore never above [`Line::at`] of the store time at which it ends.
#[derive(Clone, Copy, Debug)]
pub struct AnchoredLimit {
    /// The line.
    pub spending_limit: SpendingLimit,
    /// Local time at which the answer with `line.seen` had arrived.
    pub received_at: Instant,
}

impl AnchoredLimit {
    /// How long it takes from local time `now` until `amount` may be spent; none if never.
    pub fn time_until(&self, amount: Tokens, now: Instant) -> Option<Duration> {
        let at = self.spending_limit.time_until(amount)?;
        // Rounded up: one who waits for so long and is still short would ask again at once.
        let local = (at * 1_000).div_ceil(1_000 - CLOCK_DRIFT_PER_MILLE) + 1;
        let due = self.received_at + Duration::from_millis(if at == 0 { 0 } else { local });
        Some(due.saturating_duration_since(now))
    }

    /// The most that may have been spent by local time `now`.
    pub fn at(&self, now: Instant) -> Tokens {
        let ms = now.saturating_duration_since(self.received_at).as_millis();
        let ms = u64::try_from(ms).unwrap_or(u64::MAX / 1_000);
        self.spending_limit.spendable_after(ms - ms * CLOCK_DRIFT_PER_MILLE / 1_000)
    }
}
