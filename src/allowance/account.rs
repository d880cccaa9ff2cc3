//! What one router knows of one organisation's budget: pure decisions, no clock, no I/O.
//!
//! Two rows bound what it may spend. The *ceiling* of its grant, in the organisation's row, is
//! what nobody else may use; it changes seldom. The *line*, in the row of the router's place,
//! follows the spending closely; its successor reads there how little a dead process can have spent.

mod grants;

use std::time::Duration;

use tokio::time::Instant;

use super::demand::Demand;
use super::headroom::Headroom;
use super::ledger::{Ledger, ProcessId};
use super::limit::{AnchoredLimit, SpendingLimit};
use crate::ids::Tokens;
use crate::rows::{StoreMs, Ver};

pub use grants::{Cause, GrantChange};

/// Time between two writes of a line that is not urgent. What is in doubt after a death grows
/// with it; all lines of a router go out in one write.
pub(super) const LIMIT_WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// Why a request got no part of the budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denied {
    /// This router has no part left; another, or the store, may have.
    NoneHere,
    /// The ledger itself shows that the request does not fit any more.
    Spent,
}

/// Which row keeps a request waiting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MissingCover {
    /// The organisation's: the grant does not cover it.
    Grant,
    /// The place's: the line does not.
    SpendingLimit,
}

/// Settings of sizing that are derived from the deployment.
#[derive(Clone, Copy, Debug)]
pub struct Sizing {
    /// The cut from the store that a grant has to outlast, ms.
    pub horizon_ms: u64,
    /// Routers that draw on the budgets.
    pub spenders: u64,
    /// The store's time, as far as is known.
    pub now: StoreMs,
}

/// A ceiling whose write was not answered, with the row version it was based on.
#[derive(Clone, Copy, Debug)]
struct PendingCeiling {
    based_on: Ver,
    ceiling: Tokens,
}

/// A line whose write was not answered, with the number of that write and what it said.
#[derive(Clone, Copy, Debug)]
struct PendingLimit {
    number: u64,
    anchored: AnchoredLimit,
    spending_report: SpendingReport,
}

/// What a write says of the spending.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct SpendingReport {
    charged: Tokens,
    settled: Tokens,
}

/// One organisation's account at one router.
#[derive(Clone, Debug)]
pub struct Account {
    me: ProcessId,
    /// What the operator granted in all; only grows within a process.
    prepaid: Tokens,
    /// The row as last seen, and its version.
    ledger: Ledger,
    ver: Ver,
    /// Whether the row was ever read.
    known: bool,
    ceiling: Option<Tokens>,
    /// Ceilings whose writes were not answered: any of them may be the one in force.
    pending_ceilings: Vec<PendingCeiling>,
    spending_limit: Option<AnchoredLimit>,
    /// The same of lines.
    pending_limits: Vec<PendingLimit>,
    /// What has ended, and what of it is not known to have been spent.
    finished: Tokens,
    unproven: Tokens,
    /// What requests that still run have surely spent: their callers have it.
    proven: Tokens,
    held: Tokens,
    demand: Demand,
    /// When the grant was written last.
    granted_at: Instant,
    /// What the line in force was written with, and when.
    reported: SpendingReport,
    renewed_at: Instant,
}

impl Account {
    /// An account about which nothing is known yet.
    pub fn new(me: ProcessId, now: Instant) -> Account {
        Account {
            me,
            prepaid: Tokens(0),
            ledger: Ledger::default(),
            ver: Ver(0),
            known: false,
            ceiling: None,
            pending_ceilings: Vec::new(),
            spending_limit: None,
            pending_limits: Vec::new(),
            finished: Tokens(0),
            unproven: Tokens(0),
            proven: Tokens(0),
            held: Tokens(0),
            demand: Demand::new(now),
            granted_at: now,
            reported: SpendingReport::default(),
            renewed_at: now,
        }
    }

    /// The operator's configuration grants `prepaid` in all. It is only ever raised.
    pub fn set_prepaid(&mut self, prepaid: Tokens) {
        self.prepaid = self.prepaid.max(prepaid);
    }

    /// See [`Account::set_prepaid`].
    pub fn prepaid(&self) -> Tokens {
        self.prepaid
    }

    /// Spent at the most, or held by requests that run.
    pub fn charged(&self) -> Tokens {
        Tokens(self.finished.0 + self.held.0)
    }

    /// Surely spent so far.
    pub fn settled(&self) -> Tokens {
        Tokens(self.finished.0 - self.unproven.0 + self.proven.0)
    }

    /// The version of the organisation's row that decisions rest on.
    pub fn ver(&self) -> Ver {
        self.ver
    }

    /// Whether other routers have grants in the organisation's row.
    pub fn is_shared(&self) -> bool {
        self.ledger.others(&self.me).next().is_some()
    }

    /// Whether the organisation's row was ever read.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// What a refusal rests on, for the log.
    pub fn describe(&self, now: Instant) -> String {
        if !self.known {
            return format!("prepaid={} ledger_ver=none", self.prepaid);
        }
        format!(
            "charged={} allowed={} ceiling={} rate={} prepaid={} ledger_ver={} closed={} doubt={} settled={} free={}",
            self.charged(),
            self.allowed(now),
            self.ceiling(),
            self.demand.rate(now),
            self.prepaid,
            self.ver,
            self.ledger.closed,
            self.ledger.doubt,
            self.ledger.settled(),
            self.ledger.free(self.prepaid),
        )
    }

    /// What this router may have spent by now, over all ceilings and lines that may be in force.
    pub fn allowed(&self, now: Instant) -> Tokens {
        self.ceiling().min(self.allowed_by_limit(now))
    }

    /// The end of the grant in force.
    pub fn ceiling(&self) -> Tokens {
        let pending = self.pending_ceilings.iter().map(|p| p.ceiling);
        pending.fold(self.ceiling.unwrap_or_default(), Tokens::min)
    }

    /// What the line in force lets through by now.
    fn allowed_by_limit(&self, now: Instant) -> Tokens {
        let Some(spending_limit) = self.spending_limit else { return Tokens(0) };
        let pending = self.pending_limits.iter().map(|p| p.anchored.at(now));
        pending.fold(spending_limit.at(now), Tokens::min)
    }

    /// Takes `most` for a request that costs that at the most.
    ///
    /// # Errors
    /// `Spent` only if the ledger in the store proves it, by what is settled for good there.
    pub fn reserve_tokens(&mut self, max_cost: Tokens, now: Instant) -> Result<(), Denied> {
        if self.charged().0 + max_cost.0 <= self.allowed(now).0 {
            self.held.0 += max_cost.0;
            self.demand.record_covered(max_cost, now);
            return Ok(());
        }
        self.demand.record_uncovered(max_cost, now);
        Err(if self.is_spent(max_cost) { Denied::Spent } else { Denied::NoneHere })
    }

    /// A request of `most` begins to wait for its part.
    pub fn add_waiting(&mut self, max_cost: Tokens) {
        self.demand.add_waiting(max_cost);
    }

    /// It waits no longer.
    pub fn remove_waiting(&mut self, max_cost: Tokens) {
        self.demand.remove_waiting(max_cost);
    }

    /// Whether the request cannot fit, whoever holds the rest.
    pub fn is_spent(&self, max_cost: Tokens) -> bool {
        let reported = self.ledger.grant(&self.me).map_or(Tokens(0), |g| g.settled);
        let unreported = self.settled().minus(reported);
        self.known && self.ledger.settled().0 + unreported.0 + max_cost.0 > self.prepaid.0
    }

    /// Which row a request of `most` has to wait for; none if it is covered.
    pub fn missing_cover(&self, max_cost: Tokens, now: Instant) -> Option<MissingCover> {
        let amount = Tokens(self.charged().0 + max_cost.0);
        match () {
            () if amount > self.ceiling() => Some(MissingCover::Grant),
            () if amount > self.allowed_by_limit(now) => Some(MissingCover::SpendingLimit),
            () => None,
        }
    }

    /// Whether the ledger as last seen has `most` to give to this router.
    pub fn may_be_granted(&self, max_cost: Tokens) -> bool {
        let own = self.ledger.grant(&self.me).map_or(Tokens(0), |g| g.ceiling);
        self.charged().0 + max_cost.0 <= self.ledger.free(self.prepaid).0 + own.0
    }

    /// A request's caller has got `more` tokens' worth. Written ahead of the request's end, it
    /// is proved spent should this process die: of a budget of 1 M tokens some 2% are in the hands
    /// of callers whose streams still run.
    pub fn prove(&mut self, more: Tokens) {
        self.proven.0 += more.0;
    }

    /// A request that held `most` has ended and cost `actual`, of which `proven` was proved.
    pub fn settle(&mut self, max_cost: Tokens, actual: Tokens, proven: Tokens) {
        self.held.0 -= max_cost.0;
        self.proven.0 -= proven.0;
        self.finished.0 += actual.0.max(proven.0).min(max_cost.0);
    }

    /// Nobody will say any more what became of a request that held `most`: it stays spent, and
    /// proves no more than the `proven` part of it.
    pub fn write_off(&mut self, max_cost: Tokens, proven: Tokens) {
        self.settle(max_cost, max_cost, proven);
        self.unproven.0 += max_cost.0 - proven.0;
    }

    /// How long until this router may spend `most` more; none if not by what it holds now.
    pub fn time_until_allowed(&self, max_cost: Tokens, now: Instant) -> Option<Duration> {
        let amount = Tokens(self.charged().0 + max_cost.0);
        if amount > self.ceiling() {
            return None;
        }
        let pending = self.pending_limits.iter().map(|p| &p.anchored);
        let is_awaited =
            self.spending_limit.iter().chain(pending).map(|a| a.time_until(amount, now));
        is_awaited.reduce(|a, b| Some(a?.max(b?)))?
    }

    /// Takes in the organisation's row as read from the store or returned by a transaction.
    ///
    /// Nobody but this process writes its grant, so the ceiling there is the one in force. A write
    /// of ours that was not answered can no longer take effect once the row has moved past the
    /// version it was based on.
    pub fn observe(&mut self, ledger: Ledger, ver: Ver) {
        if self.known && ver < self.ver {
            return;
        }
        let own = ledger.grant(&self.me).map(|g| g.ceiling);
        if own.is_none() && self.ceiling.is_some() {
            self.reset_spending();
        }
        self.ceiling = own;
        self.pending_ceilings.retain(|p| p.based_on >= ver);
        self.ledger = ledger;
        self.ver = ver;
        self.known = true;
    }

    /// The grant was given back, with all that was spent of it: what is spent from here on counts
    /// from zero, and needs a line of its own.
    fn reset_spending(&mut self) {
        self.finished = Tokens(0);
        self.unproven = Tokens(0);
        self.spending_limit = None;
        self.pending_limits.clear();
    }

    /// Whether a request waits for more than this router has.
    pub fn has_unmet_demand(&self, now: Instant) -> bool {
        self.demand.wanted(now) > self.allowed(now).minus(self.charged()).0
    }

    fn headroom(&self, now: Instant, s: Sizing) -> Headroom {
        let mean_rate = self.demand.sizing_rate(now) as u64;
        let spent_per_outage = self.fleet_rate(mean_rate) as f64 * s.horizon_ms as f64 / 1_000.0;
        let unspent = self.unspent(s.now).0 as f64;
        Headroom::for_outages_left(if spent_per_outage > 0.0 {
            unspent / spent_per_outage
        } else {
            f64::INFINITY
        })
    }

    /// What requests want, unless the organisation's row has no more: lines for what cannot be
    /// granted would be written for every request that is refused.
    fn grantable(&self, now: Instant) -> Tokens {
        let wanted = Tokens(self.demand.wanted(now));
        let grantable = !self.known || self.may_be_granted(wanted);
        if grantable { wanted } else { Tokens(0) }
    }

    /// What the place's row should bear: what is surely spent, and the line. None if this process
    /// spends nothing of this organisation's.
    ///
    /// `seen` is the newest store time.
    pub fn next_limit(
        &self,
        seen: StoreMs,
        now: Instant,
        s: Sizing,
    ) -> Option<(Tokens, SpendingLimit)> {
        let wanted = self.grantable(now).0;
        let has_grant = self.ceiling.is_some() || !self.pending_ceilings.is_empty();
        if !has_grant && wanted == 0 {
            return None;
        }
        let headroom = self.headroom(now, s);
        let clustered = (self.demand.mean_size() as f64 * headroom.burst_requests) as u64;
        let burst = self.demand.rate(now) * headroom.burst_ms / 1_000 + clustered + wanted;
        let mut spending_limit = SpendingLimit {
            floor: Tokens(self.charged().0 + burst),
            rate: Tokens((self.demand.mean_rate(now) * headroom.slope_factor) as u64),
            seen,
            opens: headroom.opens_after_ms,
        };
        // While writes are not answered, any of their lines bounds the spending: one that is
        // lower than the line in force would only take away what this router surely has.
        if let Some(in_force) = self.spending_limit.filter(|_| !self.pending_limits.is_empty()) {
            spending_limit.floor = spending_limit.floor.max(in_force.spending_limit.floor);
            spending_limit.rate = spending_limit.rate.max(in_force.spending_limit.rate);
            spending_limit.opens = spending_limit.opens.min(in_force.spending_limit.opens);
        }
        Some((self.settled(), spending_limit))
    }

    /// Whether this router spends of it.
    pub fn is_spending(&self, now: Instant) -> bool {
        self.ceiling.is_some() && self.demand.mean_rate(now) > 0.0 && !self.is_idle(now)
    }

    /// Whether the line should be written: `Some(true)` if a request waits for it.
    pub fn limit_due(&self, now: Instant) -> Option<bool> {
        let wanted = self.grantable(now);
        let is_awaited = wanted.0 > 0 && self.charged().0 + wanted.0 > self.allowed_by_limit(now).0;
        if is_awaited || !self.pending_limits.is_empty() {
            return Some(is_awaited);
        }
        let is_old = now.saturating_duration_since(self.renewed_at) >= LIMIT_WRITE_INTERVAL;
        let changed = self.reported != self.spending_report();
        (is_old && changed && self.spending_limit.is_some()).then_some(false)
    }

    /// Notes the line that write `number` of the place's row bears. From here on both the line in
    /// force and this one bound the spending, because nobody knows which one a successor will
    /// find.
    pub fn begin_limit_write(
        &mut self,
        number: u64,
        spending_limit: SpendingLimit,
        received_at: Instant,
    ) {
        let anchored = AnchoredLimit { spending_limit, received_at };
        self.pending_limits.push(PendingLimit {
            number,
            anchored,
            spending_report: self.spending_report(),
        });
    }

    /// A write of the place's row is about to be sent that does not name this organisation:
    /// nothing may be spent until one does.
    pub fn omit_limit(&mut self) {
        self.spending_limit = None;
        self.pending_limits.clear();
    }

    /// Write `number` of the place's row is in force, and no other will be.
    pub fn limit_written(&mut self, number: u64, now: Instant) {
        if let Some(reported) = self.pending_limits.iter().find(|p| p.number == number) {
            self.spending_limit = Some(reported.anchored);
            self.reported = reported.spending_report;
            self.renewed_at = now;
        }
        self.pending_limits.clear();
        // Counted on, what is covered by now would raise each line for seconds.
        if self.missing_cover(Tokens(self.demand.wanted(now)), now) != Some(MissingCover::Grant) {
            self.demand.clear_unmet();
        }
    }

    /// Write `number` of the place's row was turned away and never happens.
    pub fn limit_rejected(&mut self, number: u64) {
        self.pending_limits.retain(|p| p.number != number);
    }

    fn spending_report(&self) -> SpendingReport {
        SpendingReport { charged: self.charged(), settled: self.settled() }
    }

    /// What no router has spent yet, as far as is known.
    fn unspent(&self, now: StoreMs) -> Tokens {
        self.unspent_in(&self.ledger, now)
    }

    fn unspent_in(&self, ledger: &Ledger, now: StoreMs) -> Tokens {
        let others: u64 = ledger.others(&self.me).map(|g| g.spent_by(now).0).sum();
        self.prepaid.minus(Tokens(ledger.closed.0 + others + self.charged().0))
    }

    fn fleet_rate(&self, mean_rate: u64) -> u64 {
        mean_rate + self.ledger.others(&self.me).map(|g| g.rate.0).sum::<u64>()
    }
}
