//! How much more than the spending a line lets through, by how long a budget still lasts. Pure.

/// How generous lines are while a budget lasts long, and when it is nearly spent. What a line
/// lets through beyond the spending is what a cut from the store does not refuse, and what a
/// death leaves in doubt: early, refusals weigh more; late, doubt is what the organisation could
/// still have used. Once a line opens it is steep: what was held up before then catches up, and a
/// death so long after the last write is rare. Mean worth of 15 days of load and trouble at three
/// deployments: 0.681, 0.696, 0.589 with slopes 1.5 and 1.1, 1.2 s and 4 requests; 0.709, 0.703,
/// 0.598 so; of their quiet days 0.814, 0.771, 0.739 and 0.844, 0.811, 0.799.
const GENEROUS: Slack = Slack { slope: 4.0, reach: 3.0, requests: 3.0, burst: 350, opens: 300 };
const TIGHT: Slack = Slack { slope: 4.0, reach: 1.1, requests: 0.5, burst: 100, opens: RESTART_MS };
/// Time from a process's last answered write to its successor's first answer after a death while
/// the store answered, ms: of 170 lines closed in four plays four in five were 930 to 1,830 old,
/// to 2,470 at one deployment. A line that does not open within it leaves that time, in which
/// nobody lived, out of doubt; a cut from the store is felt for as long.
const RESTART_MS: u64 = 1_800;
/// A budget lasts long if it outlasts this many of the longest cuts, and is nearly spent below
/// the first figure.
const LASTING: (f64, f64) = (1.5, 3.0);

/// What a line lets through beyond the spending.
#[derive(Clone, Copy, Debug)]
pub(super) struct Slack {
    /// Its slope, against the mean rate of spending.
    pub(super) slope: f64,
    /// Its length, in what the mean rate spends within the longest cut.
    pub(super) reach: f64,
    /// What it lets through at once, in requests of mean size.
    pub(super) requests: f64,
    /// The same, in ms at the rate of spending.
    pub(super) burst: u64,
    /// When it opens, ms.
    pub(super) opens: u64,
}

impl Slack {
    /// The slack for a budget that lasts `cuts` of the longest cuts.
    pub(super) fn of(cuts: f64) -> Slack {
        let (least, most) = LASTING;
        let part = ((cuts - least) / (most - least)).clamp(0.0, 1.0);
        let between = |tight: f64, generous: f64| tight + (generous - tight) * part;
        Slack {
            slope: between(TIGHT.slope, GENEROUS.slope),
            reach: between(TIGHT.reach, GENEROUS.reach),
            requests: between(TIGHT.requests, GENEROUS.requests),
            burst: between(TIGHT.burst as f64, GENEROUS.burst as f64) as u64,
            opens: between(TIGHT.opens as f64, GENEROUS.opens as f64) as u64,
        }
    }
}
