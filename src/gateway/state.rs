//! What one router's request path shares.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use super::catalog::{Catalog, Limits};
use super::crashes::Crashes;
use super::entry::EntryView;
use super::feed::Feed;
use super::hints::Hints;
use super::place::Weights;
use super::request::Names;
use super::retries::{RetryAllowance, RetryShares};
use super::sync::Confirmation;
use super::targets::{TargetInfo, Targets};
use crate::allowance::{HolderName, Keeper, KeeperSettings};
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

/// When the store answered last, and since when it has again.
#[derive(Clone, Copy, Debug)]
pub struct StoreLink {
    /// The newest answer.
    pub answered: Option<Instant>,
    /// The end of the last time without answers.
    pub back: Option<Instant>,
    /// Whether the last call failed.
    pub away: bool,
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
    /// Budgets.
    pub keeper: Rc<Keeper<P>>,
    /// Shares of the retry budget.
    pub retries: RefCell<RetryShares>,
    /// State of the store.
    pub link: Cell<StoreLink>,
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
    pub me: HolderName,
}

impl<P: Platform> Gateway<P> {
    /// A router that knows nothing yet.
    pub fn new(platform: P, settings: Settings, me: HolderName, log: Log) -> Rc<Gateway<P>> {
        let keeper = Keeper::new(platform.clone(), me.clone(), settings.budgets, log.clone());
        Rc::new(Gateway {
            keeper: Rc::new(keeper),
            retries: RefCell::new(RetryShares::new(settings.retries)),
            platform,
            settings,
            log,
            stats: Stats::new(),
            catalog: RefCell::default(),
            targets: Targets::default(),
            peers: RefCell::default(),
            hints: Hints::default(),
            crashes: Crashes::default(),
            link: Cell::new(StoreLink { answered: None, back: None, away: true }),
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

    /// Whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Up && self.catalog.borrow().is_some()
    }
}
