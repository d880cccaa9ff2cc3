//! Monotonic time of this process. Tests can pause it, because it is based on tokio's clock.

use tokio::time::Instant;

use crate::ids::Millis;

/// A monotonic clock. Routers use it in place of the wall clock, which can step.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts the clock, at one day, so that a point in time shortly before the start is not
    /// negative.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// Returns the time since the start plus one day.
    pub fn now(&self) -> Millis {
        const DAY: u64 = 24 * 3_600 * 1_000;
        Millis(DAY + u64::try_from(self.0.elapsed().as_millis()).unwrap_or(u64::MAX - DAY))
    }
}
