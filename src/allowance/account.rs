//! One router's view of one organisation's budget. Pure decisions, without a clock or I/O.
//!
//! Two rows bound what the router may spend. The *ceiling* of its grant, in the organisation's
//! ledger, reserves tokens that no other router may use, and changes rarely. The *spending limit*,
//! in the router's own row, follows the spending closely. A successor reads it to bound what a dead
//! process can have spent.

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

/// Interval between two writes of a spending limit that no request waits for. The amount in doubt
/// after a crash grows with it. One write carries the limits of all organisations at a router.
pub(super) const LIMIT_WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// Why an account cannot cover a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denied {
    /// This router has too little left; another router or the store may have more.
    NoneHere,
    /// The ledger proves that the request exceeds what is left of the budget.
    Spent,
}

/// The row that has to be written before a request is covered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MissingCover {
    /// The organisation's ledger: the grant's ceiling is too low.
    Grant,
    /// The endpoint's row: the spending limit is too low.
    SpendingLimit,
}

/// Deployment-dependent inputs for sizing grants and spending limits.
#[derive(Clone, Copy, Debug)]
pub struct Sizing {
    /// Longest store outage that a grant has to bridge, in ms.
    pub horizon_ms: u64,
    /// Number of routers that draw on the budgets.
    pub spenders: u64,
    /// Estimate of the store's current time.
    pub now: StoreMs,
}

/// One send of a change of the grant. Only the holder can withdraw it, once the store has rejected
/// that send.
#[derive(Debug)]
pub struct GrantWrite(u64);

/// A ceiling whose write was not answered, with the number of that write and the ledger version
/// that it expects.
#[derive(Clone, Copy, Debug)]
struct PendingCeiling {
    number: u64,
    based_on: Ver,
    ceiling: Tokens,
    /// Whether the write removes the grant and counts `ceiling` tokens as spent.
    returns_grant: bool,
}

/// A spending limit whose write was not answered, with the number of that write and the spending
/// that it reported.
#[derive(Clone, Copy, Debug)]
struct PendingLimit {
    number: u64,
    anchored: AnchoredLimit,
    spending_report: SpendingReport,
}

/// The spending that a write reports.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct SpendingReport {
    charged: Tokens,
    settled: Tokens,
}

/// One organisation's account at one router.
#[derive(Clone, Debug)]
pub struct Account {
    me: ProcessId,
    /// Prepaid amount in the operator's configuration; it only grows within a process.
    prepaid: Tokens,
    /// The ledger as last seen, and its version.
    ledger: Ledger,
    ver: Ver,
    /// Whether the ledger was ever read.
    known: bool,
    ceiling: Option<Tokens>,
    /// Ceilings whose writes were not answered. Any of them may be in force.
    pending_ceilings: Vec<PendingCeiling>,
    /// Number of writes of the grant that were begun.
    grant_writes: u64,
    spending_limit: Option<AnchoredLimit>,
    /// Spending limits whose writes were not answered. Any of them may be in force.
    pending_limits: Vec<PendingLimit>,
    /// Tokens charged for finished requests, and the part of them that is not proven to be spent.
    finished_cost: Tokens,
    unproven: Tokens,
    /// Tokens of running requests that their callers have received, and that are therefore spent
    /// for certain.
    proven: Tokens,
    reserved_cost: Tokens,
    demand: Demand,
    /// When the grant was written last.
    granted_at: Instant,
    /// The spending reported with the limit in force, and when that limit was written.
    reported: SpendingReport,
    limit_written_at: Instant,
}

impl Account {
    /// An account before anything was read from the store.
    pub fn new(me: ProcessId, now: Instant) -> Account {
        Account {
            me,
            prepaid: Tokens(0),
            ledger: Ledger::default(),
            ver: Ver(0),
            known: false,
            ceiling: None,
            pending_ceilings: Vec::new(),
            grant_writes: 0,
            spending_limit: None,
            pending_limits: Vec::new(),
            finished_cost: Tokens(0),
            unproven: Tokens(0),
            proven: Tokens(0),
            reserved_cost: Tokens(0),
            demand: Demand::new(now),
            granted_at: now,
            reported: SpendingReport::default(),
            limit_written_at: now,
        }
    }

    /// Raises the prepaid amount to `prepaid`. A lower amount is ignored.
    pub fn set_prepaid(&mut self, prepaid: Tokens) {
        self.prepaid = self.prepaid.max(prepaid);
    }

    /// See [`Account::set_prepaid`].
    pub fn prepaid(&self) -> Tokens {
        self.prepaid
    }

    /// Upper bound of the tokens spent, including the reservations of running requests.
    pub fn charged(&self) -> Tokens {
        Tokens(self.finished_cost.0 + self.reserved_cost.0)
    }

    /// Tokens spent for certain.
    pub fn settled(&self) -> Tokens {
        Tokens(self.finished_cost.0 - self.unproven.0 + self.proven.0)
    }

    /// Version of the ledger that decisions are based on.
    pub fn ver(&self) -> Ver {
        self.ver
    }

    /// Whether other routers have grants in the ledger.
    pub fn is_shared(&self) -> bool {
        self.ledger.others(&self.me).next().is_some()
    }

    /// Whether the ledger was ever read.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// State that a refusal is based on, for the log.
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

    /// Tokens that this router may have spent by now: the minimum over all ceilings and limits that
    /// may be in force.
    pub fn allowed(&self, now: Instant) -> Tokens {
        self.ceiling().min(self.allowed_by_limit(now))
    }

    /// Ceiling of the grant: the minimum over all ceilings that may be in force.
    pub fn ceiling(&self) -> Tokens {
        let pending = self.pending_ceilings.iter().map(|p| p.ceiling);
        pending.fold(self.ceiling.unwrap_or_default(), Tokens::min)
    }

    /// Tokens that the spending limits allow by now.
    fn allowed_by_limit(&self, now: Instant) -> Tokens {
        let Some(spending_limit) = self.spending_limit else { return Tokens(0) };
        let pending = self.pending_limits.iter().map(|p| p.anchored.at(now));
        pending.fold(spending_limit.at(now), Tokens::min)
    }

    /// Reserves `max_cost` tokens, the maximum cost of a request.
    ///
    /// # Errors
    /// `Spent` only if the settled amounts in the stored ledger prove it; `NoneHere` otherwise.
    pub fn reserve_tokens(&mut self, max_cost: Tokens, now: Instant) -> Result<(), Denied> {
        if self.charged().0 + max_cost.0 <= self.allowed(now).0 {
            self.reserved_cost.0 += max_cost.0;
            self.demand.record_covered(max_cost, now);
            return Ok(());
        }
        self.demand.record_uncovered(max_cost, now);
        Err(if self.is_spent(max_cost) { Denied::Spent } else { Denied::NoneHere })
    }

    /// Adds a request of `max_cost` to the waiting demand.
    pub fn add_waiting(&mut self, max_cost: Tokens) {
        self.demand.add_waiting(max_cost);
    }

    /// Removes a request of `max_cost` from the waiting demand.
    pub fn remove_waiting(&mut self, max_cost: Tokens) {
        self.demand.remove_waiting(max_cost);
    }

    /// Whether a request of `max_cost` exceeds the budget even if no other router spends any more.
    pub fn is_spent(&self, max_cost: Tokens) -> bool {
        let reported = self.ledger.grant(&self.me).map_or(Tokens(0), |g| g.settled);
        let unreported = self.settled().minus(reported);
        self.known && self.ledger.settled().0 + unreported.0 + max_cost.0 > self.prepaid.0
    }

    /// The row that a request of `max_cost` has to wait for; `None` if the request is covered.
    pub fn missing_cover(&self, max_cost: Tokens, now: Instant) -> Option<MissingCover> {
        let amount = Tokens(self.charged().0 + max_cost.0);
        match () {
            () if amount > self.ceiling() => Some(MissingCover::Grant),
            () if amount > self.allowed_by_limit(now) => Some(MissingCover::SpendingLimit),
            () => None,
        }
    }

    /// Whether the ledger as last seen has enough for this router to cover `max_cost` more.
    pub fn may_be_granted(&self, max_cost: Tokens) -> bool {
        let own = self.ledger.grant(&self.me).map_or(Tokens(0), |g| g.ceiling);
        self.charged().0 + max_cost.0 <= self.ledger.free(self.prepaid).0 + own.0
    }

    /// Counts `more` tokens of running requests as spent for certain, because callers have received
    /// them. Recorded before the requests end, so that this part is proven if the process dies:
    /// with a budget of 1 M tokens some 2% are in streams that are still running.
    pub fn prove(&mut self, more: Tokens) {
        self.proven.0 += more.0;
    }

    /// Settles a request that reserved `max_cost` and cost `actual`, of which `proven` was already
    /// proven.
    pub fn settle(&mut self, max_cost: Tokens, actual: Tokens, proven: Tokens) {
        self.reserved_cost.0 -= max_cost.0;
        self.proven.0 -= proven.0;
        self.finished_cost.0 += actual.0.max(proven.0).min(max_cost.0);
    }

    /// Settles a request that reserved `max_cost` and whose cost will never be reported. All of it
    /// stays charged, but only the `proven` part counts as proven.
    pub fn write_off(&mut self, max_cost: Tokens, proven: Tokens) {
        self.settle(max_cost, max_cost, proven);
        self.unproven.0 += max_cost.0 - proven.0;
    }

    /// Time until this router may spend `max_cost` more; `None` if its grant does not allow that.
    pub fn time_until_allowed(&self, max_cost: Tokens, now: Instant) -> Option<Duration> {
        let amount = Tokens(self.charged().0 + max_cost.0);
        if amount > self.ceiling() {
            return None;
        }
        let pending = self.pending_limits.iter().map(|p| &p.anchored);
        let wait_times =
            self.spending_limit.iter().chain(pending).map(|a| a.time_until(amount, now));
        wait_times.reduce(|a, b| Some(a?.max(b?)))?
    }

    /// Applies the ledger as read from the store or returned by a transaction.
    ///
    /// Only this process writes its own grant, so the ceiling in the ledger is the one in force. An
    /// unanswered write can no longer take effect once the ledger has a newer version than the
    /// write expects.
    pub fn observe(&mut self, ledger: Ledger, ver: Ver) {
        if self.known && ver < self.ver {
            return;
        }
        let own = ledger.grant(&self.me).map(|g| g.ceiling);
        if own.is_none() && self.ceiling.is_some() {
            let covers = |p: &PendingCeiling| p.returns_grant && self.charged() <= p.ceiling;
            debug_assert!(
                self.pending_ceilings.iter().any(covers),
                "the ledger does not hold the spending of a returned grant"
            );
            self.reset_spending();
        }
        self.ceiling = own;
        self.pending_ceilings.retain(|p| p.based_on >= ver);
        self.ledger = ledger;
        self.ver = ver;
        self.known = true;
    }

    /// Resets the spending after the grant was returned together with what was spent of it. Later
    /// spending counts from zero and needs a new spending limit.
    fn reset_spending(&mut self) {
        self.finished_cost = Tokens(0);
        self.unproven = Tokens(0);
        self.spending_limit = None;
        self.pending_limits.clear();
    }

    /// Whether requests wait for more than this router has.
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

    /// The tokens that requests wait for, or 0 if the ledger does not have them. Otherwise each
    /// refused request would cause a write of a limit that no grant can match.
    fn grantable(&self, now: Instant) -> Tokens {
        let wanted = Tokens(self.demand.wanted(now));
        let grantable = !self.known || self.may_be_granted(wanted);
        if grantable { wanted } else { Tokens(0) }
    }

    /// The settled amount and spending limit that the endpoint's row should hold. `None` if this
    /// process spends nothing of this organisation's budget.
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
        let request_burst = (self.demand.mean_size() as f64 * headroom.burst_requests) as u64;
        let burst = self.demand.rate(now) * headroom.burst_ms / 1_000 + request_burst + wanted;
        let mut spending_limit = SpendingLimit {
            floor: Tokens(self.charged().0 + burst),
            rate: Tokens((self.demand.mean_rate(now) * headroom.slope_factor) as u64),
            seen,
            opens: headroom.opens_after_ms,
        };
        // While writes are unanswered, the lowest of their limits bounds the spending. A limit
        // below the one in force would only reduce what this router may spend.
        if let Some(in_force) = self.spending_limit.filter(|_| !self.pending_limits.is_empty()) {
            spending_limit.floor = spending_limit.floor.max(in_force.spending_limit.floor);
            spending_limit.rate = spending_limit.rate.max(in_force.spending_limit.rate);
            spending_limit.opens = spending_limit.opens.min(in_force.spending_limit.opens);
        }
        Some((self.settled(), spending_limit))
    }

    /// Whether this router currently spends from this budget.
    pub fn is_spending(&self, now: Instant) -> bool {
        self.ceiling.is_some() && self.demand.mean_rate(now) > 0.0 && !self.is_idle(now)
    }

    /// Whether the spending limit should be written; `Some(true)` if a request waits for it.
    pub fn limit_due(&self, now: Instant) -> Option<bool> {
        let wanted = self.grantable(now);
        let is_awaited = wanted.0 > 0 && self.charged().0 + wanted.0 > self.allowed_by_limit(now).0;
        if is_awaited || !self.pending_limits.is_empty() {
            return Some(is_awaited);
        }
        let is_old = now.saturating_duration_since(self.limit_written_at) >= LIMIT_WRITE_INTERVAL;
        let changed = self.reported != self.spending_report();
        (is_old && changed && self.spending_limit.is_some()).then_some(false)
    }

    /// Records the spending limit that write `number` of the endpoint's row holds. From here on
    /// both the limit in force and this one bound the spending, because a successor may find either
    /// of them.
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

    /// Records that the next write of the endpoint's row does not list this organisation. Nothing
    /// may be spent until a later write lists it.
    pub fn omit_limit(&mut self) {
        self.spending_limit = None;
        self.pending_limits.clear();
    }

    /// Records that write `number` of the endpoint's row is in force; no other unanswered write can
    /// take effect any more.
    pub fn limit_written(&mut self, number: u64, now: Instant) {
        if let Some(pending) = self.pending_limits.iter().find(|p| p.number == number) {
            self.spending_limit = Some(pending.anchored);
            self.reported = pending.spending_report;
            self.limit_written_at = now;
        }
        self.pending_limits.clear();
        // Demand that is covered by now would otherwise raise each limit for seconds.
        if self.missing_cover(Tokens(self.demand.wanted(now)), now) != Some(MissingCover::Grant) {
            self.demand.clear_unmet();
        }
    }

    /// Records that write `number` of the endpoint's row was rejected and has no effect.
    pub fn limit_rejected(&mut self, number: u64) {
        self.pending_limits.retain(|p| p.number != number);
    }

    fn spending_report(&self) -> SpendingReport {
        SpendingReport { charged: self.charged(), settled: self.settled() }
    }

    /// Estimate of the tokens that no router has spent yet.
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
