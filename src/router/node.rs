//! The state that all parts of a router share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};

use cadence::StatsdClient;

use super::gates::Gates;
use super::session::Session;
use crate::budget::reclaim::{AddressLookup, BackupSealer, Reclaimer};
use crate::budget::sizing::Sizing;
use crate::budget::witness::{HoldCopy, Witness};
use crate::clock::Clock;
use crate::config::Config;
use crate::config::settings::Settings;
use crate::config::store::ConfigFollower;
use crate::engine::Engine;
use crate::error::{Error, Kind, Result};
use crate::ids::{Incarnation, Millis, OrganisationId, RequestKey, TargetId};
use crate::membership::selection::home_routers;
use crate::membership::view::{RouterInfo, View};
use crate::membership::wire::{KnownRequest, PeerClient, PeerReply, PeerRequest};
use crate::request::runs::{Lookup, Run, Runs};
use crate::route::picker::Picker;
use crate::route::retry::RetryBudget;
use crate::table::Platform;

/// Target addresses out of the picker.
#[derive(Clone, Debug)]
pub struct PickerAddresses(pub Arc<Mutex<Picker>>);

impl AddressLookup for PickerAddresses {
    fn addr(&self, target: &TargetId) -> Option<compact_str::CompactString> {
        self.0.lock().expect("no code panics while it holds the picker").addr(target)
    }
}

/// Asks backups over the links between routers.
#[derive(Clone, Debug)]
pub struct MeshSeals<M: PeerClient> {
    mesh: M,
    known: Vec<RouterInfo>,
}

impl<M: PeerClient> BackupSealer for MeshSeals<M> {
    async fn seal_at(&self, backup: &Incarnation, holder: &Incarnation) -> Result<Vec<HoldCopy>> {
        let unknown = || Error::new(Kind::Io, format!("backup {backup} is not known"));
        let to = self.known.iter().find(|e| e.incarnation == *backup).ok_or_else(unknown)?;
        match self
            .mesh
            .rpc(to, PeerRequest::Seal { keeper: backup.clone(), holder: holder.clone() })
            .await?
        {
            PeerReply::Copies(copies) => Ok(copies),
            _ => {
                Err(Error::new(Kind::BadFormat, format!("backup {backup} answered something else")))
            }
        }
    }
}

/// One router.
pub struct Node<P: Platform, E: Engine, M: PeerClient> {
    /// Its settings.
    pub settings: Settings,
    /// Time.
    pub clock: Clock,
    /// The platform.
    pub platform: P,
    /// Targets.
    pub engine: E,
    /// Other routers.
    pub mesh: M,
    /// The configuration in force.
    pub cfg: Arc<RwLock<Config>>,
    /// Follows the configuration.
    pub follower: tokio::sync::Mutex<ConfigFollower>,
    /// Wakes the follower.
    pub new_revision: tokio::sync::Notify,
    /// Who else is there.
    pub view: Mutex<View>,
    /// Target choice.
    pub picker: Arc<Mutex<Picker>>,
    /// Fair queues.
    pub gates: Gates,
    /// Retry budget.
    pub retries: Mutex<RetryBudget>,
    /// Requests by key.
    pub runs: Mutex<Runs>,
    /// Copies of other routers' holds.
    pub witness: Arc<Mutex<Witness>>,
    session: RwLock<Arc<Session<P, M>>>,
    past: Mutex<Vec<Incarnation>>,
    draining: AtomicBool,
    refusing: AtomicBool,
    ready: AtomicBool,
    /// Whether it borrows from others.
    lending: bool,
    /// Overrides the sizing of grants, for experiments.
    pub sizing: Option<Sizing>,
    /// Metrics.
    pub metrics: StatsdClient,
    /// Counts for `status`.
    pub counts: Counts,
}

/// Counts of one router since its start.
#[derive(Debug, Default)]
pub struct Counts {
    /// Requests received.
    pub requests: AtomicU64,
    /// Whole answers.
    pub answered: AtomicU64,
    /// Refusals and failures.
    pub refused: AtomicU64,
    /// Second and further attempts.
    pub retries: AtomicU64,
    /// Requests joined across routers.
    pub joined: AtomicU64,
    /// Pieces dropped: late, doubled or of another run.
    pub dropped: AtomicU64,
}

impl Counts {
    /// Adds one.
    pub fn add(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// What a node is made of.
pub struct NodeParts<P: Platform, E: Engine, M: PeerClient> {
    /// Its settings.
    pub settings: Settings,
    /// Time.
    pub clock: Clock,
    /// The platform.
    pub platform: P,
    /// Targets.
    pub engine: E,
    /// Other routers.
    pub mesh: M,
    /// The configuration in force.
    pub cfg: Arc<RwLock<Config>>,
    /// Follows the configuration.
    pub follower: ConfigFollower,
    /// Who else is there.
    pub view: View,
    /// Target choice.
    pub picker: Picker,
    /// The first incarnation.
    pub session: Arc<Session<P, M>>,
    /// Metrics.
    pub metrics: StatsdClient,
    /// Whether it borrows from others.
    pub lending: bool,
    /// Overrides the sizing of grants, for experiments.
    pub sizing: Option<Sizing>,
}

impl<P: Platform, E: Engine, M: PeerClient> Node<P, E, M> {
    /// Puts a node together.
    pub fn new(parts: NodeParts<P, E, M>) -> Node<P, E, M> {
        Node {
            settings: parts.settings,
            clock: parts.clock,
            platform: parts.platform,
            engine: parts.engine,
            mesh: parts.mesh,
            cfg: parts.cfg,
            follower: tokio::sync::Mutex::new(parts.follower),
            new_revision: tokio::sync::Notify::new(),
            view: Mutex::new(parts.view),
            picker: Arc::new(Mutex::new(parts.picker)),
            gates: Gates::default(),
            retries: Mutex::new(RetryBudget::new(100)),
            runs: Mutex::default(),
            witness: Arc::default(),
            session: RwLock::new(parts.session),
            past: Mutex::default(),
            draining: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            ready: AtomicBool::new(false),
            metrics: parts.metrics,
            lending: parts.lending,
            sizing: parts.sizing,
            counts: Counts::default(),
        }
    }

    /// The time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// The current incarnation.
    pub fn session(&self) -> Arc<Session<P, M>> {
        self.session.read().expect("never poisoned").clone()
    }

    /// Replaces the incarnation after it was sealed.
    pub fn set_session(&self, session: Arc<Session<P, M>>) {
        self.past.lock().expect("never poisoned").push(self.session().incarnation.clone());
        *self.session.write().expect("never poisoned") = session;
    }

    /// Whether this process is, or was, that incarnation.
    ///
    /// Guards against another process at the address of a dead one: it would answer for copies
    /// that died with the other's memory, and the tokens of their runs would be given away.
    ///
    /// # Errors
    /// `Io`, as for a router that is not there.
    pub fn check_keeper(&self, keeper: &Incarnation) -> Result<()> {
        let was = self.past.lock().expect("never poisoned").contains(keeper);
        let other = || Error::new(Kind::Io, format!("{keeper} is not here any more"));
        (was || self.session().incarnation == *keeper).then_some(()).ok_or_else(other)
    }

    /// The view of other routers.
    pub fn lock_view(&self) -> MutexGuard<'_, View> {
        self.view.lock().expect("no code panics while it holds the view")
    }

    /// Target choice.
    pub fn lock_picker(&self) -> MutexGuard<'_, Picker> {
        self.picker.lock().expect("no code panics while it holds the picker")
    }

    /// Requests by key.
    pub fn lock_runs(&self) -> MutexGuard<'_, Runs> {
        self.runs.lock().expect("no code panics while it holds the runs")
    }

    /// Finds the request of that key, or spawns what drives the new one to its end.
    ///
    /// # Errors
    /// `KeyReused` when the key belongs to other content.
    pub fn open<F>(&self, new: Run, drive: impl FnOnce(Arc<Run>) -> F) -> Result<Arc<Run>>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let opened = self.lock_runs().open(self.now(), new)?;
        Ok(match opened {
            Lookup::Known(run) => run,
            Lookup::New(run) => {
                tokio::spawn(drive(run.clone()));
                run
            }
        })
    }

    /// Whether it stops taking new work.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Stops being named in entry answers.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
        self.lock_view().update_local(|e| e.leaving = true);
    }

    /// Refuses requests that are new to it, from now on.
    pub fn refuse_new(&self) {
        self.refusing.store(true, Ordering::Relaxed);
    }

    /// Whether new requests are refused.
    pub fn refuses_new(&self) -> bool {
        self.refusing.load(Ordering::Relaxed)
    }

    /// Whether it can serve.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed) && !self.is_draining()
    }

    /// It can serve from now on.
    pub fn set_ready(&self) {
        self.ready.store(true, Ordering::Relaxed);
    }

    /// All live routers, this one too.
    pub fn live(&self) -> Vec<RouterInfo> {
        self.lock_view().live_routers(self.now())
    }

    /// The other routers that may hold parts of an organisation's budgets, its home first.
    pub fn others_for(&self, organisation: &OrganisationId) -> Vec<RouterInfo> {
        let width = self.cfg.read().expect("never poisoned").fleet.entry_width as usize;
        let me = self.lock_view().local_router().incarnation.clone();
        let live = self.live();
        let mut out = home_routers(&live, organisation, width.max(MAX_LENDERS));
        out.retain(|e| e.incarnation != me);
        out
    }

    /// What this router keeps for another one about a request.
    pub fn found_copy(
        &self,
        organisation: &OrganisationId,
        key: &RequestKey,
    ) -> Option<KnownRequest> {
        let witness = self.witness.lock().expect("no code panics while it holds the witness");
        witness.find(organisation, key).map(KnownRequest::from_copy)
    }

    /// The routers to borrow from.
    pub fn lenders_for(&self, organisation: &OrganisationId) -> Vec<RouterInfo> {
        if self.lending { self.others_for(organisation) } else { Vec::new() }
    }

    /// A reclaimer for dead wards.
    pub fn reclaimer(&self) -> Reclaimer<P, E, PickerAddresses, MeshSeals<M>> {
        let session = self.session();
        let known = self.lock_view().known_peers(self.now()).into_iter().map(|(e, _)| e).collect();
        Reclaimer {
            sealer: MeshSeals { mesh: self.mesh.clone(), known },
            table: self.platform.clone(),
            committer: session.committer.clone(),
            engine: self.engine.clone(),
            addresses: PickerAddresses(self.picker.clone()),
            witness: self.witness.clone(),
            own_incarnation: session.incarnation.clone(),
        }
    }
}

/// Routers asked for a part of a budget, at most.
const MAX_LENDERS: usize = 6;
