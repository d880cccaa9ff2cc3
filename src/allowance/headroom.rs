//! How much more than the current spending a limit allows, depending on how long a budget still
//! lasts. No clock, no I/O.

/// Headroom of spending limits while a budget lasts long ([`AMPLE`]) and when it is nearly spent
/// ([`SCARCE`]). Headroom avoids refusals during a store outage, but after a crash it is in doubt:
/// it stays charged although it may not have been spent. While much is left, refusals weigh more;
/// near the end, the organisation could still have used the tokens in doubt. An opened limit has a
/// steep slope so that requests held up before can catch up; a crash so long after the last write
/// is rare.
const AMPLE: Headroom = Headroom {
    slope_factor: 4.0,
    grant_factor: 3.0,
    burst_requests: 3.0,
    burst_ms: 350,
    opens_after_ms: 300,
};
const SCARCE: Headroom = Headroom {
    slope_factor: 4.0,
    grant_factor: 1.1,
    burst_requests: 0.5,
    burst_ms: 100,
    opens_after_ms: RESTART_MS,
};
/// Time between a process's last answered write and its successor's first answer after a crash
/// while the store was available, in ms. Of 170 limits closed in four runs, four in five were 930
/// to 1,830 ms old, and up to 2,470 ms at one deployment. A limit that opens only after this time
/// leaves nothing in doubt for the time in which no process ran; in exchange, a store outage causes
/// refusals for as long.
const RESTART_MS: u64 = 1_800;
/// Budgets that outlast fewer of the longest store outages than the first figure are nearly spent;
/// those that outlast more than the second figure last long.
const OUTAGES_LEFT_RANGE: (f64, f64) = (1.5, 3.0);

/// What a spending limit allows beyond the current spending.
#[derive(Clone, Copy, Debug)]
pub(super) struct Headroom {
    /// Slope of the limit, as a multiple of the mean spending rate.
    pub(super) slope_factor: f64,
    /// Size of the grant, as a multiple of what the mean rate spends during the longest store
    /// outage.
    pub(super) grant_factor: f64,
    /// Tokens allowed at once, in requests of mean size.
    pub(super) burst_requests: f64,
    /// Tokens allowed at once, in ms at the current spending rate.
    pub(super) burst_ms: u64,
    /// Time until the limit begins to rise, in ms.
    pub(super) opens_after_ms: u64,
}

impl Headroom {
    /// Headroom for a budget that outlasts `outages_left` of the longest store outages.
    pub(super) fn for_outages_left(outages_left: f64) -> Headroom {
        let (low, high) = OUTAGES_LEFT_RANGE;
        let ampleness = ((outages_left - low) / (high - low)).clamp(0.0, 1.0);
        let between = |scarce: f64, ample: f64| scarce + (ample - scarce) * ampleness;
        Headroom {
            slope_factor: between(SCARCE.slope_factor, AMPLE.slope_factor),
            grant_factor: between(SCARCE.grant_factor, AMPLE.grant_factor),
            burst_requests: between(SCARCE.burst_requests, AMPLE.burst_requests),
            burst_ms: between(SCARCE.burst_ms as f64, AMPLE.burst_ms as f64) as u64,
            opens_after_ms: between(SCARCE.opens_after_ms as f64, AMPLE.opens_after_ms as f64)
                as u64,
        }
    }
}
