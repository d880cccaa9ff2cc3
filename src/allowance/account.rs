//! What one router knows of one organisation's budget: pure decisions, no clock, no I/O.
//!
//! Two rows bound what it may spend. The *ceiling* of its grant, in the organisation's row, is
//! what nobody else may use; it changes seldom. The *line*, in the row of the router's place,
//! follows the spending closely; its successor reads there how little a dead process can have spent.

mod grants;

use std::time::Duration;

use tokio::time::Instant;

use super::demand::Demand;
use super::ledger::{HolderName, Ledger};
use super::line::{Anchored, Line};
use super::slack::Slack;
use crate::ids::Tokens;
use crate::rows::{StoreMs, Ver};

pub use grants::{Cause, GrantPlan};

/// Time between two writes of a line that is not urgent. What is in doubt after a death grows
/// with it; all lines of a router go out in one write.
pub(super) const RENEW: Duration = Duration::from_millis(200);

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
pub enum Row {
    /// The organisation's: the grant does not cover it.
    Grant,
    /// The place's: the line does not.
    Line,
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
struct PendingLine {
    number: u64,
    anchored: Anchored,
    state: State,
}

/// What a write says of the spending.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct State {
    charged: Tokens,
    settled: Tokens,
}

/// One organisation's account at one router.
#[derive(Clone, Debug)]
pub struct Account {
    me: HolderName,
    /// What the operator granted in all; only grows within a process.
    prepaid: Tokens,
    /// The row as last seen, and its version.
    ledger: Ledger,
    ver: Ver,
    /// Whether the row was ever read.
    known: bool,
    ceiling: Option<Tokens>,
    /// Ceilings whose writes were not answered: any of them may be the one in force.
    ceilings: Vec<PendingCeiling>,
    line: Option<Anchored>,
    /// The same of lines.
    lines: Vec<PendingLine>,
    /// What has ended, and what of it is not known to have been spent.
    ended: Tokens,
    unproved: Tokens,
    /// What requests that still run have surely spent: their callers have it.
    proven: Tokens,
    held: Tokens,
    demand: Demand,
    /// When the grant was written last.
    granted: Instant,
    /// What the line in force was written with, and when.
    written: State,
    renewed: Instant,
}

impl Account {
    /// An account about which nothing is known yet.
    pub fn new(me: HolderName, now: Instant) -> Account {
        Account {
            me,
            prepaid: Tokens(0),
            ledger: Ledger::default(),
            ver: Ver(0),
            known: false,
            ceiling: None,
            ceilings: Vec::new(),
            line: None,
            lines: Vec::new(),
            ended: Tokens(0),
            unproved: Tokens(0),
            proven: Tokens(0),
            held: Tokens(0),
            demand: Demand::new(now),
            granted: now,
            written: State::default(),
            renewed: now,
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
        Tokens(self.ended.0 + self.held.0)
    }

    /// Surely spent so far.
    pub fn settled(&self) -> Tokens {
        Tokens(self.ended.0 - self.unproved.0 + self.proven.0)
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
        self.ceiling().min(self.opened(now))
    }

    /// The end of the grant in force.
    pub fn ceiling(&self) -> Tokens {
        let pending = self.ceilings.iter().map(|p| p.ceiling);
        pending.fold(self.ceiling.unwrap_or_default(), Tokens::min)
    }

    /// What the line in force lets through by now.
    fn opened(&self, now: Instant) -> Tokens {
        let Some(line) = self.line else { return Tokens(0) };
        let pending = self.lines.iter().map(|p| p.anchored.at(now));
        pending.fold(line.at(now), Tokens::min)
    }

    /// Takes `most` for a request that costs that at the most.
    ///
    /// # Errors
    /// `Spent` only if the ledger in the store proves it, by what is settled for good there.
    pub fn hold(&mut self, most: Tokens, now: Instant) -> Result<(), Denied> {
        if self.charged().0 + most.0 <= self.allowed(now).0 {
            self.held.0 += most.0;
            self.demand.met(most, now);
            return Ok(());
        }
        self.demand.missed(most, now);
        Err(if self.is_spent(most) { Denied::Spent } else { Denied::NoneHere })
    }

    /// A request of `most` begins to wait for its part.
    pub fn wait(&mut self, most: Tokens) {
        self.demand.wait(most);
    }

    /// It waits no longer.
    pub fn end_wait(&mut self, most: Tokens) {
        self.demand.end_wait(most);
    }

    /// Whether the request cannot fit, whoever holds the rest.
    pub fn is_spent(&self, most: Tokens) -> bool {
        let written = self.ledger.grant(&self.me).map_or(Tokens(0), |g| g.settled);
        let unwritten = self.settled().minus(written);
        self.known && self.ledger.settled().0 + unwritten.0 + most.0 > self.prepaid.0
    }

    /// Which row a request of `most` has to wait for; none if it is covered.
    pub fn shortage(&self, most: Tokens, now: Instant) -> Option<Row> {
        let amount = Tokens(self.charged().0 + most.0);
        match () {
            () if amount > self.ceiling() => Some(Row::Grant),
            () if amount > self.opened(now) => Some(Row::Line),
            () => None,
        }
    }

    /// Whether the ledger as last seen has `most` to give to this router.
    pub fn may_be_granted(&self, most: Tokens) -> bool {
        let mine = self.ledger.grant(&self.me).map_or(Tokens(0), |g| g.ceiling);
        self.charged().0 + most.0 <= self.ledger.free(self.prepaid).0 + mine.0
    }

    /// A request's caller has got `more` tokens' worth. Written ahead of the request's end, it
    /// is proved spent should this process die: of a budget of 1 M tokens some 2% are in the hands
    /// of callers whose streams still run.
    pub fn prove(&mut self, more: Tokens) {
        self.proven.0 += more.0;
    }

    /// A request that held `most` has ended and cost `actual`, of which `proven` was proved.
    pub fn settle(&mut self, most: Tokens, actual: Tokens, proven: Tokens) {
        self.held.0 -= most.0;
        self.proven.0 -= proven.0;
        self.ended.0 += actual.0.max(proven.0).min(most.0);
    }

    /// Nobody will say any more what became of a request that held `most`: it stays spent, and
    /// proves no more than the `proven` part of it.
    pub fn lose(&mut self, most: Tokens, proven: Tokens) {
        self.settle(most, most, proven);
        self.unproved.0 += most.0 - proven.0;
    }

    /// How long until this router may spend `most` more; none if not by what it holds now.
    pub fn room_in(&self, most: Tokens, now: Instant) -> Option<Duration> {
        let amount = Tokens(self.charged().0 + most.0);
        if amount > self.ceiling() {
            return None;
        }
        let pending = self.lines.iter().map(|p| &p.anchored);
        let waits = self.line.iter().chain(pending).map(|a| a.reaches(amount, now));
        waits.reduce(|a, b| Some(a?.max(b?)))?
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
        let mine = ledger.grant(&self.me).map(|g| g.ceiling);
        if mine.is_none() && self.ceiling.is_some() {
            self.begin_anew();
        }
        self.ceiling = mine;
        self.ceilings.retain(|p| p.based_on >= ver);
        self.ledger = ledger;
        self.ver = ver;
        self.known = true;
    }

    /// The grant was given back, with all that was spent of it: what is spent from here on counts
    /// from zero, and needs a line of its own.
    fn begin_anew(&mut self) {
        self.ended = Tokens(0);
        self.unproved = Tokens(0);
        self.line = None;
        self.lines.clear();
    }

    /// Whether a request waits for more than this router has.
    pub fn is_starved(&self, now: Instant) -> bool {
        self.demand.wanted(now) > self.allowed(now).minus(self.charged()).0
    }

    fn slack(&self, now: Instant, s: Sizing) -> Slack {
        let mean_rate = self.demand.lasting_rate(now) as u64;
        let per_cut = self.fleet_rate(mean_rate) as f64 * s.horizon_ms as f64 / 1_000.0;
        let left = self.left(s.now).0 as f64;
        Slack::of(if per_cut > 0.0 { left / per_cut } else { f64::INFINITY })
    }

    /// What requests want, unless the organisation's row has no more: lines for what cannot be
    /// granted would be written for every request that is refused.
    fn attainable(&self, now: Instant) -> Tokens {
        let wanted = Tokens(self.demand.wanted(now));
        let attainable = !self.known || self.may_be_granted(wanted);
        if attainable { wanted } else { Tokens(0) }
    }

    /// What the place's row should bear: what is surely spent, and the line. None if this process
    /// spends nothing of this organisation's.
    ///
    /// `seen` is the newest store time.
    pub fn next_line(&self, seen: StoreMs, now: Instant, s: Sizing) -> Option<(Tokens, Line)> {
        let wanted = self.attainable(now).0;
        let granted = self.ceiling.is_some() || !self.ceilings.is_empty();
        if !granted && wanted == 0 {
            return None;
        }
        let slack = self.slack(now, s);
        let clump = (self.demand.mean() as f64 * slack.requests) as u64;
        let burst = self.demand.rate(now) * slack.burst / 1_000 + clump + wanted;
        let mut line = Line {
            floor: Tokens(self.charged().0 + burst),
            rate: Tokens((self.demand.mean_rate(now) * slack.slope) as u64),
            seen,
            opens: slack.opens,
        };
        // While writes are not answered, any of their lines bounds the spending: one that is
        // lower than the line in force would only take away what this router surely has.
        if let Some(kept) = self.line.filter(|_| !self.lines.is_empty()) {
            line.floor = line.floor.max(kept.line.floor);
            line.rate = line.rate.max(kept.line.rate);
            line.opens = line.opens.min(kept.line.opens);
        }
        Some((self.settled(), line))
    }

    /// Whether this router spends of it.
    pub fn is_spending(&self, now: Instant) -> bool {
        self.ceiling.is_some() && self.demand.mean_rate(now) > 0.0 && !self.is_idle(now)
    }

    /// Whether the line should be written: `Some(true)` if a request waits for it.
    pub fn line_due(&self, now: Instant) -> Option<bool> {
        let wanted = self.attainable(now);
        let waits = wanted.0 > 0 && self.charged().0 + wanted.0 > self.opened(now).0;
        if waits || !self.lines.is_empty() {
            return Some(waits);
        }
        let is_old = now.saturating_duration_since(self.renewed) >= RENEW;
        let changed = self.written != self.state();
        (is_old && changed && self.line.is_some()).then_some(false)
    }

    /// Notes the line that write `number` of the place's row bears. From here on both the line in
    /// force and this one bound the spending, because nobody knows which one a successor will
    /// find.
    pub fn sending_line(&mut self, number: u64, line: Line, learnt: Instant) {
        let anchored = Anchored { line, learnt };
        self.lines.push(PendingLine { number, anchored, state: self.state() });
    }

    /// A write of the place's row is about to be sent that does not name this organisation:
    /// nothing may be spent until one does.
    pub fn omitting_line(&mut self) {
        self.line = None;
        self.lines.clear();
    }

    /// Write `number` of the place's row is in force, and no other will be.
    pub fn line_written(&mut self, number: u64, now: Instant) {
        if let Some(written) = self.lines.iter().find(|p| p.number == number) {
            self.line = Some(written.anchored);
            self.written = written.state;
            self.renewed = now;
        }
        self.lines.clear();
        // Counted on, what is covered by now would raise each line for seconds.
        if self.shortage(Tokens(self.demand.wanted(now)), now) != Some(Row::Grant) {
            self.demand.forget_unmet();
        }
    }

    /// Write `number` of the place's row was turned away and never happens.
    pub fn line_rejected(&mut self, number: u64) {
        self.lines.retain(|p| p.number != number);
    }

    fn state(&self) -> State {
        State { charged: self.charged(), settled: self.settled() }
    }

    /// What no router has spent yet, as far as is known.
    fn left(&self, now: StoreMs) -> Tokens {
        self.left_in(&self.ledger, now)
    }

    fn left_in(&self, ledger: &Ledger, now: StoreMs) -> Tokens {
        let others: u64 = ledger.others(&self.me).map(|g| g.spent_by(now).0).sum();
        self.prepaid.minus(Tokens(ledger.closed.0 + others + self.charged().0))
    }

    fn fleet_rate(&self, mean_rate: u64) -> u64 {
        mean_rate + self.ledger.others(&self.me).map(|g| g.rate.0).sum::<u64>()
    }
}
