//! In-memory fakes without sockets for everything a router connects to: platform, targets and other
//! routers. They run on tokio's clock, so that experiments and failure tests can run whole routers
//! in virtual time.
//!
//! Each router has its own handles. A test can partition, pause or kill a single router: the calls
//! through its handles then fail, wait, or never return.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

use compact_str::{CompactString, format_compact};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep};

use super::batch::{BatchEngine, EngineSize};
use crate::engine::{
    CancelOutcome, Engine, LoadReport, Order, Piece, PieceStream, RunPiece, ServiceAnswer,
    ServiceCall, StartRun,
};
use crate::error::{Error, Kind, Result};
use crate::ids::{RequestKey, RunId, ZoneId};
use crate::membership::link::PeerHandler;
use crate::membership::view::RouterInfo;
use crate::membership::wire::{PeerClient, PeerReply, PeerRequest};
use crate::router::peers::NodePeerHandler;
use crate::table::memory::MemoryPlatform;
use crate::table::{
    Instance, InstanceList, InstanceState, ObjectStore, Outcome, Row, RowKey, Table, Txn,
};

/// One- way latency between routers, and from routers to targets.
const HOP_LATENCY: Duration = Duration::from_micros(500);
/// Duration of a call of the platform.
const PLATFORM_CALL_LATENCY: Duration = Duration::from_millis(5);
/// Time after which an unanswered call fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval at which the calls of a paused router check whether it runs again.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// State of a router's process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessState {
    /// Running.
    Up,
    /// Stopped; can be resumed.
    Paused,
    /// Ended for good.
    Dead,
}

/// A router's node that uses the fakes.
pub type LocalNode = crate::router::node::Node<LocalPlatform, LocalEngine, LocalMesh>;
/// The part of such a node that answers other routers.
pub type LocalAnswers = NodePeerHandler<LocalPlatform, LocalEngine, LocalMesh>;
type Inbox = mpsc::UnboundedSender<(PeerRequest, oneshot::Sender<PeerReply>)>;

struct RouterSlot {
    peer: CompactString,
    zone: ZoneId,
    process: Mutex<ProcessState>,
    inbox: OnceLock<Inbox>,
}

#[derive(Debug)]
struct LocalTarget {
    instance: Instance,
    serves: Vec<CompactString>,
    slots: u32,
    batch: BatchEngine,
    dead: bool,
    silent: bool,
    lose_call_answers: bool,
    reports: VecDeque<(Instant, u32, u32)>,
    calls: Vec<(RequestKey, u64)>,
}

/// The platform, the targets and the connections between routers.
pub struct LocalNetwork {
    /// State of the platform.
    pub memory: MemoryPlatform,
    slots: Mutex<Vec<Arc<RouterSlot>>>,
    targets: Mutex<Vec<LocalTarget>>,
    cut_zones: Mutex<Vec<(ZoneId, ZoneId)>>,
    cut_from_platform: Mutex<Vec<ZoneId>>,
    step_time: Duration,
    report_lag: Mutex<Duration>,
}

impl LocalNetwork {
    /// Creates a network whose targets generate one token per `step_time` and whose load reports
    /// are `report_lag` old.
    pub fn new(step_time: Duration, report_lag: Duration) -> Arc<LocalNetwork> {
        Arc::new(LocalNetwork {
            memory: MemoryPlatform::default(),
            slots: Mutex::default(),
            targets: Mutex::default(),
            cut_zones: Mutex::default(),
            cut_from_platform: Mutex::default(),
            step_time,
            report_lag: Mutex::new(report_lag),
        })
    }

    fn lock_targets(&self) -> MutexGuard<'_, Vec<LocalTarget>> {
        self.targets.lock().expect("no code panics while it holds the targets")
    }

    /// Adds a target.
    pub fn add_target(&self, name: &str, zone: &ZoneId, serves: &[&str], size: EngineSize) {
        let addr = format_compact!("target:{name}");
        let instance = Instance {
            name: CompactString::from(name),
            addr,
            zone: zone.clone(),
            state: InstanceState::Live,
        };
        self.memory.put_instance(instance.clone());
        self.lock_targets().push(LocalTarget {
            instance,
            serves: serves.iter().map(|s| CompactString::from(*s)).collect(),
            slots: size.slots as u32,
            batch: BatchEngine::new(size),
            dead: false,
            silent: false,
            lose_call_answers: false,
            reports: VecDeque::new(),
            calls: Vec::new(),
        });
    }

    /// Starts the engines of all targets.
    pub fn start_engines(self: &Arc<Self>) {
        let net = Arc::downgrade(self);
        let step_time = self.step_time;
        tokio::spawn(async move {
            loop {
                sleep(step_time).await;
                let Some(net) = net.upgrade() else { return };
                for t in net.lock_targets().iter_mut().filter(|t| !t.dead) {
                    t.batch.step();
                    let (active, queued) = t.batch.load();
                    t.reports.push_back((Instant::now(), active, queued));
                }
            }
        });
    }

    /// Adds a router. Returns its index and its handles.
    pub fn add_router(
        self: &Arc<Self>,
        peer: &str,
        zone: &ZoneId,
    ) -> (usize, LocalPlatform, LocalEngine, LocalMesh) {
        let mut slots = self.slots.lock().expect("never poisoned");
        let at = slots.len();
        slots.push(Arc::new(RouterSlot {
            peer: CompactString::from(peer),
            zone: zone.clone(),
            process: Mutex::new(ProcessState::Up),
            inbox: OnceLock::new(),
        }));
        let handle = RouterHandle { net: self.clone(), at };
        (at, LocalPlatform(handle.clone()), LocalEngine(handle.clone()), LocalMesh(handle))
    }

    /// Starts answering other routers' requests to the router at an index.
    pub fn set_answers(&self, at: usize, answers: LocalAnswers) {
        let (tx, mut rx) = mpsc::unbounded_channel();
        // Fails only if the slot already has an inbox, but each slot belongs to one router only.
        let _ = self.slot(at).inbox.set(tx);
        tokio::spawn(async move {
            while let Some((ask, tx)) = rx.recv().await {
                let answers = answers.clone();
                // The sender of the request may have stopped waiting.
                tokio::spawn(async move { tx.send(answers.handle_request(ask).await) });
            }
        });
    }

    fn slot(&self, at: usize) -> Arc<RouterSlot> {
        self.slots.lock().expect("never poisoned")[at].clone()
    }

    /// Kills, pauses or resumes a router.
    pub fn set_process(&self, at: usize, process: ProcessState) {
        *self.slot(at).process.lock().expect("never poisoned") = process;
    }

    /// State of a router's process.
    pub fn process(&self, at: usize) -> ProcessState {
        *self.slot(at).process.lock().expect("never poisoned")
    }

    /// Cuts the connections between the routers of two zones.
    pub fn cut(&self, a: &ZoneId, b: &ZoneId) {
        self.cut_zones.lock().expect("never poisoned").push((a.clone(), b.clone()));
    }

    /// Cuts the connections between a zone's routers and the platform.
    pub fn cut_platform(&self, zone: &ZoneId) {
        self.cut_from_platform.lock().expect("never poisoned").push(zone.clone());
    }

    /// Restores all connections.
    pub fn reconnect(&self) {
        self.cut_zones.lock().expect("never poisoned").clear();
        self.cut_from_platform.lock().expect("never poisoned").clear();
    }

    /// Changes the condition of a target.
    pub fn set_target(&self, name: &str, condition: TargetCondition) {
        let mut targets = self.lock_targets();
        for t in targets.iter_mut().filter(|t| t.instance.name == name) {
            t.dead = condition == TargetCondition::Dead;
            t.silent = condition == TargetCondition::Silent;
            t.lose_call_answers = condition == TargetCondition::LosesCallAnswers;
        }
    }

    /// Number of runs started by all targets, prompt blocks found in their prefix caches, and
    /// lookups.
    pub fn target_counts(&self) -> (u64, u64, u64) {
        let targets = self.lock_targets();
        targets.iter().fold((0, 0, 0), |(s, f, l), t| {
            (s + t.batch.started, f + t.batch.block_hits.0, l + t.batch.block_hits.1)
        })
    }

    /// Number of runs started by each target.
    pub fn started_by_target(&self) -> Vec<u64> {
        self.lock_targets().iter().map(|t| t.batch.started).collect()
    }

    /// Number of executions of each plain call, over all targets.
    pub fn calls(&self) -> Vec<(RequestKey, u64)> {
        self.lock_targets().iter().flat_map(|t| t.calls.clone()).collect()
    }

    /// Drops the routers' slots, which breaks the reference cycle between the routers and this
    /// network.
    pub fn close(&self) {
        self.slots.lock().expect("never poisoned").clear();
    }
}

/// Condition of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetCondition {
    /// The target works.
    Healthy,
    /// Connections are refused.
    Dead,
    /// Runs are accepted, but nothing is sent.
    Silent,
    /// Plain calls run, but their answers are lost.
    LosesCallAnswers,
}

#[derive(Clone)]
struct RouterHandle {
    net: Arc<LocalNetwork>,
    at: usize,
}

impl RouterHandle {
    /// Returns at once for a running process, and as soon as it is resumed for a paused one. Never
    /// returns for a dead one.
    async fn wait_until_running(&self) {
        loop {
            match self.process() {
                Some(ProcessState::Up) => return,
                Some(ProcessState::Paused) => sleep(PAUSE_POLL_INTERVAL).await,
                Some(ProcessState::Dead) | None => std::future::pending().await,
            }
        }
    }

    fn process(&self) -> Option<ProcessState> {
        let slots = self.net.slots.lock().expect("never poisoned");
        slots.get(self.at).map(|s| *s.process.lock().expect("never poisoned"))
    }

    fn zone(&self) -> Option<ZoneId> {
        self.net.slots.lock().expect("never poisoned").get(self.at).map(|s| s.zone.clone())
    }

    async fn platform(&self) -> Result<&MemoryPlatform> {
        self.wait_until_running().await;
        sleep(PLATFORM_CALL_LATENCY).await;
        let zone = self.zone();
        let cut = self.net.cut_from_platform.lock().expect("never poisoned").clone();
        if cut.iter().any(|z| Some(z) == zone.as_ref()) {
            sleep(CALL_TIMEOUT).await;
            return Err(Error::new(Kind::PlatformAway, "cut off from the platform"));
        }
        Ok(&self.net.memory)
    }
}

/// A router's client of the platform.
#[derive(Clone)]
pub struct LocalPlatform(RouterHandle);

impl Table for LocalPlatform {
    async fn read(&self, keys: Vec<RowKey>) -> Result<Vec<Row>> {
        self.0.platform().await?.read(keys).await
    }

    async fn scan(&self, prefix: RowKey, after: RowKey, limit: usize) -> Result<Vec<Row>> {
        self.0.platform().await?.scan(prefix, after, limit).await
    }

    async fn write(&self, txn: Txn) -> Result<Outcome> {
        let outcome = self.0.platform().await?.write(txn).await;
        // If the process was stopped meanwhile, it does not receive the answer.
        self.0.wait_until_running().await;
        outcome
    }
}

impl ObjectStore for LocalPlatform {
    async fn put(&self, name: RowKey, data: Vec<u8>) -> Result<()> {
        self.0.platform().await?.put(name, data).await
    }

    async fn get(&self, name: RowKey) -> Result<Vec<u8>> {
        self.0.platform().await?.get(name).await
    }
}

impl InstanceList for LocalPlatform {
    async fn list(&self) -> Result<Vec<Instance>> {
        self.0.platform().await?.list().await
    }
}

/// A router's connections to other routers.
#[derive(Clone)]
pub struct LocalMesh(RouterHandle);

impl PeerClient for LocalMesh {
    async fn rpc(&self, to: &RouterInfo, ask: PeerRequest) -> Result<PeerReply> {
        let handle = &self.0;
        handle.wait_until_running().await;
        sleep(HOP_LATENCY).await;
        let slots = handle.net.slots.lock().expect("never poisoned").clone();
        let refused = || Error::new(Kind::Io, format!("{} refuses the connection", to.incarnation));
        let timed_out = || Error::new(Kind::Timeout, format!("no reply from {}", to.incarnation));
        let slot = slots.iter().find(|s| s.peer == to.peer).ok_or_else(refused)?;
        let process = *slot.process.lock().expect("never poisoned");
        let zone = handle.zone();
        let cut = handle.net.cut_zones.lock().expect("never poisoned").iter().any(|(a, b)| {
            let pair = (zone.as_ref(), Some(&slot.zone));
            pair == (Some(a), Some(b)) || pair == (Some(b), Some(a))
        });
        if cut || process == ProcessState::Paused {
            sleep(CALL_TIMEOUT).await;
            return Err(timed_out());
        }
        if process == ProcessState::Dead {
            return Err(refused());
        }
        let (tx, rx) = oneshot::channel();
        slot.inbox.get().ok_or_else(refused)?.send((ask, tx)).map_err(|_| refused())?;
        let reply = tokio::time::timeout(CALL_TIMEOUT, rx)
            .await
            .map_err(|_| timed_out())?
            .map_err(|_| timed_out())?;
        sleep(HOP_LATENCY).await;
        handle.wait_until_running().await;
        reply.into_result()
    }
}

/// A router's client of the targets.
#[derive(Clone)]
pub struct LocalEngine(RouterHandle);

impl LocalEngine {
    async fn with_target<T>(
        &self,
        addr: &str,
        f: impl FnOnce(&mut LocalTarget) -> Result<T>,
    ) -> Result<T> {
        self.0.wait_until_running().await;
        sleep(HOP_LATENCY).await;
        let mut targets = self.0.net.lock_targets();
        let found = targets.iter_mut().find(|t| t.instance.addr == addr && !t.dead);
        let unreachable = || Error::new(Kind::NoTarget, "the target refuses connections");
        f(found.ok_or_else(unreachable)?)
    }

    fn parts(&self, addr: &str, run: &RunId, at: u64) -> LocalParts {
        LocalParts { engine: self.clone(), addr: addr.into(), run: run.clone(), at, over: false }
    }
}

/// The stream of a run's answer.
pub struct LocalParts {
    engine: LocalEngine,
    addr: CompactString,
    run: RunId,
    at: u64,
    over: bool,
}

impl LocalParts {
    /// Returns the next piece of the answer, `Some(None)` if there is none yet, or `None` at the
    /// end of the stream.
    fn poll(&mut self) -> Result<Option<Option<Piece>>> {
        let targets = self.engine.0.net.lock_targets();
        let found = targets.iter().find(|t| t.instance.addr == self.addr && !t.dead);
        let unreachable = || Error::new(Kind::TargetFailed, "the target does not run any more");
        let target = found.ok_or_else(unreachable)?;
        if target.silent {
            return Ok(Some(None));
        }
        let Some(run) = target.batch.run(&self.run) else { return Ok(None) };
        if let Some(text) = run.tokens.get(self.at as usize) {
            self.at += 1;
            return Ok(Some(Some(Piece::Token { offset: self.at - 1, text: text.clone() })));
        }
        self.over = run.is_over();
        match (run.is_complete(), run.is_over()) {
            (true, _) => Ok(Some(Some(Piece::End(run.usage())))),
            (false, true) => Ok(None),
            (false, false) => Ok(Some(None)),
        }
    }
}

impl PieceStream for LocalParts {
    async fn next(&mut self) -> Result<Option<RunPiece>> {
        loop {
            self.engine.0.wait_until_running().await;
            if self.over {
                return Ok(None);
            }
            match self.poll()? {
                Some(Some(piece)) => return Ok(Some(RunPiece { run: self.run.clone(), piece })),
                Some(None) => sleep(self.engine.0.net.step_time).await,
                None => return Ok(None),
            }
        }
    }
}

impl Engine for LocalEngine {
    type PieceStream = LocalParts;

    async fn start(&self, addr: &str, run: &StartRun) -> Result<LocalParts> {
        self.with_target(addr, |t| {
            t.batch.start(run);
            Ok(())
        })
        .await?;
        Ok(self.parts(addr, &run.run, run.so_far.len() as u64))
    }

    async fn resume(&self, addr: &str, run: &RunId, from: u64) -> Result<LocalParts> {
        let lost = || Error::new(Kind::RunLost, "the target does not know the run");
        self.with_target(addr, |t| t.batch.run(run).map(drop).ok_or_else(lost)).await?;
        Ok(self.parts(addr, run, from))
    }

    async fn cancel(&self, addr: &str, run: &RunId) -> Result<CancelOutcome> {
        self.with_target(addr, |t| Ok(t.batch.cancel(run))).await
    }

    async fn report(&self, addr: &str) -> Result<LoadReport> {
        let lag = *self.0.net.report_lag.lock().expect("never poisoned");
        self.with_target(addr, |t| {
            while t.reports.len() > 1 && t.reports[1].0.elapsed() >= lag {
                t.reports.pop_front();
            }
            let (at, active, queued) = t.reports.front().copied().unwrap_or((Instant::now(), 0, 0));
            let age_ms = at.elapsed().as_millis() as u64;
            let serves = t.serves.clone();
            Ok(LoadReport {
                active,
                queued,
                slots: t.slots,
                age_ms,
                serves,
                leaving: false,
                fence: 0,
            })
        })
        .await
    }

    async fn order(&self, addr: &str, order: &Order) -> Result<()> {
        self.with_target(addr, |t| {
            t.serves = order.load.clone();
            Ok(())
        })
        .await
    }

    async fn call(&self, addr: &str, call: &ServiceCall) -> Result<ServiceAnswer> {
        let lost = self
            .with_target(addr, |t| {
                match t.calls.iter_mut().find(|(k, _)| *k == call.key) {
                    Some((_, n)) => *n += 1,
                    None => t.calls.push((call.key.clone(), 1)),
                }
                Ok(t.lose_call_answers)
            })
            .await?;
        if lost {
            return Err(Error::new(Kind::TargetFailed, "the answer was lost"));
        }
        Ok(ServiceAnswer { status: 200, body: format!("{{\"path\":{:?}}}", call.path) })
    }
}
