//! A router's keeper of budgets on a store in memory, as tests of deaths and cuts run it.

use std::rc::Rc;
use std::time::Duration;

use kingcupwall::allowance::{BudgetManager, BudgetSettings, ProcessId};
use kingcupwall::ids::Tokens;
use kingcupwall::oplog::Log;
use kingcupwall::rows::MemoryRows;
use tokio::task::{JoinHandle, spawn_local};

/// A keeper and its task.
pub struct ManagerHost {
    /// The keeper.
    pub manager: Rc<BudgetManager<MemoryRows>>,
    /// Its handle of the store, to inject faults.
    pub rows: MemoryRows,
    task: JoinHandle<()>,
}

impl ManagerHost {
    /// Starts the process `incarnation` of `place`, one of `routers`, with one organisation.
    pub fn start(
        rows: MemoryRows,
        (router, incarnation): (usize, u64),
        routers: usize,
        horizon_ms: u64,
        (org, prepaid): (&str, u64),
    ) -> ManagerHost {
        let me = ProcessId { endpoint: format!("r{router}").into(), incarnation };
        let settings = BudgetSettings { horizon_ms, patience: Duration::from_millis(60) };
        let manager = Rc::new(BudgetManager::new(rows.clone(), me, settings, Log::new()));
        manager.set_routers(routers as u64);
        manager.set_prepaid([(org.into(), Tokens(prepaid))].into_iter());
        let task = spawn_local(manager.clone().run());
        ManagerHost { manager, rows, task }
    }

    /// Ends it as planned: what is not spent goes back.
    pub async fn stop(self) {
        self.manager.stop().await;
        self.task.abort();
    }

    /// Ends it as a kill would.
    pub fn kill(self) {
        self.task.abort();
        self.manager.halt();
    }
}
