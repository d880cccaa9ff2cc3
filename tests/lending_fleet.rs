//! A fleet of keepers of budgets that lend to one another, on a store in memory and a network of
//! datagrams that loses, doubles and delays them as it is told.

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

/// The organisation that everybody spends of.
pub const ORG: &str = "norte";
/// How long the store takes for a transaction.
const STORE: Duration = Duration::from_millis(4);
/// How long a datagram takes.
const WAY: Duration = Duration::from_millis(1);

/// What the network does to datagrams, in per cent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Weather {
    /// Those that are lost.
    pub lost: u32,
    /// Those that arrive twice, the second time up to a second later.
    pub doubled: u32,
}

/// One router.
pub struct Host {
    /// Its keeper.
    pub keeper: Rc<BudgetManager<MemoryRows>>,
    /// Its handle of the store, to inject faults.
    pub rows: MemoryRows,
    tasks: Vec<JoinHandle<()>>,
}

/// A fleet, and what its callers got.
pub struct Fleet {
    /// The store.
    pub store: MemoryRows,
    zones: usize,
    horizon_ms: u64,
    prepaid: Cell<u64>,
    /// The routers; none where one is down.
    pub hosts: RefCell<Vec<Option<Host>>>,
    /// Routers that hear and reach no other.
    pub cut: RefCell<Vec<usize>>,
    /// What the network does.
    pub weather: Cell<Weather>,
    /// Tokens that callers got.
    pub spent: Cell<u64>,
    /// Requests that were refused, and those told that the budget is spent.
    pub refused: Cell<u64>,
    /// See `refused`.
    pub told_spent: Cell<u64>,
    /// The longest time that a request waited for its part.
    pub longest: Cell<Duration>,
    incarnation: Cell<u64>,
}

fn addr(place: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (place / 250) as u8, (place % 250) as u8], 7_000))
}

fn place_of(addr: SocketAddr) -> usize {
    let SocketAddr::V4(v4) = addr else { panic!("{addr}") };
    let [_, _, high, low] = v4.ip().octets();
    usize::from(high) * 250 + usize::from(low)
}

impl Fleet {
    /// A fleet of `routers` in `zones`, all started.
    pub fn start(routers: usize, zones: usize, prepaid: u64) -> Rc<Fleet> {
        let fleet = Rc::new(Fleet {
            store: MemoryRows::new(),
            zones,
            horizon_ms: 11_000,
            prepaid: Cell::new(prepaid),
            hosts: RefCell::new((0..routers).map(|_| None).collect()),
            cut: RefCell::default(),
            weather: Cell::default(),
            spent: Cell::new(0),
            refused: Cell::new(0),
            told_spent: Cell::new(0),
            longest: Cell::default(),
            incarnation: Cell::new(1),
        });
        (0..routers).for_each(|place| fleet.start_at(place));
        fleet
    }

    /// Number of places.
    pub fn size(&self) -> usize {
        self.hosts.borrow().len()
    }

    fn zone(&self, place: usize) -> String {
        format!("zone-{}", place % self.zones)
    }

    fn lenders(&self) -> Vec<Lender> {
        let lender = |place: usize| Lender {
            name: format!("r{place}").into(),
            zone: self.zone(place).into(),
            addr: addr(place),
            capacity: 100,
        };
        (0..self.size()).map(lender).collect()
    }

    /// Starts the next process of a place.
    pub fn start_at(self: &Rc<Self>, place: usize) {
        let rows = self.store.another();
        rows.set_fault(Fault::Slow(STORE));
        let incarnation = self.incarnation.get();
        self.incarnation.set(incarnation + 1);
        let me = ProcessId { endpoint: format!("r{place}").into(), incarnation };
        let settings =
            BudgetSettings { horizon_ms: self.horizon_ms, patience: Duration::from_millis(60) };
        let keeper = Rc::new(BudgetManager::new(rows.clone(), me, settings, Log::new()));
        keeper.set_prepaid([(ORG.into(), Tokens(self.prepaid.get()))].into_iter());
        keeper.set_lenders(&format!("r{place}"), &self.zone(place), self.lenders());
        let tasks = vec![
            spawn_local(keeper.clone().run()),
            spawn_local(keeper.clone().report_loans()),
            spawn_local(carry(self.clone(), place, keeper.clone())),
        ];
        self.hosts.borrow_mut()[place] = Some(Host { keeper, rows, tasks });
    }

    /// Ends a router as a kill would.
    pub fn kill(&self, place: usize) {
        let Some(host) = self.hosts.borrow_mut()[place].take() else { return };
        host.tasks.iter().for_each(JoinHandle::abort);
        host.keeper.halt();
    }

    /// Ends all of them.
    pub fn kill_all(&self) {
        (0..self.size()).for_each(|place| self.kill(place));
    }

    /// Starts all that are down.
    pub fn start_all(self: &Rc<Self>) {
        for place in 0..self.size() {
            if self.hosts.borrow()[place].is_none() {
                self.start_at(place);
            }
        }
    }

    /// Ends a router as planned, once its own requests have ended.
    pub async fn stop(&self, place: usize) {
        let Some(keeper) = self.keeper(place) else { return };
        keeper.stop_lending();
        sleep(Duration::from_millis(1_500)).await;
        // Loans that are still open then are closed at their most.
        drop(tokio::time::timeout(Duration::from_secs(4), keeper.wait_for_loans()).await);
        keeper.stop().await;
        self.kill(place);
    }

    /// The keeper of a router.
    pub fn keeper(&self, place: usize) -> Option<Rc<BudgetManager<MemoryRows>>> {
        self.hosts.borrow()[place].as_ref().map(|h| h.keeper.clone())
    }

    /// Sets what goes wrong with a router's calls to the store.
    pub fn set_fault(&self, place: usize, fault: Fault) {
        if let Some(host) = &self.hosts.borrow()[place] {
            host.rows.set_fault(fault);
        }
    }

    /// Cuts all routers off from the store, or heals that.
    pub fn cut_store(&self, cut: bool) {
        let fault = if cut { Fault::Silent } else { Fault::Slow(STORE) };
        (0..self.size()).for_each(|place| self.set_fault(place, fault));
    }

    /// The operator raises the budget.
    pub fn top_up(&self, more: u64) {
        self.prepaid.set(self.prepaid.get() + more);
        for host in self.hosts.borrow().iter().flatten() {
            let raised = [(ORG.into(), Tokens(self.prepaid.get()))];
            host.keeper.set_prepaid(raised.into_iter());
        }
    }

    /// What was prepaid.
    pub fn prepaid(&self) -> u64 {
        self.prepaid.get()
    }

    /// A request of `most` at a router, which costs `actual` and runs for `runs`. Half of its cost is
    /// proved half way.
    pub fn request(self: &Rc<Self>, place: usize, most: u64, actual: u64, runs: Duration) {
        let Some(keeper) = self.keeper(place) else { return };
        let fleet = self.clone();
        spawn_local(async move {
            let asked = tokio::time::Instant::now();
            let taken = keeper.reserve_tokens(ORG, Tokens(most)).await;
            fleet.longest.set(fleet.longest.get().max(asked.elapsed()));
            let mut reservation = match taken {
                Ok(reservation) => reservation,
                Err(refusal) => {
                    fleet.refused.set(fleet.refused.get() + 1);
                    if refusal == Refusal::Spent {
                        fleet.told_spent.set(fleet.told_spent.get() + 1);
                    }
                    return;
                }
            };
            // Whatever part of it a caller gets, it gets no more.
            fleet.spent.set(fleet.spent.get() + actual);
            sleep(runs / 2).await;
            reservation.set_cost(Tokens(actual / 2));
            reservation.confirm_delivered();
            sleep(runs / 2).await;
            reservation.set_cost(Tokens(actual));
        });
    }

    /// Requests at all routers in turn, `per_s` a second for `ms`.
    pub async fn load(self: &Rc<Self>, ms: u64, per_s: u64, most: u64) {
        for i in 0..ms * per_s / 1_000 {
            let place = (i as usize * 7) % self.size();
            self.request(place, most, most, Duration::from_millis(900));
            sleep(Duration::from_micros(1_000_000 / per_s)).await;
        }
    }

    /// The organisation's row.
    pub fn ledger(&self) -> Ledger {
        let value = self.store.peek(&RowKey::alone("budgets", ORG));
        value.map_or(Ledger::default(), |v| Ledger::decode(&v).expect("the row can be read"))
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let cut = self.cut.borrow();
        !cut.contains(&from) && !cut.contains(&to)
    }

    async fn deliver(self: Rc<Self>, from: usize, out: Outgoing, after: Duration) {
        sleep(after).await;
        let to = place_of(out.to);
        if !self.reaches(from, to) {
            return;
        }
        if let Some(keeper) = self.keeper(to) {
            keeper.receive(addr(from), &out.bytes);
        }
    }
}

/// Carries the datagrams of one router, for ever.
async fn carry(fleet: Rc<Fleet>, from: usize, keeper: Rc<BudgetManager<MemoryRows>>) {
    loop {
        for out in keeper.outgoing().await {
            let weather = fleet.weather.get();
            if fastrand::u32(..100) >= weather.lost {
                spawn_local(fleet.clone().deliver(from, out.clone(), WAY));
            }
            if fastrand::u32(..100) < weather.doubled {
                let late = WAY + Duration::from_millis(fastrand::u64(..1_000));
                spawn_local(fleet.clone().deliver(from, out, late));
            }
        }
    }
}

/// Runs a test in virtual time, with the same random numbers each time.
pub fn in_virtual_time(seed: u64, test: impl Future<Output = ()>) {
    fastrand::seed(seed);
    let rt = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    LocalSet::new().block_on(&rt, test);
}
