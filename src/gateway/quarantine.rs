//! Which requests are no longer sent to targets, because targets end under them. No I/O.
//!
//! A target runs dozens of requests, and all of them break off when it ends. The one that is the
//! cause is told from the others by what they do next: the others end well when they are sent
//! again, the cause ends the next target. So a request counts as the cause once
//! [`CRASHES_TO_QUARANTINE`] targets have ended under it, it never ended well in between, and one of
//! these targets got it only after another had ended. Without the last condition a request that
//! many callers send alike is convicted when a rack with several of its targets fails.

use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;
use crate::rows::StoreMs;

/// Targets that must have ended under a request before it is held back.
pub const CRASHES_TO_QUARANTINE: usize = 3;
/// How many of them must have ended one after the other: each got the request after the one before
/// it had ended.
const SEQUENTIAL_CRASHES_TO_QUARANTINE: usize = 2;
/// How long a request is held back after the last target that ended under it, ms. The defect may
/// be mended by then; if it is not, the request ends as many targets again.
pub const QUARANTINE_MS: u64 = 3_600_000;
/// How long fewer crashes are remembered, ms: a cause that nobody sends again within this time
/// ends hardly more targets than accidents do.
pub const CRASH_RETENTION_MS: u64 = 300_000;
/// Requests that are remembered, at most; those with the fewest and oldest crashes go first.
const MAX_TRACKED_REQUESTS: usize = 2_048;
/// Crashes in a router's report of requests under which several targets ended, at most. All
/// routers read all reports every few seconds.
const MAX_REPORTED_ENTRIES: usize = 24;
/// How long and how many crashes are reported of requests under which only one target ended. After
/// a rack has failed these are hundreds, and nearly all of them say nothing: reported for as long
/// as they are remembered, they make the routers' table several times as large for minutes.
const SINGLE_CRASH_REPORT_MS: u64 = 10_000;
const MAX_REPORTED_SINGLE_CRASHES: usize = 8;

/// One start of a target, by a digest of its id and start.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// A target ended while it had a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Crash {
    /// The request.
    #[serde(rename = "r")]
    pub request: Fingerprint,
    /// The target. Two routers that lost requests with it speak of one crash.
    #[serde(rename = "t")]
    pub target: Incarnation,
    /// When it was sent the request.
    #[serde(rename = "b")]
    pub began: StoreMs,
    /// When its end was found out.
    #[serde(rename = "a")]
    pub at: StoreMs,
}

/// A request under which targets had ended was answered whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Completion {
    /// The request.
    #[serde(rename = "r")]
    pub request: Fingerprint,
    /// When its answer was whole.
    #[serde(rename = "a")]
    pub at: StoreMs,
}

/// What one router saw.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CrashReport {
    /// Crashes.
    #[serde(rename = "c")]
    pub crashes: Vec<Crash>,
    /// Requests that are not the cause.
    #[serde(rename = "w")]
    pub ended_well: Vec<Completion>,
}

/// Who saw it: this router or an earlier process in its place, which must go on reporting it, or
/// another one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// This router.
    Own,
    /// Another router.
    Other,
}

#[derive(Clone, Copy, Debug)]
struct Observation<T> {
    observed: T,
    source: Source,
}

#[derive(Debug)]
struct Record {
    request: Fingerprint,
    crashes: Vec<Observation<Crash>>,
    completion: Option<Observation<Completion>>,
}

impl Record {
    fn is_quarantined(&self) -> bool {
        self.crashes.len() >= CRASHES_TO_QUARANTINE
            && self.sequential_crashes() >= SEQUENTIAL_CRASHES_TO_QUARANTINE
    }

    /// The most targets of which each got the request after the one before it had ended.
    fn sequential_crashes(&self) -> usize {
        let mut times: Vec<_> =
            self.crashes.iter().map(|c| (c.observed.at, c.observed.began)).collect();
        times.sort_unstable();
        let count = |(n, ended): (usize, StoreMs), (at, began): (StoreMs, StoreMs)| {
            if n == 0 || began >= ended { (n + 1, at) } else { (n, ended) }
        };
        times.into_iter().fold((0, StoreMs(0)), count).0
    }

    fn latest_event_at(&self) -> StoreMs {
        let crashes = self.crashes.iter().map(|c| c.observed.at);
        let well = self.completion.iter().map(|w| w.observed.at);
        crashes.chain(well).max().unwrap_or_default()
    }

    /// The time from which it no longer counts.
    fn expires_at(&self) -> StoreMs {
        let ms = if self.is_quarantined() { QUARANTINE_MS } else { CRASH_RETENTION_MS };
        StoreMs(self.latest_event_at().0.saturating_add(ms))
    }

    /// The crashes that this router has to report.
    fn own_crashes(&self) -> impl Iterator<Item = Crash> {
        self.crashes.iter().filter(|c| c.source == Source::Own).map(|c| c.observed)
    }

    /// What is given up last has the highest worth.
    fn retention_rank(&self) -> (usize, StoreMs) {
        (self.crashes.len(), self.latest_event_at())
    }

    fn record_completion(&mut self, well: Completion, source: Source) {
        if self.completion.is_none_or(|w| w.observed.at < well.at) {
            self.completion = Some(Observation { observed: well, source });
            self.crashes.retain(|c| c.observed.at > well.at);
        }
    }
}

/// Requests under which targets ended.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Sorted by request.
    tracked: Vec<Record>,
}

impl Quarantine {
    /// Whether nothing is known, so that requests need not be looked up.
    pub fn is_empty(&self) -> bool {
        self.tracked.is_empty()
    }

    /// Notes a crash. Returns whether it is new.
    pub fn record_crash(&mut self, crash: Crash, source: Source) -> bool {
        let record = self.track(crash.request);
        if record.completion.is_some_and(|w| w.observed.at >= crash.at) {
            return false;
        }
        if let Some(known) = record.crashes.iter_mut().find(|c| c.observed.target == crash.target) {
            if source == Source::Own {
                known.source = Source::Own;
            }
            return false;
        }
        record.crashes.push(Observation { observed: crash, source });
        self.evict_excess();
        true
    }

    /// Notes that a request ended well. Returns whether it was suspected.
    pub fn record_completion(&mut self, well: Completion, source: Source) -> bool {
        let Ok(i) = self.find(well.request) else { return false };
        let suspected = !self.tracked[i].crashes.is_empty();
        self.tracked[i].record_completion(well, source);
        suspected
    }

    /// Takes in a report.
    pub fn merge_report(&mut self, report: &CrashReport, source: Source) {
        for well in &report.ended_well {
            self.track(well.request).record_completion(*well, source);
        }
        for crash in &report.crashes {
            self.record_crash(*crash, source);
        }
        self.evict_excess();
    }

    /// Targets that ended under a request.
    pub fn crash_count(&self, request: Fingerprint) -> usize {
        self.find(request).map_or(0, |i| self.tracked[i].crashes.len())
    }

    /// Until when a request is held back, if it is.
    pub fn quarantined_until(&self, request: Fingerprint, now: StoreMs) -> Option<StoreMs> {
        let record = &self.tracked[self.find(request).ok()?];
        (record.is_quarantined() && record.expires_at() > now).then(|| record.expires_at())
    }

    /// How many requests are held back.
    pub fn quarantined_count(&self) -> usize {
        self.tracked.iter().filter(|r| r.is_quarantined()).count()
    }

    /// Forgets what no longer counts.
    pub fn expire(&mut self, now: StoreMs) {
        self.tracked.retain(|r| r.expires_at() > now);
    }

    /// What this router has to report at `now`: the crashes of requests with the most of them
    /// first.
    pub fn report(&self, now: StoreMs) -> CrashReport {
        let mut records: Vec<&Record> = self.tracked.iter().collect();
        records.sort_by_key(|r| std::cmp::Reverse(r.retention_rank()));
        let (several, single): (Vec<&Record>, Vec<&Record>) =
            records.into_iter().partition(|r| r.crashes.len() > 1);
        let mut crashes: Vec<Crash> = several.iter().flat_map(|r| r.own_crashes()).collect();
        crashes.truncate(MAX_REPORTED_ENTRIES);
        let is_new = |c: &Crash| now.0.saturating_sub(c.at.0) < SINGLE_CRASH_REPORT_MS;
        let mut singles: Vec<Crash> =
            single.iter().flat_map(|r| r.own_crashes()).filter(is_new).collect();
        // The cause ends its target soon; what ran for long had ended others before.
        singles.sort_by_key(|c| c.at.0.saturating_sub(c.began.0));
        crashes.extend(singles.iter().take(MAX_REPORTED_SINGLE_CRASHES));
        let well = self.tracked.iter().filter_map(|r| r.completion);
        let well = well.filter(|w| w.source == Source::Own).map(|w| w.observed);
        let is_new = |w: &Completion| now.0.saturating_sub(w.at.0) < SINGLE_CRASH_REPORT_MS;
        CrashReport {
            crashes,
            ended_well: well.filter(is_new).take(MAX_REPORTED_ENTRIES).collect(),
        }
    }

    fn find(&self, request: Fingerprint) -> Result<usize, usize> {
        self.tracked.binary_search_by_key(&request, |r| r.request)
    }

    fn track(&mut self, request: Fingerprint) -> &mut Record {
        let i = self.find(request).unwrap_or_else(|i| {
            self.tracked.insert(i, Record { request, crashes: Vec::new(), completion: None });
            i
        });
        &mut self.tracked[i]
    }

    fn evict_excess(&mut self) {
        while self.tracked.len() > MAX_TRACKED_REQUESTS {
            let least = (0..self.tracked.len()).min_by_key(|i| self.tracked[*i].retention_rank());
            let Some(least) = least else { return };
            self.tracked.remove(least);
        }
    }
}
