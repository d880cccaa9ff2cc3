//! Retry budgets: retries are a share of live traffic, so that they cannot become the load.

/// Retries that may be saved up.
const MAX_SAVED_PER_MILLE: u64 = 20_000;
/// Cost of one retry, in thousandths.
const RETRY_COST_PER_MILLE: u64 = 1_000;

/// A budget of retries. Counts in thousandths of a retry.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    per_mille: u64,
    saved: u64,
}

impl RetryBudget {
    /// A budget that earns `per_mille` thousandths of a retry with each request, and starts with
    /// ten retries.
    pub fn new(per_mille: u32) -> RetryBudget {
        RetryBudget { per_mille: u64::from(per_mille), saved: 10 * RETRY_COST_PER_MILLE }
    }

    /// A first attempt was made.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.per_mille).min(MAX_SAVED_PER_MILLE);
    }

    /// Takes one retry, if there is one.
    pub fn try_spend(&mut self) -> bool {
        let enough = self.saved >= RETRY_COST_PER_MILLE;
        if enough {
            self.saved -= RETRY_COST_PER_MILLE;
        }
        enough
    }
}
