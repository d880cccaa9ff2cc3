//! State shared by all parts of a router.

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

/// Looks up target addresses in the picker.
#[derive(Clone, Debug)]
pub struct PickerAddresses(pub Arc<Mutex<Picker>>);

impl AddressLookup for PickerAddresses {
    fn addr(&self, target: &TargetId) -> Option<compact_str::CompactString> {
        self.0.lock().expect("the picker lock is never poisoned").addr(target)
    }
}

/// Seals holders at their backups over the links between routers.
#[derive(Clone, Debug)]
pub struct PeerBackupSealer<M: PeerClient> {
    peer_client: M,
    known: Vec<RouterInfo>,
}

impl<M: PeerClient> BackupSealer for PeerBackupSealer<M> {
    async fn seal_at(&self, backup: &Incarnation, holder: &Incarnation) -> Result<Vec<HoldCopy>> {
        let unknown = || Error::new(Kind::Io, format!("backup {backup} is not known"));
        let to = self.known.iter().find(|e| e.incarnation == *backup).ok_or_else(unknown)?;
        match self
            .peer_client
            .rpc(to, PeerRequest::Seal { keeper: backup.clone(), holder: holder.clone() })
            .await?
        {
            PeerReply::Copies(copies) => Ok(copies),
            _ => Err(Error::new(
                Kind::BadFormat,
                format!("backup {backup} sent an unexpected reply"),
            )),
        }
    }
}

/// Shared state of one router.
pub struct Node<P: Platform, E: Engine, M: PeerClient> {
    /// Settings of the router.
    pub settings: Settings,
    /// Source of the current time.
    pub clock: Clock,
    /// Client for the platform: table, object store and instance list.
    pub platform: P,
    /// Client for the targets.
    pub engine: E,
    /// Client for requests to other routers.
    pub peer_client: M,
    /// The active configuration.
    pub cfg: Arc<RwLock<Config>>,
    /// Applies new revisions to the configuration.
    pub follower: tokio::sync::Mutex<ConfigFollower>,
    /// Wakes the task that updates the configuration.
    pub new_revision: tokio::sync::Notify,
    /// Known routers and their liveness.
    pub view: Mutex<View>,
    /// Known targets, and the choice among them.
    pub picker: Arc<Mutex<Picker>>,
    /// Admission control of all services.
    pub gates: Gates,
    /// Retry budget of this router.
    pub retries: Mutex<RetryBudget>,
    /// Requests by idempotency key.
    pub runs: Mutex<Runs>,
    /// Copies of the holds of other routers.
    pub witness: Arc<Mutex<Witness>>,
    session: RwLock<Arc<Session<P, M>>>,
    past_incarnations: Mutex<Vec<Incarnation>>,
    draining: AtomicBool,
    refusing: AtomicBool,
    ready: AtomicBool,
    /// Whether the router borrows tokens from others.
    lending: bool,
    /// Overrides the configured sizing of grants, for experiments.
    pub sizing: Option<Sizing>,
    /// Client for metrics.
    pub metrics: StatsdClient,
    /// Counters for the operators' status.
    pub counts: Counts,
}

/// Counters of one router since its start.
#[derive(Debug, Default)]
pub struct Counts {
    /// Requests received.
    pub requests: AtomicU64,
    /// Requests answered completely.
    pub answered: AtomicU64,
    /// Requests refused or failed.
    pub refused: AtomicU64,
    /// Attempts after the first one.
    pub retries: AtomicU64,
    /// Requests that joined a run of another router.
    pub joined: AtomicU64,
    /// Pieces of answers dropped because they were late, duplicate or of another run.
    pub dropped: AtomicU64,
}

impl Counts {
    /// Increments a counter.
    pub fn add(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// Dependencies and initial state of a [`Node`].
pub struct NodeParts<P: Platform, E: Engine, M: PeerClient> {
    /// Settings of the router.
    pub settings: Settings,
    /// Source of the current time.
    pub clock: Clock,
    /// Client for the platform: table, object store and instance list.
    pub platform: P,
    /// Client for the targets.
    pub engine: E,
    /// Client for requests to other routers.
    pub peer_client: M,
    /// The active configuration.
    pub cfg: Arc<RwLock<Config>>,
    /// Applies new revisions to the configuration.
    pub follower: ConfigFollower,
    /// Known routers and their liveness.
    pub view: View,
    /// Known targets, and the choice among them.
    pub picker: Picker,
    /// Session of the first incarnation.
    pub session: Arc<Session<P, M>>,
    /// Client for metrics.
    pub metrics: StatsdClient,
    /// Whether the router borrows tokens from others.
    pub lending: bool,
    /// Overrides the configured sizing of grants, for experiments.
    pub sizing: Option<Sizing>,
}

impl<P: Platform, E: Engine, M: PeerClient> Node<P, E, M> {
    /// Creates a node that is not ready yet and runs no tasks.
    pub fn new(parts: NodeParts<P, E, M>) -> Node<P, E, M> {
        Node {
            settings: parts.settings,
            clock: parts.clock,
            platform: parts.platform,
            engine: parts.engine,
            peer_client: parts.peer_client,
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
            past_incarnations: Mutex::default(),
            draining: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            ready: AtomicBool::new(false),
            metrics: parts.metrics,
            lending: parts.lending,
            sizing: parts.sizing,
            counts: Counts::default(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns the session of the current incarnation.
    pub fn session(&self) -> Arc<Session<P, M>> {
        self.session.read().expect("the lock is never poisoned").clone()
    }

    /// Replaces the session after its incarnation was sealed.
    pub fn set_session(&self, session: Arc<Session<P, M>>) {
        self.past_incarnations
            .lock()
            .expect("the lock is never poisoned")
            .push(self.session().incarnation.clone());
        *self.session.write().expect("the lock is never poisoned") = session;
    }

    /// Checks that this process is, or was, the incarnation that a message is addressed to.
    ///
    /// Another process may be listening at the address of a dead router. If it answered for that
    /// router, whose copies are lost, it would report no copies, and tokens of running requests
    /// would be released.
    ///
    /// # Errors
    ///
    /// Returns `Io` otherwise, the same as for a router that cannot be reached.
    pub fn check_own_incarnation(&self, addressee: &Incarnation) -> Result<()> {
        let is_past =
            self.past_incarnations.lock().expect("the lock is never poisoned").contains(addressee);
        let not_here = || Error::new(Kind::Io, format!("{addressee} is not here any more"));
        (is_past || self.session().incarnation == *addressee).then_some(()).ok_or_else(not_here)
    }

    /// Locks the view of the other routers.
    pub fn lock_view(&self) -> MutexGuard<'_, View> {
        self.view.lock().expect("the view lock is never poisoned")
    }

    /// Locks the picker of targets.
    pub fn lock_picker(&self) -> MutexGuard<'_, Picker> {
        self.picker.lock().expect("the picker lock is never poisoned")
    }

    /// Locks the requests.
    pub fn lock_runs(&self) -> MutexGuard<'_, Runs> {
        self.runs.lock().expect("the runs lock is never poisoned")
    }

    /// Returns the request with the same key, or spawns `drive` for the new one.
    ///
    /// # Errors
    ///
    /// Returns `KeyReused` if the key belongs to a request with other content.
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

    /// Returns whether the router is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Starts draining: the router is left out of entry answers from now on.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
        self.lock_view().update_local(|e| e.leaving = true);
    }

    /// Refuses requests with unknown keys from now on.
    pub fn refuse_new(&self) {
        self.refusing.store(true, Ordering::Relaxed);
    }

    /// Returns whether requests with unknown keys are refused.
    pub fn refuses_new(&self) -> bool {
        self.refusing.load(Ordering::Relaxed)
    }

    /// Returns whether the router can serve requests.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed) && !self.is_draining()
    }

    /// Marks the router as able to serve requests.
    pub fn set_ready(&self) {
        self.ready.store(true, Ordering::Relaxed);
    }

    /// Returns all live routers, including this one.
    pub fn live(&self) -> Vec<RouterInfo> {
        self.lock_view().live_routers(self.now())
    }

    /// Returns the other routers that may hold parts of an organisation's budgets, in the order of
    /// [`home_routers`].
    pub fn budget_peers(&self, organisation: &OrganisationId) -> Vec<RouterInfo> {
        let width = self.cfg.read().expect("the lock is never poisoned").fleet.entry_width as usize;
        let me = self.lock_view().local_router().incarnation.clone();
        let live = self.live();
        let mut out = home_routers(&live, organisation, width.max(MIN_BUDGET_PEERS));
        out.retain(|e| e.incarnation != me);
        out
    }

    /// Looks up a request among the copies of holds that this router keeps for other routers.
    pub fn find_copy(
        &self,
        organisation: &OrganisationId,
        key: &RequestKey,
    ) -> Option<KnownRequest> {
        let witness = self.witness.lock().expect("the witness lock is never poisoned");
        witness.find(organisation, key).map(KnownRequest::from_copy)
    }

    /// Returns the routers to borrow tokens from.
    pub fn lenders_for(&self, organisation: &OrganisationId) -> Vec<RouterInfo> {
        if self.lending { self.budget_peers(organisation) } else { Vec::new() }
    }

    /// Creates a reclaimer for the grants of dead holders.
    pub fn reclaimer(&self) -> Reclaimer<P, E, PickerAddresses, PeerBackupSealer<M>> {
        let session = self.session();
        let known = self.lock_view().known_peers(self.now()).into_iter().map(|(e, _)| e).collect();
        Reclaimer {
            sealer: PeerBackupSealer { peer_client: self.peer_client.clone(), known },
            table: self.platform.clone(),
            committer: session.committer.clone(),
            engine: self.engine.clone(),
            addresses: PickerAddresses(self.picker.clone()),
            witness: self.witness.clone(),
            own_incarnation: session.incarnation.clone(),
        }
    }
}

/// Minimum number of home routers of an organisation to consider when looking for its tokens and
/// requests, for when `entry_width` is smaller.
const MIN_BUDGET_PEERS: usize = 6;
