//! How much more than the spending a line lets through, by how long a budget still lasts. Pure.

/// How generous lines are while a budget lasts long, and when it is nearly spent. What a line
/// lets through beyond the spending is what a cut from the store does not refuse, and what a
/// death leaves in doubt: early, refusals weigh more; late, doubt is what the organisation could
/// still have used. Once a line opens it is steep: what was held up before then catches up, and a
/// death so long after the last write is rare. Mean worth of 15 days of load and trouble at three
/// deployments: 0.681, 0.696, 0.589 with slopes 1.5 and 1.1, 1.2 s and 4 requests; 0.709, 0.703,
/// 0.598 so; of their quiet days 0.814, 0.771, 0.739 and 0.844, 0.811, 0.799.
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
/// Time from a process's last answered write to its successor's first answer after a death while
/// the store answered, ms: of 170 lines closed in four plays four in five were 930 to 1,830 old,
/// to 2,470 at one deployment. A line that does not open within it leaves that time, in which
/// nobody lived, out of doubt; a cut from the store is felt for as long.
const RESTART_MS: u64 = 1_800;
/// A budget lasts long if it outlasts this many of the longest cuts, and is nearly spent below
/// the first figure.
const OUTAGES_LEFT_RANGE: (f64, f64) = (1.5, 3.0);

/// What a line lets through beyond the spending.
#[derive(Clone, Copy, Debug)]
pub(super) struct Headroom {
    /// Its slope, against the mean rate of spending.
    pub(super) slope_factor: f64,
    /// Its length, in what the mean rate spends within the longest cut.
    pub(super) grant_factor: f64,
    /// What it lets through at once, in requests of mean size.
    pub(super) burst_requests: f64,
    /// The same, in ms at the rate of spending.
    pub(super) burst_ms: u64,
    /// When it opens, ms.
    pub(super) opens_after_ms: u64,
}

impl Headroom {
    /// The slack for a budget that lasts `cuts` of the longest cuts.
    pub(super) fn for_outages_left(outages_left: f64) -> Headroom {
        let (least, most) = OUTAGES_LEFT_RANGE;
        let ampleness = ((outages_left - least) / (most - least)).clamp(0.0, 1.0);
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
