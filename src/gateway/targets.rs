//! The targets as this router knows them: entries from the store, load and health from its own
//! requests, and kept connections.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use tokio::time::Instant;

use super::hints::target_word;
use super::place::Candidate;
use super::pool::Pool;
use super::request::Part;
use crate::ids::Digest;

/// Failures in a row after which a target is doubtful.
const FAILURES: u32 = 2;
/// How long a target stays doubtful after its first failure; doubled with each further one.
const DOUBT: Duration = Duration::from_millis(400);
/// The longest doubt: after it one request tries the target again.
const MAX_DOUBT: Duration = Duration::from_secs(3);
/// How long a target that said it is full is left alone. An engine's step takes some 10 ms; a
/// slot becomes free every few steps.
const FULL: Duration = Duration::from_millis(120);
/// Tokens an engine reads in a ms until it was measured. Typical of 70 B models on the
/// accelerators of today's deployments, steps of running requests included.
const PREFILL_PER_MS: f64 = 33.0;
/// Time to a first token without any prefill, ms.
const FIRST_TOKEN_MS: f64 = 12.0;
/// Weight of a new measurement in a moving average.
const GAIN: f64 = 0.08;
/// A prompt that should have been read so long ago is no longer counted on: its router may have
/// taken it back without anyone hearing of it.
const OVERDUE: Duration = Duration::from_secs(2);
/// Prompts that take less than this, in ms, say nothing about an engine's speed.
const LEAST_MEASURED_MS: f64 = 20.0;
/// How far a target's measured speed may move from the usual one, either way.
const SPEED_RANGE: (f64, f64) = (0.25, 2.0);

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetState {
    /// It does.
    Ready,
    /// It is leaving.
    Draining,
}

/// A target's entry in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetInfo {
    /// Id of this incarnation of the target.
    pub id: CompactString,
    /// Its service.
    pub service: CompactString,
    /// Its address; may be used again by another target once this one has ended.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: CompactString,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: TargetState,
    /// How much longer it stays slow after its start.
    pub warm_up: Duration,
}

#[derive(Debug)]
struct CachedPart {
    id: u64,
    tokens: u64,
    used: Instant,
}

/// Which parts of prompts a target has probably cached: those this router sent there.
#[derive(Debug, Default)]
struct PartCache {
    parts: Vec<CachedPart>,
    tokens: u64,
}

impl PartCache {
    fn has(&self, id: u64) -> bool {
        self.parts.binary_search_by_key(&id, |p| p.id).is_ok()
    }

    /// Tokens of the leading parts that are cached; a part counts only if all before it do.
    fn cached(&self, parts: &[Part]) -> u64 {
        parts.iter().take_while(|p| self.has(p.id)).map(|p| p.tokens).sum()
    }

    fn read(&mut self, parts: &[Part], now: Instant, capacity: u64) {
        for p in parts {
            match self.parts.binary_search_by_key(&p.id, |c| c.id) {
                Ok(i) => self.parts[i].used = now,
                Err(i) => {
                    self.parts.insert(i, CachedPart { id: p.id, tokens: p.tokens, used: now });
                    self.tokens += p.tokens;
                }
            }
        }
        while self.tokens > capacity {
            let oldest = self.parts.iter().enumerate().min_by_key(|(_, p)| p.used);
            let Some((i, _)) = oldest else { return };
            self.tokens -= self.parts.remove(i).tokens;
        }
    }
}

/// A prompt that an engine has not read yet, as far as is known.
#[derive(Debug)]
struct Unread {
    number: u64,
    prefill: Duration,
    /// When it will be read, by the model.
    done: Instant,
}

#[derive(Debug)]
struct Load {
    running: u32,
    /// Prompts on their way, in the order in which they were sent by this router and, as far as
    /// they said so, by others.
    unread: Vec<Unread>,
    next_number: u64,
    /// When the engine will have read them all, by the model.
    read_by: Instant,
    /// Tokens of cached parts that fit.
    cache_tokens: u64,
    /// Measured speed against the usual one.
    speed: f64,
    cache: PartCache,
    failures: u32,
    doubtful_until: Option<Instant>,
    full_until: Option<Instant>,
}

impl Load {
    /// Adds a prompt to what the engine has to read. Returns its number.
    fn add(&mut self, prefill: Duration, now: Instant) -> u64 {
        self.unread.retain(|u| u.done + OVERDUE > now);
        self.read_by = self.read_by.max(now) + prefill;
        let number = self.next_number;
        self.next_number += 1;
        self.unread.push(Unread { number, prefill, done: self.read_by });
        number
    }

    /// A prompt was read just now: so were all that were sent before it, and those behind it
    /// begin now.
    fn read(&mut self, number: u64, now: Instant) {
        self.unread.retain(|u| u.number > number);
        self.read_by = now;
        for u in &mut self.unread {
            self.read_by += u.prefill;
            u.done = self.read_by;
        }
    }

    /// A prompt was taken back.
    fn cancel(&mut self, number: u64) {
        let Some(i) = self.unread.iter().position(|u| u.number == number) else { return };
        let prefill = self.unread.remove(i).prefill;
        self.read_by -= prefill;
        self.unread[i..].iter_mut().for_each(|u| u.done -= prefill);
    }
}

/// One target.
#[derive(Debug)]
pub struct Backend {
    /// Its entry.
    pub info: RefCell<TargetInfo>,
    /// Kept connections.
    pub pool: RefCell<Pool>,
    load: RefCell<Load>,
    /// Digest of its id.
    word: u64,
    /// Its entry is gone, though perhaps only because the store lost it.
    lapsed: Cell<bool>,
}

impl Backend {
    fn new(info: TargetInfo) -> Backend {
        let load = Load {
            running: 0,
            unread: Vec::new(),
            next_number: 0,
            read_by: Instant::now(),
            cache_tokens: 0,
            speed: 1.0,
            cache: PartCache::default(),
            failures: 0,
            doubtful_until: None,
            full_until: None,
        };
        Backend {
            word: target_word(&info.id),
            info: RefCell::new(info),
            pool: RefCell::default(),
            load: RefCell::new(load),
            lapsed: Cell::new(false),
        }
    }

    /// Its id.
    pub fn id(&self) -> CompactString {
        self.info.borrow().id.clone()
    }

    /// Its address.
    pub fn addr(&self) -> SocketAddr {
        self.info.borrow().addr
    }

    /// A request got an answer.
    pub fn answered(&self) {
        let mut load = self.load.borrow_mut();
        load.failures = 0;
        load.doubtful_until = None;
    }

    /// A request got none, or a failure.
    pub fn failed(&self) {
        let mut load = self.load.borrow_mut();
        load.failures += 1;
        if load.failures >= FAILURES {
            let doubled = DOUBT * 2_u32.pow((load.failures - FAILURES).min(4));
            load.doubtful_until = Some(Instant::now() + doubled.min(MAX_DOUBT));
        }
    }

    /// It could not be reached at all: no other request should try before a while.
    pub fn unreachable(&self) {
        self.load.borrow_mut().failures += 1;
        self.failed();
        self.pool.borrow_mut().clear();
    }

    /// It said that it is full.
    pub fn full(&self) {
        self.load.borrow_mut().full_until = Some(Instant::now() + FULL);
    }
}

/// A request on its way through a target; counts as load until dropped.
#[derive(Debug)]
pub struct Flight {
    backend: Rc<Backend>,
    sent: Instant,
    predicted_ms: f64,
    prefill_ms: f64,
    /// Its number among the unread prompts, until it is read.
    unread: Option<u64>,
}

impl Flight {
    /// Notes a request that goes to `backend` now.
    pub fn begin(backend: &Rc<Backend>, plan: &Planned, parts: &[Part], now: Instant) -> Flight {
        let mut load = backend.load.borrow_mut();
        load.running += 1;
        load.cache_tokens = plan.cache_tokens;
        let unread = plan.engine.then(|| {
            load.cache.read(shared_parts(parts), now, plan.cache_tokens);
            load.add(Duration::from_secs_f64(plan.prefill_ms / 1_000.0), now)
        });
        drop(load);
        Flight {
            backend: backend.clone(),
            sent: now,
            predicted_ms: plan.predicted_ms,
            prefill_ms: plan.prefill_ms,
            unread,
        }
    }

    /// The target.
    pub fn backend(&self) -> &Rc<Backend> {
        &self.backend
    }

    /// Predicted time to the first token, ms.
    pub fn predicted_ms(&self) -> f64 {
        self.predicted_ms
    }

    /// The first event arrived: the prompt is read. Returns the time since it was sent.
    pub fn first_event(&mut self) -> Duration {
        let now = Instant::now();
        let took = now - self.sent;
        let Some(number) = self.unread.take() else { return took };
        let mut load = self.backend.load.borrow_mut();
        load.read(number, now);
        let measured = took.as_secs_f64() * 1_000.0 - FIRST_TOKEN_MS;
        if self.prefill_ms > LEAST_MEASURED_MS && measured > 0.0 {
            let expected = (self.predicted_ms - FIRST_TOKEN_MS).max(1.0);
            let ratio = (expected / measured).clamp(0.5, 2.0);
            let (low, high) = SPEED_RANGE;
            load.speed = (load.speed * (1.0 + GAIN * (ratio - 1.0))).clamp(low, high);
        }
        took
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let mut load = self.backend.load.borrow_mut();
        load.running -= 1;
        if let Some(number) = self.unread {
            load.cancel(number);
        }
    }
}

/// What a request costs at a target.
#[derive(Clone, Copy, Debug)]
pub struct Planned {
    /// Whether it uses a model engine.
    pub engine: bool,
    /// Time for the uncached part of its prompt, ms.
    pub prefill_ms: f64,
    /// Predicted time to its first token, ms.
    pub predicted_ms: f64,
    /// Memory for cached parts, tokens.
    pub cache_tokens: u64,
}

/// All targets, by id.
#[derive(Debug, Default)]
pub struct Targets {
    all: RefCell<Vec<Rc<Backend>>>,
}

/// A request as placement sees it.
#[derive(Clone, Debug)]
pub struct PlaceRequest<'a> {
    /// The service it goes to.
    pub service: &'a str,
    /// This router's zone.
    pub zone: &'a str,
    /// The parts of its prompt.
    pub parts: &'a [Part],
    /// Its prompt tokens.
    pub prompt: u64,
    /// Whether it uses a model engine.
    pub engine: bool,
    /// Targets that it was sent to before.
    pub tried: &'a [CompactString],
}

impl Targets {
    /// Takes in a target's entry. Returns whether it was unknown or changed its state.
    pub fn set(&self, info: TargetInfo) -> bool {
        let mut all = self.all.borrow_mut();
        match all.binary_search_by(|b| b.info.borrow().id.cmp(&info.id)) {
            Ok(i) => {
                let back = all[i].lapsed.replace(false);
                let before = all[i].info.replace(info.clone());
                back || before.state != info.state
            }
            Err(i) => {
                all.insert(i, Rc::new(Backend::new(info)));
                true
            }
        }
    }

    /// A target's entry is gone for good.
    pub fn remove(&self, id: &str) -> bool {
        let mut all = self.all.borrow_mut();
        let found = all.binary_search_by(|b| b.info.borrow().id.as_str().cmp(id));
        found.map(|i| all.remove(i)).is_ok()
    }

    /// A target's entry is gone, perhaps only because the store was away: the target is used
    /// when nothing else is there, until the entry is back or the grace is over.
    pub fn lapse(&self, id: &str) {
        let all = self.all.borrow();
        if let Ok(i) = all.binary_search_by(|b| b.info.borrow().id.as_str().cmp(id)) {
            all[i].lapsed.set(true);
        }
    }

    /// Removes the targets whose entries have not come back. Returns their ids.
    pub fn sweep(&self) -> Vec<CompactString> {
        let mut all = self.all.borrow_mut();
        let gone = all.iter().filter(|b| b.lapsed.get()).map(|b| b.id()).collect();
        all.retain(|b| !b.lapsed.get());
        gone
    }

    /// Another router sent a prompt to the target of this digest.
    pub fn hinted(&self, word: u64, prefill_ms: f64, parts: &[Part]) {
        let all = self.all.borrow();
        let Some(b) = all.iter().find(|b| b.word == word) else { return };
        let now = Instant::now();
        let mut load = b.load.borrow_mut();
        load.add(Duration::from_secs_f64(prefill_ms / 1_000.0), now);
        // Until this router has sent something itself, it does not know how much fits.
        if load.cache_tokens > 0 {
            let capacity = load.cache_tokens;
            load.cache.read(parts, now, capacity);
        }
    }

    /// The ids of all targets.
    pub fn ids(&self) -> Vec<CompactString> {
        self.all.borrow().iter().map(|b| b.id()).collect()
    }

    /// How many targets a service has, and how many of them take new work.
    pub fn count(&self) -> (usize, usize) {
        let all = self.all.borrow();
        let ready = all.iter().filter(|b| b.info.borrow().state == TargetState::Ready);
        (all.len(), ready.count())
    }

    /// The targets that could take a request, with what a choice needs to know of them.
    pub fn candidates(&self, req: &PlaceRequest<'_>) -> Vec<(Rc<Backend>, Candidate)> {
        let now = Instant::now();
        let all = self.all.borrow();
        let affinity = affinity_key(req.parts);
        let takes = |b: &&Rc<Backend>| {
            let info = b.info.borrow();
            info.service == req.service && info.state == TargetState::Ready
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
        found.into_iter().enumerate().map(with_facts).collect()
    }
}

fn candidate(b: &Backend, req: &PlaceRequest<'_>, rank: usize, now: Instant) -> Candidate {
    let info = b.info.borrow();
    let load = b.load.borrow();
    let uncached = req.prompt.saturating_sub(load.cache.cached(shared_parts(req.parts)));
    let prefill_ms = if req.engine { uncached as f64 / (PREFILL_PER_MS * load.speed) } else { 0.0 };
    let wait_ms = load.read_by.saturating_duration_since(now).as_secs_f64() * 1_000.0;
    Candidate {
        near: info.zone == req.zone,
        wait_ms: wait_ms + FIRST_TOKEN_MS,
        prefill_ms,
        running: load.running,
        slots: info.slots,
        rank,
        doubtful: b.lapsed.get() || load.doubtful_until.is_some_and(|t| t > now),
        full: load.full_until.is_some_and(|t| t > now),
        tried: req.tried.contains(&info.id),
    }
}

/// The parts that other requests may share: all but the last, which is the request's own.
pub fn shared_parts(parts: &[Part]) -> &[Part] {
    parts.split_last().map_or(parts, |(_, shared)| shared)
}

/// What requests with the same cached prompt have in common: the last part they share.
fn affinity_key(parts: &[Part]) -> u64 {
    shared_parts(parts).last().or(parts.last()).map_or_else(|| fastrand::u64(..), |p| p.id)
}

fn rank_word(key: u64, id: &str) -> u64 {
    let mut bytes = Vec::with_capacity(8 + id.len());
    bytes.extend_from_slice(&key.to_le_bytes());
    bytes.extend_from_slice(id.as_bytes());
    Digest::of(&bytes).word()
}
