//! Detects requests that crash the targets that run them, and quarantines them. No I/O.
//!
//! A target runs dozens of requests at once, and all of them fail when its process ends. The
//! request that caused the crash differs from the others by what happens on a retry: the others
//! complete, while the cause crashes the next target. A request is therefore quarantined once
//! [`CRASHES_TO_QUARANTINE`] targets have ended while running it without a completion in between,
//! and at least one of these targets received it only after another one had ended. Without the last
//! condition, a request that many callers send in identical form would be quarantined when a rack
//! with several of its targets fails.
//!
//! A request that is retried together with the cause may run on the same targets each time. While
//! another request was running on all targets that ended under a request, either may be the cause,
//! and the next crash shows which: it ends one of them only.
//!
//! A part of a prompt may crash targets as well, whatever request contains it. Parts are tracked
//! like requests: a crash is recorded for each part of the requests that had not been answered at
//! all by then, and the first event of any answer to a request with the part shows that it is not
//! the cause. Of several causes that explain the same crashes the most specific one is quarantined:
//! a request before its parts, and a part before those that precede it, which more requests share.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;
use crate::rows::StoreMs;

/// Number of targets that must have ended while running a request before it is quarantined.
pub const CRASHES_TO_QUARANTINE: usize = 3;
/// Number of these crashes that must be sequential: each target received the request after the
/// previous target had ended.
const SEQUENTIAL_CRASHES_TO_QUARANTINE: usize = 2;
/// Number of crashes after which a request is quarantined even if another one was running on all of
/// these targets, so that two requests that are always sent together cannot crash all targets.
pub const MAX_SHARED_CRASHES: usize = CRASHES_TO_QUARANTINE + 2;
/// Time after a crash by which the reports of all routers have arrived, in milliseconds: a row is
/// written within 0.5 s and read every 2 s. Until then a report may be missing that shows another
/// request to be the cause.
const REPORTS_ARRIVE_MS: u64 = 3_000;
/// How long a request stays quarantined after its latest crash, in milliseconds. The defect may be
/// fixed by then; if it is not, the request can crash as many targets again.
pub const QUARANTINE_MS: u64 = 3_600_000;
/// How long a prompt part stays quarantined after its latest crash, in milliseconds. Shorter than
/// for a request: other requests with the part are refused as well, and nothing can show during the
/// quarantine that the part is not the cause.
pub const PART_QUARANTINE_MS: u64 = 600_000;
/// How long the crashes of a request that is not quarantined are kept, in milliseconds. A request
/// that crashes targets but is retried less often than this ends hardly more targets than unrelated
/// failures do.
pub const CRASH_RETENTION_MS: u64 = 300_000;
/// Maximum number of tracked requests. Those with the fewest, and then the oldest, crashes are
/// evicted first.
const MAX_TRACKED_REQUESTS: usize = 2_048;
/// Maximum number of crashes in a router's report of requests with several crashes, and of
/// completions in it. Every router reads all reports every few seconds.
const MAX_REPORTED_ENTRIES: usize = 24;
/// How long the crash of a request with only one crash is reported, and how long a completion is
/// reported, in milliseconds. A failed rack causes hundreds of single crashes, nearly all without
/// significance; reporting them for as long as they are kept makes the table of routers several
/// times as large for minutes.
const SINGLE_CRASH_REPORT_MS: u64 = 10_000;
/// Maximum number of crashes in a report that are the only crash of their request.
const MAX_REPORTED_SINGLE_CRASHES: usize = 8;

/// One run of a target's process, identified by a digest of the target's id and start time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// What may have crashed a target, from the least to the most specific.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub enum Cause {
    /// The part of the prompt at this position, in any request that contains it.
    #[serde(rename = "p")]
    Part(u16),
    /// The content of one request.
    #[default]
    #[serde(rename = "r")]
    Request,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Part(position) => write!(f, "part_{position}"),
            Cause::Request => f.write_str("request"),
        }
    }
}

/// A target's process ended while the target was running a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Crash {
    /// The request.
    #[serde(rename = "r")]
    pub request: Fingerprint,
    /// The incarnation of the target. Reports by several routers with the same request and
    /// incarnation describe one crash.
    #[serde(rename = "t")]
    pub target: Incarnation,
    /// When the request was sent to the target, in store time.
    #[serde(rename = "b")]
    pub began: StoreMs,
    /// When the end of the process was detected, in store time.
    #[serde(rename = "a")]
    pub at: StoreMs,
    /// What `request` identifies.
    #[serde(default, rename = "k")]
    pub cause: Cause,
}

/// A request for which crashes were recorded has received a complete answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Completion {
    /// The request.
    #[serde(rename = "r")]
    pub request: Fingerprint,
    /// When the answer was complete, in store time.
    #[serde(rename = "a")]
    pub at: StoreMs,
}

/// Crashes and completions observed by one router.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CrashReport {
    /// Observed crashes.
    #[serde(rename = "c")]
    pub crashes: Vec<Crash>,
    /// Completions of requests for which crashes were recorded.
    #[serde(rename = "w")]
    pub ended_well: Vec<Completion>,
}

impl CrashReport {
    /// Whether this report includes all events of `other`.
    pub fn includes(&self, other: &CrashReport) -> bool {
        other.crashes.iter().all(|c| self.crashes.contains(c))
            && other.ended_well.iter().all(|c| self.ended_well.contains(c))
    }
}

/// Which router observed an event. A router keeps reporting its own events, which include those of
/// an earlier process of the same instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// This router, or an earlier process of the same instance.
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
    fn is_suspect(&self) -> bool {
        self.crashes.len() >= CRASHES_TO_QUARANTINE
            && self.sequential_crashes() >= SEQUENTIAL_CRASHES_TO_QUARANTINE
    }

    /// What the record is about. A part may stand at several positions; the last one counts.
    fn cause(&self) -> Cause {
        self.crashes.iter().map(|c| c.observed.cause).max().unwrap_or_default()
    }

    /// Whether this request was running on all targets that ended while running `other`.
    fn shares_crashes_of(&self, other: &Record) -> bool {
        let ran_on = |target| self.crashes.iter().any(|c| c.observed.target == target);
        self.request != other.request && other.crashes.iter().all(|c| ran_on(c.observed.target))
    }

    /// The largest number of crashes of which each began after the previous one had been detected.
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
        let completed = self.completion.iter().map(|w| w.observed.at);
        crashes.chain(completed).max().unwrap_or_default()
    }

    /// The store time from which the record no longer counts.
    fn expires_at(&self) -> StoreMs {
        let ms = match self.cause() {
            _ if !self.is_suspect() => CRASH_RETENTION_MS,
            Cause::Request => QUARANTINE_MS,
            Cause::Part(_) => PART_QUARANTINE_MS,
        };
        StoreMs(self.latest_event_at().0.saturating_add(ms))
    }

    /// The crashes that this router has to report.
    fn own_crashes(&self) -> impl Iterator<Item = Crash> {
        self.crashes.iter().filter(|c| c.source == Source::Own).map(|c| c.observed)
    }

    /// The record with the lowest rank is evicted first.
    fn retention_rank(&self) -> (usize, StoreMs) {
        (self.crashes.len(), self.latest_event_at())
    }

    fn record_completion(&mut self, completed: Completion, source: Source) {
        if self.completion.is_none_or(|w| w.observed.at < completed.at) {
            self.completion = Some(Observation { observed: completed, source });
            self.crashes.retain(|c| c.observed.at > completed.at);
        }
    }
}

/// Crashes and completions of requests, and the quarantine that follows from them.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Sorted by request.
    tracked: Vec<Record>,
}

impl Quarantine {
    /// Whether nothing is tracked, so that requests need not be looked up.
    pub fn is_empty(&self) -> bool {
        self.tracked.is_empty()
    }

    /// Records a crash. Returns whether it was not known before.
    pub fn record_crash(&mut self, crash: Crash, source: Source) -> bool {
        let record = self.track(crash.request);
        if record.completion.is_some_and(|w| w.observed.at >= crash.at) {
            return false;
        }
        if let Some(known) = record.crashes.iter_mut().find(|c| c.observed.target == crash.target) {
            if source == Source::Own {
                known.source = Source::Own;
            }
            // Several requests with the same part ran on the target. The latest one shows whether it
            // received the part after an earlier crash.
            known.observed.began = known.observed.began.max(crash.began);
            return false;
        }
        record.crashes.push(Observation { observed: crash, source });
        self.evict_excess();
        true
    }

    /// Records that a request was answered completely. Returns whether crashes of it were recorded.
    pub fn record_completion(&mut self, completed: Completion, source: Source) -> bool {
        let Ok(i) = self.find(completed.request) else { return false };
        let suspected = !self.tracked[i].crashes.is_empty();
        self.tracked[i].record_completion(completed, source);
        suspected
    }

    /// Merges the events of a report.
    pub fn merge_report(&mut self, report: &CrashReport, source: Source) {
        for completed in &report.ended_well {
            self.track(completed.request).record_completion(*completed, source);
        }
        for crash in &report.crashes {
            self.record_crash(*crash, source);
        }
        self.evict_excess();
    }

    /// Number of recorded crashes of a request.
    pub fn crash_count(&self, request: Fingerprint) -> usize {
        self.find(request).map_or(0, |i| self.tracked[i].crashes.len())
    }

    /// The store time at which the quarantine of a request ends, or `None` if it is not
    /// quarantined.
    pub fn quarantined_until(&self, request: Fingerprint, now: StoreMs) -> Option<StoreMs> {
        let record = &self.tracked[self.find(request).ok()?];
        (self.is_quarantined(record) && record.expires_at() > now).then(|| record.expires_at())
    }

    /// The store time at which the caller of a quarantined request should retry, or `None` if it is
    /// not quarantined.
    pub fn retry_at(&self, request: Fingerprint, now: StoreMs) -> Option<StoreMs> {
        let until = self.quarantined_until(request, now)?;
        let record = &self.tracked[self.find(request).ok()?];
        let reports_complete = StoreMs(record.latest_event_at().0 + REPORTS_ARRIVE_MS);
        Some(if reports_complete > now { reports_complete } else { until })
    }

    /// Number of quarantined requests.
    pub fn quarantined_count(&self) -> usize {
        self.tracked.iter().filter(|r| self.is_quarantined(r)).count()
    }

    fn is_quarantined(&self, record: &Record) -> bool {
        if !record.is_suspect() {
            return false;
        }
        let mut others = self.tracked.iter().filter(|r| r.shares_crashes_of(record));
        let cause = record.cause();
        // A more specific cause explains these crashes, however many there are; a less specific one
        // explains them if it also explains others.
        let explains = |r: &Record| match r.cause() {
            Cause::Part(_) if r.cause() < cause => {
                r.is_suspect() && r.crashes.len() > record.crashes.len()
            }
            other => other > cause,
        };
        if cause != Cause::Request && others.clone().any(explains) {
            return false;
        }
        record.crashes.len() >= MAX_SHARED_CRASHES || !others.any(|r| r.cause() >= cause)
    }

    /// Removes the records that have expired by `now`.
    pub fn expire(&mut self, now: StoreMs) {
        self.tracked.retain(|r| r.expires_at() > now);
    }

    /// The events that this router has to report at `now`, with the requests that have the most
    /// crashes first.
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
        // The request at fault crashes its target soon after it is sent; one that ran for long
        // would already have crashed other targets.
        singles.sort_by_key(|c| c.at.0.saturating_sub(c.began.0));
        crashes.extend(singles.iter().take(MAX_REPORTED_SINGLE_CRASHES));
        let completed = self.tracked.iter().filter_map(|r| r.completion);
        let completed = completed.filter(|w| w.source == Source::Own).map(|w| w.observed);
        let is_new = |w: &Completion| now.0.saturating_sub(w.at.0) < SINGLE_CRASH_REPORT_MS;
        CrashReport {
            crashes,
            ended_well: completed.filter(is_new).take(MAX_REPORTED_ENTRIES).collect(),
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
