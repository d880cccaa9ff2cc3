//! Faults, one after the other, brought about in a running world.

use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;
use kingcupwall::rows::Fault as StoreFault;
use kingcupwall::standin::gateway_target::StandinTarget;
use rustix::process::Signal;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::faults::{Fault, FleetSize, random_fault};
use crate::notices::{self, Harm};
use crate::proxy::{LinkMode, Proxy};
use crate::routers::Router;
use crate::world::{PREPAID, START, Setup, TARGETS, World};

/// What a raise adds.
const TOP_UP: u64 = 5_000;
/// Routes by which the configuration grows: some 750 kB on the wire, which a narrow link carries in
/// 2 s. A call to the store that has a fixed time for its whole answer never gets it.
const MORE_ROUTES: usize = 2_500;
/// Apart from the seed of the faults, whose series stays as it is.
const NOTICES: u64 = 0x006e_6f74_6963_6573;
/// Pause between two looks whether a router listens.
const LOOK: Duration = Duration::from_millis(10);

impl World {
    /// Breaks things for the time of the setup, and waits until all of it is stopped: a stop may be
    /// asked for while the one before still takes its whole grace, and begins only after it. Returns
    /// how many.
    pub(crate) async fn break_for(self: &Rc<World>, setup: &Setup) -> usize {
        let mut rng = Rng::with_seed(setup.seed);
        let fleet =
            FleetSize { routers: self.routers.len(), targets: TARGETS, orgs: PREPAID.len() };
        let until = Instant::now() + setup.faults_for;
        spawn_local(self.clone().grow(setup.faults_for / 3));
        let mut strikes = Vec::new();
        loop {
            let (pause, fault) = random_fault(&mut rng, fleet);
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
    pub(crate) async fn say_in_turn(self: Rc<World>, until: Instant, seed: u64) {
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

    /// Makes the configuration large after a while.
    async fn grow(self: Rc<World>, after: Duration) {
        sleep(after).await;
        self.more_routes.set(MORE_ROUTES);
        self.configure();
    }

    async fn strike(self: Rc<World>, fault: Fault) {
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
            Fault::StoreLink(r, mode, d) => through(&self.store_links[r], mode, d).await,
            Fault::AllStoreLinks(mode, d) => {
                self.store_links.iter().for_each(|l| l.set_mode(mode));
                sleep(d).await;
                self.store_links.iter().for_each(|l| l.set_mode(LinkMode::Pass));
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

    fn note_router(&self, router: &Router, from: Instant) {
        let harm = Harm { whom: router.front(), from, to: Instant::now() };
        self.router_harms.borrow_mut().push(harm);
    }

    fn note_link(&self, target: &StandinTarget, from: Instant) {
        let harm = Harm { whom: target.id.clone(), from, to: Instant::now() };
        self.link_harms.borrow_mut().push(harm);
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
}

async fn through(link: &Proxy, mode: LinkMode, d: Duration) {
    link.set_mode(mode);
    sleep(d).await;
    link.set_mode(LinkMode::Pass);
}
