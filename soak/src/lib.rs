//! A fault soak: the daemon as separate processes on one machine, before stand-ins of the
//! platform's store and of targets, behind proxies on the loopback, under random faults from
//! outside. What must hold is checked from what callers and targets see.

pub mod callers;
pub mod checks;
pub mod fatal;
mod fault_injection;
pub mod faults;
pub mod notices;
pub mod proxy;
pub mod routers;
pub mod run;
pub mod store;
mod testbed;
pub mod zones;
