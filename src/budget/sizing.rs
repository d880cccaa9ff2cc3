//! How large a grant should be.

use crate::ids::{Millis, Tokens};

/// Weight of a new sample in the rate, in percent.
const SAMPLE_WEIGHT_PERCENT: u64 = 30;
/// Span over which one sample is taken.
const MIN_SAMPLE_SPAN: Millis = Millis(500);
/// Part of an equal share of what is left that one grant may take.
const TAIL_DIVISOR: u64 = 1;

/// How grants are sized. The other policies exist to be measured against.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sizing {
    /// By observed rate over a horizon, smaller as the budget ends.
    ByRate {
        /// Time that a grant should last.
        horizon: Millis,
    },
    /// Always this much, or what is left.
    Fixed(Tokens),
    /// One of so many equal parts of the whole, taken once.
    EqualSplit(u64),
    /// Exactly what a request needs.
    PerRequest,
}

/// An observed rate of spending.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    per_second: u64,
    sample: u64,
    since: Millis,
}

impl Rate {
    /// Counts tokens taken at `now`.
    pub fn count(&mut self, now: Millis, amount: Tokens) {
        self.close_sample(now);
        self.sample = self.sample.saturating_add(amount.0);
    }

    /// Closes the sample when its span is over.
    fn close_sample(&mut self, now: Millis) {
        let span = now.since(self.since);
        if span < MIN_SAMPLE_SPAN {
            return;
        }
        let new = self.sample.saturating_mul(1_000) / span.0;
        let old = u128::from(self.per_second) * u128::from(100 - SAMPLE_WEIGHT_PERCENT);
        let mixed = (old + u128::from(new) * u128::from(SAMPLE_WEIGHT_PERCENT)) / 100;
        // A crowd that arrives at once must not wait for the average to follow.
        self.per_second = new.max(u64::try_from(mixed).unwrap_or(u64::MAX));
        self.sample = 0;
        self.since = now;
    }

    /// Tokens that `span` will take at this rate.
    pub fn expected_over(&mut self, now: Millis, span: Millis) -> Tokens {
        self.close_sample(now);
        let ahead = self.per_second.max(self.sample);
        Tokens(ahead).scaled(span.0, 1_000)
    }
}

/// What a grant is sized from.
#[derive(Clone, Copy, Debug)]
pub struct SizingInputs {
    /// What waits for it now.
    pub shortfall: Tokens,
    /// What the horizon will take.
    pub upcoming: Tokens,
    /// What the next records will take: a prefetch of less is not worth a write.
    pub min_prefetch: Tokens,
    /// What the holder has free.
    pub free: Tokens,
    /// The whole prepaid amount.
    pub prepaid: Tokens,
    /// What is committed of it.
    pub committed: Tokens,
    /// Routers that may hold parts of the same budget.
    pub holders: u64,
}

impl Sizing {
    /// Tokens to ask for; zero when nothing is needed or nothing is left.
    ///
    /// Near the end of a budget the tail must not be stranded in many holders, so beyond what
    /// waits a grant takes at most a holder's share of half the rest.
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
