//! Sizes of grants.

use crate::ids::{Millis, Tokens};

/// Weight of a new sample in the moving average, in percent.
const SAMPLE_WEIGHT_PERCENT: u64 = 30;
/// Minimum duration of one sample.
const MIN_SAMPLE_SPAN: Millis = Millis(500);
/// An extension beyond the waiting requests is limited to a holder's equal share of the remaining
/// tokens, divided by this number.
const TAIL_DIVISOR: u64 = 1;

/// Policy for the size of an extension. Policies other than [`Sizing::ByRate`] serve as baselines
/// in experiments.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sizing {
    /// Covers the expected use over a horizon, at most a share of what is left of the budget.
    ByRate {
        /// Time that an extension should last.
        horizon: Millis,
    },
    /// This amount, or more if the waiting requests need more; limited to what is left.
    Fixed(Tokens),
    /// An equal part of the prepaid amount, granted once. The value is the number of parts.
    EqualSplit(u64),
    /// The amount that the waiting requests need.
    PerRequest,
}

/// Rate at which tokens are reserved, as a moving average.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    per_second: u64,
    sample: u64,
    since: Millis,
}

impl Rate {
    /// Counts `amount` tokens reserved at `now`.
    pub fn count(&mut self, now: Millis, amount: Tokens) {
        self.close_sample(now);
        self.sample = self.sample.saturating_add(amount.0);
    }

    /// Adds the current sample to the average if it has lasted long enough.
    fn close_sample(&mut self, now: Millis) {
        let span = now.since(self.since);
        if span < MIN_SAMPLE_SPAN {
            return;
        }
        let new = self.sample.saturating_mul(1_000) / span.0;
        let old = u128::from(self.per_second) * u128::from(100 - SAMPLE_WEIGHT_PERCENT);
        let mixed = (old + u128::from(new) * u128::from(SAMPLE_WEIGHT_PERCENT)) / 100;
        // The rate follows a sudden burst at once rather than with the lag of the average.
        self.per_second = new.max(u64::try_from(mixed).unwrap_or(u64::MAX));
        self.sample = 0;
        self.since = now;
    }

    /// Returns the number of tokens expected to be reserved within `span` at the current rate.
    pub fn expected_over(&mut self, now: Millis, span: Millis) -> Tokens {
        self.close_sample(now);
        let ahead = self.per_second.max(self.sample);
        Tokens(ahead).scaled(span.0, 1_000)
    }
}

/// Inputs for the size of an extension.
#[derive(Clone, Copy, Debug)]
pub struct SizingInputs {
    /// Tokens that waiting requests need beyond the free ones.
    pub shortfall: Tokens,
    /// Tokens expected to be used within the horizon.
    pub upcoming: Tokens,
    /// Tokens expected to be used within the next two flush intervals. A prefetch of less is not
    /// worth a write.
    pub min_prefetch: Tokens,
    /// Tokens that the holder has available.
    pub free: Tokens,
    /// Prepaid amount of the budget.
    pub prepaid: Tokens,
    /// Part of the prepaid amount that is already committed.
    pub committed: Tokens,
    /// Number of routers that may hold parts of the budget.
    pub holders: u64,
}

impl Sizing {
    /// Returns the number of tokens to request, which is zero if none are needed or left.
    ///
    /// When a budget is nearly exhausted, the remaining tokens must not be stranded across many
    /// holders. Beyond what waiting requests need, an extension is therefore limited to one
    /// holder's equal share of the remaining tokens.
    pub fn extension(self, inputs: SizingInputs) -> Tokens {
        let left = inputs.prepaid.minus(inputs.committed);
        let wanted = match self {
            Sizing::ByRate { .. } => {
                let tail = left.scaled(1, TAIL_DIVISOR * inputs.holders.max(1));
                let upcoming = inputs.upcoming.minus(inputs.free);
                let extra = Tokens(upcoming.0.min(tail.0));
                if inputs.shortfall == Tokens::ZERO && extra < inputs.min_prefetch {
                    return Tokens::ZERO;
                }
                inputs.shortfall.plus(extra)
            }
            Sizing::Fixed(size) if inputs.shortfall > Tokens::ZERO => {
                Tokens(size.0.max(inputs.shortfall.0))
            }
            Sizing::Fixed(_) => Tokens::ZERO,
            Sizing::EqualSplit(parts) => inputs.prepaid.scaled(1, parts.max(1)),
            Sizing::PerRequest => inputs.shortfall,
        };
        Tokens(wanted.0.min(left.0))
    }
}
