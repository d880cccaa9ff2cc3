//! What becomes of one request: its stages, its answer, and the table of runs.

pub mod answer;
pub mod runs;
pub mod stage;
