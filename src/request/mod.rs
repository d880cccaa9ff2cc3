//! Life cycle of a request: its stages, the assembly of its answer, and the requests known by key.

pub mod answer;
pub mod runs;
pub mod stage;
