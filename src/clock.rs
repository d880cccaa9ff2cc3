//! Time since the process started. Tests pause it with tokio's clock.

use tokio::time::Instant;

use crate::ids::Millis;

/// A monotonic clock that starts near zero; wall clocks step, and nothing here depends on one.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that starts now. It starts at a day, so that no span before the start is negative.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// Time since the start, plus a day.
    pub fn now(&self) -> Millis {
        const DAY: u64 = 24 * 3_600 * 1_000;
        Millis(DAY + u64::try_from(self.0.elapsed().as_millis()).unwrap_or(u64::MAX - DAY))
    }
}
