//! All targets that this router knows, and those that could take a request.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use tokio::time::Instant;

use super::backend::{Backend, StartedMs, TargetInfo, TargetState, duration_from_ms};
use super::notice::Standing;
use super::place::Candidate;
use super::reach::{Barred, Reach};
use super::request::PromptPart;
use super::timing::{FirstToken, Reading};
use crate::ids::Digest;

/// What an entry changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Nothing that matters here.
    Same,
    /// The target was unknown.
    New,
    /// Its state changed, or it was missing for a while.
    State,
    /// It started again under the id that it had: nothing of before holds for it.
    Restarted,
    /// It speaks of an earlier start than the one that is known.
    Outdated,
}

/// Targets without an entry whose word is kept, at most. An entry that comes back may be older than
/// what its target said.
const MAX_PARTED: usize = 1_024;

/// A target without an entry.
#[derive(Debug)]
struct Parted {
    id: CompactString,
    born: Option<StartedMs>,
    standing: Standing,
}

/// All targets, by id.
#[derive(Debug, Default)]
pub struct Targets {
    all: RefCell<Vec<Rc<Backend>>>,
    /// The latest at the end.
    parted: RefCell<VecDeque<Parted>>,
    timings: RefCell<Vec<(CompactString, Rc<RefCell<FirstToken>>)>>,
}

/// A request as placement sees it.
#[derive(Clone, Debug)]
pub struct PlaceRequest<'a> {
    /// The service it goes to.
    pub service: &'a str,
    /// This router's zone.
    pub zone: &'a str,
    /// The parts of its prompt.
    pub parts: &'a [PromptPart],
    /// Its prompt tokens.
    pub prompt: u64,
    /// Whether it uses a model engine.
    pub engine: bool,
    /// Targets that it was sent to before.
    pub tried: &'a [CompactString],
    /// Where it may go.
    pub reach: Reach<'a>,
}

/// What placement finds.
#[derive(Debug, Default)]
pub struct Found {
    /// The targets that could take a request, with what a choice needs to know of them.
    pub candidates: Vec<(Rc<Backend>, Candidate)>,
    /// Whether targets of the service that are ready may not take it, and why.
    pub barred: Option<Barred>,
}

impl Targets {
    /// Takes in a target's entry.
    ///
    /// A target that started again under its id begins as an unknown one: its cached parts, load
    /// and failures are those of a process that is gone, and kept connections to that are dead.
    /// Requests that still run keep the earlier one until they end.
    pub fn set(&self, mut info: TargetInfo) -> Change {
        let mut all = self.all.borrow_mut();
        let i = match all.binary_search_by(|b| b.info.borrow().id.cmp(&info.id)) {
            Ok(i) => i,
            Err(i) => {
                let standing = self.rejoin(&info);
                all.insert(i, self.backend(info, standing));
                return Change::New;
            }
        };
        let known = all[i].info.borrow().clone();
        if info.started_before(known.started_at) {
            return Change::Outdated;
        }
        let restarted = info.started_after(known.started_at);
        if restarted || known.service != info.service || known.addr != info.addr {
            // An entry that only speaks of another address does not undo what its target said.
            let standing =
                if restarted { Standing::default() } else { all[i].self_reported.clone() };
            all[i] = self.backend(info, standing);
            return Change::Restarted;
        }
        info.started_at = info.started_at.or(known.started_at);
        let back = all[i].entry_lapsed.replace(false);
        let changed = back || known.state != info.state;
        all[i].extend_cold(info.warm_up);
        all[i].info.replace(info);
        if changed { Change::State } else { Change::Same }
    }

    fn backend(&self, info: TargetInfo, standing: Standing) -> Rc<Backend> {
        let timing = self.timing(&info.service);
        Rc::new(Backend::new(info, standing, timing))
    }

    /// Keeps what a target said whose entry is gone.
    fn part(&self, b: &Backend) {
        if !b.self_reported.holds_off(Instant::now()) {
            return;
        }
        let mut parted = self.parted.borrow_mut();
        if parted.len() >= MAX_PARTED {
            parted.pop_front();
        }
        let born = b.info.borrow().started_at;
        parted.push_back(Parted { id: b.id(), born, standing: b.self_reported.clone() });
    }

    /// What a target has said before its entry was gone.
    fn rejoin(&self, info: &TargetInfo) -> Standing {
        let mut parted = self.parted.borrow_mut();
        let found = parted.iter().rposition(|p| p.id == info.id);
        let known = found.and_then(|i| parted.remove(i));
        known.filter(|p| !info.started_after(p.born)).map(|p| p.standing).unwrap_or_default()
    }

    /// What is learnt of a service's engines.
    fn timing(&self, service: &str) -> Rc<RefCell<FirstToken>> {
        let mut timings = self.timings.borrow_mut();
        let i = match timings.binary_search_by(|(s, _)| s.as_str().cmp(service)) {
            Ok(i) => i,
            Err(i) => {
                timings.insert(i, (service.into(), Rc::default()));
                i
            }
        };
        timings[i].1.clone()
    }

    /// A target's entry is gone for good.
    pub fn remove(&self, id: &str) -> bool {
        let mut all = self.all.borrow_mut();
        let found = all.binary_search_by(|b| b.info.borrow().id.as_str().cmp(id));
        let Ok(i) = found else { return false };
        let gone = all.remove(i);
        self.part(&gone);
        // What still runs there has it in hand; it ends when that is over.
        gone.info.borrow_mut().state = TargetState::Draining;
        true
    }

    /// A target's entry is gone, perhaps only because the store was away: the target is used
    /// when nothing else is there, until the entry is back or the grace is over.
    pub fn lapse(&self, id: &str) {
        let all = self.all.borrow();
        if let Ok(i) = all.binary_search_by(|b| b.info.borrow().id.as_str().cmp(id)) {
            all[i].entry_lapsed.set(true);
        }
    }

    /// Removes the targets whose entries have not come back. Returns their ids.
    pub fn sweep(&self) -> Vec<CompactString> {
        let mut all = self.all.borrow_mut();
        let (gone, left): (Vec<_>, Vec<_>) = all.drain(..).partition(|b| b.entry_lapsed.get());
        *all = left;
        gone.iter().for_each(|b| self.part(b));
        gone.iter().map(|b| b.id()).collect()
    }

    /// Another router sent a prompt to the target of this digest. `cache_tokens` tells how many
    /// tokens the engines of a service keep.
    pub fn hinted(
        &self,
        word: u64,
        reading: Reading,
        parts: &[PromptPart],
        cache_tokens: impl Fn(&str) -> u64,
    ) {
        let all = self.all.borrow();
        let Some(b) = all.iter().find(|b| b.id_digest == word) else { return };
        let now = Instant::now();
        let mut load = b.load.borrow_mut();
        let estimate = b.timing.borrow().estimate();
        let prefill_ms = estimate.map_or(0.0, |e| e.prefill_ms(reading)) * load.pace.get();
        load.add(duration_from_ms(prefill_ms), now);
        load.cache.read(parts, now, cache_tokens(&b.info.borrow().service));
    }

    /// How many targets have said that they leave.
    pub fn count_leaving(&self) -> usize {
        self.all.borrow().iter().filter(|b| b.self_reported.is_leaving()).count()
    }

    /// How many targets want no request for a while.
    pub fn count_resting(&self) -> usize {
        let now = Instant::now();
        self.all.borrow().iter().filter(|b| b.self_reported.rests_for(now).is_some()).count()
    }

    /// How many targets are cold.
    pub fn count_cold(&self) -> usize {
        let now = Instant::now();
        self.all.borrow().iter().filter(|b| b.is_cold(now)).count()
    }

    /// The target of a digest.
    pub fn by_word(&self, word: u64) -> Option<Rc<Backend>> {
        self.all.borrow().iter().find(|b| b.id_digest == word).cloned()
    }

    /// All targets.
    pub fn all(&self) -> Vec<Rc<Backend>> {
        self.all.borrow().clone()
    }

    /// The ids of all targets.
    pub fn ids(&self) -> Vec<CompactString> {
        self.all.borrow().iter().map(|b| b.id()).collect()
    }

    /// How many targets a service has, and how many of them take new work.
    pub fn count(&self) -> (usize, usize) {
        let all = self.all.borrow();
        (all.len(), all.iter().filter(|b| b.is_expected_to_stay()).count())
    }

    /// The targets that could take a request.
    pub fn candidates(&self, req: &PlaceRequest<'_>) -> Found {
        let now = Instant::now();
        let all = self.all.borrow();
        let affinity = affinity_key(req.parts);
        let mut barred = None;
        let takes = |b: &&Rc<Backend>| {
            let info = b.info.borrow();
            if info.service != req.service || !b.is_expected_to_stay() {
                return false;
            }
            let bars = req.reach.bars(&info.zone);
            // An emptied zone comes back, a region does not.
            if bars.is_some() && barred != Some(Barred::Emptied) {
                barred = bars;
            }
            bars.is_none()
        };
        let ranked = |b: &Rc<Backend>| {
            let far = b.info.borrow().zone != req.zone;
            (far, std::cmp::Reverse(rank_word(affinity, &b.id())), b.clone())
        };
        let mut found: Vec<_> = all.iter().filter(takes).map(ranked).collect();
        found.sort_by_key(|(far, word, _)| (*far, *word));
        let near = found.iter().filter(|(far, _, _)| !far).count();
        let with_facts = |(i, (far, _, b)): (usize, (bool, _, Rc<Backend>))| {
            let rank = if far { i - near } else { i };
            let c = candidate(&b, req, rank, now);
            (b, c)
        };
        Found { candidates: found.into_iter().enumerate().map(with_facts).collect(), barred }
    }
}

fn candidate(b: &Backend, req: &PlaceRequest<'_>, rank: usize, now: Instant) -> Candidate {
    let info = b.info.borrow();
    let load = b.load.borrow();
    let uncached = req.prompt.saturating_sub(load.cache.cached(req.parts));
    let reading = Reading::of(req.prompt, uncached);
    let estimate = b.timing.borrow().estimate().filter(|_| req.engine);
    let pace = load.pace.get();
    let wait_ms = load.read_by.saturating_duration_since(now).as_secs_f64() * 1_000.0;
    Candidate {
        near: info.zone == req.zone,
        uncached,
        wait_ms,
        base_ms: estimate.map_or(0.0, |e| e.base_ms) * pace,
        prefill_ms: estimate.map_or(0.0, |e| e.prefill_ms(reading)) * pace,
        running: load.running,
        slots: info.slots,
        rank,
        doubtful: b.entry_lapsed.get() || load.doubtful_until.is_some_and(|t| t > now),
        resting: b.self_reported.rests_for(now),
        tried: req.tried.contains(&info.id),
        room_in: b.is_cold(now).then(|| {
            b.no_room_until.get().map_or(Duration::ZERO, |t| t.saturating_duration_since(now))
        }),
    }
}

/// The parts that other requests may share: all but the last, which is the request's own.
fn shared_parts(parts: &[PromptPart]) -> &[PromptPart] {
    parts.split_last().map_or(parts, |(_, shared)| shared)
}

/// What requests with the same cached prompt have in common: the last part they share.
fn affinity_key(parts: &[PromptPart]) -> u64 {
    shared_parts(parts).last().or(parts.last()).map_or_else(|| fastrand::u64(..), |p| p.id)
}

fn rank_word(key: u64, id: &str) -> u64 {
    let mut bytes = Vec::with_capacity(8 + id.len());
    bytes.extend_from_slice(&key.to_le_bytes());
    bytes.extend_from_slice(id.as_bytes());
    Digest::of(&bytes).word()
}
