//! Experiments that compare the design of the router with simpler alternatives.

pub mod budget;
pub mod capacity;
pub mod cold_start;
pub mod origins;
pub mod overhead;
pub mod overload;
mod plot;
pub mod quarantine;
