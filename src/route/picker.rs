//! Target selection from stale load reports, this router's own requests in flight, prefix affinity
//! and health.

use std::collections::VecDeque;

use compact_str::CompactString;

use crate::engine::LoadReport;
use crate::ids::{Digest, Millis, TargetId, ZoneId};

/// Number of consecutive failures after which a target is ejected.
const EJECT_AFTER_FAILURES: u32 = 3;
/// Duration of the first ejection. It doubles with each further ejection up to [`MAX_EJECTION`].
const MIN_EJECTION: Millis = Millis(2_000);
/// Maximum duration of an ejection.
const MAX_EJECTION: Millis = Millis(30_000);
/// Number of points of each target on the consistent-hashing ring used for affinity.
const RING_POINTS_PER_TARGET: u64 = 16;
/// Number of random samples taken per choice, besides the target with affinity.
const SAMPLED_TARGETS: usize = 3;
/// Highest load, in thousandths of its batch, at which the target with affinity is chosen.
const AFFINITY_MAX_LOAD_PER_MILLE: u64 = 900;
/// Penalty for a target in another zone, in thousandths of its batch.
const ZONE_PENALTY_PER_MILLE: u64 = 20;
/// Age of a load report, in milliseconds, at which it has the same weight as the estimate from this
/// router's own requests.
const REPORT_HALF_WEIGHT_AGE_MS: u64 = 1_000;
/// Time for which the number of own requests in flight is remembered, to subtract them from reports
/// of that age.
const HISTORY_SPAN: Millis = Millis(40_000);
/// Resolution of that history.
const HISTORY_STEP: Millis = Millis(100);

/// Policy for choosing a target. Policies other than [`Policy::Sampled`] serve as baselines in
/// experiments.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// Least estimated load of some randomly sampled candidates, with affinity up to a load limit.
    Sampled,
    /// Each candidate in turn.
    RoundRobin,
    /// Least load according to the last reports.
    LeastReported,
    /// Weighted active distribution, as in the sysplex paper: each target has a goal for its number
    /// of active requests, derived from its weight and health, and the candidate furthest below its
    /// goal is chosen.
    WeightedActive,
}

/// State of one target as known to this router.
#[derive(Debug)]
pub struct TargetView {
    /// Id of the target.
    pub id: TargetId,
    /// `ip:port`.
    pub addr: CompactString,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The last load report.
    pub report: LoadReport,
    reported: Millis,
    /// Number of requests of this router in flight at the target.
    pub in_flight: u32,
    history: VecDeque<(Millis, u32)>,
    failures: u32,
    ejections: u32,
    ejected_until: Millis,
    /// Whether the target is shutting down, according to any source.
    pub leaving: bool,
}

impl TargetView {
    fn record_in_flight(&mut self, now: Millis) {
        match self.history.back_mut() {
            Some((at, n)) if now.since(*at) < HISTORY_STEP => *n = self.in_flight,
            _ => self.history.push_back((now, self.in_flight)),
        }
        while self.history.len() > 1 && now.since(self.history[0].0) > HISTORY_SPAN {
            self.history.pop_front();
        }
    }

    fn in_flight_at(&self, at: Millis) -> u32 {
        let index = self.history.partition_point(|(t, _)| *t <= at);
        if index == 0 { 0 } else { self.history[index - 1].1 }
    }

    /// Estimates the load in thousandths of the batch.
    ///
    /// Reports are stale. Routers that relied on them alone would all send to the least loaded
    /// target at once and then move on to the next. The load of other routers is therefore a
    /// weighted mean: the reported load minus this router's own requests at that time, and an
    /// estimate that assumes that the other routers have as many requests in flight as this one.
    /// The older the report, the more the estimate counts.
    fn load(&self, now: Millis, routers: u64) -> u64 {
        let age = now.since(self.reported).0 + self.report.age_ms;
        let measured_at = Millis(now.0.saturating_sub(age));
        let reported = u64::from(self.report.active + self.report.queued);
        let others_reported = reported.saturating_sub(u64::from(self.in_flight_at(measured_at)));
        let own = u64::from(self.in_flight);
        let others_estimated = own * routers.saturating_sub(1);
        let weight = REPORT_HALF_WEIGHT_AGE_MS + age;
        let others = (others_reported * REPORT_HALF_WEIGHT_AGE_MS * 1_000
            + others_estimated * age * 1_000)
            / weight;
        (own * 1_000 + others) / u64::from(self.report.slots.max(1))
    }

    fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }
}

/// A chosen target, with the data needed to log the reason for the choice.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Id of the target.
    pub id: TargetId,
    /// `ip:port`.
    pub addr: CompactString,
    /// Score of the target: load in thousandths of its batch for [`Policy::Sampled`].
    pub load: u64,
    /// Whether the target was chosen for its affinity.
    pub affinity: bool,
    /// The next best candidate and its score.
    pub next: Option<(TargetId, u64)>,
    /// Number of targets that could have served the request.
    pub candidates: usize,
}

/// The targets known to one router.
#[derive(Debug)]
pub struct Picker {
    policy: Policy,
    zone: ZoneId,
    routers: u64,
    targets: Vec<TargetView>,
    /// Indexes of the targets by the name that they serve, rebuilt when a report changes it.
    serving: Vec<(CompactString, Vec<u32>)>,
    ring: Vec<(u64, u32)>,
    round_robin_turn: usize,
    rng: fastrand::Rng,
}

/// A target as listed by the membership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedTarget {
    /// Id of the target.
    pub id: TargetId,
    /// `ip:port`.
    pub addr: CompactString,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether the platform reports that the target is shutting down.
    pub leaving: bool,
}

fn mix_hash(n: u64) -> u64 {
    let n = (n ^ (n >> 31)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (n ^ (n >> 29)).wrapping_mul(0xBF58_476D_1CE4_E5B9) ^ (n >> 32)
}

impl Picker {
    /// Creates a picker for a router in `zone`.
    pub fn new(policy: Policy, zone: ZoneId, seed: u64) -> Picker {
        Picker {
            policy,
            zone,
            routers: 1,
            targets: Vec::new(),
            serving: Vec::new(),
            ring: Vec::new(),
            round_robin_turn: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Sets the number of routers that share the targets, at least 1.
    pub fn set_routers(&mut self, routers: u64) {
        self.routers = routers.max(1);
    }

    /// Returns the number of routers that share the targets.
    pub fn routers(&self) -> u64 {
        self.routers
    }

    /// Replaces the list of targets. Known targets keep their state. Targets that are no longer
    /// listed but still have requests in flight are kept as leaving.
    pub fn set_list(&mut self, mut list: Vec<ListedTarget>) {
        list.sort_by(|a, b| a.id.cmp(&b.id));
        let mut old = std::mem::take(&mut self.targets);
        for l in list {
            let known = old.iter().position(|t| t.id == l.id && t.addr == l.addr);
            self.targets.push(match known {
                Some(index) => {
                    let mut t = old.swap_remove(index);
                    t.leaving |= l.leaving;
                    t
                }
                None => new_view(l),
            });
        }
        let busy = old
            .into_iter()
            .filter(|t| t.in_flight > 0 && !self.targets.iter().any(|n| n.id == t.id));
        let gone: Vec<TargetView> = busy.map(|t| TargetView { leaving: true, ..t }).collect();
        self.targets.extend(gone);
        self.targets.sort_by(|a, b| a.id.cmp(&b.id));
        self.rebuild();
    }

    fn rebuild(&mut self) {
        self.serving.clear();
        self.ring.clear();
        for (i, t) in self.targets.iter().enumerate() {
            let word = Digest::of(t.id.as_str().as_bytes()).first_u64();
            self.ring.extend(
                (0..RING_POINTS_PER_TARGET).map(|p| (mix_hash(word ^ mix_hash(p)), i as u32)),
            );
            for name in &t.report.serves {
                match self.serving.binary_search_by(|(n, _)| n.cmp(name)) {
                    Ok(index) => self.serving[index].1.push(i as u32),
                    Err(index) => self.serving.insert(index, (name.clone(), vec![i as u32])),
                }
            }
        }
        self.ring.sort_unstable();
    }

    fn target_index(&self, id: &TargetId) -> Option<usize> {
        self.targets.binary_search_by(|t| t.id.cmp(id)).ok()
    }

    /// Returns the targets, sorted by id.
    pub fn targets(&self) -> &[TargetView] {
        &self.targets
    }

    /// Returns the address of a target, if it is known.
    pub fn addr(&self, id: &TargetId) -> Option<CompactString> {
        Some(self.targets[self.target_index(id)?].addr.clone())
    }

    /// Records a load report of a target.
    pub fn reported(&mut self, now: Millis, id: &TargetId, report: LoadReport) {
        let Some(target_index) = self.target_index(id) else { return };
        let t = &mut self.targets[target_index];
        t.reported = now;
        t.leaving |= report.leaving;
        let serves_changed = t.report.serves != report.serves;
        t.report = report;
        if serves_changed {
            self.rebuild();
        }
    }

    /// Marks a target as leaving, so that it gets no new requests. The mark stays for as long as
    /// the target has this address; a stale list cannot revert it.
    pub fn mark_leaving(&mut self, id: &TargetId) {
        if let Some(target_index) = self.target_index(id) {
            self.targets[target_index].leaving = true;
        }
    }

    /// Records that a request was dispatched to a target.
    pub fn started(&mut self, now: Millis, id: &TargetId) {
        let Some(target_index) = self.target_index(id) else { return };
        self.targets[target_index].in_flight += 1;
        self.targets[target_index].record_in_flight(now);
    }

    /// Records that a request at a target ended. If `ok` is false, it counts as a failure of the
    /// target.
    pub fn ended(&mut self, now: Millis, id: &TargetId, ok: bool) {
        let Some(target_index) = self.target_index(id) else { return };
        let t = &mut self.targets[target_index];
        t.in_flight = t.in_flight.saturating_sub(1);
        t.record_in_flight(now);
        if ok {
            t.failures = 0;
            t.ejections = 0;
            return;
        }
        t.failures += 1;
        if t.failures >= EJECT_AFTER_FAILURES && !t.is_ejected(now) {
            let span = Millis(MIN_EJECTION.0 << t.ejections.min(8));
            t.ejected_until = Millis(now.0 + span.0.min(MAX_EJECTION.0));
            t.ejections += 1;
            t.failures = 0;
            log::warn!("eject target={} span={span} failures_in_row={EJECT_AFTER_FAILURES}", t.id);
        }
    }

    /// Returns the total batch size of the targets that serve `name`.
    pub fn slots(&self, now: Millis, name: &str) -> u32 {
        self.candidates(now, name, &[]).iter().map(|i| self.targets[*i as usize].report.slots).sum()
    }

    /// Returns the indexes of the targets that can serve `name`, without those in `tried`.
    ///
    /// If more than half of them are ejected, ejections are ignored: a common cause that makes all
    /// targets fail must not leave none to choose from.
    fn candidates(&self, now: Millis, name: &str, tried: &[TargetId]) -> Vec<u32> {
        let found = self.serving.binary_search_by(|(n, _)| n.as_str().cmp(name));
        let Ok(index) = found else { return Vec::new() };
        let view = |i: &u32| &self.targets[*i as usize];
        let all = self.serving[index]
            .1
            .iter()
            .filter(|i| !view(i).leaving && !tried.contains(&view(i).id));
        let staying: Vec<u32> = all.copied().collect();
        let healthy: Vec<u32> =
            staying.iter().filter(|i| !view(i).is_ejected(now)).copied().collect();
        if healthy.len() * 2 < staying.len() { staying } else { healthy }
    }

    /// Chooses a target that serves `name` and is not in `tried`. `prefix` is the digest of the
    /// leading part of the prompt; 0 means no affinity.
    pub fn pick(
        &mut self,
        now: Millis,
        name: &str,
        prefix: u64,
        tried: &[TargetId],
    ) -> Option<Choice> {
        let candidates = self.candidates(now, name, tried);
        if candidates.is_empty() {
            return None;
        }
        let ranked = match self.policy {
            Policy::Sampled => self.sample(now, &candidates, prefix),
            Policy::RoundRobin => {
                self.round_robin_turn += 1;
                vec![(0, candidates[self.round_robin_turn % candidates.len()], false)]
            }
            Policy::LeastReported => self.score(&candidates, |t| {
                u64::from(t.report.active + t.report.queued) * 1_000
                    / u64::from(t.report.slots.max(1))
            }),
            Policy::WeightedActive => self.score(&candidates, |t| {
                let health =
                    u64::from(EJECT_AFTER_FAILURES - t.failures.min(EJECT_AFTER_FAILURES - 1));
                u64::from(t.in_flight) * 1_000_000 / (u64::from(t.report.slots.max(1)) * health)
            }),
        };
        let (load, best, affinity) = *ranked.first()?;
        let next = ranked.get(1).map(|(s, i, _)| (self.targets[*i as usize].id.clone(), *s));
        let t = &self.targets[best as usize];
        let candidates = candidates.len();
        Some(Choice { id: t.id.clone(), addr: t.addr.clone(), load, affinity, next, candidates })
    }

    fn score<F: Fn(&TargetView) -> u64>(
        &mut self,
        candidates: &[u32],
        f: F,
    ) -> Vec<(u64, u32, bool)> {
        let start = self.rng.usize(..candidates.len());
        let rotated = candidates[start..].iter().chain(&candidates[..start]);
        let mut out: Vec<_> = rotated.map(|i| (f(&self.targets[*i as usize]), *i, false)).collect();
        out.sort_by_key(|(s, _, _)| *s);
        out
    }

    fn sample(&mut self, now: Millis, candidates: &[u32], prefix: u64) -> Vec<(u64, u32, bool)> {
        let mut out: Vec<(u64, u32, bool)> = Vec::with_capacity(SAMPLED_TARGETS + 1);
        for _ in 0..SAMPLED_TARGETS.min(candidates.len()) {
            let i = candidates[self.rng.usize(..candidates.len())];
            if !out.iter().any(|(_, seen, _)| *seen == i) {
                out.push((self.load_with_zone_penalty(now, i), i, false));
            }
        }
        out.sort_by_key(|(s, _, _)| *s);
        if let Some(affinity_target) = self.affinity_target(candidates, prefix) {
            let load = self.load_with_zone_penalty(now, affinity_target);
            if load <= AFFINITY_MAX_LOAD_PER_MILLE {
                out.retain(|(_, i, _)| *i != affinity_target);
                out.insert(0, (load, affinity_target, true));
            }
        }
        out
    }

    fn load_with_zone_penalty(&self, now: Millis, i: u32) -> u64 {
        let t = &self.targets[i as usize];
        t.load(now, self.routers) + if t.zone == self.zone { 0 } else { ZONE_PENALTY_PER_MILLE }
    }

    /// Returns the first candidate on the ring at or after the hash of the prefix.
    fn affinity_target(&self, candidates: &[u32], prefix: u64) -> Option<u32> {
        if prefix == 0 {
            return None;
        }
        let from = self.ring.partition_point(|(h, _)| *h < mix_hash(prefix));
        let points = self.ring[from..].iter().chain(&self.ring[..from]);
        points.map(|(_, i)| *i).find(|i| candidates.binary_search(i).is_ok())
    }
}

fn new_view(l: ListedTarget) -> TargetView {
    TargetView {
        id: l.id,
        addr: l.addr,
        zone: l.zone,
        report: LoadReport::default(),
        reported: Millis(0),
        in_flight: 0,
        history: VecDeque::new(),
        failures: 0,
        ejections: 0,
        ejected_until: Millis(0),
        leaving: l.leaving,
    }
}
