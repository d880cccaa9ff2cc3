//! When and how a router's grant of one budget changes.

use std::time::Duration;

use tokio::time::Instant;

use super::{Account, PendingCeiling, Sizing};
use crate::allowance::ledger::{ClosedGrant, Grant, Ledger};
use crate::allowance::spending::PredecessorSpending;
use crate::ids::Tokens;
use crate::rows::Ver;

/// Part of what is left of a budget that the grants may share out, in per cent. The rest stays
/// in the store for requests that need more than their router has.
const MAX_GRANTED_PERCENT: u64 = 85;
/// A grant of which less than this part of its target is left is extended, in per cent. Low, so
/// that grants change every few seconds only: each change can meet another router's.
const EXTEND_BELOW_PERCENT: u64 = 40;
/// A grant of which more than this part of its target is left is cut back, in per cent: the rest
/// may be missing elsewhere. Far from the above, or grants would be cut back and extended in turn.
const CUT_BACK_ABOVE_PERCENT: u64 = 250;
/// The least target of a grant, in requests of mean size: the rate of one that has just begun to
/// spend is not known yet.
const MIN_TARGET_REQUESTS: u64 = 8;
/// Shortest time between two changes of a grant that no request waits for.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// The others reckon with what a router has probably spent since it wrote its grant. It is written
/// anew once that is wrong by this part of what is left, in per cent.
const MAX_DRIFT_PERCENT: u64 = 4;
/// The same in requests of mean size: the last few of a budget are asked for anyway.
const MAX_DRIFT_REQUESTS: u64 = 4;
/// Time after which even a little that was spent since is written while requests are refused: the
/// proof that nothing is left may need it.
const PROOF_INTERVAL: Duration = Duration::from_secs(2);
/// A grant that nobody has asked of for so long is given back, so that rows hold those who spend.
const IDLE_RELEASE_AFTER: Duration = Duration::from_secs(10);

/// Why a grant changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// Requests wait for it.
    Wanted,
    /// Little is left of it.
    Low,
    /// More is left of it than is needed.
    Excess,
    /// The row does not show what was spent, and requests are refused.
    Proof,
    /// The others would think that this router spends much more or less than it does.
    Drift,
    /// Nobody asks any more.
    Idle,
    /// A change before it was not answered.
    Unanswered,
    /// Predecessors' grants are closed.
    Closing,
}

/// A change of a grant that should be written into the organisation's row.
#[derive(Clone, Debug)]
pub struct GrantChange {
    /// Why.
    pub cause: Cause,
    /// The row as it will stand.
    pub ledger: Ledger,
    /// The version that the row must have for this.
    pub expect: Ver,
    /// Our own ceiling in it; none if this process leaves it.
    pub ceiling: Option<Tokens>,
    /// The grants of predecessors that it closes.
    pub closes: Vec<ClosedGrant>,
}

impl Account {
    /// The change of the grant to write next, if one is due. It closes `former` as well, what
    /// earlier processes at this place left.
    ///
    /// Nothing is granted before the place's row names the organisation: a successor would not
    /// know of the grant.
    pub fn next_grant_change(
        &self,
        predecessors: &[PredecessorSpending],
        now: Instant,
        s: Sizing,
    ) -> Option<GrantChange> {
        if !self.known {
            return None;
        }
        let mut ledger = self.ledger.clone();
        let endpoint = self.me.endpoint.as_str();
        let closes: Vec<ClosedGrant> =
            predecessors.iter().filter_map(|f| ledger.close(endpoint, f)).collect();
        let grant_change = |cause, ledger, ceiling, closes| {
            let expect = self.ver;
            GrantChange { cause, ledger, expect, ceiling, closes }
        };
        if self.is_idle(now) && self.ceiling.is_some() {
            ledger.close_own(&self.me, self.charged(), self.settled());
            return Some(grant_change(Cause::Idle, ledger, None, closes));
        }
        let target_remaining = self.target_remaining(&ledger, now, s);
        let current = self.ceiling.unwrap_or_default();
        let wanted = self.demand.wanted(now);
        let max_ceiling = ledger.free(self.prepaid).0 + current.0;
        let new_ceiling = (self.charged().0 + target_remaining.max(wanted))
            .min(max_ceiling)
            .max(self.charged().0);
        // See `next_line`: an unanswered lower ceiling would only take away.
        let new_ceiling =
            if self.pending_ceilings.is_empty() { new_ceiling } else { new_ceiling.max(current.0) };
        let has_limit = self.spending_limit.is_some();
        let due = self
            .change_cause((new_ceiling, target_remaining), &ledger, now, s)
            .filter(|_| has_limit);
        // A row that has no grant of a predecessor is written as well: a late write of that
        // process's would otherwise still find the version that it expects.
        if due.is_none() && predecessors.is_empty() {
            return None;
        }
        let ceiling = due.map(|_| Tokens(new_ceiling)).or(self.ceiling);
        if let Some(ceiling) = ceiling {
            let rate = Tokens(self.demand.sizing_rate(now) as u64);
            let name = self.me.clone();
            ledger.set(Grant { name, ceiling, settled: self.settled(), rate, seen: s.now });
        }
        Some(grant_change(due.unwrap_or(Cause::Closing), ledger, ceiling, closes))
    }

    pub(super) fn is_idle(&self, now: Instant) -> bool {
        let idle = now.saturating_duration_since(self.demand.idle_since());
        self.held.0 == 0 && idle >= IDLE_RELEASE_AFTER && self.demand.wanted(now) == 0
    }

    /// How much this router should have left: enough for a cut from the store, but no more than its
    /// part of what is left, by the rates at which the routers spend. So the last tokens of a
    /// budget are where they are needed.
    fn target_remaining(&self, ledger: &Ledger, now: Instant, s: Sizing) -> u64 {
        let mean_rate = self.demand.sizing_rate(now) as u64;
        let headroom = self.headroom(now, s);
        let clustered = (self.demand.mean_size() as f64 * headroom.burst_requests) as u64;
        let burst = self.demand.rate(now) * headroom.burst_ms / 1_000 + clustered;
        let desired =
            burst + (mean_rate as f64 * headroom.grant_factor) as u64 * s.horizon_ms / 1_000;
        let desired = desired.max(MIN_TARGET_REQUESTS * self.demand.mean_size());
        let unspent = self.unspent_in(ledger, s.now).0 * MAX_GRANTED_PERCENT / 100;
        let fair_share = match self.fleet_rate(mean_rate) {
            0 => unspent / (s.spenders + 1),
            total_rate => {
                (u128::from(unspent) * u128::from(mean_rate) / u128::from(total_rate)) as u64
            }
        };
        desired.min(fair_share)
    }

    fn change_cause(
        &self,
        (new_ceiling, target_remaining): (u64, u64),
        ledger: &Ledger,
        now: Instant,
        s: Sizing,
    ) -> Option<Cause> {
        if !self.pending_ceilings.is_empty() {
            return Some(Cause::Unanswered);
        }
        let charged = self.charged().0;
        let wanted = self.demand.wanted(now);
        let current = self.ceiling.unwrap_or_default().0;
        let remaining = current.saturating_sub(charged);
        // Crumbs that do not cover the requests that wait are left to others: once a budget is
        // nearly spent, all routers would race for them in vain.
        if wanted > remaining && new_ceiling > current && new_ceiling >= charged + wanted {
            return Some(Cause::Wanted);
        }
        if now.saturating_duration_since(self.granted_at) < MIN_CHANGE_INTERVAL {
            return None;
        }
        let is_low = remaining * 100 < target_remaining * EXTEND_BELOW_PERCENT
            && new_ceiling.saturating_sub(current)
                > self.demand.mean_size().max(target_remaining / 4);
        let is_excess = remaining.saturating_sub(wanted) * 100
            > (target_remaining + self.demand.mean_size()) * CUT_BACK_ABOVE_PERCENT;
        // Without what this router knows of its spending nobody can prove that nothing is left.
        let reported = ledger.grant(&self.me).map_or(Tokens(0), |g| g.settled);
        let uncovered = wanted > remaining && new_ceiling < charged + wanted;
        let unreported = self.settled().minus(reported).0;
        let is_old = now.saturating_duration_since(self.granted_at) >= PROOF_INTERVAL;
        let proof_due = uncovered && unreported > 0 && (is_old || unreported * 4 >= wanted);
        let assumed_spent = ledger.grant(&self.me).map_or(charged, |g| g.spent_by(s.now).0);
        let drift = assumed_spent.abs_diff(charged);
        let tolerated = self.unspent_in(ledger, s.now).0 * MAX_DRIFT_PERCENT / 100;
        let has_drifted = drift > tolerated.max(MAX_DRIFT_REQUESTS * self.demand.mean_size());
        match () {
            () if is_low => Some(Cause::Low),
            () if is_excess => Some(Cause::Excess),
            () if proof_due => Some(Cause::Proof),
            () if has_drifted => Some(Cause::Drift),
            () => None,
        }
    }

    /// Notes a change of the grant that is about to be sent; see [`Account::sending_line`].
    pub fn begin_grant_write(&mut self, grant_change: &GrantChange) {
        let ceiling = grant_change.ceiling.unwrap_or(self.charged());
        self.pending_ceilings.push(PendingCeiling { based_on: grant_change.expect, ceiling });
    }

    /// The change was answered: it is in force.
    pub fn grant_written(&mut self, grant_change: &GrantChange, ver: Ver, now: Instant) {
        self.demand.clear_unmet();
        self.granted_at = now;
        self.observe(grant_change.ledger.clone(), ver);
    }

    /// The change was turned away and never happens.
    pub fn grant_rejected(&mut self, grant_change: &GrantChange) {
        let ceiling = grant_change.ceiling.unwrap_or(self.charged());
        let same = |p: &PendingCeiling| p.based_on == grant_change.expect && p.ceiling == ceiling;
        self.pending_ceilings.retain(|p| !same(p));
    }

    /// Whether a change of the grant may still take effect: what this process leaves is not final.
    pub fn has_pending_change(&self) -> bool {
        !self.pending_ceilings.is_empty()
    }

    /// The row without this process, for a planned stop: nothing of it stays in doubt but what
    /// nobody can prove any more.
    pub fn released_ledger(&self) -> Option<(Ledger, Ver)> {
        self.ledger.grant(&self.me)?;
        let mut ledger = self.ledger.clone();
        ledger.close_own(&self.me, self.charged(), self.settled());
        Some((ledger, self.ver))
    }
}
