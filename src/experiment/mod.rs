//! Experiments: the project's decisions measured against simpler ones.

pub mod budget;
pub mod capacity;
pub mod overhead;
pub mod quarantine;
