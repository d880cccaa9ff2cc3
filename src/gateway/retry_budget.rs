//! A fleet-wide limit on repeated sends, held in shares by the routers.
//!
//! Over any window, all routers together may repeat `ratio` of their requests and `slack` more.
//! A router's bucket earns `ratio` with each of its own requests and is never fuller than its
//! share of the slack, so over any window it gives out at most that share plus what it earned
//! there. A new process starts empty: its predecessor may have used the share a moment ago.

use compact_str::CompactString;

/// Share of the fleet's allowance that is used: room for windows that begin between requests.
const USABLE_PERCENT: f64 = 85.0;

/// The operator's allowance.
#[derive(Clone, Copy, Debug)]
pub struct RetryAllowance {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats on top, for all routers together in one window.
    pub slack: f64,
}

#[derive(Debug)]
struct Bucket {
    service: CompactString,
    balance: f64,
}

/// This router's shares, one a service.
#[derive(Debug)]
pub struct ServiceRetryBudgets {
    allowance: RetryAllowance,
    router_count: f64,
    buckets: Vec<Bucket>,
}

impl ServiceRetryBudgets {
    /// Shares of `allowance` for a fleet of one.
    pub fn new(allowance: RetryAllowance) -> ServiceRetryBudgets {
        ServiceRetryBudgets { allowance, router_count: 1.0, buckets: Vec::new() }
    }

    /// Sets by how many routers the slack is shared.
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

    /// A request for the service came in.
    pub fn earn(&mut self, service: &str) {
        let (ratio, max_balance) =
            (self.allowance.ratio * USABLE_PERCENT / 100.0, self.max_balance());
        let bucket = self.bucket(service);
        bucket.balance = (bucket.balance + ratio).min(max_balance.max(1.0));
    }

    /// Takes one repeat, if there is one.
    pub fn take(&mut self, service: &str) -> bool {
        let bucket = self.bucket(service);
        let enough = bucket.balance >= 1.0;
        if enough {
            bucket.balance -= 1.0;
        }
        enough
    }
}
