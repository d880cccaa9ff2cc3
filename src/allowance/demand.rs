//! Spending rate and unmet demand of one organisation at one router. No clock, no I/O.

use tokio::time::Instant;

use crate::ids::Tokens;

/// Window over which the spending rate is averaged, in ms. The window is short because an
/// organisation can send several times its usual load from one second to the next.
const RATE_WINDOW_MS: u64 = 1_500;
/// Share of the averaged rate that is retained for each window while it falls, in percent. The rate
/// falls slowly because a grant must also bridge a store outage that begins in a quiet moment.
const RATE_RETAINED_PERCENT: u64 = 85;
/// Time constant of the mean rate, in s, from which the slope of a spending limit is derived.
/// Longer than the gaps between clusters of requests.
const MEAN_RATE_TIME_CONSTANT_S: f64 = 3.0;
/// Time constant of the rate that sizes grants, in s. Longer, so that an organisation whose
/// requests come seconds apart does not have its grant cut back and extended again between them.
const SIZING_RATE_TIME_CONSTANT_S: f64 = 12.0;
/// Minimum assumed time since the start of spending, in s. A few requests at the same moment do not
/// yield a rate.
const MIN_SPENDING_AGE_S: f64 = 1.0;
/// Divisor that gives the weight of the latest request in the mean size.
const MEAN_SIZE_DIVISOR: u64 = 8;
/// Time for which an uncovered request still counts as demand, in ms.
const UNMET_DEMAND_MS: u64 = 2_000;

/// One organisation's demand at one router.
#[derive(Clone, Debug)]
pub(super) struct Demand {
    /// Mean of the requests' maximum costs, in tokens.
    mean_size: u64,
    /// Spending rate, in tokens a second.
    rate: u64,
    window_start: Instant,
    window_spent: u64,
    /// Mean spending rates as of `rates_updated_at`, in tokens a second.
    mean_rate: f64,
    sizing_rate: f64,
    rates_updated_at: Instant,
    /// When spending began.
    spending_since: Option<Instant>,
    /// The latest request that could not be covered, and when it came.
    unmet: Option<(Tokens, Instant)>,
    /// Total maximum cost of the requests that are waiting now.
    waiting: u64,
}

impl Demand {
    pub(super) fn new(now: Instant) -> Demand {
        Demand {
            mean_size: 0,
            rate: 0,
            window_start: now,
            window_spent: 0,
            mean_rate: 0.0,
            sizing_rate: 0.0,
            rates_updated_at: now,
            spending_since: None,
            unmet: None,
            waiting: 0,
        }
    }

    /// Records a request of `max_cost` that was covered.
    pub(super) fn record_covered(&mut self, max_cost: Tokens, now: Instant) {
        self.roll_window(now);
        self.spending_since.get_or_insert(now);
        self.mean_size += (max_cost.0.max(self.mean_size) - self.mean_size) / MEAN_SIZE_DIVISOR;
        self.mean_size -= self.mean_size.saturating_sub(max_cost.0) / MEAN_SIZE_DIVISOR;
        self.window_spent += max_cost.0;
        self.mean_rate = self.mean_rate(now) + max_cost.0 as f64 / MEAN_RATE_TIME_CONSTANT_S;
        self.sizing_rate = self.decayed(self.sizing_rate, SIZING_RATE_TIME_CONSTANT_S, now);
        self.sizing_rate += max_cost.0 as f64 / SIZING_RATE_TIME_CONSTANT_S;
        self.rates_updated_at = now;
    }

    /// Records a request of `max_cost` that was not covered.
    pub(super) fn record_uncovered(&mut self, max_cost: Tokens, now: Instant) {
        self.roll_window(now);
        self.unmet = Some((max_cost, now));
    }

    /// Drops the uncovered request, because it may be covered now.
    pub(super) fn clear_unmet(&mut self) {
        self.unmet = None;
    }

    /// Adds a request of `max_cost` to the waiting demand.
    pub(super) fn add_waiting(&mut self, max_cost: Tokens) {
        self.waiting += max_cost.0;
    }

    /// Removes a request of `max_cost` from the waiting demand.
    pub(super) fn remove_waiting(&mut self, max_cost: Tokens) {
        self.waiting -= max_cost.0;
    }

    fn roll_window(&mut self, now: Instant) {
        let ms = now.saturating_duration_since(self.window_start).as_millis();
        let ms = u64::try_from(ms).unwrap_or(u64::MAX);
        if ms < RATE_WINDOW_MS {
            return;
        }
        let windows = (ms / RATE_WINDOW_MS).min(64);
        let latest = self.window_spent.saturating_mul(1_000) / ms;
        let retained = (0..windows).fold(self.rate, |r, _| r * RATE_RETAINED_PERCENT / 100);
        self.rate = latest.max(retained);
        self.window_spent = 0;
        self.window_start = now;
    }

    /// Mean maximum cost of a request, in tokens.
    pub(super) fn mean_size(&self) -> u64 {
        self.mean_size
    }

    fn decayed(&self, rate: f64, constant_s: f64, now: Instant) -> f64 {
        let s = now.saturating_duration_since(self.rates_updated_at).as_secs_f64();
        rate * (-s / constant_s).exp()
    }

    /// Mean spending rate, in tokens a second.
    pub(super) fn mean_rate(&self, now: Instant) -> f64 {
        self.decayed(self.mean_rate, MEAN_RATE_TIME_CONSTANT_S, now)
    }

    /// Mean spending rate for sizing grants, in tokens a second; it rises at once and falls slowly.
    /// For an organisation that has just begun to spend, the mean covers only the time since then.
    pub(super) fn sizing_rate(&self, now: Instant) -> f64 {
        let age_s =
            self.spending_since.map_or(0.0, |t| now.saturating_duration_since(t).as_secs_f64());
        let observed_share =
            1.0 - (-age_s.max(MIN_SPENDING_AGE_S) / SIZING_RATE_TIME_CONSTANT_S).exp();
        let corrected =
            self.decayed(self.sizing_rate, SIZING_RATE_TIME_CONSTANT_S, now) / observed_share;
        corrected.max(self.mean_rate(now))
    }

    /// Spending rate in tokens a second, including the current window.
    pub(super) fn rate(&self, now: Instant) -> u64 {
        let ms = now.saturating_duration_since(self.window_start).as_millis();
        let ms = u64::try_from(ms).unwrap_or(u64::MAX).max(RATE_WINDOW_MS / 2);
        self.rate.max(self.window_spent.saturating_mul(1_000) / ms)
    }

    /// Tokens that requests wait for or were refused recently.
    pub(super) fn wanted(&self, now: Instant) -> u64 {
        let (max_cost, at) = self.unmet.unwrap_or((Tokens(0), now));
        let ms = now.saturating_duration_since(at).as_millis();
        let unmet = if ms < u128::from(UNMET_DEMAND_MS) { max_cost.0 } else { 0 };
        unmet.max(self.waiting)
    }

    /// Time of the latest request.
    pub(super) fn idle_since(&self) -> Instant {
        self.unmet.map_or(self.rates_updated_at, |(_, at)| at.max(self.rates_updated_at))
    }
}
