//! Fakes at the interfaces of routers, without sockets: a platform, targets and links in memory,
//! on tokio's clock. Experiments and failure tests run whole routers over them in virtual time.
//!
//! Each router has its own handles, so that one can be cut off, paused or killed: whatever it
//! does through them fails, waits, or never comes back.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

use compact_str::{CompactString, format_compact};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep};

use super::batch::{BatchEngine, EngineSize};
use crate::engine::{
    Cancelled, Engine, LoadReport, Order, Part, Parts, Piece, ServiceAnswer, ServiceCall, StartRun,
};
use crate::error::{Error, Kind, Result};
use crate::ids::{RequestKey, RunId, ZoneId};
use crate::membership::link::Answerer;
use crate::membership::view::Entry;
use crate::membership::wire::{Ask, Mesh, Reply};
use crate::router::peers::PeerAnswers;
use crate::table::memory::Memory;
use crate::table::{Instance, InstanceState, Instances, Objects, Outcome, Row, RowKey, Table, Txn};

/// One way between routers, and to targets.
const HOP_LATENCY: Duration = Duration::from_micros(500);
/// A call of the platform.
const PLATFORM_CALL_LATENCY: Duration = Duration::from_millis(5);
/// Time until an unanswered call counts as failed.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause between looks of a paused router's calls.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// State of a router's process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessState {
    /// It runs.
    Up,
    /// It is stopped and may go on later.
    Paused,
    /// It is gone.
    Dead,
}

/// A node over the fakes.
pub type LocalNode = crate::router::node::Node<LocalPlatform, LocalEngine, LocalMesh>;
/// Answers for a node over the fakes.
pub type LocalAnswers = PeerAnswers<LocalPlatform, LocalEngine, LocalMesh>;
type Inbox = mpsc::UnboundedSender<(Ask, oneshot::Sender<Reply>)>;

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

/// Everything between the routers.
pub struct LocalNetwork {
    /// The platform's state.
    pub memory: Memory,
    slots: Mutex<Vec<Arc<RouterSlot>>>,
    targets: Mutex<Vec<LocalTarget>>,
    cut_zones: Mutex<Vec<(ZoneId, ZoneId)>>,
    cut_from_platform: Mutex<Vec<ZoneId>>,
    step_time: Duration,
    report_lag: Mutex<Duration>,
}

impl LocalNetwork {
    /// A net whose targets take `step_time` for a token.
    pub fn new(step_time: Duration, report_lag: Duration) -> Arc<LocalNetwork> {
        Arc::new(LocalNetwork {
            memory: Memory::default(),
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

    /// Starts the targets' engines.
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

    /// Adds a router's place, and gives its handles.
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

    /// The router at a place answers from now on.
    pub fn set_answers(&self, at: usize, answers: LocalAnswers) {
        let (tx, mut rx) = mpsc::unbounded_channel();
        // A place is given to one router only.
        let _ = self.slot(at).inbox.set(tx);
        tokio::spawn(async move {
            while let Some((ask, tx)) = rx.recv().await {
                let answers = answers.clone();
                // Who asked may have stopped waiting.
                tokio::spawn(async move { tx.send(answers.answer(ask).await) });
            }
        });
    }

    fn slot(&self, at: usize) -> Arc<RouterSlot> {
        self.slots.lock().expect("never poisoned")[at].clone()
    }

    /// Kills, pauses or wakes a router.
    pub fn set_process(&self, at: usize, process: ProcessState) {
        *self.slot(at).process.lock().expect("never poisoned") = process;
    }

    /// State of a router.
    pub fn process(&self, at: usize) -> ProcessState {
        *self.slot(at).process.lock().expect("never poisoned")
    }

    /// Cuts two zones' routers from each other.
    pub fn cut(&self, a: &ZoneId, b: &ZoneId) {
        self.cut_zones.lock().expect("never poisoned").push((a.clone(), b.clone()));
    }

    /// Cuts a zone's routers from the platform.
    pub fn cut_platform(&self, zone: &ZoneId) {
        self.cut_from_platform.lock().expect("never poisoned").push(zone.clone());
    }

    /// Mends all cuts.
    pub fn reconnect(&self) {
        self.cut_zones.lock().expect("never poisoned").clear();
        self.cut_from_platform.lock().expect("never poisoned").clear();
    }

    /// Changes a target's condition.
    pub fn set_target(&self, name: &str, condition: TargetCondition) {
        let mut targets = self.lock_targets();
        for t in targets.iter_mut().filter(|t| t.instance.name == name) {
            t.dead = condition == TargetCondition::Dead;
            t.silent = condition == TargetCondition::Silent;
            t.lose_call_answers = condition == TargetCondition::LosesCallAnswers;
        }
    }

    /// Runs that all targets started together, and prefix blocks found and looked for.
    pub fn target_counts(&self) -> (u64, u64, u64) {
        let targets = self.lock_targets();
        targets.iter().fold((0, 0, 0), |(s, f, l), t| {
            (s + t.batch.started, f + t.batch.block_hits.0, l + t.batch.block_hits.1)
        })
    }

    /// Runs that each target started.
    pub fn started_by_target(&self) -> Vec<u64> {
        self.lock_targets().iter().map(|t| t.batch.started).collect()
    }

    /// How often each plain call ran, over all targets.
    pub fn calls(&self) -> Vec<(RequestKey, u64)> {
        self.lock_targets().iter().flat_map(|t| t.calls.clone()).collect()
    }

    /// Lets go of the routers, which hold the net in turn.
    pub fn close(&self) {
        self.slots.lock().expect("never poisoned").clear();
    }
}

/// What can become of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetCondition {
    /// It works.
    Healthy,
    /// Connections are refused.
    Dead,
    /// Runs are taken, and nothing more is said.
    Silent,
    /// Plain calls run, and their answers are lost.
    LosesCallAnswers,
}

#[derive(Clone)]
struct RouterHandle {
    net: Arc<LocalNetwork>,
    at: usize,
}

impl RouterHandle {
    /// A dead process never goes on; a paused one goes on when it is woken.
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

    async fn platform(&self) -> Result<&Memory> {
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

/// A router's way to the platform.
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
        // A process that was stopped meanwhile does not see the answer.
        self.0.wait_until_running().await;
        outcome
    }
}

impl Objects for LocalPlatform {
    async fn put(&self, name: RowKey, data: Vec<u8>) -> Result<()> {
        self.0.platform().await?.put(name, data).await
    }

    async fn get(&self, name: RowKey) -> Result<Vec<u8>> {
        self.0.platform().await?.get(name).await
    }
}

impl Instances for LocalPlatform {
    async fn list(&self) -> Result<Vec<Instance>> {
        self.0.platform().await?.list().await
    }
}

/// A router's way to other routers.
#[derive(Clone)]
pub struct LocalMesh(RouterHandle);

impl Mesh for LocalMesh {
    async fn ask(&self, to: &Entry, ask: Ask) -> Result<Reply> {
        let handle = &self.0;
        handle.wait_until_running().await;
        sleep(HOP_LATENCY).await;
        let slots = handle.net.slots.lock().expect("never poisoned").clone();
        let refused = || Error::new(Kind::Io, format!("{} refuses the link", to.incarnation));
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
        reply.accepted()
    }
}

/// A router's way to targets.
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

/// The pieces of a run.
pub struct LocalParts {
    engine: LocalEngine,
    addr: CompactString,
    run: RunId,
    at: u64,
    over: bool,
}

impl LocalParts {
    /// The next piece that is there; `None` inside: not yet.
    fn poll(&mut self) -> Result<Option<Option<Piece>>> {
        let targets = self.engine.0.net.lock_targets();
        let found = targets.iter().find(|t| t.instance.addr == self.addr && !t.dead);
        let unreachable = || Error::new(Kind::TargetFailed, "the target went away");
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

impl Parts for LocalParts {
    async fn next(&mut self) -> Result<Option<Part>> {
        loop {
            self.engine.0.wait_until_running().await;
            if self.over {
                return Ok(None);
            }
            match self.poll()? {
                Some(Some(piece)) => return Ok(Some(Part { run: self.run.clone(), piece })),
                Some(None) => sleep(self.engine.0.net.step_time).await,
                None => return Ok(None),
            }
        }
    }
}

impl Engine for LocalEngine {
    type Parts = LocalParts;

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

    async fn cancel(&self, addr: &str, run: &RunId) -> Result<Cancelled> {
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
