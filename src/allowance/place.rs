//! What a router knows of its place's row.

use std::time::Duration;

use tokio::time::Instant;

use super::spending::PredecessorSpending;
use crate::rows::Ver;

/// State of a place's row.
#[derive(Debug, Default)]
pub(super) struct Place {
    /// Whether the row was ever read.
    pub(super) known: bool,
    /// Its version.
    pub(super) ver: Ver,
    /// Number of this process's latest write of it.
    pub(super) number: u64,
    /// Whether a write of this process is in force: then none of its predecessors' can be any more.
    pub(super) mine: bool,
    /// Another process has written it since: this one must spend nothing more.
    pub(super) lost: bool,
    /// Whether it names predecessors whose spending has been closed since.
    pub(super) outdated: bool,
    /// What predecessors left for organisations that the configuration does not have (yet).
    pub(super) orphans: Vec<PredecessorSpending>,
    /// When the call that is under way was sent.
    pub(super) sent: Option<Instant>,
    /// No call before this.
    pub(super) not_before: Option<Instant>,
    /// Whether the last call failed.
    pub(super) failing: bool,
}

impl Place {
    pub(super) fn is_free(&self, now: Instant) -> bool {
        self.sent.is_none() && self.not_before.is_none_or(|t| t <= now) && !self.lost
    }

    /// Whether waiting for a write of it is in vain.
    pub(super) fn is_slow(&self, now: Instant, slow: Duration) -> bool {
        self.lost || self.failing || self.sent.is_some_and(|t| now - t > slow)
    }

    /// Takes out what predecessors left for an organisation.
    pub(super) fn take_orphans(&mut self, org: &str) -> Vec<PredecessorSpending> {
        let (of_org, others) = self.orphans.drain(..).partition(|f| f.org == org);
        self.orphans = others;
        of_org
    }
}
