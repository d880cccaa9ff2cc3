//! How long engines take to a first token, learnt from what a router sees. Pure: no clock, no I/O.
//!
//! Engines differ by a factor of ten and more from one deployment to another, so nothing about
//! them is a constant here: until the first answer came, nothing is predicted.

/// How much of what was learnt is kept with each further answer. The latest 50 count most, which
/// at a few answers a second from each target follows an engine that slows down within seconds.
const KEEP: f64 = 0.98;
/// Answers after which one that lies far off is cut to the usual spread: it met a fault or a
/// queue that this router did not know of. 5% of such answers would otherwise set the slope.
const TRUSTED: f64 = 8.0;
/// What counts as far off, in mean deviations.
const FAR_OFF: f64 = 4.0;
/// Part of the time to a first token that is put down to reading the prompt while all prompts
/// seen so far were of about one size and cannot tell the two apart.
const READING: f64 = 0.5;
/// Spread of prompt sizes, as a part of their mean, from which a slope can be told.
const LEAST_SPREAD: f64 = 0.2;
/// Part of the variance of pairs that is added to it: they grow with the tokens, and what a few
/// answers cannot tell apart is put down to the tokens.
const RIDGE: f64 = 0.01;
/// Answers of its service's engines that a target's own pace is weighed against.
const PACE_PRIOR: f64 = 6.0;

/// What an engine has to do for a prompt before its first token.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reading {
    /// Tokens that it has not cached.
    pub tokens: f64,
    /// Pairs of a token to read and one before it, in millions: attention reads each of them.
    pub pairs: f64,
}

impl Reading {
    /// A prompt of `prompt` tokens of which `uncached` are not cached.
    pub fn of(prompt: u64, uncached: u64) -> Reading {
        let (prompt, uncached) = (prompt as f64, uncached.min(prompt) as f64);
        Reading { tokens: uncached, pairs: uncached * (prompt - uncached / 2.0) / 1e6 }
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
    pub ms_per_pairs: f64,
}

impl Estimate {
    /// Time for which reading a prompt keeps an engine busy, ms.
    pub fn prefill_ms(&self, r: Reading) -> f64 {
        r.tokens * self.ms_per_token + r.pairs * self.ms_per_pairs
    }

    /// Time to the first token of a prompt that waits for no other, ms.
    pub fn of(&self, r: Reading) -> f64 {
        self.base_ms + self.prefill_ms(r)
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
    fn add(&mut self, r: Reading, ms: f64) {
        let (x, z) = (r.tokens, r.pairs);
        self.n = self.n * KEEP + 1.0;
        for (sum, v) in self.sums.iter_mut().zip([x, z, ms]) {
            *sum = *sum * KEEP + v;
        }
        for (sum, v) in self.products.iter_mut().zip([x * x, x * z, z * z, x * ms, z * ms]) {
            *sum = *sum * KEEP + v;
        }
    }

    fn means(&self) -> [f64; 3] {
        self.sums.map(|s| s / self.n)
    }
}

/// First-token times against what was to be read, by least squares over the latest answers of a
/// service's engines.
#[derive(Clone, Debug, Default)]
pub struct FirstToken {
    seen: Moments,
    /// Mean deviation from the estimate, ms.
    deviation: f64,
}

impl FirstToken {
    /// What is known; nothing before the first answer.
    pub fn estimate(&self) -> Option<Estimate> {
        let m = &self.seen;
        if m.n == 0.0 {
            return None;
        }
        let [x, z, y] = m.means();
        let [xx, xz, zz, xy, zy] = m.products.map(|p| p / m.n);
        let spread = xx - x * x;
        let (a, b) = if m.n >= 2.0 && spread.max(0.0).sqrt() > LEAST_SPREAD * x {
            slopes([spread, xz - x * z, zz - z * z, xy - x * y, zy - z * y])
        } else {
            (if x > 0.0 { READING * y / x } else { 0.0 }, 0.0)
        };
        let base = y - a * x - b * z;
        if base >= 0.0 {
            return Some(Estimate { base_ms: base, ms_per_token: a, ms_per_pairs: b });
        }
        // No part of a time is negative: all of it is reading then.
        let (a, b) = slopes([xx, xz, zz, xy, zy]);
        Some(Estimate { base_ms: 0.0, ms_per_token: a, ms_per_pairs: b })
    }

    /// Notes an answer: the first token came after `ms`, waits for other prompts taken off.
    pub fn note(&mut self, r: Reading, ms: f64) {
        let mut ms = ms;
        if let Some(expected) = self.estimate().map(|e| e.of(r)) {
            if self.seen.n >= TRUSTED {
                let far = FAR_OFF * self.deviation;
                ms = ms.clamp(expected - far, expected + far).max(0.0);
            }
            self.deviation += ((ms - expected).abs() - self.deviation) / (self.seen.n + 1.0);
        }
        self.seen.add(r, ms);
    }
}

/// Solves for two slopes that are not negative; one that would be is left out.
fn slopes([xx, xz, zz, xy, zy]: [f64; 5]) -> (f64, f64) {
    let zz = zz * (1.0 + RIDGE);
    let alone = |v: f64, vy: f64| if v > 0.0 { (vy / v).max(0.0) } else { 0.0 };
    let det = xx * zz - xz * xz;
    if det <= 0.0 {
        return (alone(xx, xy), 0.0);
    }
    let (a, b) = ((xy * zz - zy * xz) / det, (zy * xx - xy * xz) / det);
    match (a < 0.0, b < 0.0) {
        (false, false) => (a, b),
        (_, true) => (alone(xx, xy), 0.0),
        (true, false) => (0.0, alone(zz, zy)),
    }
}

/// How much slower one target is than its service's engines on the whole.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    n: f64,
    expected: f64,
    measured: f64,
}

impl Pace {
    /// The factor: 1 for a target like the others, 2 for one that takes twice as long.
    pub fn get(&self) -> f64 {
        if self.n == 0.0 || self.expected <= 0.0 {
            return 1.0;
        }
        let prior = PACE_PRIOR * self.expected / self.n;
        (self.measured + prior) / (self.expected + prior)
    }

    /// Notes an answer that was expected after `expected` ms by the service's line.
    pub fn note(&mut self, expected: f64, measured: f64) {
        self.n = self.n * KEEP + 1.0;
        self.expected = self.expected * KEEP + expected;
        self.measured = self.measured * KEEP + measured;
    }
}
