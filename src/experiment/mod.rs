//! Experiments: the project's decisions measured against simpler ones.

pub mod budget;
pub mod capacity;
pub mod cold_start;
pub mod overhead;
mod plot;
pub mod quarantine;
