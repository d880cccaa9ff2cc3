//! A fleet of budget managers that lend to one another, on an in-memory store and a simulated
//! network that loses, duplicates and delays datagrams.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use kingcupwall::allowance::{
    BudgetManager, BudgetSettings, Ledger, Lender, Outgoing, ProcessId, Refusal,
};
use kingcupwall::ids::Tokens;
use kingcupwall::oplog::Log;
use kingcupwall::rows::{Fault, MemoryRows, RowKey};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::sleep;

/// The organisation whose budget is spent.
pub const ORG: &str = "norte";
/// Duration of a transaction.
const STORE_LATENCY: Duration = Duration::from_millis(4);
/// Latency of a datagram.
const DATAGRAM_LATENCY: Duration = Duration::from_millis(1);

/// Network faults, in percent of all datagrams.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkFaults {
    /// Datagrams that are lost.
    pub lost_percent: u32,
    /// Datagrams that arrive twice, the second time up to a second later.
    pub duplicated_percent: u32,
}

/// A running router.
pub struct RouterHost {
    /// Its budget manager.
    pub manager: Rc<BudgetManager<MemoryRows>>,
    /// Its client of the store, to inject faults.
    pub rows: MemoryRows,
    tasks: Vec<JoinHandle<()>>,
}

/// A fleet, and what its callers received.
pub struct Fleet {
    /// The store.
    pub store: MemoryRows,
    zones: usize,
    horizon_ms: u64,
    prepaid: Cell<u64>,
    /// The routers; `None` for a router that is down.
    pub hosts: RefCell<Vec<Option<RouterHost>>>,
    /// Routers that are isolated from all others.
    pub isolated: RefCell<Vec<usize>>,
    /// The network's faults.
    pub network: Cell<NetworkFaults>,
    /// Number of datagrams that each router has sent.
    pub sent: RefCell<Vec<u64>>,
    /// Tokens that callers received.
    pub spent: Cell<u64>,
    /// Number of refused requests.
    pub refused: Cell<u64>,
    /// Number of requests that were refused because the budget is spent.
    pub refused_as_spent: Cell<u64>,
    /// The longest time that a request waited for its reservation.
    pub longest_wait: Cell<Duration>,
    incarnation: Cell<u64>,
}

fn addr(router: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (router / 250) as u8, (router % 250) as u8], 7_000))
}

fn router_at(addr: SocketAddr) -> usize {
    let SocketAddr::V4(v4) = addr else { panic!("{addr}") };
    let [_, _, high, low] = v4.ip().octets();
    usize::from(high) * 250 + usize::from(low)
}

impl Fleet {
    /// Starts a fleet of `routers` routers in `zones` zones.
    pub fn start(routers: usize, zones: usize, prepaid: u64) -> Rc<Fleet> {
        let fleet = Rc::new(Fleet {
            store: MemoryRows::new(),
            zones,
            horizon_ms: 11_000,
            prepaid: Cell::new(prepaid),
            hosts: RefCell::new((0..routers).map(|_| None).collect()),
            isolated: RefCell::default(),
            network: Cell::default(),
            sent: RefCell::new(vec![0; routers]),
            spent: Cell::new(0),
            refused: Cell::new(0),
            refused_as_spent: Cell::new(0),
            longest_wait: Cell::default(),
            incarnation: Cell::new(1),
        });
        (0..routers).for_each(|router| fleet.start_router(router));
        fleet
    }

    /// Number of routers, including those that are down.
    pub fn size(&self) -> usize {
        self.hosts.borrow().len()
    }

    fn zone(&self, router: usize) -> String {
        format!("zone-{}", router % self.zones)
    }

    fn lenders(&self) -> Vec<Lender> {
        let lender = |router: usize| Lender {
            name: format!("r{router}").into(),
            zone: self.zone(router).into(),
            addr: addr(router),
            capacity: 100,
        };
        (0..self.size()).map(lender).collect()
    }

    /// Starts the next process of a router.
    pub fn start_router(self: &Rc<Self>, router: usize) {
        let rows = self.store.new_client();
        rows.set_fault(Fault::Slow(STORE_LATENCY));
        let incarnation = self.incarnation.get();
        self.incarnation.set(incarnation + 1);
        let me = ProcessId { endpoint: format!("r{router}").into(), incarnation };
        let settings =
            BudgetSettings { horizon_ms: self.horizon_ms, patience: Duration::from_millis(60) };
        let manager = Rc::new(BudgetManager::new(rows.clone(), me, settings, Log::new()));
        manager.set_prepaid([(ORG.into(), Tokens(self.prepaid.get()))].into_iter());
        manager.set_lenders(&format!("r{router}"), &self.zone(router), self.lenders());
        let tasks = vec![
            spawn_local(manager.clone().run()),
            spawn_local(manager.clone().report_loans()),
            spawn_local(carry_datagrams(self.clone(), router, manager.clone())),
        ];
        self.hosts.borrow_mut()[router] = Some(RouterHost { manager, rows, tasks });
    }

    /// Ends a router as a kill would.
    pub fn kill(&self, router: usize) {
        let Some(host) = self.hosts.borrow_mut()[router].take() else { return };
        host.tasks.iter().for_each(JoinHandle::abort);
        host.manager.halt();
    }

    /// Kills all routers.
    pub fn kill_all(&self) {
        (0..self.size()).for_each(|router| self.kill(router));
    }

    /// Starts all routers that are down.
    pub fn start_all(self: &Rc<Self>) {
        for router in 0..self.size() {
            if self.hosts.borrow()[router].is_none() {
                self.start_router(router);
            }
        }
    }

    /// Stops a router as planned, once its own requests have ended.
    pub async fn stop(&self, router: usize) {
        let Some(manager) = self.manager(router) else { return };
        manager.stop_lending();
        sleep(Duration::from_millis(1_500)).await;
        // Loans that are still open after that are charged at their maximum cost.
        drop(tokio::time::timeout(Duration::from_secs(4), manager.wait_for_loans()).await);
        manager.stop().await;
        self.kill(router);
    }

    /// The budget manager of a router.
    pub fn manager(&self, router: usize) -> Option<Rc<BudgetManager<MemoryRows>>> {
        self.hosts.borrow()[router].as_ref().map(|h| h.manager.clone())
    }

    /// Sets the fault of a router's calls to the store.
    pub fn set_fault(&self, router: usize, fault: Fault) {
        if let Some(host) = &self.hosts.borrow()[router] {
            host.rows.set_fault(fault);
        }
    }

    /// Disconnects all routers from the store, or reconnects them.
    pub fn cut_store(&self, cut: bool) {
        let fault = if cut { Fault::Silent } else { Fault::Slow(STORE_LATENCY) };
        (0..self.size()).for_each(|router| self.set_fault(router, fault));
    }

    /// Raises the operator's budget.
    pub fn top_up(&self, more: u64) {
        self.prepaid.set(self.prepaid.get() + more);
        for host in self.hosts.borrow().iter().flatten() {
            let raised = [(ORG.into(), Tokens(self.prepaid.get()))];
            host.manager.set_prepaid(raised.into_iter());
        }
    }

    /// The prepaid amount.
    pub fn prepaid(&self) -> u64 {
        self.prepaid.get()
    }

    /// Starts a request at a router that reserves `max_cost`, costs `actual` and runs for
    /// `duration`. Half of its cost is confirmed as delivered halfway.
    pub fn request(self: &Rc<Self>, router: usize, max_cost: u64, actual: u64, duration: Duration) {
        let Some(manager) = self.manager(router) else { return };
        let fleet = self.clone();
        spawn_local(async move {
            let started = tokio::time::Instant::now();
            let reserved = manager.reserve_tokens(ORG, Tokens(max_cost)).await;
            fleet.longest_wait.set(fleet.longest_wait.get().max(started.elapsed()));
            let mut reservation = match reserved {
                Ok(reservation) => reservation,
                Err(refusal) => {
                    fleet.refused.set(fleet.refused.get() + 1);
                    if refusal == Refusal::Spent {
                        fleet.refused_as_spent.set(fleet.refused_as_spent.get() + 1);
                    }
                    return;
                }
            };
            // The caller receives no more than this.
            fleet.spent.set(fleet.spent.get() + actual);
            sleep(duration / 2).await;
            reservation.set_cost(Tokens(actual / 2));
            reservation.confirm_delivered();
            sleep(duration / 2).await;
            reservation.set_cost(Tokens(actual));
        });
    }

    /// Sends `per_s` requests a second for `ms` ms, to all routers in turn.
    pub async fn load(self: &Rc<Self>, ms: u64, per_s: u64, max_cost: u64) {
        for i in 0..ms * per_s / 1_000 {
            let router = (i as usize * 7) % self.size();
            self.request(router, max_cost, max_cost, Duration::from_millis(900));
            sleep(Duration::from_micros(1_000_000 / per_s)).await;
        }
    }

    /// The organisation's ledger.
    pub fn ledger(&self) -> Ledger {
        let value = self.store.peek(&RowKey::own_partition("budgets", ORG));
        value.map_or(Ledger::default(), |v| Ledger::decode(&v).expect("the ledger can be decoded"))
    }

    fn is_connected(&self, from: usize, to: usize) -> bool {
        let isolated = self.isolated.borrow();
        !isolated.contains(&from) && !isolated.contains(&to)
    }

    async fn deliver(self: Rc<Self>, from: usize, out: Outgoing, after: Duration) {
        sleep(after).await;
        let to = router_at(out.to);
        if !self.is_connected(from, to) {
            return;
        }
        if let Some(manager) = self.manager(to) {
            manager.receive(addr(from), &out.bytes);
        }
    }
}

/// Delivers the datagrams of one router, forever.
async fn carry_datagrams(fleet: Rc<Fleet>, from: usize, manager: Rc<BudgetManager<MemoryRows>>) {
    loop {
        for out in manager.outgoing().await {
            let network = fleet.network.get();
            fleet.sent.borrow_mut()[from] += 1;
            if fastrand::u32(..100) >= network.lost_percent {
                spawn_local(fleet.clone().deliver(from, out.clone(), DATAGRAM_LATENCY));
            }
            if fastrand::u32(..100) < network.duplicated_percent {
                let late = DATAGRAM_LATENCY + Duration::from_millis(fastrand::u64(..1_000));
                spawn_local(fleet.clone().deliver(from, out, late));
            }
        }
    }
}

/// Runs a test in virtual time with a fixed random seed.
pub fn in_virtual_time(seed: u64, test: impl Future<Output = ()>) {
    fastrand::seed(seed);
    let rt = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    LocalSet::new().block_on(&rt, test);
}
