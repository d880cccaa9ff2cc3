//! What a router knows of its place's row.

use std::time::Duration;

use tokio::time::Instant;

use super::spending::PredecessorSpending;
use crate::rows::Ver;

/// State of a place's row.
#[derive(Debug, Default)]
pub(super) struct SpendingRow {
    /// Whether the row was ever read.
    pub(super) known: bool,
    /// Its version.
    pub(super) ver: Ver,
    /// Number of this process's latest write of it.
    pub(super) number: u64,
    /// Whether a write of this process is in force: then none of its predecessors' can be any more.
    pub(super) owned: bool,
    /// Another process has written it since: this one must spend nothing more.
    pub(super) taken_over: bool,
    /// Whether it names predecessors whose spending has been closed since.
    pub(super) needs_rewrite: bool,
    /// What predecessors left for organisations that the configuration does not have (yet).
    pub(super) unassigned: Vec<PredecessorSpending>,
    /// When the call that is under way was sent.
    pub(super) sent_at: Option<Instant>,
    /// No call before this.
    pub(super) not_before: Option<Instant>,
    /// Whether the last call failed.
    pub(super) last_call_failed: bool,
}

impl SpendingRow {
    pub(super) fn can_call(&self, now: Instant) -> bool {
        self.sent_at.is_none() && self.not_before.is_none_or(|t| t <= now) && !self.taken_over
    }

    /// Whether waiting for a write of it is in vain.
    pub(super) fn is_stalled(&self, now: Instant, stalled_after: Duration) -> bool {
        self.taken_over
            || self.last_call_failed
            || self.sent_at.is_some_and(|t| now - t > stalled_after)
    }

    /// Takes out what predecessors left for an organisation.
    pub(super) fn take_unassigned(&mut self, org: &str) -> Vec<PredecessorSpending> {
        let (of_org, others) = self.unassigned.drain(..).partition(|f| f.org == org);
        self.unassigned = others;
        of_org
    }
}
