//! One seed from start to end.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use compact_str::{CompactString, format_compact};
use eyre::{Result, WrapErr, eyre};
use fastrand::Rng;
use kingcupwall::allowance::Ledger;
use kingcupwall::rows::{Fault as StoreFault, MemoryRows, RowStore};
use kingcupwall::standin::gateway_target::{Seen, StandinTarget, TOKENS_PER_EVENT, TargetNames};
use kingcupwall_platform::names;
use rustix::process::Signal;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Mutex;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout_at};

use crate::callers::{Asked, Callers, HOST, SEAL, call_on};
use crate::checks::check;
use crate::fatal;
use crate::faults::{Fault, Parts, next};
use crate::notices::{self, Harm};
use crate::proxy::{Mode, Proxy};
use crate::routers::{GRACE_S, Router};
use crate::store;
use crate::zones;

/// Targets of the only service.
const TARGETS: usize = 4;
/// Organisations, and what each has: the first runs out, the last does not.
const PREPAID: [u64; 3] = [40_000, 400_000, 40_000_000];
/// What a raise adds.
const TOP_UP: u64 = 5_000;
/// Pause between two events of a stream.
const EVENT_GAP: Duration = Duration::from_millis(4);
/// How long routers may take to serve after their start.
const START: Duration = Duration::from_secs(20);
/// Time without faults before the last requests: the longest fault, and a stop by force.
const SETTLE: Duration = Duration::from_secs(GRACE_S + 4);
/// Time in which the last requests are counted.
const CALM: Duration = Duration::from_secs(3);
/// Bytes a second that every second router gets from the store.
const NARROW: u64 = 400_000;
/// Routes by which the configuration grows: some 750 kB on the wire, which a narrow link carries in
/// 2 s. A call to the store that has a fixed time for its whole answer never gets it.
const MORE_ROUTES: usize = 2_500;
/// Requests that end targets, one after the other while faults go on.
const FATAL_KINDS: u32 = 3;
/// Apart from the seed of the faults, whose series stays as it is.
const NOTICES: u64 = 0x006e_6f74_6963_6573;
/// How long a target that has ended is down.
const DOWN: Duration = Duration::from_secs(1);
/// Pause between two looks whether a router listens.
const LOOK: Duration = Duration::from_millis(10);
/// Pause between two looks at the ledgers.
const AUDIT: Duration = Duration::from_millis(200);

/// A soak.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The seed of its faults and requests.
    pub seed: u64,
    /// How long faults go on.
    pub faults_for: Duration,
    /// Routers.
    pub routers: u8,
    /// Callers.
    pub callers: u32,
    /// The daemon.
    pub daemon: PathBuf,
}

/// What came of it.
#[derive(Clone, Debug)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Requests by how they ended: whole successes, refusals, all.
    pub counts: (usize, usize, usize),
    /// Faults.
    pub faults: usize,
    /// Everything that did not hold.
    pub violations: Vec<String>,
    /// Where the routers' logs are; kept only if something did not hold.
    pub logs: PathBuf,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (whole, refused, all) = self.counts;
        write!(
            f,
            "seed={} faults={} requests={all} whole={whole} refused={refused} violations={}",
            self.seed,
            self.faults,
            self.violations.len()
        )?;
        self.violations.iter().try_for_each(|v| write!(f, "\n  {v}"))
    }
}

/// Everything that runs.
struct World {
    store: MemoryRows,
    handles: Vec<MemoryRows>,
    store_links: Vec<Proxy>,
    routers: Vec<Mutex<Router>>,
    targets: RefCell<Vec<(StandinTarget, Proxy)>>,
    /// Targets that have left; what they ran still counts.
    gone: RefCell<Vec<StandinTarget>>,
    callers: Rc<Callers>,
    prepaid: RefCell<Vec<u64>>,
    version: Cell<u64>,
    more_routes: Cell<usize>,
    replaced: Cell<u64>,
    found: RefCell<Vec<String>>,
    router_harms: RefCell<Vec<Harm<SocketAddr>>>,
    link_harms: RefCell<Vec<Harm<CompactString>>>,
    ip: CompactString,
}

/// Plays one seed.
///
/// # Errors
/// Those of starting; what did not hold is in the report.
pub async fn run(setup: &Setup) -> Result<Report> {
    let dir = std::env::temp_dir().join(format!("kingcupwall-soak-{}", std::process::id()));
    let logs = dir.join(setup.seed.to_string());
    std::fs::create_dir_all(&logs).wrap_err("directory for logs")?;
    let world = World::start(setup, &logs).await?;
    spawn_local(world.clone().audit());
    for n in 0..setup.callers {
        spawn_local(call_on(world.callers.clone(), n, setup.seed ^ u64::from(n + 1)));
    }
    let each = setup.faults_for / FATAL_KINDS;
    spawn_local(fatal::send_on(world.callers.clone(), FATAL_KINDS, each, setup.seed));
    spawn_local(zones::send_bound(world.callers.clone(), setup.seed));
    let (until, all) = (Instant::now() + setup.faults_for, world.clone());
    let targets = move || all.targets.borrow().iter().map(|(t, _)| t.clone()).collect();
    let emptied =
        spawn_local(zones::empty_in_turn(world.store.clone(), targets, until, setup.seed));
    let saying = spawn_local(world.clone().say_in_turn(until, setup.seed));
    let faults = world.break_for(setup).await;
    let emptied = emptied.await?;
    saying.await?;
    sleep(SETTLE).await;
    let before = world.runs();
    world.check_calm().await;
    fatal::check(&before, &world.runs()).into_iter().for_each(|v| world.note(v));
    zones::check(&world.all_targets(), &emptied).into_iter().for_each(|v| world.note(v));
    world.check_notices();
    world.callers.over.set(true);
    for router in &world.routers {
        let mut router = router.lock().await;
        if let Some(status) = router.crashed() {
            world.note(format!("{} ended by itself: {status}", router.name));
        }
        router.kill().await;
    }
    let report = world.report(setup.seed, faults, logs);
    if report.violations.is_empty() {
        std::fs::remove_dir_all(&report.logs)?;
    }
    Ok(report)
}

impl World {
    async fn start(setup: &Setup, logs: &Path) -> Result<Rc<World>> {
        let own = u16::try_from(std::process::id() % 60_000).unwrap_or_default() + 2_000;
        // A network of this soak's own on the loopback: others do not use its addresses.
        let ip = format_compact!("127.{}.{}", own / 250 + 1, own % 250 + 1);
        let store = MemoryRows::new();
        let (mut handles, mut store_links, mut routers) = (Vec::new(), Vec::new(), Vec::new());
        for n in 0..setup.routers {
            let handle = store.another();
            let listener = TcpListener::bind((format!("{ip}.250"), 0)).await?;
            let rate = (n % 2 == 1).then_some(NARROW);
            let link = Proxy::start(&format!("{ip}.251"), listener.local_addr()?, rate).await?;
            spawn_local(store::serve(listener, handle.clone()));
            let (at, zone) = (format!("{ip}.{}", n + 1), format!("zone-{}", n / 2 % 2));
            let router = Router::new(logs, &setup.daemon, &at, n, &zone, link.addr)?;
            handles.push(handle);
            store_links.push(link);
            routers.push(router);
        }
        let callers = Callers {
            directories: routers.iter().map(Router::directory).collect(),
            keys: (0..PREPAID.len()).map(|n| format_compact!("key-{n}")).collect(),
            seen: RefCell::default(),
            over: Cell::new(false),
        };
        let world = Rc::new(World {
            store,
            handles,
            store_links,
            routers: routers.into_iter().map(Mutex::new).collect(),
            targets: RefCell::default(),
            gone: RefCell::default(),
            callers: Rc::new(callers),
            prepaid: RefCell::new(PREPAID.to_vec()),
            version: Cell::new(0),
            more_routes: Cell::new(0),
            replaced: Cell::new(0),
            found: RefCell::default(),
            router_harms: RefCell::default(),
            link_harms: RefCell::default(),
            ip,
        });
        world.configure();
        for n in 0..TARGETS {
            world.add_target(n).await?;
        }
        for router in &world.routers {
            router.lock().await.start()?;
        }
        world.wait_until_serving().await?;
        Ok(world)
    }

    async fn wait_until_serving(&self) -> Result<()> {
        let until = Instant::now() + START;
        let asked = async {
            loop {
                let page = self.store.scan("routers", "").await;
                if page.is_ok_and(|p| p.rows.len() == self.routers.len()) {
                    return;
                }
                sleep(AUDIT).await;
            }
        };
        timeout_at(until, asked).await.map_err(|_| eyre!("the routers do not start"))
    }

    fn note(&self, violation: String) {
        self.found.borrow_mut().push(violation);
    }

    /// Writes a configuration with the amounts as they stand.
    fn configure(&self) {
        self.version.set(self.version.get() + 3);
        let kind = |a: Asked| match a {
            Asked::Safe => "idempotent",
            Asked::Once => "non_idempotent",
            Asked::Stream | Asked::Resumable => "streaming",
        };
        let route = |a: Asked, prefix: &str| {
            json!({"name": prefix.trim_matches('/'), "host": HOST, "prefix": prefix,
                "kind": kind(a), "timeout_ms": 3_500, "target_latency_ms": 400,
                "gap_aim_ms": 200, "priority": 1, "service": "model", "public": false,
                "max_attempts": if a.repeats() { 2 } else { 1 },
                "resumable": a == Asked::Resumable})
        };
        let used = Asked::ALL.into_iter().map(|a| route(a, a.prefix()));
        let mut bound = route(Asked::Safe, zones::BOUND_PREFIX);
        bound["allowed_regions"] = json!([zones::HOME]);
        let unused =
            (0..self.more_routes.get()).map(|n| route(Asked::Safe, &format!("/more-{n}/")));
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
        self.store.put(names::CONFIG.0, names::CONFIG.1, config.to_string().as_bytes());
    }

    async fn add_target(self: &Rc<World>, n: usize) -> Result<()> {
        let id = format_compact!("t{n}-{}", self.replaced.get());
        let zone = format!("zone-{}", n % 2);
        let headers = TargetNames { headers: names::headers(), seal: SEAL.into() };
        let target = StandinTarget::start_named(&id, "model", &zone, headers).await?;
        target.set_event_gap(EVENT_GAP);
        let link = Proxy::start(&format!("{}.252", self.ip), target.addr, None).await?;
        // The first targets were there before the routers.
        let is_cold = self.replaced.get() > 0;
        if is_cold {
            zones::warm_up(&target);
        }
        let warm_up_ms = if is_cold { zones::WARM_UP_S * 1_000.0 } else { 0.0 };
        let row = json!({"service": "model", "address": link.addr, "zone": zone, "slots": 64,
            "version": "v1", "state": "ready", "warmup_left_ms": warm_up_ms, "sequence": 1});
        self.store.put(names::TARGETS, &id, row.to_string().as_bytes());
        spawn_local(self.clone().start_again_after_end(n, target.clone(), link.clone()));
        let mut targets = self.targets.borrow_mut();
        if n < targets.len() {
            let (old, _) = std::mem::replace(&mut targets[n], (target, link));
            self.store.remove(names::TARGETS, &old.id);
            self.gone.borrow_mut().push(old);
        } else {
            targets.push((target, link));
        }
        Ok(())
    }

    /// Once a target has ended, nobody listens in its place; another starts there after a while.
    async fn start_again_after_end(self: Rc<World>, n: usize, target: StandinTarget, link: Proxy) {
        target.wait_end().await;
        link.close();
        sleep(DOWN).await;
        let is_there = self.targets.borrow()[n].0.id == target.id;
        if is_there {
            self.replace(n).await;
        }
    }

    async fn replace(self: &Rc<World>, n: usize) {
        self.replaced.set(self.replaced.get() + 1);
        if let Err(e) = Box::pin(self.add_target(n)).await {
            self.note(format!("a target could not be started: {e}"));
        }
    }

    /// Breaks things for the time of the setup, and waits until all of it is over: a stop may be
    /// asked for while the one before still takes its whole grace, and begins only after it. Returns
    /// how many.
    async fn break_for(self: &Rc<World>, setup: &Setup) -> usize {
        let mut rng = Rng::with_seed(setup.seed);
        let parts = Parts { routers: self.routers.len(), targets: TARGETS, orgs: PREPAID.len() };
        let until = Instant::now() + setup.faults_for;
        spawn_local(self.clone().grow(setup.faults_for / 3));
        let mut strikes = Vec::new();
        loop {
            let (pause, fault) = next(&mut rng, parts);
            if Instant::now() + pause > until {
                break;
            }
            sleep(pause).await;
            strikes.push(spawn_local(self.clone().strike(fault)));
        }
        let faults = strikes.len();
        for strike in strikes {
            if let Err(e) = strike.await {
                self.note(format!("a fault could not be brought about: {e}"));
            }
        }
        faults
    }

    /// One target after the other says that it leaves, and does so later, or asks for rest.
    async fn say_in_turn(self: Rc<World>, until: Instant, seed: u64) {
        let mut rng = Rng::with_seed(seed ^ NOTICES);
        loop {
            let (n, leaves) = (rng.usize(..TARGETS), rng.bool());
            let lasts = if leaves { notices::LEAVES_MS } else { notices::SHEDS_MS };
            let lasts = Duration::from_millis(rng.u64(lasts));
            let pause = Duration::from_millis(rng.u64(notices::PAUSE_MS));
            if Instant::now() + pause + lasts > until {
                return;
            }
            sleep(pause).await;
            let target = self.targets.borrow()[n].0.clone();
            target.set_says_leaving(leaves);
            target.set_rests(rng.choice(notices::RESTS).filter(|_| !leaves));
            sleep(lasts).await;
            target.set_rests(None);
            // A fault may have put another one in its place.
            let is_there = self.targets.borrow()[n].0.id == target.id;
            if leaves && is_there {
                self.replace(n).await;
            }
        }
    }

    fn check_notices(&self) {
        let seen = notices::Seen {
            exchanges: &self.callers.seen.borrow(),
            routers: &self.router_harms.borrow(),
            links: &self.link_harms.borrow(),
        };
        notices::check(&self.all_targets(), &seen).into_iter().for_each(|v| self.note(v));
    }

    fn note_router(&self, router: &Router, from: Instant) {
        let harm = Harm { whom: router.front(), from, to: Instant::now() };
        self.router_harms.borrow_mut().push(harm);
    }

    fn note_link(&self, target: &StandinTarget, from: Instant) {
        let harm = Harm { whom: target.id.clone(), from, to: Instant::now() };
        self.link_harms.borrow_mut().push(harm);
    }

    /// Makes the configuration large after a while.
    async fn grow(self: Rc<World>, after: Duration) {
        sleep(after).await;
        self.more_routes.set(MORE_ROUTES);
        self.configure();
    }

    async fn strike(self: Rc<World>, fault: Fault) {
        match fault {
            Fault::Store(r, fault, d) => {
                self.handles[r].set_fault(fault);
                sleep(d).await;
                self.handles[r].set_fault(StoreFault::None);
            }
            Fault::Compact => self.store.compact(),
            Fault::Partition(org, d) => {
                self.store.set_silent(&[&format!("org-{org}")]);
                sleep(d).await;
                self.store.set_silent(&[]);
            }
            Fault::StoreLink(r, mode, d) => through(&self.store_links[r], mode, d).await,
            Fault::AllStoreLinks(mode, d) => {
                self.store_links.iter().for_each(|l| l.set(mode));
                sleep(d).await;
                self.store_links.iter().for_each(|l| l.set(Mode::Pass));
            }
            Fault::StoreReset(r) => self.store_links[r].reset(),
            Fault::TargetLink(t, mode, d) => {
                let (target, link) = self.targets.borrow()[t].clone();
                let from = Instant::now();
                through(&link, mode, d).await;
                self.note_link(&target, from);
            }
            Fault::TargetReset(t) => {
                let (target, link) = self.targets.borrow()[t].clone();
                link.reset();
                self.note_link(&target, Instant::now());
            }
            Fault::Target(t, fault) => self.targets.borrow()[t].0.fail(&[fault]),
            Fault::Replace(t) => self.replace(t).await,
            Fault::Pause(r, d) => {
                self.routers[r].lock().await.signal(Signal::STOP);
                let from = Instant::now();
                sleep(d).await;
                let router = self.routers[r].lock().await;
                router.signal(Signal::CONT);
                self.note_router(&router, from);
            }
            Fault::Kill(r, down) => self.restart(r, down).await,
            Fault::KillAll(down) => {
                for r in 0..self.routers.len() {
                    spawn_local(self.clone().restart_owned(r, down));
                }
            }
            Fault::Stop(r) => {
                let mut router = self.routers[r].lock().await;
                // A paused process could not hear it.
                router.signal(Signal::CONT);
                router.listens().await;
                let from = Instant::now();
                router.stop().await;
                self.note_router(&router, from);
                self.start_again(&mut router);
            }
            Fault::Reload(r) => self.reload(r).await,
            Fault::TopUp(org) => {
                self.prepaid.borrow_mut()[org] += TOP_UP;
                self.configure();
            }
            Fault::Configure => self.configure(),
        }
    }

    /// Tells a router that its settings changed, once its process takes signals. The router is not
    /// held while it starts: a pause that began before its own code ran could not end, and the
    /// signal would end the process as it does any program.
    async fn reload(&self, r: usize) {
        let until = Instant::now() + START;
        while Instant::now() < until {
            let router = self.routers[r].lock().await;
            if router.is_listening().await {
                return router.signal(Signal::HUP);
            }
            drop(router);
            sleep(LOOK).await;
        }
    }

    async fn restart_owned(self: Rc<World>, r: usize, down: Duration) {
        self.restart(r, down).await;
    }

    async fn restart(&self, r: usize, down: Duration) {
        let mut router = self.routers[r].lock().await;
        if let Some(status) = router.crashed() {
            self.note(format!("{} ended by itself: {status}", router.name));
        }
        let from = Instant::now();
        router.kill().await;
        sleep(down).await;
        self.note_router(&router, from);
        self.start_again(&mut router);
    }

    fn start_again(&self, router: &mut Router) {
        if let Err(e) = router.start() {
            self.note(format!("{} could not be started: {e}", router.name));
        }
    }

    /// Looks at the ledgers all the while: what is promised must never exceed what is prepaid.
    async fn audit(self: Rc<World>) {
        while !self.callers.over.get() {
            for org in 0..PREPAID.len() {
                let prepaid = self.prepaid.borrow()[org];
                if let Some(committed) = self.committed(&format!("org-{org}")).await
                    && committed > prepaid
                {
                    self.note(format!("organisation {org}: {committed} promised of {prepaid}"));
                }
            }
            sleep(AUDIT).await;
        }
    }

    async fn committed(&self, org: &str) -> Option<u64> {
        // A partition that is silent is looked at the next time.
        let page = self.store.scan("budgets", org).await.ok()?;
        let value = page.rows.first()?.value.clone()?;
        match Ledger::decode(&value) {
            Ok(ledger) => Some(ledger.committed().0),
            Err(e) => {
                self.note(format!("{org}: the ledger cannot be read: {e}"));
                None
            }
        }
    }

    /// Once all faults are over, every router serves, and requests of the organisation that has
    /// plenty are served.
    async fn check_calm(&self) {
        for router in &self.routers {
            let router = router.lock().await;
            if router.is_up() && !router.is_ready().await {
                self.note(format!("calm again: {} is not ready", router.name));
            }
        }
        let before = self.callers.seen.borrow().len();
        sleep(CALM).await;
        let seen = self.callers.seen.borrow();
        let rich: Vec<_> = seen[before..].iter().filter(|e| e.org == PREPAID.len() - 1).collect();
        let served = rich.iter().filter(|e| e.status == Some(200) && e.whole).count();
        if served * 2 <= rich.len() {
            self.note(format!("calm again: {served} of {} requests served", rich.len()));
        }
    }

    /// All runs at all targets so far.
    fn runs(&self) -> Vec<Seen> {
        self.all_targets().iter().flat_map(StandinTarget::runs).collect()
    }

    /// All targets, also those that have left.
    fn all_targets(&self) -> Vec<StandinTarget> {
        let (targets, gone) = (self.targets.borrow(), self.gone.borrow());
        targets.iter().map(|(t, _)| t).chain(gone.iter()).cloned().collect()
    }

    fn report(&self, seed: u64, faults: usize, logs: PathBuf) -> Report {
        let seen = self.callers.seen.borrow();
        let mut violations = check(&seen, &self.runs(), &self.prepaid.borrow());
        violations.extend(self.found.borrow().iter().cloned());
        let whole = seen.iter().filter(|e| e.status == Some(200) && e.whole).count();
        let refused = seen.iter().filter(|e| e.status == Some(503)).count();
        Report { seed, counts: (whole, refused, seen.len()), faults, violations, logs }
    }
}

async fn through(link: &Proxy, mode: Mode, d: Duration) {
    link.set(mode);
    sleep(d).await;
    link.set(Mode::Pass);
}
