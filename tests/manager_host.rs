//! Runs a router's budget manager on an in-memory store, for tests of crashes and outages.

use std::rc::Rc;
use std::time::Duration;

use kingcupwall::allowance::{BudgetManager, BudgetSettings, ProcessId};
use kingcupwall::ids::Tokens;
use kingcupwall::oplog::Log;
use kingcupwall::rows::MemoryRows;
use tokio::task::{JoinHandle, spawn_local};

/// A running budget manager.
pub struct ManagerHost {
    /// The budget manager.
    pub manager: Rc<BudgetManager<MemoryRows>>,
    /// The manager's client of the store, to inject faults.
    pub rows: MemoryRows,
    task: JoinHandle<()>,
}

impl ManagerHost {
    /// Starts process `incarnation` of router number `router`, one of `routers`, with one
    /// organisation.
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

    /// Stops the process as planned and returns unspent tokens.
    pub async fn stop(self) {
        self.manager.stop().await;
        self.task.abort();
    }

    /// Ends the process as a kill would.
    pub fn kill(self) {
        self.task.abort();
        self.manager.halt();
    }
}
