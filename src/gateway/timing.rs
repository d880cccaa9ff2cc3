//! Estimates the time to first token of engines from the answers that a router receives. No
//! clock, no I/O.
//!
//! Engines differ by a factor of ten and more between deployments, so no property of an engine is a
//! constant here. Nothing is predicted before the first answer.

/// Weight that earlier answers keep with each new answer. The most recent 50 answers dominate. At a
/// few answers per second from each target, the estimate follows an engine that slows down within
/// seconds.
const DECAY: f64 = 0.98;
/// Weighted number of answers from which outliers are clamped to the usual deviation. Outliers are
/// caused by faults or by queues that are unknown to this router. Without clamping, 5% of such
/// answers would determine the slope.
const OUTLIER_MIN_ANSWERS: f64 = 8.0;
/// Distance from the estimate beyond which an answer is an outlier, in mean deviations.
const OUTLIER_DEVIATIONS: f64 = 4.0;
/// Fraction of the time to first token that is attributed to prefill while all prompts were of
/// similar size, so that base time and prefill cannot be distinguished.
const ASSUMED_PREFILL_SHARE: f64 = 0.5;
/// Minimum standard deviation of prompt sizes, as a fraction of their mean, for fitting a slope.
const MIN_SIZE_SPREAD: f64 = 0.2;
/// Ridge regularisation: fraction of the variance of pairs that is added to it. The number of pairs
/// grows with the number of tokens. When a few answers cannot separate the two, the time is
/// attributed to the tokens.
const RIDGE: f64 = 0.01;
/// Weight of the prior in a target's slowdown, as a number of answers of an average target.
const SLOWDOWN_PRIOR_ANSWERS: f64 = 6.0;

/// The work that an engine has to do for a prompt before its first token.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PrefillWork {
    /// Number of tokens that are not cached.
    pub tokens: f64,
    /// Number of pairs of an uncached token and a token before it, in millions. Attention reads
    /// each pair.
    pub million_pairs: f64,
}

impl PrefillWork {
    /// The work for a prompt of `prompt` tokens, `uncached` of which are not cached.
    pub fn of(prompt: u64, uncached: u64) -> PrefillWork {
        let (prompt, uncached) = (prompt as f64, uncached.min(prompt) as f64);
        PrefillWork { tokens: uncached, million_pairs: uncached * (prompt - uncached / 2.0) / 1e6 }
    }
}

/// Time to first token as a linear function of the prefill work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Time that does not depend on the prompt's size, ms. The engine prefills other prompts
    /// meanwhile.
    pub base_ms: f64,
    /// Prefill time per token, ms.
    pub ms_per_token: f64,
    /// Prefill time per million pairs, ms.
    pub ms_per_million_pairs: f64,
}

impl Estimate {
    /// Time for which the prefill of a prompt occupies an engine, ms.
    pub fn prefill_ms(&self, work: PrefillWork) -> f64 {
        work.tokens * self.ms_per_token + work.million_pairs * self.ms_per_million_pairs
    }

    /// Time to first token of a prompt that does not wait for others, ms.
    pub fn of(&self, work: PrefillWork) -> f64 {
        self.base_ms + self.prefill_ms(work)
    }
}

/// Exponentially weighted sums of the observations and of their products.
#[derive(Clone, Copy, Debug, Default)]
struct Moments {
    n: f64,
    /// Sums of tokens, pairs and ms.
    sums: [f64; 3],
    /// Sums of the products tokens², tokens × pairs, pairs², tokens × ms and pairs × ms.
    products: [f64; 5],
}

impl Moments {
    fn add(&mut self, work: PrefillWork, ms: f64) {
        let (x, z) = (work.tokens, work.million_pairs);
        self.n = self.n * DECAY + 1.0;
        for (sum, v) in self.sums.iter_mut().zip([x, z, ms]) {
            *sum = *sum * DECAY + v;
        }
        for (sum, v) in self.products.iter_mut().zip([x * x, x * z, z * z, x * ms, z * ms]) {
            *sum = *sum * DECAY + v;
        }
    }

    fn means(&self) -> [f64; 3] {
        self.sums.map(|s| s / self.n)
    }
}

/// Model of the time to first token: a least-squares fit over the recent answers of a service's
/// engines.
#[derive(Clone, Debug, Default)]
pub struct FirstTokenModel {
    moments: Moments,
    /// Mean absolute deviation from the estimate.
    mean_deviation_ms: f64,
}

impl FirstTokenModel {
    /// The current estimate; `None` before the first answer.
    pub fn estimate(&self) -> Option<Estimate> {
        let m = &self.moments;
        if m.n == 0.0 {
            return None;
        }
        let [x, z, y] = m.means();
        let [xx, xz, zz, xy, zy] = m.products.map(|p| p / m.n);
        let spread = xx - x * x;
        let (a, b) = if m.n >= 2.0 && spread.max(0.0).sqrt() > MIN_SIZE_SPREAD * x {
            fit_slopes([spread, xz - x * z, zz - z * z, xy - x * y, zy - z * y])
        } else {
            (if x > 0.0 { ASSUMED_PREFILL_SHARE * y / x } else { 0.0 }, 0.0)
        };
        let base = y - a * x - b * z;
        if base >= 0.0 {
            return Some(Estimate { base_ms: base, ms_per_token: a, ms_per_million_pairs: b });
        }
        // The base time cannot be negative: fit again with all of the time attributed to prefill.
        let (a, b) = fit_slopes([xx, xz, zz, xy, zy]);
        Some(Estimate { base_ms: 0.0, ms_per_token: a, ms_per_million_pairs: b })
    }

    /// Records an answer whose first token came after `ms`, not counting the wait for other
    /// prompts.
    pub fn note(&mut self, work: PrefillWork, ms: f64) {
        let mut ms = ms;
        if let Some(expected) = self.estimate().map(|e| e.of(work)) {
            if self.moments.n >= OUTLIER_MIN_ANSWERS {
                let max_deviation_ms = OUTLIER_DEVIATIONS * self.mean_deviation_ms;
                ms = ms.clamp(expected - max_deviation_ms, expected + max_deviation_ms).max(0.0);
            }
            self.mean_deviation_ms +=
                ((ms - expected).abs() - self.mean_deviation_ms) / (self.moments.n + 1.0);
        }
        self.moments.add(work, ms);
    }
}

/// Solves for two slopes that are not negative. A slope that would be negative becomes 0, and the
/// other one is fitted alone.
fn fit_slopes([xx, xz, zz, xy, zy]: [f64; 5]) -> (f64, f64) {
    let zz = zz * (1.0 + RIDGE);
    let single_slope = |v: f64, vy: f64| if v > 0.0 { (vy / v).max(0.0) } else { 0.0 };
    let det = xx * zz - xz * xz;
    if det <= 0.0 {
        return (single_slope(xx, xy), 0.0);
    }
    let (a, b) = ((xy * zz - zy * xz) / det, (zy * xx - xy * xz) / det);
    match (a < 0.0, b < 0.0) {
        (false, false) => (a, b),
        (_, true) => (single_slope(xx, xy), 0.0),
        (true, false) => (0.0, single_slope(zz, zy)),
    }
}

/// How much slower one target is than the average engine of its service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slowdown {
    n: f64,
    expected: f64,
    measured: f64,
}

impl Slowdown {
    /// The slowdown factor: 1 for an average target, 2 for one that takes twice as long.
    pub fn get(&self) -> f64 {
        if self.n == 0.0 || self.expected <= 0.0 {
            return 1.0;
        }
        let prior = SLOWDOWN_PRIOR_ANSWERS * self.expected / self.n;
        (self.measured + prior) / (self.expected + prior)
    }

    /// Records an answer that took `measured` ms and that the service's model predicted after
    /// `expected` ms.
    pub fn note(&mut self, expected: f64, measured: f64) {
        self.n = self.n * DECAY + 1.0;
        self.expected = self.expected * DECAY + expected;
        self.measured = self.measured * DECAY + measured;
    }
}
