//! How long engines take to a first token, learnt from what a router sees. Pure: no clock, no I/O.
//!
//! Engines differ by a factor of ten and more from one deployment to another, so nothing about
//! them is a constant here: until the first answer came, nothing is predicted.

/// How much of what was learnt is kept with each further answer. The latest 50 count most, which
/// at a few answers a second from each target follows an engine that slows down within seconds.
const DECAY: f64 = 0.98;
/// Answers after which one that lies far off is cut to the usual spread: it met a fault or a
/// queue that this router did not know of. 5% of such answers would otherwise set the slope.
const OUTLIER_MIN_ANSWERS: f64 = 8.0;
/// What counts as far off, in mean deviations.
const OUTLIER_DEVIATIONS: f64 = 4.0;
/// Part of the time to a first token that is put down to reading the prompt while all prompts
/// seen so far were of about one size and cannot tell the two apart.
const ASSUMED_PREFILL_SHARE: f64 = 0.5;
/// Spread of prompt sizes, as a part of their mean, from which a slope can be told.
const MIN_SIZE_SPREAD: f64 = 0.2;
/// Part of the variance of pairs that is added to it: they grow with the tokens, and what a few
/// answers cannot tell apart is put down to the tokens.
const RIDGE: f64 = 0.01;
/// Answers of its service's engines that a target's own pace is weighed against.
const SLOWDOWN_PRIOR_ANSWERS: f64 = 6.0;

/// What an engine has to do for a prompt before its first token.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PrefillWork {
    /// Tokens that it has not cached.
    pub tokens: f64,
    /// Pairs of a token to read and one before it, in millions: attention reads each of them.
    pub million_pairs: f64,
}

impl PrefillWork {
    /// A prompt of `prompt` tokens of which `uncached` are not cached.
    pub fn of(prompt: u64, uncached: u64) -> PrefillWork {
        let (prompt, uncached) = (prompt as f64, uncached.min(prompt) as f64);
        PrefillWork { tokens: uncached, million_pairs: uncached * (prompt - uncached / 2.0) / 1e6 }
    }
}

/// Time to a first token as a function of what is to be read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Time that passes whatever the prompt's size, ms. The engine reads other prompts meanwhile.
    pub base_ms: f64,
    /// Time to read a token, ms.
    pub ms_per_token: f64,
    /// Time for a million pairs, ms.
    pub ms_per_million_pairs: f64,
}

impl Estimate {
    /// Time for which reading a prompt keeps an engine busy, ms.
    pub fn prefill_ms(&self, work: PrefillWork) -> f64 {
        work.tokens * self.ms_per_token + work.million_pairs * self.ms_per_million_pairs
    }

    /// Time to the first token of a prompt that waits for no other, ms.
    pub fn of(&self, work: PrefillWork) -> f64 {
        self.base_ms + self.prefill_ms(work)
    }
}

/// Weighted means of what was seen and of its products.
#[derive(Clone, Copy, Debug, Default)]
struct Moments {
    n: f64,
    /// Sums of tokens, pairs, ms.
    sums: [f64; 3],
    /// Sums of products: tokens², tokens × pairs, pairs², tokens × ms, pairs × ms.
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

/// First-token times against what was to be read, by least squares over the latest answers of a
/// service's engines.
#[derive(Clone, Debug, Default)]
pub struct FirstTokenModel {
    moments: Moments,
    /// Mean deviation from the estimate, ms.
    mean_deviation_ms: f64,
}

impl FirstTokenModel {
    /// What is known; nothing before the first answer.
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
        // No part of a time is negative: all of it is reading then.
        let (a, b) = fit_slopes([xx, xz, zz, xy, zy]);
        Some(Estimate { base_ms: 0.0, ms_per_token: a, ms_per_million_pairs: b })
    }

    /// Notes an answer: the first token came after `ms`, waits for other prompts taken off.
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

/// Solves for two slopes that are not negative; one that would be is left out.
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

/// How much slower one target is than its service's engines on the whole.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slowdown {
    n: f64,
    expected: f64,
    measured: f64,
}

impl Slowdown {
    /// The factor: 1 for a target like the others, 2 for one that takes twice as long.
    pub fn get(&self) -> f64 {
        if self.n == 0.0 || self.expected <= 0.0 {
            return 1.0;
        }
        let prior = SLOWDOWN_PRIOR_ANSWERS * self.expected / self.n;
        (self.measured + prior) / (self.expected + prior)
    }

    /// Notes an answer that was expected after `expected` ms by the service's line.
    pub fn note(&mut self, expected: f64, measured: f64) {
        self.n = self.n * DECAY + 1.0;
        self.expected = self.expected * DECAY + expected;
        self.measured = self.measured * DECAY + measured;
    }
}
