//! One seed from start to end.

use std::fmt;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use eyre::{Result, WrapErr};
use kingcupwall::allowance::Ledger;
use kingcupwall::rows::RowStore;
use kingcupwall::standin::gateway_target::{Seen, StandinTarget};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::callers::run_caller;
use crate::checks::check;
use crate::fatal;
use crate::notices;
use crate::routers::GRACE_S;
pub use crate::world::Setup;
use crate::world::{PREPAID, World};
use crate::zones;

/// Time without faults before the last requests: the longest fault, and a stop by force.
const SETTLE: Duration = Duration::from_secs(GRACE_S + 4);
/// Time in which the last requests are counted.
const CALM: Duration = Duration::from_secs(3);
/// Requests that end targets, one after the other while faults go on.
const FATAL_KINDS: u32 = 3;
/// Pause between two looks at the ledgers.
const AUDIT: Duration = Duration::from_millis(200);

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
        spawn_local(run_caller(world.callers.clone(), n, setup.seed ^ u64::from(n + 1)));
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
    world.callers.stop_requested.set(true);
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
    /// Looks at the ledgers all the while: what is promised must never exceed what is prepaid.
    async fn audit(self: Rc<World>) {
        while !self.callers.stop_requested.get() {
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
        let before = self.callers.exchange_log.borrow().len();
        sleep(CALM).await;
        let exchange_log = self.callers.exchange_log.borrow();
        let rich: Vec<_> =
            exchange_log[before..].iter().filter(|e| e.org == PREPAID.len() - 1).collect();
        let served = rich.iter().filter(|e| e.status == Some(200) && e.is_complete).count();
        if served * 2 <= rich.len() {
            self.note(format!("calm again: {served} of {} requests served", rich.len()));
        }
    }

    fn check_notices(&self) {
        let exchange_log = notices::Seen {
            exchanges: &self.callers.exchange_log.borrow(),
            routers: &self.router_harms.borrow(),
            links: &self.link_harms.borrow(),
        };
        notices::check(&self.all_targets(), &exchange_log).into_iter().for_each(|v| self.note(v));
    }

    /// All runs at all targets so far.
    fn runs(&self) -> Vec<Seen> {
        self.all_targets().iter().flat_map(StandinTarget::runs).collect()
    }

    fn report(&self, seed: u64, faults: usize, logs: PathBuf) -> Report {
        let exchange_log = self.callers.exchange_log.borrow();
        let mut violations = check(&exchange_log, &self.runs(), &self.prepaid.borrow());
        violations.extend(self.found.borrow().iter().cloned());
        let complete_successes =
            exchange_log.iter().filter(|e| e.status == Some(200) && e.is_complete).count();
        let refused = exchange_log.iter().filter(|e| e.status == Some(503)).count();
        Report {
            seed,
            counts: (complete_successes, refused, exchange_log.len()),
            faults,
            violations,
            logs,
        }
    }
}
