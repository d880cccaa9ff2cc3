//! Soak test of the router daemon under random faults.
//!
//! Routers run as separate processes on one machine, with stand-ins for the platform's store and
//! for targets. They reach both through loopback proxies, and faults are injected from outside. The
//! invariants are checked on what callers and targets observe.

pub mod callers;
pub mod checks;
pub mod cuts;
pub mod fatal;
mod fault_injection;
pub mod faults;
pub mod notices;
pub mod routers;
pub mod run;
pub mod store;
mod testbed;
pub mod zones;
