//! State that is shared by all requests and tasks of one router.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep_until};

use super::backend::TargetInfo;
use super::capacity::CapacityAdmissions;
use super::catalog::{Catalog, Limits};
use super::cold::{AdmissionLimit, ColdRateLimit};
use super::crashes::CrashTracker;
use super::entry::EntryView;
use super::feed::{Confirmation, Feed, StoreReader};
use super::hints::PlacementHints;
use super::path::TargetPath;
use super::place::PlacementWeights;
use super::request::HeaderNames;
use super::resumption::StreamOrigins;
use super::retries::{RetryAllowance, ServiceRetryBudgets};
use super::targets::Targets;
use super::versions::VersionList;
use super::warmup::Admissions;
use super::zone_filter::ZoneRegions;
use super::zones::ZoneGossip;
use crate::allowance::{BudgetManager, BudgetSettings, ProcessId};
use crate::error::Result;
use crate::oplog::Log;
use crate::rows::RowStore;
use crate::stats::Stats;

/// The platform that hosts the fleet: its row store, header names and row formats.
pub trait Platform: RowStore {
    /// Names of the headers that the gateway reads and sets.
    fn header_names(&self) -> &HeaderNames;

    /// Table and key of the operator's configuration.
    fn config_row(&self) -> (&'static str, &'static str);

    /// The zone that the operator orders to be emptied by the row with this key, in the table of
    /// the configuration; `None` for other rows.
    fn emptied_zone(&self, key: &str) -> Option<CompactString>;

    /// The table of targets, with one row per target under its id.
    fn targets_table(&self) -> &'static str;

    /// Parses a configuration.
    ///
    /// # Errors
    /// `BadConfig` with what is wrong and where.
    fn catalog(&self, value: &[u8]) -> Result<Catalog>;

    /// Parses the entry of a target.
    ///
    /// # Errors
    /// `BadFormat` with what is wrong.
    fn target(&self, id: &str, value: &[u8]) -> Result<TargetInfo>;
}

/// Settings of a router.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this instance.
    pub instance: CompactString,
    /// Availability zone of this instance.
    pub zone: CompactString,
    /// The region of each availability zone.
    pub regions: ZoneRegions,
    /// Limit on the requests per second that a cold target may get.
    pub cold: ColdRateLimit,
    /// Age of a router's row in the store at which callers are no longer sent to that router.
    pub unlisted_after: Duration,
    /// Address that callers connect to.
    pub front: SocketAddr,
    /// Address that other routers send datagrams to.
    pub peer: SocketAddr,
    /// The fleet's retry budget.
    pub retries: RetryAllowance,
    /// Settings of budget reservations.
    pub budgets: BudgetSettings,
    /// Weights of target selection.
    pub weights: PlacementWeights,
    /// Requests per second that this router is meant to handle.
    pub capacity: u32,
    /// Time to live of entry answers, which tell callers which routers to use.
    pub entry_ttl: Duration,
    /// Time between the order to stop and the forced end.
    pub grace: Duration,
    /// Maximum number of bytes of request bodies held at once.
    pub body_memory: u64,
    /// Maximum number of open connections from callers.
    pub max_connections: usize,
}

/// Progress of a planned stop.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// The router serves requests normally.
    Up,
    /// The router is no longer listed in entry answers, but still serves callers that connect to
    /// it.
    Leaving,
    /// The router accepts no new requests.
    Finishing,
}

/// The state of one router.
pub struct Gateway<P: Platform> {
    /// The platform that hosts the fleet.
    pub platform: P,
    /// Settings of this router.
    pub settings: Settings,
    /// Structured log.
    pub log: Log,
    /// Metrics of this router.
    pub stats: Stats,
    /// The configuration in force; `None` until one was read.
    pub catalog: RefCell<Option<Rc<Catalog>>>,
    /// All known targets.
    pub targets: Targets,
    /// Sorted addresses of the other routers. Datagrams from other addresses are ignored.
    pub peers: RefCell<Vec<IpAddr>>,
    /// Hints about sent prompts that routers exchange.
    pub hints: PlacementHints,
    /// Whether this router reaches the targets, and the routers that can relay its connections.
    pub path: TargetPath,
    /// Requests during which targets crashed, for the quarantine.
    pub crashes: CrashTracker,
    /// Zones that the operator has emptied.
    pub zones: ZoneGossip,
    /// Admission of requests to cold targets.
    pub cold: Admissions,
    /// Admission of requests to targets that crash when they reject too many.
    pub capacity: CapacityAdmissions,
    /// Software versions that began resumable streams.
    pub origins: StreamOrigins,
    /// Software versions that may have begun resumable streams.
    pub versions: VersionList,
    /// Shares of the organisations' budgets.
    pub budget_shares: Rc<BudgetManager<P>>,
    /// This router's shares of the retry budget.
    pub retries: RefCell<ServiceRetryBudgets>,
    /// Reader of the tables that this router follows.
    pub reader: StoreReader<P>,
    /// How far the configuration table was read.
    pub config_feed: Feed,
    /// The latest confirmation that the configuration is current; locked while one is in progress.
    pub confirmed: tokio::sync::Mutex<Option<Confirmation>>,
    /// Progress of a planned stop.
    pub phase: watch::Sender<Phase>,
    /// When a planned stop answers the requests that no target has answered; `None` without a stop.
    /// Answers that have begun may go on a little longer.
    pub stop_by: Cell<Option<Instant>>,
    /// The view of the fleet that entry answers are computed from.
    pub entry: watch::Sender<EntryView>,
    /// Requests that arrived since the request rate was last measured.
    pub requests_since_sample: Cell<u32>,
    /// The request rate that was last measured, in requests per second.
    pub requests_per_s: Cell<u32>,
    /// Number of requests in progress.
    pub active_requests: Cell<usize>,
    /// Number of open connections from callers.
    pub open_connections: Cell<usize>,
    /// Bytes of request bodies held.
    pub body_bytes: Cell<u64>,
    /// Notified when the last active request has ended.
    pub no_active_requests: Notify,
    /// Id under which this process holds grants of budgets.
    pub process_id: ProcessId,
}

impl<P: Platform> Gateway<P> {
    /// Creates a router without configuration, targets and peers.
    pub fn new(platform: P, settings: Settings, process_id: ProcessId, log: Log) -> Rc<Gateway<P>> {
        let budget_shares =
            BudgetManager::new(platform.clone(), process_id.clone(), settings.budgets, log.clone());
        let budget_shares = Rc::new(budget_shares);
        let stats = Stats::new();
        Rc::new(Gateway {
            crashes: CrashTracker::new(log.clone(), stats.clone()),
            zones: ZoneGossip::new(log.clone(), stats.clone()),
            path: TargetPath::new(settings.zone.clone()),
            cold: Admissions::new(settings.instance.clone(), log.clone(), stats.clone()),
            capacity: CapacityAdmissions::new(
                settings.instance.clone(),
                settings.peer,
                log.clone(),
                stats.clone(),
            ),
            origins: StreamOrigins::new(log.clone(), stats.clone()),
            versions: VersionList::default(),
            reader: StoreReader::new(
                platform.clone(),
                budget_shares.clone(),
                log.clone(),
                stats.clone(),
            ),
            budget_shares,
            retries: RefCell::new(ServiceRetryBudgets::new(settings.retries)),
            platform,
            settings,
            log,
            stats,
            catalog: RefCell::default(),
            targets: Targets::default(),
            peers: RefCell::default(),
            hints: PlacementHints::default(),
            config_feed: Feed::default(),
            confirmed: tokio::sync::Mutex::new(None),
            phase: watch::Sender::new(Phase::Up),
            stop_by: Cell::new(None),
            entry: watch::Sender::new(EntryView::default()),
            requests_since_sample: Cell::new(0),
            requests_per_s: Cell::new(0),
            active_requests: Cell::new(0),
            open_connections: Cell::new(0),
            body_bytes: Cell::new(0),
            no_active_requests: Notify::new(),
            process_id,
        })
    }

    /// The configuration in force; `None` until one was read.
    pub fn config(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Sets the addresses of the other routers.
    pub fn set_peers(&self, mut peers: Vec<IpAddr>) {
        peers.sort();
        *self.peers.borrow_mut() = peers;
    }

    /// Limits on requests; the defaults until a configuration was read.
    pub fn limits(&self) -> Limits {
        self.catalog.borrow().as_ref().map(|c| c.limits).unwrap_or_default()
    }

    /// The admission limit for cold targets of a service; `None` if they need no warm-up.
    pub fn admission_limit(&self, service: &str) -> Option<AdmissionLimit> {
        let warm_up = self.catalog.borrow().as_ref().and_then(|c| c.warm_up(service))?;
        Some(AdmissionLimit::for_warm_up(warm_up, self.settings.cold))
    }

    /// Whether a planned stop may end a request before `answer_deadline`, so that it must not be
    /// sent. Until [`Phase::Finishing`] requests are taken whatever their time limit, because
    /// callers may know no other router.
    pub fn stops_before(&self, answer_deadline: Instant) -> bool {
        *self.phase.borrow() == Phase::Finishing
            && self.stop_by.get().is_some_and(|end| answer_deadline > end)
    }

    /// Waits until a planned stop ends the requests that no target has answered.
    pub async fn stop_reached(&self) {
        let mut phase = self.phase.subscribe();
        // The sender is this router's own, so that waiting cannot fail.
        let _ = phase.wait_for(|p| *p == Phase::Finishing).await;
        match self.stop_by.get() {
            Some(end) => sleep_until(end).await,
            None => std::future::pending().await,
        }
    }

    /// Whether callers should be sent to this router.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Up && self.catalog.borrow().is_some()
    }
}
