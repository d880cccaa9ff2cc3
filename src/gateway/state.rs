//! What one router's request path shares.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use tokio::sync::{Notify, watch};

use super::backend::TargetInfo;
use super::catalog::{Catalog, Limits};
use super::cold::{ColdBound, Pace};
use super::crashes::Crashes;
use super::entry::EntryView;
use super::feed::{Confirmation, Feed, Reader};
use super::hints::Hints;
use super::place::Weights;
use super::reach::ZoneRegions;
use super::request::HeaderNames;
use super::retries::{RetryAllowance, RetryShares};
use super::targets::Targets;
use super::warmup::Admissions;
use super::zones::Zones;
use crate::allowance::{HolderName, Keeper, KeeperSettings};
use crate::error::Result;
use crate::oplog::Log;
use crate::rows::RowStore;
use crate::stats::Stats;

/// The platform beside its row store: its names, and how it writes its rows.
pub trait Platform: RowStore {
    /// Names of headers.
    fn header_names(&self) -> &HeaderNames;

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
    pub cold: ColdBound,
    /// Age of a router's row from which on callers are not sent there.
    pub unlisted_after: Duration,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where other routers send their hints.
    pub peer: SocketAddr,
    /// The fleet's allowance of repeated sends.
    pub retries: RetryAllowance,
    /// Settings of budgets.
    pub budgets: KeeperSettings,
    /// Weights of placement.
    pub weights: Weights,
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
    pub hints: Hints,
    /// Requests under which targets ended.
    pub crashes: Crashes,
    /// Zones that the operator has emptied.
    pub zones: Zones,
    /// Requests to cold targets.
    pub cold: Admissions,
    /// Budgets.
    pub allowances: Rc<Keeper<P>>,
    /// Shares of the retry budget.
    pub retries: RefCell<RetryShares>,
    /// Reads tables that are followed.
    pub reader: Reader<P>,
    /// How far the configuration was read.
    pub config_feed: Feed,
    /// The latest confirmation of the configuration; locked while there is one.
    pub confirmed: tokio::sync::Mutex<Option<Confirmation>>,
    /// How far a planned stop has come.
    pub phase: watch::Sender<Phase>,
    /// Entry answers rest on this.
    pub entry: watch::Sender<EntryView>,
    /// Requests taken since the rate was measured, and that rate a second.
    pub requests_since_sample: Cell<u32>,
    /// See `taken`.
    pub requests_per_s: Cell<u32>,
    /// Requests that are being served.
    pub active_requests: Cell<usize>,
    /// Open connections of callers.
    pub open_connections: Cell<usize>,
    /// Bytes of request bodies held.
    pub body_bytes: Cell<u64>,
    /// Fires when the last request has ended.
    pub no_active_requests: Notify,
    /// This process.
    pub holder_name: HolderName,
}

impl<P: Platform> Gateway<P> {
    /// A router that knows nothing yet.
    pub fn new(
        platform: P,
        settings: Settings,
        holder_name: HolderName,
        log: Log,
    ) -> Rc<Gateway<P>> {
        let allowances =
            Keeper::new(platform.clone(), holder_name.clone(), settings.budgets, log.clone());
        let allowances = Rc::new(allowances);
        let stats = Stats::new();
        Rc::new(Gateway {
            crashes: Crashes::new(log.clone(), stats.clone()),
            zones: Zones::new(log.clone(), stats.clone()),
            cold: Admissions::new(settings.instance.clone(), log.clone(), stats.clone()),
            reader: Reader::new(platform.clone(), allowances.clone(), log.clone(), stats.clone()),
            allowances,
            retries: RefCell::new(RetryShares::new(settings.retries)),
            platform,
            settings,
            log,
            stats,
            catalog: RefCell::default(),
            targets: Targets::default(),
            peers: RefCell::default(),
            hints: Hints::default(),
            config_feed: Feed::default(),
            confirmed: tokio::sync::Mutex::new(None),
            phase: watch::Sender::new(Phase::Up),
            entry: watch::Sender::new(EntryView::default()),
            requests_since_sample: Cell::new(0),
            requests_per_s: Cell::new(0),
            active_requests: Cell::new(0),
            open_connections: Cell::new(0),
            body_bytes: Cell::new(0),
            no_active_requests: Notify::new(),
            holder_name,
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
    pub fn cold_pace(&self, service: &str) -> Option<Pace> {
        let warm_up = self.catalog.borrow().as_ref().and_then(|c| c.warm_up(service))?;
        Some(Pace::of(warm_up, self.settings.cold))
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Up && self.catalog.borrow().is_some()
    }
}
