//! Injects faults into a running testbed.

use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;
use kingcupwall::rows::Fault as StoreFault;
use kingcupwall::standin::gateway_target::StandinTarget;
use kingcupwall::standin::proxy::{LinkMode, Proxy};
use rustix::process::Signal;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::faults::{Fault, FleetSize, random_fault};
use crate::notices::{self, Disturbance};
use crate::routers::RouterProcess;
use crate::testbed::{PREPAID_TOKENS, START_TIMEOUT, Setup, TARGET_COUNT, Testbed};

/// Tokens that a top-up adds to an organisation's prepaid tokens.
const TOP_UP_TOKENS: u64 = 5_000;
/// Number of unused routes that are added to the configuration. It then has about 750 kB on the
/// wire, which a narrow link transfers in 2 s. A store call with a fixed timeout for the whole
/// response would never receive it.
const EXTRA_ROUTES: usize = 2_500;
/// Combined with the seed by XOR for the random sequence of notices, so that the sequence of faults
/// does not depend on it. The bytes spell "notices".
const NOTICE_SEED_MASK: u64 = 0x006e_6f74_6963_6573;
/// Pause between two checks whether a router listens.
const LISTEN_POLL: Duration = Duration::from_millis(10);

impl Testbed {
    /// Injects faults for the duration in `setup` and waits until all have ended: a stop may wait
    /// for an earlier stop of the same router that uses its whole grace period, and starts only
    /// after it. Returns the number of faults.
    pub(crate) async fn inject_faults(self: &Rc<Testbed>, setup: &Setup) -> usize {
        let mut rng = Rng::with_seed(setup.seed);
        let fleet = FleetSize {
            routers: self.routers.len(),
            targets: TARGET_COUNT,
            orgs: PREPAID_TOKENS.len(),
        };
        let until = Instant::now() + setup.faults_for;
        spawn_local(self.clone().grow_config(setup.faults_for / 3));
        let mut injections = Vec::new();
        loop {
            let (pause, fault) = random_fault(&mut rng, fleet);
            if Instant::now() + pause > until {
                break;
            }
            sleep(pause).await;
            injections.push(spawn_local(self.clone().inject(fault)));
        }
        let faults = injections.len();
        for injection in injections {
            if let Err(e) = injection.await {
                self.record_violation(format!("a fault could not be brought about: {e}"));
            }
        }
        faults
    }

    /// Makes one target after the other either announce that it is leaving, with a replacement
    /// later, or refuse requests with a `Retry-After`.
    pub(crate) async fn send_notices(self: Rc<Testbed>, until: Instant, seed: u64) {
        let mut rng = Rng::with_seed(seed ^ NOTICE_SEED_MASK);
        loop {
            let (n, leaves) = (rng.usize(..TARGET_COUNT), rng.bool());
            let notice_time = if leaves { notices::LEAVING_MS } else { notices::SHEDDING_MS };
            let notice_time = Duration::from_millis(rng.u64(notice_time));
            let pause = Duration::from_millis(rng.u64(notices::PAUSE_MS));
            if Instant::now() + pause + notice_time > until {
                return;
            }
            sleep(pause).await;
            let target = self.targets.borrow()[n].0.clone();
            target.set_leaving(leaves);
            target.set_reject_all(rng.choice(notices::RETRY_AFTER_S).filter(|_| !leaves));
            sleep(notice_time).await;
            target.set_reject_all(None);
            // A fault may have replaced the target in the meantime.
            let is_there = self.targets.borrow()[n].0.id == target.id;
            if leaves && is_there {
                self.replace_target(n).await;
            }
        }
    }

    /// Adds the extra routes to the configuration after a delay.
    async fn grow_config(self: Rc<Testbed>, after: Duration) {
        sleep(after).await;
        self.extra_routes.set(EXTRA_ROUTES);
        self.write_config();
    }

    async fn inject(self: Rc<Testbed>, fault: Fault) {
        let impaired = match fault {
            Fault::Store(r, ..) | Fault::StoreLink(r, ..) | Fault::StoreReset(r) => vec![r],
            Fault::Partition(..) | Fault::AllStoreLinks(..) => (0..self.routers.len()).collect(),
            _ => Vec::new(),
        };
        let from = Instant::now();
        self.clone().apply(fault).await;
        let to = Instant::now();
        let disturbances =
            impaired.iter().map(|r| Disturbance { subject: self.fronts[*r], from, to });
        self.store_disturbances.borrow_mut().extend(disturbances);
    }

    async fn apply(self: Rc<Testbed>, fault: Fault) {
        match fault {
            Fault::Store(r, fault, d) => {
                self.store_handles[r].set_fault(fault);
                sleep(d).await;
                self.store_handles[r].set_fault(StoreFault::None);
            }
            Fault::Compact => self.store.compact(),
            Fault::Partition(org, d) => {
                self.store.set_unresponsive(&[&format!("org-{org}")]);
                sleep(d).await;
                self.store.set_unresponsive(&[]);
            }
            Fault::StoreLink(r, mode, d) => apply_link_mode(&self.store_links[r], mode, d).await,
            Fault::AllStoreLinks(mode, d) => {
                self.store_links.iter().for_each(|l| l.set(mode));
                sleep(d).await;
                self.store_links.iter().for_each(|l| l.set(LinkMode::Pass));
            }
            Fault::StoreReset(r) => self.store_links[r].reset(),
            Fault::TargetLink(t, mode, d) => {
                let (target, link) = self.targets.borrow()[t].clone();
                let from = Instant::now();
                apply_link_mode(&link, mode, d).await;
                self.record_link_disturbance(&target, from);
            }
            Fault::TargetReset(t) => {
                let (target, link) = self.targets.borrow()[t].clone();
                link.reset();
                self.record_link_disturbance(&target, Instant::now());
            }
            Fault::Target(t, fault) => self.targets.borrow()[t].0.fail(&[fault]),
            Fault::Replace(t) => self.replace_target(t).await,
            Fault::Pause(r, d) => {
                self.routers[r].lock().await.signal(Signal::STOP);
                let from = Instant::now();
                sleep(d).await;
                let router = self.routers[r].lock().await;
                router.signal(Signal::CONT);
                self.record_router_disturbance(&router, from);
            }
            Fault::Kill(r, down) => self.restart_router(r, down).await,
            Fault::KillAll(down) => {
                for r in 0..self.routers.len() {
                    spawn_local(self.clone().restart_router_owned(r, down));
                }
            }
            Fault::Stop(r) => {
                let mut router = self.routers[r].lock().await;
                // A paused process could not handle SIGTERM.
                router.signal(Signal::CONT);
                router.wait_until_listening().await;
                let from = Instant::now();
                router.stop().await;
                self.record_router_disturbance(&router, from);
                self.start_router(&mut router);
            }
            Fault::Reload(r) => self.reload_router(r).await,
            Fault::TopUp(org) => {
                self.prepaid.borrow_mut()[org] += TOP_UP_TOKENS;
                self.write_config();
            }
            Fault::Configure => self.write_config(),
        }
    }

    fn record_router_disturbance(&self, router: &RouterProcess, from: Instant) {
        let disturbance = Disturbance { subject: router.front_addr(), from, to: Instant::now() };
        self.router_disturbances.borrow_mut().push(disturbance);
    }

    fn record_link_disturbance(&self, target: &StandinTarget, from: Instant) {
        let disturbance = Disturbance { subject: target.id.clone(), from, to: Instant::now() };
        self.link_disturbances.borrow_mut().push(disturbance);
    }

    /// Sends SIGHUP to a router once its process handles signals; before that, the signal's default
    /// action would end the process.
    ///
    /// The router's lock is released between two checks. If it were held while the process starts,
    /// a pause that began before the process ran its own code could not end.
    async fn reload_router(&self, r: usize) {
        let until = Instant::now() + START_TIMEOUT;
        while Instant::now() < until {
            let router = self.routers[r].lock().await;
            if router.is_listening().await {
                return router.signal(Signal::HUP);
            }
            drop(router);
            sleep(LISTEN_POLL).await;
        }
    }

    async fn restart_router_owned(self: Rc<Testbed>, r: usize, down: Duration) {
        self.restart_router(r, down).await;
    }

    async fn restart_router(&self, r: usize, down: Duration) {
        let mut router = self.routers[r].lock().await;
        if let Some(status) = router.unexpected_exit() {
            self.record_violation(format!("{} ended by itself: {status}", router.name));
        }
        let from = Instant::now();
        router.kill().await;
        sleep(down).await;
        self.record_router_disturbance(&router, from);
        self.start_router(&mut router);
    }

    fn start_router(&self, router: &mut RouterProcess) {
        if let Err(e) = router.start() {
            self.record_violation(format!("{} could not be started: {e}", router.name));
        }
    }
}

async fn apply_link_mode(link: &Proxy, mode: LinkMode, d: Duration) {
    link.set(mode);
    sleep(d).await;
    link.set(LinkMode::Pass);
}
