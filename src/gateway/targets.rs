//! All targets known to this router, and the candidates for a request.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use compact_str::CompactString;
use tokio::time::Instant;

use super::backend::{Backend, StartedMs, TargetInfo, TargetState, duration_from_ms};
use super::notice::Availability;
use super::origins::VersionDigest;
use super::place::Candidate;
use super::request::PromptPart;
use super::timing::{FirstTokenModel, PrefillWork};
use super::zone_filter::{ExclusionReason, ZoneFilter};
use crate::ids::Digest;

/// What the entry of a target changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Nothing relevant.
    Same,
    /// The target was unknown.
    New,
    /// The target's state changed, or its entry reappeared after it had lapsed.
    State,
    /// The target restarted under the same id, or moved to another service, address or software
    /// version. Nothing that was known about it applies any more.
    Restarted,
    /// The entry is from an earlier start of the target than the known one, and is ignored.
    Outdated,
}

/// Maximum number of removed targets whose own notices are kept. An entry that reappears may be
/// older than what the target itself has sent.
const MAX_REMOVED_TARGETS: usize = 1_024;

/// A target without an entry, with the notices that it sent in its answers.
#[derive(Debug)]
struct RemovedTarget {
    id: CompactString,
    started_at: Option<StartedMs>,
    self_reported: Availability,
}

/// All targets, sorted by id.
#[derive(Debug, Default)]
pub struct Targets {
    all: RefCell<Vec<Rc<Backend>>>,
    /// In order of removal, the latest last.
    removed_targets: RefCell<VecDeque<RemovedTarget>>,
    first_token_models: RefCell<Vec<(CompactString, Rc<RefCell<FirstTokenModel>>)>>,
}

/// The facts about a request that placement needs.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// Service of the request.
    pub service: &'a str,
    /// Availability zone of this router.
    pub zone: &'a str,
    /// Parts of the prompt.
    pub parts: &'a [PromptPart],
    /// Number of tokens in the prompt.
    pub prompt: u64,
    /// Whether the service is a model engine.
    pub engine: bool,
    /// Targets to which the request was already sent.
    pub tried: &'a [CompactString],
    /// Zones that the request may use.
    pub zone_filter: ZoneFilter<'a>,
    /// The only software version that may take the request; `None` if any may.
    pub version: Option<VersionDigest>,
}

/// The candidates for a request.
#[derive(Debug, Default)]
pub struct PlacementCandidates {
    /// Targets that may take the request, with the facts for choosing among them.
    pub candidates: Vec<(Rc<Backend>, Candidate)>,
    /// Why ready targets of the service were excluded by their zone; `None` if none was.
    pub exclusion: Option<ExclusionReason>,
}

impl Targets {
    /// Inserts or updates a target from its store entry.
    ///
    /// A target that restarted under its id is treated as a new one: its cached parts, load and
    /// failures belonged to the previous process, and pooled connections to that process are dead.
    /// Requests that are still in flight keep the previous `Backend` until they end.
    pub fn set(&self, mut info: TargetInfo) -> Change {
        let mut all = self.all.borrow_mut();
        let i = match all.binary_search_by(|b| b.info.borrow().id.cmp(&info.id)) {
            Ok(i) => i,
            Err(i) => {
                let self_reported = self.take_kept_notices(&info);
                all.insert(i, self.backend(info, self_reported));
                return Change::New;
            }
        };
        let known = all[i].info.borrow().clone();
        if info.started_before(known.started_at) {
            return Change::Outdated;
        }
        let restarted = info.started_after(known.started_at);
        let moved = known.service != info.service || known.addr != info.addr;
        if restarted || moved || known.version != info.version {
            // Another service, address or version alone does not discard the notices that the
            // target has sent.
            let self_reported =
                if restarted { Availability::default() } else { all[i].self_reported.clone() };
            all[i] = self.backend(info, self_reported);
            return Change::Restarted;
        }
        info.started_at = info.started_at.or(known.started_at);
        let back = all[i].entry_lapsed.replace(false);
        let changed = back || known.state != info.state;
        all[i].extend_cold(info.warm_up);
        all[i].info.replace(info);
        if changed { Change::State } else { Change::Same }
    }

    fn backend(&self, info: TargetInfo, self_reported: Availability) -> Rc<Backend> {
        let first_token_model = self.first_token_model(&info.service);
        Rc::new(Backend::new(info, self_reported, first_token_model))
    }

    /// Keeps the notices of a target whose entry was removed, while they still apply.
    fn keep_notices(&self, b: &Backend) {
        if !b.self_reported.is_unavailable(Instant::now()) {
            return;
        }
        let mut removed_targets = self.removed_targets.borrow_mut();
        if removed_targets.len() >= MAX_REMOVED_TARGETS {
            removed_targets.pop_front();
        }
        let started_at = b.info.borrow().started_at;
        removed_targets.push_back(RemovedTarget {
            id: b.id(),
            started_at,
            self_reported: b.self_reported.clone(),
        });
    }

    /// The notices that a target sent before its entry was removed.
    fn take_kept_notices(&self, info: &TargetInfo) -> Availability {
        let mut removed_targets = self.removed_targets.borrow_mut();
        let found = removed_targets.iter().rposition(|p| p.id == info.id);
        let known = found.and_then(|i| removed_targets.remove(i));
        known
            .filter(|p| !info.started_after(p.started_at))
            .map(|p| p.self_reported)
            .unwrap_or_default()
    }

    /// The shared first-token model of a service's engines.
    fn first_token_model(&self, service: &str) -> Rc<RefCell<FirstTokenModel>> {
        let mut first_token_models = self.first_token_models.borrow_mut();
        let i = match first_token_models.binary_search_by(|(s, _)| s.as_str().cmp(service)) {
            Ok(i) => i,
            Err(i) => {
                first_token_models.insert(i, (service.into(), Rc::default()));
                i
            }
        };
        first_token_models[i].1.clone()
    }

    /// Removes a target whose entry was deleted. Returns whether it was known.
    pub fn remove(&self, id: &str) -> bool {
        let mut all = self.all.borrow_mut();
        let found = all.binary_search_by(|b| b.info.borrow().id.as_str().cmp(id));
        let Ok(i) = found else { return false };
        let gone = all.remove(i);
        self.keep_notices(&gone);
        // Requests in flight keep the `Backend` alive until they end.
        gone.info.borrow_mut().state = TargetState::Draining;
        true
    }

    /// Marks a target as lapsed because its entry is missing, perhaps only because the store was
    /// unavailable. It is used only if no other target is left, until the entry reappears or the
    /// grace period ends.
    pub fn lapse(&self, id: &str) {
        let all = self.all.borrow();
        if let Ok(i) = all.binary_search_by(|b| b.info.borrow().id.as_str().cmp(id)) {
            all[i].entry_lapsed.set(true);
        }
    }

    /// Removes the targets whose entries are still missing. Returns their ids.
    pub fn remove_lapsed(&self) -> Vec<CompactString> {
        let mut all = self.all.borrow_mut();
        let (gone, left): (Vec<_>, Vec<_>) = all.drain(..).partition(|b| b.entry_lapsed.get());
        *all = left;
        gone.iter().for_each(|b| self.keep_notices(b));
        gone.iter().map(|b| b.id()).collect()
    }

    /// Records that another router sent a prompt to the target with this digest.
    /// `cache_tokens` returns the cache size of a service's engines, in tokens.
    pub fn apply_hint(
        &self,
        digest: u64,
        work: PrefillWork,
        parts: &[PromptPart],
        cache_tokens: impl Fn(&str) -> u64,
    ) {
        let all = self.all.borrow();
        let Some(b) = all.iter().find(|b| b.id_digest == digest) else { return };
        let now = Instant::now();
        let mut load = b.load.borrow_mut();
        let estimate = b.timing.borrow().estimate();
        let prefill_ms = estimate.map_or(0.0, |e| e.prefill_ms(work)) * load.slowdown.get();
        load.add_prefill(duration_from_ms(prefill_ms), now);
        load.cache.insert_parts(parts, now, cache_tokens(&b.info.borrow().service));
    }

    /// Number of targets that have announced their shutdown.
    pub fn count_leaving(&self) -> usize {
        self.all.borrow().iter().filter(|b| b.self_reported.is_leaving()).count()
    }

    /// Number of targets that accept no requests for a while, after they rejected one.
    pub fn count_backing_off(&self) -> usize {
        let now = Instant::now();
        self.all.borrow().iter().filter(|b| b.self_reported.backoff_left(now).is_some()).count()
    }

    /// Number of targets that are cold.
    pub fn count_cold(&self) -> usize {
        let now = Instant::now();
        self.all.borrow().iter().filter(|b| b.is_cold(now)).count()
    }

    /// The target with this digest.
    pub fn by_digest(&self, digest: u64) -> Option<Rc<Backend>> {
        self.all.borrow().iter().find(|b| b.id_digest == digest).cloned()
    }

    /// The targets of a service.
    pub fn of_service(&self, service: &str) -> Vec<Rc<Backend>> {
        let all = self.all.borrow();
        all.iter().filter(|b| b.info.borrow().service == service).cloned().collect()
    }

    /// A target of this software version, which may be leaving.
    pub fn of_version(&self, version: VersionDigest) -> Option<Rc<Backend>> {
        self.all.borrow().iter().find(|b| b.version() == Some(version)).cloned()
    }

    /// All targets.
    pub fn all(&self) -> Vec<Rc<Backend>> {
        self.all.borrow().clone()
    }

    /// Up to `n` random targets that show whether this router reaches targets at all. Those whose
    /// processes have ended accept no connections; they are drawn only if there are no others.
    pub fn draw_for_check(&self, n: usize) -> Vec<Rc<Backend>> {
        let (ended, others): (Vec<_>, Vec<_>) =
            self.all().into_iter().partition(|b| b.process_state.has_ended());
        let mut drawn = fastrand::choose_multiple(others, n);
        drawn.extend(fastrand::choose_multiple(ended, n - drawn.len()));
        drawn
    }

    /// The ids of all targets.
    pub fn ids(&self) -> Vec<CompactString> {
        self.all.borrow().iter().map(|b| b.id()).collect()
    }

    /// Number of all targets, and of those that are expected to stay available.
    pub fn count(&self) -> (usize, usize) {
        let all = self.all.borrow();
        (all.len(), all.iter().filter(|b| b.is_expected_to_stay()).count())
    }

    /// The targets that may take a request. Those in the router's zone come first, each zone group
    /// sorted by the request's order of preference.
    pub fn candidates(&self, req: &PlacementRequest<'_>) -> PlacementCandidates {
        let now = Instant::now();
        let all = self.all.borrow();
        let affinity = affinity_key(req.parts);
        let mut exclusion = None;
        let is_allowed = |b: &&Rc<Backend>| {
            let info = b.info.borrow();
            if info.service != req.service || !b.is_expected_to_stay() {
                return false;
            }
            // Two versions that are not known are not the same version.
            if req.version.is_some() && b.version() != req.version {
                return false;
            }
            let exclusion_reason = req.zone_filter.exclusion_reason(&info.zone);
            // `Emptied` takes precedence: an emptied zone returns to service, a region does not
            // become allowed.
            if exclusion_reason.is_some() && exclusion != Some(ExclusionReason::Emptied) {
                exclusion = exclusion_reason;
            }
            exclusion_reason.is_none()
        };
        let ranked = |b: &Rc<Backend>| {
            let other_zone = b.info.borrow().zone != req.zone;
            (other_zone, std::cmp::Reverse(rendezvous_digest(affinity, &b.id())), b.clone())
        };
        let mut found: Vec<_> = all.iter().filter(is_allowed).map(ranked).collect();
        found.sort_by_key(|(other_zone, digest, _)| (*other_zone, *digest));
        let same_zone_count = found.iter().filter(|(other_zone, _, _)| !other_zone).count();
        let to_candidate = |(i, (other_zone, _, b)): (usize, (bool, _, Rc<Backend>))| {
            let rank = if other_zone { i - same_zone_count } else { i };
            let c = candidate(&b, req, rank, now);
            (b, c)
        };
        PlacementCandidates {
            candidates: found.into_iter().enumerate().map(to_candidate).collect(),
            exclusion,
        }
    }
}

fn candidate(b: &Backend, req: &PlacementRequest<'_>, rank: usize, now: Instant) -> Candidate {
    let info = b.info.borrow();
    let load = b.load.borrow();
    let uncached = req.prompt.saturating_sub(load.cache.cached_tokens(req.parts));
    let work = PrefillWork::of(req.prompt, uncached);
    let estimate = b.timing.borrow().estimate().filter(|_| req.engine);
    let slowdown = load.slowdown.get();
    let wait_ms = load.prefills_done_at.saturating_duration_since(now).as_secs_f64() * 1_000.0;
    Candidate {
        same_zone: info.zone == req.zone,
        uncached,
        wait_ms,
        base_ms: estimate.map_or(0.0, |e| e.base_ms) * slowdown,
        prefill_ms: estimate.map_or(0.0, |e| e.prefill_ms(work)) * slowdown,
        in_flight_requests: load.in_flight_requests,
        slots: info.slots,
        rank,
        unhealthy: b.entry_lapsed.get() || load.unhealthy_until.is_some_and(|t| t > now),
        backoff: b.self_reported.backoff_left(now),
        tried: req.tried.contains(&info.id),
        room_in: b.room_in(now),
    }
}

/// The parts that other requests may share: all but the last, which is specific to the request.
pub(super) fn shareable_parts(parts: &[PromptPart]) -> &[PromptPart] {
    parts.split_last().map_or(parts, |(_, shared)| shared)
}

/// Key that requests with the same cached prompt have in common: the last part that they share.
fn affinity_key(parts: &[PromptPart]) -> u64 {
    shareable_parts(parts).last().or(parts.last()).map_or_else(|| fastrand::u64(..), |p| p.id)
}

fn rendezvous_digest(key: u64, id: &str) -> u64 {
    let mut bytes = Vec::with_capacity(8 + id.len());
    bytes.extend_from_slice(&key.to_le_bytes());
    bytes.extend_from_slice(id.as_bytes());
    Digest::of(&bytes).first_u64()
}
