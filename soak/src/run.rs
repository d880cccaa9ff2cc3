//! Runs one seed from start to end and checks the results.

use std::fmt;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use eyre::{Result, WrapErr};
use kingcupwall::allowance::Ledger;
use kingcupwall::rows::RowStore;
use kingcupwall::standin::gateway_target::{ReceivedRequest, StandinTarget};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::callers::{REQUEST_TIMEOUT, run_caller};
use crate::checks::check;
use crate::cuts::{self, ALLOWED_FAILURES, ALLOWED_FAILURES_IN_CALM, Cut};
use crate::fatal;
use crate::notices;
use crate::routers::STOP_GRACE_S;
pub use crate::testbed::Setup;
use crate::testbed::{PREPAID_TOKENS, Testbed};
use crate::zones;

/// Time without faults before the recovery check. It covers the longest fault and a router that is
/// killed at the end of its grace period.
const SETTLE_TIME: Duration = Duration::from_secs(STOP_GRACE_S + 4);
/// How long requests are counted for the recovery check.
const RECOVERY_WINDOW: Duration = Duration::from_secs(3);
/// Number of different requests that crash targets. They are sent one after the other while faults
/// are injected.
const FATAL_REQUESTS: u32 = 3;
/// Pause between two audits of the ledgers.
const AUDIT_PAUSE: Duration = Duration::from_millis(200);

/// The result of one seed.
#[derive(Clone, Debug)]
pub struct Report {
    /// The seed of the faults and requests.
    pub seed: u64,
    /// Number of requests: complete responses with status 200, refusals with status 503, and all.
    pub counts: (usize, usize, usize),
    /// Number of injected faults.
    pub faults: usize,
    /// One line for each violated invariant.
    pub violations: Vec<String>,
    /// Directory of the routers' logs. It is removed if there are no violations.
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

/// Runs one seed.
///
/// # Errors
/// Fails if the testbed cannot be started, if a background task panics, or if the logs cannot be
/// removed. Violated invariants are returned in the report.
pub async fn run(setup: &Setup) -> Result<Report> {
    let dir = std::env::temp_dir().join(format!("kingcupwall-soak-{}", std::process::id()));
    let logs = dir.join(setup.seed.to_string());
    std::fs::create_dir_all(&logs)
        .wrap_err("failed to create the directory for the routers' logs")?;
    let testbed = Testbed::start(setup, &logs).await?;
    spawn_local(testbed.clone().audit());
    for n in 0..setup.callers {
        spawn_local(run_caller(testbed.callers.clone(), n, setup.seed ^ u64::from(n + 1)));
    }
    let time_per_request = setup.faults_for / FATAL_REQUESTS;
    spawn_local(fatal::send_fatal_requests(
        testbed.callers.clone(),
        FATAL_REQUESTS,
        time_per_request,
        setup.seed,
    ));
    spawn_local(zones::send_bound_requests(testbed.callers.clone(), setup.seed));
    let (until, owner) = (Instant::now() + setup.faults_for, testbed.clone());
    let targets = move || owner.targets.borrow().iter().map(|(t, _)| t.clone()).collect();
    let emptied =
        spawn_local(zones::empty_zones(testbed.store.clone(), targets, until, setup.seed));
    let notices_sent = spawn_local(testbed.clone().send_notices(until, setup.seed));
    let cuts = spawn_local(testbed.clone().cut_routers(until, setup.seed));
    let faults = testbed.inject_faults(setup).await;
    let emptied = emptied.await?;
    notices_sent.await?;
    let cuts = cuts.await?;
    sleep(SETTLE_TIME).await;
    let before = testbed.runs();
    testbed.check_recovery().await;
    fatal::check(&before, &testbed.runs()).into_iter().for_each(|v| testbed.record_violation(v));
    zones::check(&testbed.all_targets(), &emptied)
        .into_iter()
        .for_each(|v| testbed.record_violation(v));
    testbed.check_notices();
    testbed.check_cuts(&cuts, ALLOWED_FAILURES);
    let calm_cut = testbed.cut_in_calm(setup.seed).await;
    // Requests that were sent at the end of the cut have their answers after this.
    sleep(REQUEST_TIMEOUT).await;
    testbed.check_cuts(&[calm_cut], ALLOWED_FAILURES_IN_CALM);
    testbed.callers.stop_requested.set(true);
    for router in &testbed.routers {
        let mut router = router.lock().await;
        if let Some(status) = router.unexpected_exit() {
            testbed.record_violation(format!("{} ended by itself: {status}", router.name));
        }
        router.kill().await;
    }
    let report = testbed.report(setup.seed, faults, logs);
    if report.violations.is_empty() {
        std::fs::remove_dir_all(&report.logs)?;
    }
    Ok(report)
}

impl Testbed {
    /// Audits the ledgers until callers stop: the tokens committed for an organisation must never
    /// exceed its prepaid tokens.
    async fn audit(self: Rc<Testbed>) {
        while !self.callers.stop_requested.get() {
            for org in 0..PREPAID_TOKENS.len() {
                let prepaid = self.prepaid.borrow()[org];
                if let Some(committed) = self.committed(&format!("org-{org}")).await
                    && committed > prepaid
                {
                    self.record_violation(format!(
                        "organisation {org}: {committed} promised of {prepaid}"
                    ));
                }
            }
            sleep(AUDIT_PAUSE).await;
        }
    }

    async fn committed(&self, org: &str) -> Option<u64> {
        // The next audit reads a partition that did not answer.
        let page = self.store.scan("budgets", org).await.ok()?;
        let value = page.rows.first()?.value.clone()?;
        match Ledger::decode(&value) {
            Ok(ledger) => Some(ledger.committed().0),
            Err(e) => {
                self.record_violation(format!("{org}: the ledger cannot be read: {e}"));
                None
            }
        }
    }

    /// Checks that, after all faults, every router is ready and that most requests of the
    /// organisation with ample prepaid tokens are served.
    async fn check_recovery(&self) {
        for router in &self.routers {
            let router = router.lock().await;
            if router.is_running() && !router.is_ready().await {
                self.record_violation(format!("calm again: {} is not ready", router.name));
            }
        }
        let before = self.callers.exchange_log.borrow().len();
        sleep(RECOVERY_WINDOW).await;
        let exchange_log = self.callers.exchange_log.borrow();
        let well_funded: Vec<_> =
            exchange_log[before..].iter().filter(|e| e.org == PREPAID_TOKENS.len() - 1).collect();
        let served = well_funded.iter().filter(|e| e.status == Some(200) && e.is_complete).count();
        if served * 2 <= well_funded.len() {
            self.record_violation(format!(
                "calm again: {served} of {} requests served",
                well_funded.len()
            ));
        }
    }

    fn check_notices(&self) {
        let observations = notices::Observations {
            exchanges: &self.callers.exchange_log.borrow(),
            routers: &self.router_disturbances.borrow(),
            links: &self.link_disturbances.borrow(),
        };
        notices::check(&self.all_targets(), &observations)
            .into_iter()
            .for_each(|v| self.record_violation(v));
    }

    /// Checks the requests of the organisation with ample prepaid tokens.
    fn check_cuts(&self, cuts: &[Cut], allowed_failures: usize) {
        let exchange_log = self.callers.exchange_log.borrow();
        let well_funded: Vec<_> =
            exchange_log.iter().filter(|e| e.org == PREPAID_TOKENS.len() - 1).collect();
        let store = self.store_disturbances.borrow();
        let disturbances =
            self.router_disturbances.borrow().iter().chain(&*store).cloned().collect::<Vec<_>>();
        cuts::check(&well_funded, cuts, &disturbances, allowed_failures)
            .into_iter()
            .for_each(|v| self.record_violation(v));
    }

    /// All runs at all targets so far, including removed targets.
    fn runs(&self) -> Vec<ReceivedRequest> {
        self.all_targets().iter().flat_map(StandinTarget::runs).collect()
    }

    fn report(&self, seed: u64, faults: usize, logs: PathBuf) -> Report {
        let exchange_log = self.callers.exchange_log.borrow();
        let mut violations = check(&exchange_log, &self.runs(), &self.prepaid.borrow());
        violations.extend(self.recorded_violations.borrow().iter().cloned());
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
