//! A router's keeper of budgets on a store in memory, as tests of deaths and cuts run it.

use std::rc::Rc;
use std::time::Duration;

use kingcupwall::allowance::{BudgetManager, BudgetSettings, ProcessId};
use kingcupwall::ids::Tokens;
use kingcupwall::oplog::Log;
use kingcupwall::rows::MemoryRows;
use tokio::task::{JoinHandle, spawn_local};

/// A keeper and its task.
pub struct KeeperHost {
    /// The keeper.
    pub keeper: Rc<BudgetManager<MemoryRows>>,
    /// Its handle of the store, to inject faults.
    pub rows: MemoryRows,
    task: JoinHandle<()>,
}

impl KeeperHost {
    /// Starts the process `incarnation` of `place`, one of `routers`, with one organisation.
    pub fn start(
        rows: MemoryRows,
        (place, incarnation): (usize, u64),
        routers: usize,
        horizon_ms: u64,
        (org, prepaid): (&str, u64),
    ) -> KeeperHost {
        let me = ProcessId { endpoint: format!("r{place}").into(), incarnation };
        let settings = BudgetSettings { horizon_ms, patience: Duration::from_millis(60) };
        let keeper = Rc::new(BudgetManager::new(rows.clone(), me, settings, Log::new()));
        keeper.set_routers(routers as u64);
        keeper.set_prepaid([(org.into(), Tokens(prepaid))].into_iter());
        let task = spawn_local(keeper.clone().run());
        KeeperHost { keeper, rows, task }
    }

    /// Ends it as planned: what is not spent goes back.
    pub async fn stop(self) {
        self.keeper.stop().await;
        self.task.abort();
    }

    /// Ends it as a kill would.
    pub fn kill(self) {
        self.task.abort();
        self.keeper.halt();
    }
}
