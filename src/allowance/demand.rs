//! How fast an organisation spends at one router, and what it asks for in vain. Pure.

use tokio::time::Instant;

use crate::ids::Tokens;

/// Time over which the rate of spending is averaged, ms. Short, because an organisation can
/// send several times its usual from one second to the next.
const RATE_WINDOW_MS: u64 = 1_500;
/// How much of the averaged rate is kept when it falls, per window, in per cent. Slow, because a
/// partition that begins in a lull must still be outlasted.
const RATE_KEEP_PERCENT: u64 = 85;
/// Time constant of the mean rate, which the slope of a line follows, s. Longer than the gaps
/// between the clumps in which requests come.
const MEAN_RATE_S: f64 = 3.0;
/// The same of the rate that sizes a grant, s. Longer, so that an organisation whose requests come
/// seconds apart does not have its grant cut back and extended again between them.
const LASTING_RATE_S: f64 = 12.0;
/// Spending that began more recently counts as having begun so long ago, s: a few requests in the
/// same moment are no rate.
const LEAST_SINCE_S: f64 = 1.0;
/// Weight of the latest request in the mean size, as a divisor.
const MEAN_DIVISOR: u64 = 8;
/// A request that could not be covered is still counted as demand for so long, ms.
const UNMET_MS: u64 = 2_000;

/// One organisation's demand at one router.
#[derive(Clone, Debug)]
pub(super) struct Demand {
    /// Mean size of requests at their most.
    mean: u64,
    /// Spending, tokens a second.
    rate: u64,
    window_start: Instant,
    window_spent: u64,
    /// Mean rate of spending, tokens a second, as of some time.
    mean_rate: f64,
    lasting_rate: f64,
    mean_at: Instant,
    /// When spending began.
    began: Option<Instant>,
    /// A request that could not be covered, and when.
    unmet: Option<(Tokens, Instant)>,
    /// What the requests that wait now need together.
    waiting: u64,
}

impl Demand {
    pub(super) fn new(now: Instant) -> Demand {
        Demand {
            mean: 0,
            rate: 0,
            window_start: now,
            window_spent: 0,
            mean_rate: 0.0,
            lasting_rate: 0.0,
            mean_at: now,
            began: None,
            unmet: None,
            waiting: 0,
        }
    }

    /// A request of `most` was covered.
    pub(super) fn met(&mut self, most: Tokens, now: Instant) {
        self.roll(now);
        self.began.get_or_insert(now);
        self.mean += (most.0.max(self.mean) - self.mean) / MEAN_DIVISOR;
        self.mean -= self.mean.saturating_sub(most.0) / MEAN_DIVISOR;
        self.window_spent += most.0;
        self.mean_rate = self.mean_rate(now) + most.0 as f64 / MEAN_RATE_S;
        self.lasting_rate = self.decayed(self.lasting_rate, LASTING_RATE_S, now);
        self.lasting_rate += most.0 as f64 / LASTING_RATE_S;
        self.mean_at = now;
    }

    /// A request of `most` was not.
    pub(super) fn missed(&mut self, most: Tokens, now: Instant) {
        self.roll(now);
        self.unmet = Some((most, now));
    }

    /// What was asked for in vain may be there now.
    pub(super) fn forget_unmet(&mut self) {
        self.unmet = None;
    }

    /// A request of `most` begins to wait.
    pub(super) fn wait(&mut self, most: Tokens) {
        self.waiting += most.0;
    }

    /// It waits no longer.
    pub(super) fn end_wait(&mut self, most: Tokens) {
        self.waiting -= most.0;
    }

    fn roll(&mut self, now: Instant) {
        let ms = now.saturating_duration_since(self.window_start).as_millis();
        let ms = u64::try_from(ms).unwrap_or(u64::MAX);
        if ms < RATE_WINDOW_MS {
            return;
        }
        let windows = (ms / RATE_WINDOW_MS).min(64);
        let latest = self.window_spent.saturating_mul(1_000) / ms;
        let kept = (0..windows).fold(self.rate, |r, _| r * RATE_KEEP_PERCENT / 100);
        self.rate = latest.max(kept);
        self.window_spent = 0;
        self.window_start = now;
    }

    /// Mean size of a request, tokens.
    pub(super) fn mean(&self) -> u64 {
        self.mean
    }

    fn decayed(&self, rate: f64, constant_s: f64, now: Instant) -> f64 {
        let s = now.saturating_duration_since(self.mean_at).as_secs_f64();
        rate * (-s / constant_s).exp()
    }

    /// Mean spending, tokens a second.
    pub(super) fn mean_rate(&self, now: Instant) -> f64 {
        self.decayed(self.mean_rate, MEAN_RATE_S, now)
    }

    /// Mean spending, tokens a second: rises at once, falls slowly. Of an organisation that has
    /// just begun to spend it is the mean since then, and no longer weighed down by the time before.
    pub(super) fn lasting_rate(&self, now: Instant) -> f64 {
        let since = self.began.map_or(0.0, |t| now.saturating_duration_since(t).as_secs_f64());
        let part = 1.0 - (-since.max(LEAST_SINCE_S) / LASTING_RATE_S).exp();
        let lasting = self.decayed(self.lasting_rate, LASTING_RATE_S, now) / part;
        lasting.max(self.mean_rate(now))
    }

    /// Spending in tokens a second, the running window included.
    pub(super) fn rate(&self, now: Instant) -> u64 {
        let ms = now.saturating_duration_since(self.window_start).as_millis();
        let ms = u64::try_from(ms).unwrap_or(u64::MAX).max(RATE_WINDOW_MS / 2);
        self.rate.max(self.window_spent.saturating_mul(1_000) / ms)
    }

    /// What requests wait for, or were refused a short while ago.
    pub(super) fn wanted(&self, now: Instant) -> u64 {
        let (most, at) = self.unmet.unwrap_or((Tokens(0), now));
        let ms = now.saturating_duration_since(at).as_millis();
        let unmet = if ms < u128::from(UNMET_MS) { most.0 } else { 0 };
        unmet.max(self.waiting)
    }

    /// Since when nothing was asked for.
    pub(super) fn idle_since(&self) -> Instant {
        self.unmet.map_or(self.mean_at, |(_, at)| at.max(self.mean_at))
    }
}
