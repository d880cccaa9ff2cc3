//! The testbed of one seed: the store, targets, routers and callers.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use compact_str::{CompactString, format_compact};
use eyre::{Result, eyre};
use kingcupwall::rows::{MemoryRows, RowStore};
use kingcupwall::standin::gateway_target::{StandinTarget, TOKENS_PER_EVENT, TargetNames};
use kingcupwall::standin::proxy::Proxy;
use kingcupwall_platform::names;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Mutex;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout_at};

use crate::callers::{Callers, HOST, RequestKind, SEAL_HEADER};
use crate::cuts::RouterLinks;
use crate::fatal::FATAL_PART;
use crate::notices::Disturbance;
use crate::routers::RouterProcess;
use crate::store;
use crate::zones;

/// Number of targets. All belong to one service.
pub(crate) const TARGET_COUNT: usize = 4;
/// Prepaid tokens of each organisation. The first one runs out of tokens, the last one does not.
pub(crate) const PREPAID_TOKENS: [u64; 3] = [40_000, 400_000, 40_000_000];
/// Pause between two events of a stream.
const EVENT_GAP: Duration = Duration::from_millis(4);
/// Software versions of the targets.
const VERSIONS: [&str; 2] = ["v1", "v2"];
/// How long routers may take from their start until they serve.
pub(crate) const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Bandwidth from the store to every second router, in bytes a second.
const NARROW_LINK_BYTES_PER_S: u64 = 400_000;
/// How long a crashed target is down before its replacement starts.
const TARGET_DOWNTIME: Duration = Duration::from_secs(1);
/// Pause between two checks whether all routers have registered.
const START_POLL: Duration = Duration::from_millis(200);

/// Parameters of one seed's run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Seed of the faults and requests.
    pub seed: u64,
    /// How long faults are injected.
    pub faults_for: Duration,
    /// Number of routers.
    pub routers: u8,
    /// Number of callers.
    pub callers: u32,
    /// Path of the daemon's executable.
    pub daemon: PathBuf,
}

/// All parts of a running testbed.
pub(crate) struct Testbed {
    pub(crate) store: MemoryRows,
    /// One handle of the store for each router, so that faults can be set for one router.
    pub(crate) store_handles: Vec<MemoryRows>,
    /// The link of each router to the store.
    pub(crate) store_links: Vec<Proxy>,
    pub(crate) routers: Vec<Mutex<RouterProcess>>,
    /// The links of each router to all targets, in front of the targets' own links.
    pub(crate) target_links: Vec<Rc<RefCell<RouterLinks>>>,
    /// The current targets, each with the link to it.
    pub(crate) targets: RefCell<Vec<(StandinTarget, Proxy)>>,
    /// Replaced targets. The checks still include their runs.
    pub(crate) removed_targets: RefCell<Vec<StandinTarget>>,
    pub(crate) callers: Rc<Callers>,
    /// Prepaid tokens of each organisation, including top-ups.
    pub(crate) prepaid: RefCell<Vec<u64>>,
    /// Version of the configuration.
    pub(crate) version: Cell<u64>,
    /// Number of unused routes in the configuration.
    pub(crate) extra_routes: Cell<usize>,
    /// Number of targets that were replaced, which makes the ids of targets unique.
    pub(crate) replacements: Cell<u64>,
    /// Violations that were found while the testbed ran.
    pub(crate) recorded_violations: RefCell<Vec<String>>,
    pub(crate) router_disturbances: RefCell<Vec<Disturbance<SocketAddr>>>,
    /// Periods in which a router's calls to the store were impaired.
    pub(crate) store_disturbances: RefCell<Vec<Disturbance<SocketAddr>>>,
    /// Addresses of the routers that callers connect to.
    pub(crate) fronts: Vec<SocketAddr>,
    pub(crate) link_disturbances: RefCell<Vec<Disturbance<CompactString>>>,
    /// The first three octets of the testbed's loopback addresses.
    pub(crate) ip: CompactString,
}

impl Testbed {
    pub(crate) async fn start(setup: &Setup, logs: &Path) -> Result<Rc<Testbed>> {
        let network_number = u16::try_from(std::process::id() % 60_000).unwrap_or_default() + 2_000;
        // Each soak process uses a loopback network of its own, so that two soaks on one machine do
        // not share addresses.
        let ip = format_compact!("127.{}.{}", network_number / 250 + 1, network_number % 250 + 1);
        let store = MemoryRows::new();
        let (mut store_handles, mut store_links, mut routers) =
            (Vec::new(), Vec::new(), Vec::new());
        let mut target_links = Vec::new();
        for n in 0..setup.routers {
            let handle = store.new_client();
            let listener = TcpListener::bind((format!("{ip}.250"), 0)).await?;
            let bytes_per_s = (n % 2 == 1).then_some(NARROW_LINK_BYTES_PER_S);
            let link =
                Proxy::start(&format!("{ip}.251"), listener.local_addr()?, bytes_per_s).await?;
            let links: Rc<RefCell<RouterLinks>> = Rc::default();
            spawn_local(store::serve(listener, handle.clone(), links.clone()));
            target_links.push(links);
            let (router_ip, zone) = (format!("{ip}.{}", n + 1), format!("zone-{}", n / 2 % 2));
            let router = RouterProcess::new(logs, &setup.daemon, &router_ip, n, &zone, link.addr)?;
            store_handles.push(handle);
            store_links.push(link);
            routers.push(router);
        }
        let fronts = routers.iter().map(RouterProcess::front_addr).collect();
        let callers = Callers {
            directories: routers.iter().map(RouterProcess::directory_addr).collect(),
            keys: (0..PREPAID_TOKENS.len()).map(|n| format_compact!("key-{n}")).collect(),
            exchange_log: RefCell::default(),
            stop_requested: Cell::new(false),
        };
        let testbed = Rc::new(Testbed {
            store,
            store_handles,
            store_links,
            routers: routers.into_iter().map(Mutex::new).collect(),
            target_links,
            targets: RefCell::default(),
            removed_targets: RefCell::default(),
            callers: Rc::new(callers),
            prepaid: RefCell::new(PREPAID_TOKENS.to_vec()),
            version: Cell::new(0),
            extra_routes: Cell::new(0),
            replacements: Cell::new(0),
            recorded_violations: RefCell::default(),
            router_disturbances: RefCell::default(),
            store_disturbances: RefCell::default(),
            fronts,
            link_disturbances: RefCell::default(),
            ip,
        });
        testbed.write_config();
        for n in 0..TARGET_COUNT {
            testbed.add_target(n).await?;
        }
        for router in &testbed.routers {
            router.lock().await.start()?;
        }
        testbed.wait_until_serving().await?;
        Ok(testbed)
    }

    /// Waits until all routers have registered in the store.
    async fn wait_until_serving(&self) -> Result<()> {
        let until = Instant::now() + START_TIMEOUT;
        let all_registered = async {
            loop {
                let page = self.store.scan("routers", "").await;
                if page.is_ok_and(|p| p.rows.len() == self.routers.len()) {
                    return;
                }
                sleep(START_POLL).await;
            }
        };
        timeout_at(until, all_registered)
            .await
            .map_err(|_| eyre!("not all routers registered in the store before the start timeout"))
    }

    pub(crate) fn record_violation(&self, violation: String) {
        self.recorded_violations.borrow_mut().push(violation);
    }

    /// Writes a new version of the configuration with the current prepaid tokens and routes.
    pub(crate) fn write_config(&self) {
        self.version.set(self.version.get() + 3);
        let kind = |a: RequestKind| match a {
            RequestKind::Idempotent => "idempotent",
            RequestKind::NonIdempotent => "non_idempotent",
            RequestKind::Stream | RequestKind::ResumableStream => "streaming",
        };
        let route = |a: RequestKind, prefix: &str| {
            json!({"name": prefix.trim_matches('/'), "host": HOST, "prefix": prefix,
                "kind": kind(a), "timeout_ms": 3_500, "target_latency_ms": 400,
                "gap_aim_ms": 200, "priority": 1, "service": "model", "public": false,
                "max_attempts": if a.is_repeatable() { 2 } else { 1 },
                "resumable": a == RequestKind::ResumableStream})
        };
        let used = RequestKind::ALL.into_iter().map(|a| route(a, a.prefix()));
        let mut bound = route(RequestKind::Idempotent, zones::BOUND_PREFIX);
        bound["allowed_regions"] = json!([zones::HOME_REGION]);
        let unused = (0..self.extra_routes.get())
            .map(|n| route(RequestKind::Idempotent, &format!("/more-{n}/")));
        let prepaid = self.prepaid.borrow();
        let organisation = |(n, prepaid): (usize, &u64)| json!({"name": format!("org-{n}"), "api_keys": [format!("key-{n}")], "prepaid": prepaid});
        let config = json!({
            "version": self.version.get(),
            "routes": used.chain([bound]).chain(unused).collect::<Vec<_>>(),
            "services": [{"name": "model", "max_connections": 300,
                "warmup_s": zones::WARM_UP_S, "warmup_per_s": zones::WARM_UP_PER_S,
                "engine": {"slots": 64, "kv_capacity": 200_000, "stride": TOKENS_PER_EVENT}}],
            "tenants": prepaid.iter().enumerate().map(organisation).collect::<Vec<_>>(),
        });
        self.store.put(names::CONFIG_ROW.0, names::CONFIG_ROW.1, config.to_string().as_bytes());
    }

    /// Starts a target as number `n` with its proxy and registers it in the store. Replaces the current
    /// target of this number, if any.
    pub(crate) async fn add_target(self: &Rc<Testbed>, n: usize) -> Result<()> {
        let id = format_compact!("t{n}-{}", self.replacements.get());
        let zone = format!("zone-{}", n % 2);
        let headers = TargetNames { headers: names::headers(), seal: SEAL_HEADER.into() };
        let target = StandinTarget::start_named(&id, "model", &zone, headers).await?;
        target.set_event_gap(EVENT_GAP);
        target.set_fatal_part(Some(FATAL_PART));
        // A replacement may have another version than its predecessor, and both versions serve.
        let is_odd = !(n as u64 + self.replacements.get()).is_multiple_of(2);
        target.set_version(VERSIONS[usize::from(is_odd)]);
        let link = Proxy::start(&format!("{}.252", self.ip), target.addr, None).await?;
        for links in &self.target_links {
            let router_link = Proxy::start(&format!("{}.253", self.ip), link.addr, None).await?;
            links.borrow_mut().add(&id, router_link);
        }
        // The initial targets start before the routers and are warm.
        let is_cold = self.replacements.get() > 0;
        if is_cold {
            zones::start_warm_up(&target);
        }
        let warm_up_ms = if is_cold { zones::WARM_UP_S * 1_000.0 } else { 0.0 };
        let row = json!({"service": "model", "address": link.addr, "zone": zone, "slots": 64,
            "version": target.version(), "state": "ready", "warmup_left_ms": warm_up_ms, "sequence": 1});
        self.store.put(names::TARGETS_TABLE, &id, row.to_string().as_bytes());
        spawn_local(self.clone().restart_after_end(n, target.clone(), link.clone()));
        let mut targets = self.targets.borrow_mut();
        if n < targets.len() {
            let (old, _) = std::mem::replace(&mut targets[n], (target, link));
            self.store.remove(names::TARGETS_TABLE, &old.id);
            self.removed_targets.borrow_mut().push(old);
        } else {
            targets.push((target, link));
        }
        Ok(())
    }

    /// Waits until a target has crashed, closes its proxy so that connections are refused, and
    /// starts a replacement after a pause.
    async fn restart_after_end(self: Rc<Testbed>, n: usize, target: StandinTarget, link: Proxy) {
        target.wait_for_crash().await;
        link.close();
        self.target_links.iter().for_each(|l| l.borrow().close(&target.id));
        sleep(TARGET_DOWNTIME).await;
        let is_there = self.targets.borrow()[n].0.id == target.id;
        if is_there {
            self.replace_target(n).await;
        }
    }

    pub(crate) async fn replace_target(self: &Rc<Testbed>, n: usize) {
        self.replacements.set(self.replacements.get() + 1);
        if let Err(e) = Box::pin(self.add_target(n)).await {
            self.record_violation(format!("a target could not be started: {e}"));
        }
    }

    /// All targets, including replaced ones.
    pub(crate) fn all_targets(&self) -> Vec<StandinTarget> {
        let (targets, removed_targets) = (self.targets.borrow(), self.removed_targets.borrow());
        targets.iter().map(|(t, _)| t).chain(removed_targets.iter()).cloned().collect()
    }
}
