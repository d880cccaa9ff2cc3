//! When and how a router's grant of one budget changes.

use std::time::Duration;

use tokio::time::Instant;

use super::{Account, GrantWrite, PendingCeiling, Sizing};
use crate::allowance::ledger::{ClosedGrant, Grant, Ledger};
use crate::allowance::spending::PredecessorSpending;
use crate::ids::Tokens;
use crate::rows::Ver;

/// Share of a budget's unspent tokens that grants may divide up, in percent. The rest stays in the
/// store for requests that need more than their router has.
const MAX_GRANTED_PERCENT: u64 = 85;
/// A grant is extended when less than this share of its target is left, in percent. The threshold
/// is low so that grants change only every few seconds, because each change can conflict with
/// another router's.
const EXTEND_BELOW_PERCENT: u64 = 40;
/// A grant is cut back when more than this share of its target is left, in percent, because another
/// router may need the rest. Far above [`EXTEND_BELOW_PERCENT`], so that grants are not cut back
/// and extended in turn.
const CUT_BACK_ABOVE_PERCENT: u64 = 250;
/// Minimum target of a grant, in requests of mean size. The rate of an organisation that has just
/// begun to spend is not known yet.
const MIN_TARGET_REQUESTS: u64 = 8;
/// Minimum interval between two changes of a grant that no request waits for.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// Other routers extrapolate a router's spending from its last written grant. The grant is written
/// again once that estimate is off by this share of the unspent tokens, in percent.
const MAX_DRIFT_PERCENT: u64 = 4;
/// Minimum error of that estimate, in requests of mean size. For the last few requests of a budget
/// the other routers are asked anyway.
const MAX_DRIFT_REQUESTS: u64 = 4;
/// While requests are refused, even small unreported spending is written after this time, because
/// the proof that the budget is spent may need it.
const PROOF_INTERVAL: Duration = Duration::from_secs(2);
/// A grant without requests is returned after this time, so that a ledger lists only routers that
/// spend.
const IDLE_RELEASE_AFTER: Duration = Duration::from_secs(10);

/// Why a grant changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// Requests wait for tokens.
    Wanted,
    /// Little of the grant is left.
    Low,
    /// More of the grant is left than is needed.
    Excess,
    /// Requests are refused and the ledger does not show all that was spent.
    Proof,
    /// The other routers' estimate of this router's spending is too far off.
    Drift,
    /// There were no requests for a while.
    Idle,
    /// An earlier change was not answered.
    Unanswered,
    /// Grants of predecessors are closed.
    Closing,
}

/// A change of a grant, to be written into the organisation's ledger.
#[derive(Clone, Debug)]
pub struct GrantChange {
    /// Why the grant changes.
    pub cause: Cause,
    /// The ledger after the change.
    pub ledger: Ledger,
    /// The version that the ledger must have for this change.
    pub expect: Ver,
    /// This process's new ceiling; `None` if the change removes its grant.
    pub ceiling: Option<Tokens>,
    /// The predecessors' grants that the change closes.
    pub closes: Vec<ClosedGrant>,
}

impl Account {
    /// The next change of the grant, if one is due. The change also closes the grants of
    /// `predecessors`, earlier processes at this endpoint.
    ///
    /// Nothing is granted before the endpoint's row lists the organisation, because a successor
    /// would not know of the grant.
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
            predecessors.iter().filter_map(|p| ledger.close(endpoint, p)).collect();
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
        // As in `next_limit`: an unanswered lower ceiling would only reduce what this router may
        // spend.
        let new_ceiling =
            if self.pending_ceilings.is_empty() { new_ceiling } else { new_ceiling.max(current.0) };
        let has_limit = self.spending_limit.is_some();
        let due = self
            .change_cause((new_ceiling, target_remaining), &ledger, now, s)
            .filter(|_| has_limit);
        // The ledger is written even if it has no grant of a predecessor: a late write of the
        // predecessor could otherwise still find the version that it expects.
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
        self.reserved_cost.0 == 0 && idle >= IDLE_RELEASE_AFTER && self.demand.wanted(now) == 0
    }

    /// Tokens that this router should have left: enough to bridge a store outage, but no more than
    /// its fair share of the unspent tokens, by the routers' spending rates. This
    /// leaves the last tokens of a budget where they are needed.
    fn target_remaining(&self, ledger: &Ledger, now: Instant, s: Sizing) -> u64 {
        let mean_rate = self.demand.sizing_rate(now) as u64;
        let headroom = self.headroom(now, s);
        let request_burst = (self.demand.mean_size() as f64 * headroom.burst_requests) as u64;
        let burst = self.demand.rate(now) * headroom.burst_ms / 1_000 + request_burst;
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
        // A remainder that does not cover the waiting requests is left to other routers. Otherwise
        // all routers would compete for it in vain once a budget is nearly spent.
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
        // Without this router's latest spending in the ledger no router can prove that the budget
        // is spent.
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

    /// Records a change of the grant that is about to be sent; see [`Account::begin_limit_write`].
    pub fn begin_grant_write(&mut self, grant_change: &GrantChange) -> GrantWrite {
        self.begin_write(grant_change.expect, grant_change.ceiling)
    }

    fn begin_write(&mut self, based_on: Ver, ceiling: Option<Tokens>) -> GrantWrite {
        self.grant_writes += 1;
        self.pending_ceilings.push(PendingCeiling {
            number: self.grant_writes,
            based_on,
            ceiling: ceiling.unwrap_or(self.charged()),
            returns_grant: ceiling.is_none(),
        });
        GrantWrite(self.grant_writes)
    }

    /// Records that the change is in force.
    pub fn grant_written(&mut self, grant_change: &GrantChange, ver: Ver, now: Instant) {
        self.demand.clear_unmet();
        self.granted_at = now;
        self.observe(grant_change.ledger.clone(), ver);
    }

    /// Records that a write was not sent, or was rejected, and has no effect. This proves nothing
    /// about an earlier write of the same change that was not answered.
    pub fn grant_rejected(&mut self, write: GrantWrite) {
        self.pending_ceilings.retain(|p| p.number != write.0);
    }

    /// Whether a change of the grant may still take effect, so that the ledger is not final.
    pub fn has_pending_change(&self) -> bool {
        !self.pending_ceilings.is_empty()
    }

    /// The ledger without this process's grant, and the version that it replaces, for a planned
    /// stop. Only amounts that cannot be proven any more stay in doubt. The release counts as
    /// pending until the ledger has a newer version.
    pub fn released_ledger(&mut self) -> Option<(Ledger, Ver)> {
        self.ledger.grant(&self.me)?;
        self.begin_write(self.ver, None);
        let mut ledger = self.ledger.clone();
        ledger.close_own(&self.me, self.charged(), self.settled());
        Some((ledger, self.ver))
    }
}
