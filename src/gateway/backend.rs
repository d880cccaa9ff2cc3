//! One target as seen by this router: its entry in the store, its idle connections, and its load
//! and health as measured by this router's own requests.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use compact_str::CompactString;
use tokio::time::Instant;

use super::capacity::EndedRequests;
use super::liveness::Liveness;
use super::load::Load;
use super::notice::Availability;
use super::origins::VersionDigest;
use super::pool::Pool;
use super::quarantine::Incarnation;
use super::request::PromptPart;
use super::timing::{FirstTokenModel, PrefillWork};
use crate::error::{Error, Kind, Result};
use crate::ids::Digest;

/// Number of consecutive failures after which a target is unhealthy, that is, used only if no
/// other target is left.
const UNHEALTHY_AFTER_FAILURES: u32 = 2;
/// How long a target is unhealthy after it reaches [`UNHEALTHY_AFTER_FAILURES`]; doubled with each
/// further failure.
const FIRST_UNHEALTHY_TIME: Duration = Duration::from_millis(400);
/// Maximum time for which a target is unhealthy. After that, requests are sent to it again.
const MAX_UNHEALTHY_TIME: Duration = Duration::from_secs(3);
/// How long a target that rejected a request gets no further ones, unless it asks for longer. A
/// step of an engine takes about 10 ms, and a slot becomes free every few steps.
const REJECTION_PAUSE: Duration = Duration::from_millis(120);

/// Maximum length of a software version, in bytes.
const MAX_VERSION_BYTES: usize = 200;

/// Whether a target accepts new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetState {
    /// The target accepts new requests.
    Ready,
    /// The target is about to stop and accepts no new requests.
    Draining,
}

/// The digest that identifies a target in messages between routers.
pub fn target_digest(id: &str) -> u64 {
    Digest::of(id.as_bytes()).first_u64()
}

/// Version of a target's software, as its entry states it. It is never empty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SoftwareVersion(CompactString);

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for SoftwareVersion {
    type Err = Error;

    /// # Errors
    /// `BadFormat` if the version is empty or longer than [`MAX_VERSION_BYTES`].
    fn from_str(s: &str) -> Result<SoftwareVersion> {
        if s.is_empty() || s.len() > MAX_VERSION_BYTES {
            let problem = format!("a software version has 1 to {MAX_VERSION_BYTES} bytes");
            return Err(Error::new(Kind::BadFormat, problem));
        }
        Ok(SoftwareVersion(s.into()))
    }
}

/// The entry of a target in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetInfo {
    /// Id of the target.
    pub id: CompactString,
    /// Name of the service that the target runs.
    pub service: CompactString,
    /// Address of the target. Another target may reuse it once this one has ended.
    pub addr: SocketAddr,
    /// Availability zone of the target.
    pub zone: CompactString,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target accepts new requests.
    pub state: TargetState,
    /// Remaining warm-up time, during which the target is slow.
    pub warm_up: Duration,
    /// When the target started, if it reports that. A target may start again under the same id.
    pub started_at: Option<StartedMs>,
    /// Version of the target's software; `None` if its entry states none that is valid.
    pub version: Option<SoftwareVersion>,
}

/// Start time of a target in Unix milliseconds, by the target's own clock.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct StartedMs(pub u64);

/// A target and what this router knows about it.
#[derive(Debug)]
pub struct Backend {
    /// The latest entry of the target.
    pub info: RefCell<TargetInfo>,
    /// Idle connections to the target.
    pub pool: RefCell<Pool>,
    /// Whether the target's process has ended.
    pub process_state: Liveness,
    /// What the target reported about itself in its answers.
    pub self_reported: Availability,
    pub(super) load: RefCell<Load>,
    /// Latency estimate for the engines of the target's service.
    pub(super) timing: Rc<RefCell<FirstTokenModel>>,
    /// Version of the target's software, as its entry stated it when the target became known.
    version: Option<VersionDigest>,
    /// Digest of the target's id; see [`target_digest`].
    pub(super) id_digest: u64,
    /// Set if the entry is missing in the store. The store may have lost it while the target still
    /// runs.
    pub(super) entry_lapsed: Cell<bool>,
    /// End of the target's warm-up.
    cold_until: Cell<Option<Instant>>,
    /// When the target next has capacity for a request of this router, if requests to it are
    /// limited.
    no_room_until: Cell<Option<Instant>>,
}

impl TargetInfo {
    /// Whether this entry belongs to an earlier start than `known`; `false` if either start is
    /// unknown.
    pub fn started_before(&self, known: Option<StartedMs>) -> bool {
        known.zip(self.started_at).is_some_and(|(known, new)| new < known)
    }

    /// Whether this entry belongs to a later start than `known`; `false` if either start is
    /// unknown.
    pub fn started_after(&self, known: Option<StartedMs>) -> bool {
        known.zip(self.started_at).is_some_and(|(known, new)| new > known)
    }
}

impl Backend {
    pub(super) fn new(
        info: TargetInfo,
        self_reported: Availability,
        timing: Rc<RefCell<FirstTokenModel>>,
    ) -> Backend {
        let version = info.version.as_ref();
        let backend = Backend {
            id_digest: target_digest(&info.id),
            version: version.map(|v| VersionDigest::of(&info.service, &v.0)),
            info: RefCell::new(info),
            pool: RefCell::default(),
            process_state: Liveness::default(),
            self_reported,
            load: RefCell::new(Load::new(Instant::now())),
            timing,
            entry_lapsed: Cell::new(false),
            cold_until: Cell::new(None),
            no_room_until: Cell::new(None),
        };
        let warm_up = backend.info.borrow().warm_up;
        backend.extend_cold(warm_up);
        backend
    }

    /// Marks the target as cold for at least `time` from now.
    pub fn extend_cold(&self, time: Duration) {
        if !time.is_zero() {
            let until = Instant::now().checked_add(time);
            self.cold_until.set(self.cold_until.get().max(until));
        }
    }

    /// Whether the target is warming up.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.get().is_some_and(|t| t > now)
    }

    /// Marks the target as without capacity for requests of this router for `time`.
    pub fn set_no_room(&self, time: Duration) {
        self.no_room_until.set(Instant::now().checked_add(time));
    }

    /// Time until the target has capacity for a request of this router; `None` if it has some, or
    /// if that is not known.
    pub fn room_in(&self, now: Instant) -> Option<Duration> {
        let left = self.no_room_until.get()?.saturating_duration_since(now);
        Some(left).filter(|t| !t.is_zero())
    }

    /// Number of requests that this router has sent to the target and that have not ended.
    pub fn sent_requests(&self) -> u32 {
        self.load.borrow().sent_requests
    }

    /// The target's id.
    pub fn id(&self) -> CompactString {
        self.info.borrow().id.clone()
    }

    /// Version of the target's software, for logs; `None` if it is not known.
    pub fn version_name(&self) -> Option<SoftwareVersion> {
        self.info.borrow().version.clone()
    }

    /// Version of the target's software; `None` if it is not known.
    pub fn version(&self) -> Option<VersionDigest> {
        self.version
    }

    /// The version that the target's streams begin at. Targets of a service whose version is not
    /// known share one, which no stream may resume at.
    pub fn stream_version(&self) -> VersionDigest {
        self.version.unwrap_or_else(|| VersionDigest::of(&self.info.borrow().service, ""))
    }

    /// The target's address.
    pub fn addr(&self) -> SocketAddr {
        self.info.borrow().addr
    }

    /// Identifies this start of the target in messages between routers.
    pub fn incarnation(&self) -> Incarnation {
        let info = self.info.borrow();
        let started_at = info.started_at.map_or(0, |b| b.0);
        Incarnation(target_digest(&format!("{}/{started_at}", info.id)))
    }

    /// Whether neither the entry nor the target itself announced that it leaves. An entry that is
    /// missing in the store announces nothing.
    pub fn is_expected_to_stay(&self) -> bool {
        self.info.borrow().state == TargetState::Ready && !self.self_reported.is_leaving()
    }

    /// Records that a request got an answer.
    pub fn record_answer(&self) {
        self.process_state.mark_alive();
        self.reset_failures();
    }

    /// Records that a request failed or got no answer.
    pub fn record_failure(&self) {
        let mut load = self.load.borrow_mut();
        load.failures += 1;
        if load.failures >= UNHEALTHY_AFTER_FAILURES {
            let doubled =
                FIRST_UNHEALTHY_TIME * 2_u32.pow((load.failures - UNHEALTHY_AFTER_FAILURES).min(4));
            load.unhealthy_until = Some(Instant::now() + doubled.min(MAX_UNHEALTHY_TIME));
        }
    }

    /// Forgets failures of requests and connections.
    pub(super) fn reset_failures(&self) {
        let mut load = self.load.borrow_mut();
        load.failures = 0;
        load.unhealthy_until = None;
    }

    /// Records that connecting failed or that another target uses the address now. This counts as
    /// two failures, so that the target is unhealthy at once, and closes the idle connections.
    pub fn record_unreachable(&self) {
        self.load.borrow_mut().failures += 1;
        self.record_failure();
        self.pool.borrow_mut().clear();
    }

    /// Records that the target rejected a request without running it. `pause` is how long a target
    /// that rejections endanger gets no further ones.
    pub fn record_rejection(&self, pause: Option<Duration>) {
        self.self_reported.back_off(Instant::now(), pause.unwrap_or(REJECTION_PAUSE));
    }
}

/// A request that is in flight at a target. It counts as load until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    backend: Rc<Backend>,
    sent_at: Instant,
    plan: PlacementPlan,
    /// Number of its prompt among those that the engine has yet to read; `None` once the prompt was
    /// read.
    prompt_number: Option<u64>,
    /// Set once the request is written to the target.
    ended: Option<Rc<EndedRequests>>,
}

impl InFlight {
    /// Counts a request that is sent to `backend` now.
    pub fn begin(backend: &Rc<Backend>, plan: &PlacementPlan, now: Instant) -> InFlight {
        let mut load = backend.load.borrow_mut();
        load.in_flight_requests += 1;
        let prompt_number =
            plan.engine.then(|| load.add_prefill(duration_from_ms(plan.prefill_ms), now));
        drop(load);
        InFlight { backend: backend.clone(), sent_at: now, plan: *plan, prompt_number, ended: None }
    }

    /// Records that the request is written to the target, which will then have the parts of its
    /// prompt cached. Its end is recorded in `ended`.
    pub fn record_sent(&mut self, parts: &[PromptPart], ended: Rc<EndedRequests>) {
        self.ended = Some(ended);
        let mut load = self.backend.load.borrow_mut();
        load.sent_requests += 1;
        if self.plan.engine {
            load.cache.insert_parts(parts, Instant::now(), self.plan.cache_tokens);
        }
    }

    /// The target that runs the request.
    pub fn backend(&self) -> &Rc<Backend> {
        &self.backend
    }

    /// The prediction that the placement was based on.
    pub fn plan(&self) -> &PlacementPlan {
        &self.plan
    }

    /// Records the first event, which shows that the engine has read the prompt. Returns the time
    /// since the send began.
    pub fn record_first_event(&mut self) -> Duration {
        let now = Instant::now();
        let took = now - self.sent_at;
        let Some(number) = self.prompt_number.take() else { return took };
        let took_ms = took.as_secs_f64() * 1_000.0;
        let mut timing = self.backend.timing.borrow_mut();
        let mut load = self.backend.load.borrow_mut();
        let base_ms = timing.estimate().map_or(0.0, |e| e.base_ms) * load.slowdown.get();
        load.finish_prefill(
            number,
            now.checked_sub(duration_from_ms(base_ms)).unwrap_or(now).max(self.sent_at),
        );
        // A mispredicted wait shows nothing about the speed of the engine.
        let without_wait_ms = took_ms - self.plan.wait_ms;
        if without_wait_ms > self.plan.wait_ms {
            let slowdown = load.slowdown.get();
            let work = PrefillWork::of(self.plan.prompt, self.plan.uncached);
            let expected = timing.estimate().map(|e| e.of(work));
            timing.note(work, without_wait_ms / slowdown);
            if let Some(expected) = expected {
                load.slowdown.note(expected, without_wait_ms);
            }
        }
        took
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut load = self.backend.load.borrow_mut();
        load.in_flight_requests -= 1;
        if let Some(number) = self.prompt_number {
            load.cancel_prefill(number);
        }
        if let Some(ended) = &self.ended {
            load.sent_requests -= 1;
            drop(load);
            ended.record(&self.backend);
        }
    }
}

/// The predicted cost of a request at the selected target.
#[derive(Clone, Copy, Debug)]
pub struct PlacementPlan {
    /// Whether the request uses a model engine.
    pub engine: bool,
    /// Number of prompt tokens.
    pub prompt: u64,
    /// Number of prompt tokens that the target has not cached.
    pub uncached: u64,
    /// Predicted wait for prompts that were sent earlier, in ms.
    pub wait_ms: f64,
    /// Predicted time to read the uncached part of the prompt, in ms.
    pub prefill_ms: f64,
    /// Predicted time to the first token, in ms.
    pub predicted_ms: f64,
    /// Capacity of the target's prompt cache, in tokens.
    pub cache_tokens: u64,
}

/// Converts a computed time in ms. A value that is not a valid duration, such as an estimate
/// without any answers, becomes zero.
pub(super) fn duration_from_ms(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or_default()
}
