//! Retry budget: limits retries to a share of the traffic, so that retries cannot overload the
//! targets.

/// Maximum balance, in thousandths of a retry.
const MAX_SAVED_PER_MILLE: u64 = 20_000;
/// Cost of one retry, in thousandths of a retry.
const RETRY_COST_PER_MILLE: u64 = 1_000;

/// A budget of retries, counted in thousandths of a retry.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    per_mille: u64,
    saved: u64,
}

impl RetryBudget {
    /// Creates a budget that gains `per_mille` thousandths of a retry with each first attempt. It
    /// starts with a balance of ten retries.
    pub fn new(per_mille: u32) -> RetryBudget {
        RetryBudget { per_mille: u64::from(per_mille), saved: 10 * RETRY_COST_PER_MILLE }
    }

    /// Credits the budget for a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.per_mille).min(MAX_SAVED_PER_MILLE);
    }

    /// Spends one retry. Returns `false` if the balance is too low.
    pub fn try_spend(&mut self) -> bool {
        let enough = self.saved >= RETRY_COST_PER_MILLE;
        if enough {
            self.saved -= RETRY_COST_PER_MILLE;
        }
        enough
    }
}
