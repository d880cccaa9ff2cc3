//! A retry budget for the whole fleet, divided among the routers.
//!
//! Over any window, all routers together may retry `ratio` of their requests, plus `slack`. Each
//! router has a token bucket per service. A bucket earns `ratio` per request of the router, and its
//! balance is capped at the router's share of the slack. Over any window a router thus retries at
//! most its share plus what it earned in the window. A new process starts with an empty bucket,
//! because the previous process of the same router may have just used the share.

use compact_str::CompactString;

/// Percentage of the fleet's allowance that is used. The rest is a margin for windows that begin
/// between two requests.
const USABLE_PERCENT: f64 = 85.0;

/// The operator's retry allowance for the fleet.
#[derive(Clone, Copy, Debug)]
pub struct RetryAllowance {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries of all routers together in one window.
    pub slack: f64,
}

#[derive(Debug)]
struct Bucket {
    service: CompactString,
    balance: f64,
}

/// This router's share of the retry budget, with one token bucket per service.
#[derive(Debug)]
pub struct ServiceRetryBudgets {
    allowance: RetryAllowance,
    router_count: f64,
    buckets: Vec<Bucket>,
}

impl ServiceRetryBudgets {
    /// Creates the budgets for a fleet of one router.
    pub fn new(allowance: RetryAllowance) -> ServiceRetryBudgets {
        ServiceRetryBudgets { allowance, router_count: 1.0, buckets: Vec::new() }
    }

    /// Sets the number of routers that share the slack.
    pub fn set_routers(&mut self, n: u32) {
        self.router_count = f64::from(n.max(1));
    }

    fn max_balance(&self) -> f64 {
        self.allowance.slack * USABLE_PERCENT / 100.0 / self.router_count
    }

    fn bucket(&mut self, service: &str) -> &mut Bucket {
        match self.buckets.binary_search_by(|b| b.service.as_str().cmp(service)) {
            Ok(i) => &mut self.buckets[i],
            Err(i) => {
                self.buckets.insert(i, Bucket { service: service.into(), balance: 0.0 });
                &mut self.buckets[i]
            }
        }
    }

    /// Adds the amount that a new request for the service earns.
    pub fn earn(&mut self, service: &str) {
        let (ratio, max_balance) =
            (self.allowance.ratio * USABLE_PERCENT / 100.0, self.max_balance());
        let bucket = self.bucket(service);
        bucket.balance = (bucket.balance + ratio).min(max_balance.max(1.0));
    }

    /// Takes one retry from the service's bucket. Returns false if the balance is too low.
    pub fn take(&mut self, service: &str) -> bool {
        let bucket = self.bucket(service);
        let enough = bucket.balance >= 1.0;
        if enough {
            bucket.balance -= 1.0;
        }
        enough
    }
}
