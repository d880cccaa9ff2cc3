//! When and how a router's grant of one budget changes.

use std::time::Duration;

use tokio::time::Instant;

use super::{Account, PendingCeiling, Sizing};
use crate::allowance::ledger::{Closing, Grant, Ledger};
use crate::allowance::spending::Former;
use crate::ids::Tokens;
use crate::rows::Ver;

/// Part of what is left of a budget that the grants may share out, in per cent. The rest stays
/// in the store for requests that need more than their router has.
const SHARED_PERCENT: u64 = 85;
/// A grant of which less than this part of its target is left is extended, in per cent. Low, so
/// that grants change every few seconds only: each change can meet another router's.
const LOW_PERCENT: u64 = 40;
/// A grant of which more than this part of its target is left is cut back, in per cent: the rest
/// may be missing elsewhere. Far from the above, or grants would be cut back and extended in turn.
const EXCESS_PERCENT: u64 = 250;
/// The least target of a grant, in requests of mean size: the rate of one that has just begun to
/// spend is not known yet.
const LEAST_REQUESTS: u64 = 8;
/// Shortest time between two changes of a grant that no request waits for.
const REGRANT: Duration = Duration::from_millis(500);
/// The others reckon with what a router has probably spent since it wrote its grant. It is written
/// anew once that is wrong by this part of what is left, in per cent.
const DRIFT_PERCENT: u64 = 4;
/// The same in requests of mean size: the last few of a budget are asked for anyway.
const DRIFT_REQUESTS: u64 = 4;
/// Time after which even a little that was spent since is written while requests are refused: the
/// proof that nothing is left may need it.
const PROOF: Duration = Duration::from_secs(2);
/// A grant that nobody has asked of for so long is given back, so that rows hold those who spend.
const IDLE: Duration = Duration::from_secs(10);

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
pub struct GrantPlan {
    /// Why.
    pub cause: Cause,
    /// The row as it will stand.
    pub ledger: Ledger,
    /// The version that the row must have for this.
    pub expect: Ver,
    /// Our own ceiling in it; none if this process leaves it.
    pub ceiling: Option<Tokens>,
    /// The grants of predecessors that it closes.
    pub closes: Vec<Closing>,
}

impl Account {
    /// The change of the grant to write next, if one is due. It closes `former` as well, what
    /// earlier processes at this place left.
    ///
    /// Nothing is granted before the place's row names the organisation: a successor would not
    /// know of the grant.
    pub fn next_grant(&self, former: &[Former], now: Instant, s: Sizing) -> Option<GrantPlan> {
        if !self.known {
            return None;
        }
        let mut ledger = self.ledger.clone();
        let place = self.me.place.as_str();
        let closes: Vec<Closing> = former.iter().filter_map(|f| ledger.close(place, f)).collect();
        let plan = |cause, ledger, ceiling, closes| {
            let expect = self.ver;
            GrantPlan { cause, ledger, expect, ceiling, closes }
        };
        if self.is_idle(now) && self.ceiling.is_some() {
            ledger.leave(&self.me, self.charged(), self.settled());
            return Some(plan(Cause::Idle, ledger, None, closes));
        }
        let target = self.target(&ledger, now, s);
        let mine = self.ceiling.unwrap_or_default();
        let wanted = self.demand.wanted(now);
        let reach = ledger.free(self.prepaid).0 + mine.0;
        let end = (self.charged().0 + target.max(wanted)).min(reach).max(self.charged().0);
        // See `next_line`: an unanswered lower ceiling would only take away.
        let end = if self.ceilings.is_empty() { end } else { end.max(mine.0) };
        let listed = self.line.is_some();
        let due = self.grant_due((end, target), &ledger, now, s).filter(|_| listed);
        // A row that has no grant of a predecessor is written as well: a late write of that
        // process's would otherwise still find the version that it expects.
        if due.is_none() && former.is_empty() {
            return None;
        }
        let ceiling = due.map(|_| Tokens(end)).or(self.ceiling);
        if let Some(ceiling) = ceiling {
            let rate = Tokens(self.demand.lasting_rate(now) as u64);
            let name = self.me.clone();
            ledger.set(Grant { name, ceiling, settled: self.settled(), rate, seen: s.now });
        }
        Some(plan(due.unwrap_or(Cause::Closing), ledger, ceiling, closes))
    }

    pub(super) fn is_idle(&self, now: Instant) -> bool {
        let idle = now.saturating_duration_since(self.demand.idle_since());
        self.held.0 == 0 && idle >= IDLE && self.demand.wanted(now) == 0
    }

    /// How much this router should have left: enough for a cut from the store, but no more than its
    /// part of what is left, by the rates at which the routers spend. So the last tokens of a
    /// budget are where they are needed.
    fn target(&self, ledger: &Ledger, now: Instant, s: Sizing) -> u64 {
        let mean_rate = self.demand.lasting_rate(now) as u64;
        let slack = self.slack(now, s);
        let clump = (self.demand.mean() as f64 * slack.requests) as u64;
        let burst = self.demand.rate(now) * slack.burst / 1_000 + clump;
        let reach = burst + (mean_rate as f64 * slack.reach) as u64 * s.horizon_ms / 1_000;
        let reach = reach.max(LEAST_REQUESTS * self.demand.mean());
        let left = self.left_in(ledger, s.now).0 * SHARED_PERCENT / 100;
        let fair = match self.fleet_rate(mean_rate) {
            0 => left / (s.spenders + 1),
            all => (u128::from(left) * u128::from(mean_rate) / u128::from(all)) as u64,
        };
        reach.min(fair)
    }

    fn grant_due(
        &self,
        (end, target): (u64, u64),
        ledger: &Ledger,
        now: Instant,
        s: Sizing,
    ) -> Option<Cause> {
        if !self.ceilings.is_empty() {
            return Some(Cause::Unanswered);
        }
        let charged = self.charged().0;
        let wanted = self.demand.wanted(now);
        let mine = self.ceiling.unwrap_or_default().0;
        let have = mine.saturating_sub(charged);
        // Crumbs that do not cover the requests that wait are left to others: once a budget is
        // nearly spent, all routers would race for them in vain.
        if wanted > have && end > mine && end >= charged + wanted {
            return Some(Cause::Wanted);
        }
        if now.saturating_duration_since(self.granted) < REGRANT {
            return None;
        }
        let is_low = have * 100 < target * LOW_PERCENT
            && end.saturating_sub(mine) > self.demand.mean().max(target / 4);
        let excess =
            have.saturating_sub(wanted) * 100 > (target + self.demand.mean()) * EXCESS_PERCENT;
        // Without what this router knows of its spending nobody can prove that nothing is left.
        let written = ledger.grant(&self.me).map_or(Tokens(0), |g| g.settled);
        let uncovered = wanted > have && end < charged + wanted;
        let unwritten = self.settled().minus(written).0;
        let is_old = now.saturating_duration_since(self.granted) >= PROOF;
        let proves = uncovered && unwritten > 0 && (is_old || unwritten * 4 >= wanted);
        let believed = ledger.grant(&self.me).map_or(charged, |g| g.spent_by(s.now).0);
        let drift = believed.abs_diff(charged);
        let bearable = self.left_in(ledger, s.now).0 * DRIFT_PERCENT / 100;
        let drifts = drift > bearable.max(DRIFT_REQUESTS * self.demand.mean());
        match () {
            () if is_low => Some(Cause::Low),
            () if excess => Some(Cause::Excess),
            () if proves => Some(Cause::Proof),
            () if drifts => Some(Cause::Drift),
            () => None,
        }
    }

    /// Notes a change of the grant that is about to be sent; see [`Account::sending_line`].
    pub fn sending_grant(&mut self, plan: &GrantPlan) {
        let ceiling = plan.ceiling.unwrap_or(self.charged());
        self.ceilings.push(PendingCeiling { based_on: plan.expect, ceiling });
    }

    /// The change was answered: it is in force.
    pub fn grant_written(&mut self, plan: &GrantPlan, ver: Ver, now: Instant) {
        self.demand.forget_unmet();
        self.granted = now;
        self.observe(plan.ledger.clone(), ver);
    }

    /// The change was turned away and never happens.
    pub fn grant_rejected(&mut self, plan: &GrantPlan) {
        let ceiling = plan.ceiling.unwrap_or(self.charged());
        let same = |p: &PendingCeiling| p.based_on == plan.expect && p.ceiling == ceiling;
        self.ceilings.retain(|p| !same(p));
    }

    /// Whether a change of the grant may still take effect: what this process leaves is not final.
    pub fn is_unresolved(&self) -> bool {
        !self.ceilings.is_empty()
    }

    /// The row without this process, for a planned stop: nothing of it stays in doubt but what
    /// nobody can prove any more.
    pub fn farewell(&self) -> Option<(Ledger, Ver)> {
        self.ledger.grant(&self.me)?;
        let mut ledger = self.ledger.clone();
        ledger.leave(&self.me, self.charged(), self.settled());
        Some((ledger, self.ver))
    }
}
