//! What one router's request path shares.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use tokio::sync::{Notify, watch};

use super::backend::TargetInfo;
use super::catalog::{Catalog, Limits};
use super::cold::{AdmissionLimit, ColdRateLimit};
use super::crashes::CrashTracker;
use super::entry::EntryView;
use super::feed::{Confirmation, Feed, StoreReader};
use super::hints::PlacementHints;
use super::place::PlacementWeights;
use super::request::Names;
use super::retries::{RetryAllowance, ServiceRetryBudgets};
use super::targets::Targets;
use super::warmup::Admissions;
use super::zone_filter::ZoneRegions;
use super::zones::ZoneGossip;
use crate::allowance::{BudgetManager, BudgetSettings, ProcessId};
use crate::error::Result;
use crate::oplog::Log;
use crate::rows::RowStore;
use crate::stats::Stats;

/// The platform beside its row store: its names, and how it writes its rows.
pub trait Platform: RowStore {
    /// Names of headers.
    fn names(&self) -> &Names;

    /// Table and key of the operator's configuration.
    fn config_row(&self) -> (&'static str, &'static str);

    /// The zone that a row of the configuration's table, with this key, orders to be emptied.
    fn emptied_zone(&self, key: &str) -> Option<CompactString>;

    /// The table of targets, one row each under the target's id.
    fn targets_table(&self) -> &'static str;

    /// Reads a configuration.
    ///
    /// # Errors
    /// `BadConfig` with what is wrong and where.
    fn catalog(&self, value: &[u8]) -> Result<Catalog>;

    /// Reads a target's entry.
    ///
    /// # Errors
    /// `BadFormat` with what is wrong.
    fn target(&self, id: &str, value: &[u8]) -> Result<TargetInfo>;
}

/// Settings of a router in front of targets.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This instance.
    pub instance: CompactString,
    /// Its availability zone.
    pub zone: CompactString,
    /// The region of each availability zone.
    pub regions: ZoneRegions,
    /// What a cold target may get in one second.
    pub cold: ColdRateLimit,
    /// Age of a router's row from which on callers are not sent there.
    pub unnamed_after: Duration,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where other routers send their hints.
    pub peer: SocketAddr,
    /// The fleet's allowance of repeated sends.
    pub retries: RetryAllowance,
    /// Settings of budgets.
    pub budgets: BudgetSettings,
    /// Weights of placement.
    pub weights: PlacementWeights,
    /// Requests a second that this router is meant to take.
    pub capacity: u32,
    /// Lifetime of entry answers.
    pub entry_ttl: Duration,
    /// Time between the order to stop and the forced end.
    pub grace: Duration,
    /// Bytes of request bodies that may be held at once.
    pub body_memory: u64,
    /// Connections that callers may keep open at once.
    pub max_connections: usize,
}

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// Serving.
    Up,
    /// Out of entry answers; callers that still know this router are served.
    Leaving,
    /// No new requests.
    Finishing,
}

/// One router.
pub struct Gateway<P: Platform> {
    /// The platform.
    pub platform: P,
    /// Settings.
    pub settings: Settings,
    /// Structured log.
    pub log: Log,
    /// Counters and histograms.
    pub stats: Stats,
    /// The configuration in force; none until the first was read.
    pub catalog: RefCell<Option<Rc<Catalog>>>,
    /// Targets.
    pub targets: Targets,
    /// Addresses of the other routers, sorted: datagrams of others are not read.
    pub peers: RefCell<Vec<IpAddr>>,
    /// What routers tell one another.
    pub hints: PlacementHints,
    /// Requests under which targets ended.
    pub crashes: CrashTracker,
    /// Zones that the operator has emptied.
    pub zones: ZoneGossip,
    /// Requests to cold targets.
    pub cold: Admissions,
    /// Budgets.
    pub keeper: Rc<BudgetManager<P>>,
    /// Shares of the retry budget.
    pub retries: RefCell<ServiceRetryBudgets>,
    /// Reads tables that are followed.
    pub reader: StoreReader<P>,
    /// How far the configuration was read.
    pub config_feed: Feed,
    /// The latest confirmation of the configuration; locked while there is one.
    pub confirmed: tokio::sync::Mutex<Option<Confirmation>>,
    /// How far a planned stop has come.
    pub phase: watch::Sender<Phase>,
    /// Entry answers rest on this.
    pub entry: watch::Sender<EntryView>,
    /// Requests taken since the rate was measured, and that rate a second.
    pub taken: Cell<u32>,
    /// See `taken`.
    pub rate: Cell<u32>,
    /// Requests that are being served.
    pub active: Cell<usize>,
    /// Open connections of callers.
    pub connections: Cell<usize>,
    /// Bytes of request bodies held.
    pub body_bytes: Cell<u64>,
    /// Fires when the last request has ended.
    pub idle: Notify,
    /// This process.
    pub me: ProcessId,
}

impl<P: Platform> Gateway<P> {
    /// A router that knows nothing yet.
    pub fn new(platform: P, settings: Settings, me: ProcessId, log: Log) -> Rc<Gateway<P>> {
        let keeper =
            BudgetManager::new(platform.clone(), me.clone(), settings.budgets, log.clone());
        let keeper = Rc::new(keeper);
        let stats = Stats::new();
        Rc::new(Gateway {
            crashes: CrashTracker::new(log.clone(), stats.clone()),
            zones: ZoneGossip::new(log.clone(), stats.clone()),
            cold: Admissions::new(settings.instance.clone(), log.clone(), stats.clone()),
            reader: StoreReader::new(platform.clone(), keeper.clone(), log.clone(), stats.clone()),
            keeper,
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
            entry: watch::Sender::new(EntryView::default()),
            taken: Cell::new(0),
            rate: Cell::new(0),
            active: Cell::new(0),
            connections: Cell::new(0),
            body_bytes: Cell::new(0),
            idle: Notify::new(),
            me,
        })
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Sets the addresses of the other routers.
    pub fn set_peers(&self, mut peers: Vec<IpAddr>) {
        peers.sort();
        *self.peers.borrow_mut() = peers;
    }

    /// Limits on callers.
    pub fn limits(&self) -> Limits {
        self.catalog.borrow().as_ref().map(|c| c.limits).unwrap_or_default()
    }

    /// The pace for cold targets of a service; none if they bear any number of requests.
    pub fn cold_pace(&self, service: &str) -> Option<AdmissionLimit> {
        let warm_up = self.catalog.borrow().as_ref().and_then(|c| c.warm_up(service))?;
        Some(AdmissionLimit::for_warm_up(warm_up, self.settings.cold))
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Up && self.catalog.borrow().is_some()
    }
}
