//! A router's view of its endpoint's row in the table of spending rows.

use std::time::Duration;

use tokio::time::Instant;

use super::spending::PredecessorSpending;
use crate::rows::Ver;

/// State of an endpoint's row.
#[derive(Debug, Default)]
pub(super) struct SpendingRow {
    /// Whether the row was ever read.
    pub(super) known: bool,
    /// Version of the row.
    pub(super) ver: Ver,
    /// Number of this process's latest write of the row.
    pub(super) number: u64,
    /// Whether a write of this process is in force. No write of a predecessor can take effect after
    /// that.
    pub(super) owned: bool,
    /// Whether another process has written the row since. This process must stop spending then.
    pub(super) taken_over: bool,
    /// Whether the row lists predecessors whose spending has been closed since.
    pub(super) needs_rewrite: bool,
    /// Spending of predecessors for organisations that are not in the configuration (yet).
    pub(super) unassigned: Vec<PredecessorSpending>,
    /// When the call in flight was sent.
    pub(super) sent_at: Option<Instant>,
    /// Earliest time of the next call.
    pub(super) not_before: Option<Instant>,
    /// Whether the last call failed.
    pub(super) last_call_failed: bool,
}

impl SpendingRow {
    pub(super) fn can_call(&self, now: Instant) -> bool {
        self.sent_at.is_none() && self.not_before.is_none_or(|t| t <= now) && !self.taken_over
    }

    /// Whether the store is too slow for a request to wait for a write of the row.
    pub(super) fn is_stalled(&self, now: Instant, stalled_after: Duration) -> bool {
        self.taken_over
            || self.last_call_failed
            || self.sent_at.is_some_and(|t| now - t > stalled_after)
    }

    /// Removes and returns the unassigned spending of predecessors for an organisation.
    pub(super) fn take_unassigned(&mut self, org: &str) -> Vec<PredecessorSpending> {
        let (of_org, others) = self.unassigned.drain(..).partition(|f| f.org == org);
        self.unassigned = others;
        of_org
    }
}
