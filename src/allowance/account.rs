//! What one router knows of one organisation's budget: pure decisions, no clock, no I/O.

use std::time::Duration;

use tokio::time::Instant;

use super::ledger::{Closing, Holder, HolderName, Ledger};
use super::line::{Anchored, Line};
use super::slack::Slack;
use crate::ids::Tokens;
use crate::rows::{StoreMs, Ver};

/// Time over which the rate of spending is averaged, ms. Short, because an organisation can
/// send several times its usual from one second to the next.
const RATE_WINDOW_MS: u64 = 1_500;
/// How much of the averaged rate is kept when it falls, per window, in per cent. Slow, because a
/// partition that begins in a lull must still be outlasted.
const RATE_KEEP_PERCENT: u64 = 85;
/// Time constant of the mean rate, which the slope of a line follows, s. Longer than the gaps
/// between the clumps in which requests come.
const MEAN_RATE_S: f64 = 3.0;
/// What a line lets through at once, in ms at the rate of spending, beside what is in use.
const BURST_MS: u64 = 100;
/// Weight of the latest request in the mean size, as a divisor.
const MEAN_DIVISOR: u64 = 8;
/// Part of what is left of a budget that the lines may share out, in per cent. The rest stays
/// in the store for requests that need more than their router has.
const SHARED_PERCENT: u64 = 85;
/// A line that is longer than it need be by more than this part of its open length, in per
/// cent, is cut back: the rest may be missing elsewhere.
const EXCESS_PERCENT: u64 = 20;
/// Time between two writes of a line that is not urgent, ms for each router that spends from the
/// same budget. A row is then written some 16 times a second, however many spend; each write
/// takes some 10 ms, so one in six meets a newer version.
const RENEW_MS: u64 = 60;
/// Shortest and longest such time, ms. What is in doubt after a death grows with it.
const RENEW_RANGE_MS: (u64, u64) = (200, 2_500);
/// A request that could not be covered is still counted as demand for so long, ms.
const DEMAND_MS: u64 = 2_000;

/// Why a request got no part of the budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denied {
    /// This router has no part left; another, or the store, may have.
    NoneHere,
    /// The ledger itself shows that the request does not fit any more.
    Spent,
}

/// What a router wants to write into the ledger.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The row as it will stand.
    pub ledger: Ledger,
    /// The version that the row must have for this.
    pub expect: Ver,
    /// Our own line in it.
    pub line: Line,
    /// What was charged when it was made.
    pub charged: Tokens,
    /// The lines of predecessors that it closes.
    pub closes: Vec<Closing>,
}

/// Settings of sizing that are derived from the deployment.
#[derive(Clone, Copy, Debug)]
pub struct Sizing {
    /// The cut from the store that a line has to outlast, ms.
    pub horizon_ms: u64,
    /// Routers that callers are sent to.
    pub routers: u64,
    /// Whether to close what predecessors left open although nothing is spent here.
    pub close_idle: bool,
}

/// A line that this process may follow, with the row version it was based on.
#[derive(Clone, Copy, Debug)]
struct Pending {
    based_on: Ver,
    anchored: Anchored,
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
    confirmed: Option<Anchored>,
    /// Lines whose writes were not answered: any of them may be the one in force.
    pending: Vec<Pending>,
    settled: Tokens,
    /// What requests that still run have surely spent: their callers have it.
    proven: Tokens,
    held: Tokens,
    /// Mean size of requests at their most.
    mean: u64,
    /// Spending, tokens a second.
    rate: u64,
    window_start: Instant,
    window_spent: u64,
    /// Mean rate of spending, tokens a second, as of some time.
    mean_rate: f64,
    mean_at: Instant,
    /// A request that could not be covered, and when.
    wanted: Option<(Tokens, Instant)>,
    /// When the line in force was written, and what was charged then.
    renewed: Instant,
    written: Tokens,
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
            confirmed: None,
            pending: Vec::new(),
            settled: Tokens(0),
            proven: Tokens(0),
            held: Tokens(0),
            mean: 0,
            rate: 0,
            window_start: now,
            window_spent: 0,
            mean_rate: 0.0,
            mean_at: now,
            wanted: None,
            renewed: now,
            written: Tokens(0),
        }
    }

    /// The operator's configuration grants `prepaid` in all. It is only ever raised.
    pub fn set_prepaid(&mut self, prepaid: Tokens) {
        self.prepaid = self.prepaid.max(prepaid);
    }

    /// Spent or held by requests that run.
    pub fn charged(&self) -> Tokens {
        Tokens(self.settled.0 + self.held.0)
    }

    /// Spent by requests that have ended.
    pub fn settled(&self) -> Tokens {
        self.settled
    }

    /// The version of the ledger row that decisions rest on.
    pub fn ver(&self) -> Ver {
        self.ver
    }

    /// What a refusal rests on, for the log.
    pub fn describe(&self, now: Instant) -> String {
        format!(
            "charged={} allowed={} end={} rate={} prepaid={} ledger_ver={} closed={} doubt={} settled={} free={}",
            self.charged(),
            self.allowed(now),
            self.ceiling(),
            self.demand(now),
            self.prepaid,
            self.ver,
            self.ledger.closed,
            self.ledger.doubt,
            self.ledger.settled(),
            self.ledger.free(self.prepaid),
        )
    }

    /// What this router may have spent by now, over all lines that may be in force.
    pub fn allowed(&self, now: Instant) -> Tokens {
        let Some(confirmed) = self.confirmed else { return Tokens(0) };
        let pending = self.pending.iter().map(|p| p.anchored.at(now));
        pending.fold(confirmed.at(now), Tokens::min)
    }

    /// The end of the line in force.
    pub fn ceiling(&self) -> Tokens {
        let Some(confirmed) = self.confirmed else { return Tokens(0) };
        let pending = self.pending.iter().map(|p| p.anchored.line.ceiling);
        pending.fold(confirmed.line.ceiling, Tokens::min)
    }

    /// Takes `most` for a request that costs that at the most.
    ///
    /// # Errors
    /// `Spent` only if the ledger in the store proves it, by what is settled for good there.
    pub fn hold(&mut self, most: Tokens, now: Instant) -> Result<(), Denied> {
        self.roll(now);
        if self.charged().0 + most.0 <= self.allowed(now).0 {
            self.held.0 += most.0;
            self.mean += (most.0.max(self.mean) - self.mean) / MEAN_DIVISOR;
            self.mean -= self.mean.saturating_sub(most.0) / MEAN_DIVISOR;
            self.window_spent += most.0;
            self.mean_rate = self.mean_rate(now) + most.0 as f64 / MEAN_RATE_S;
            self.mean_at = now;
            return Ok(());
        }
        self.wanted = Some((most, now));
        Err(if self.is_spent(most) { Denied::Spent } else { Denied::NoneHere })
    }

    /// Whether the request cannot fit, whoever holds the rest.
    pub fn is_spent(&self, most: Tokens) -> bool {
        self.known && self.ledger.settled().0 + most.0 > self.prepaid.0
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
        self.settled.0 += actual.0.max(proven.0).min(most.0);
    }

    /// Surely spent so far.
    fn surely(&self) -> Tokens {
        Tokens(self.settled.0 + self.proven.0)
    }

    fn roll(&mut self, now: Instant) {
        let ms = now.saturating_duration_since(self.window_start).as_millis();
        let ms = u64::try_from(ms).unwrap_or(u64::MAX);
        if ms < RATE_WINDOW_MS {
            return;
        }
        let windows = (ms / RATE_WINDOW_MS).min(64);
        let latest = self.window_spent.saturating_mul(1_000) / ms;
        let kept = (0..windows).fold(self.rate, |r, _| r * RATE_KEEP_PERCENT / 100);
        self.rate = latest.max(kept);
        self.window_spent = 0;
        self.window_start = now;
    }

    /// Mean spending in tokens a second.
    fn mean_rate(&self, now: Instant) -> f64 {
        let s = now.saturating_duration_since(self.mean_at).as_secs_f64();
        self.mean_rate * (-s / MEAN_RATE_S).exp()
    }

    /// How long until this router may spend `most` more; none if not by what it holds now.
    pub fn room_in(&self, most: Tokens, now: Instant) -> Option<Duration> {
        let amount = Tokens(self.charged().0 + most.0);
        let pending = self.pending.iter().map(|p| &p.anchored);
        let waits = self.confirmed.iter().chain(pending).map(|a| a.reaches(amount, now));
        waits.reduce(|a, b| Some(a?.max(b?)))?
    }

    /// Spending in tokens a second, the running window included.
    fn demand(&self, now: Instant) -> u64 {
        let ms = now.saturating_duration_since(self.window_start).as_millis();
        let ms = u64::try_from(ms).unwrap_or(u64::MAX).max(RATE_WINDOW_MS / 2);
        self.rate.max(self.window_spent.saturating_mul(1_000) / ms)
    }

    /// Demand that could not be covered a short while ago.
    fn wanted(&self, now: Instant) -> u64 {
        let (most, at) = self.wanted.unwrap_or((Tokens(0), now));
        let ms = now.saturating_duration_since(at).as_millis();
        if ms < u128::from(DEMAND_MS) { most.0 } else { 0 }
    }

    /// Takes in the row as read from the store or returned by a transaction.
    ///
    /// A write of ours that was not answered has taken effect if our entry bears its line, and
    /// can no longer take effect if the row has moved past the version it was based on.
    pub fn observe(&mut self, ledger: Ledger, ver: Ver) {
        if self.known && ver < self.ver {
            return;
        }
        if let Some(mine) = ledger.holder(&self.me) {
            let written = self.pending.iter().find(|p| p.anchored.line == mine.line);
            if let Some(written) = written {
                self.confirmed = Some(written.anchored);
            }
        }
        self.pending.retain(|p| p.based_on >= ver);
        self.ledger = ledger;
        self.ver = ver;
        self.known = true;
    }

    /// Whether the row was ever read.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Whether a request waits for more than this router can get by what it knows of the ledger.
    pub fn is_starved(&self, now: Instant) -> bool {
        let headroom = self.allowed(now).0.saturating_sub(self.charged().0);
        self.wanted(now) > headroom
    }

    /// The entry to write next, if one is due.
    ///
    /// `began` is the first store time that this process learnt: whatever ran here before had
    /// ended by then. `seen` is the newest one. A line is renewed while it is used, so that its
    /// opening part stays ahead of the spending and what is in doubt after a death stays small.
    pub fn plan(&self, began: StoreMs, seen: StoreMs, now: Instant, s: Sizing) -> Option<Plan> {
        if !self.known {
            return None;
        }
        let mut ledger = self.ledger.clone();
        let closes = ledger.close_predecessors(&self.me, began);
        let rate = self.demand(now);
        let wanted = self.wanted(now);
        let charged = self.charged().0;
        let mean_rate = self.mean_rate(now) as u64;
        let slack = Slack::of(self.lasting(&ledger, mean_rate, s));
        let slope = (mean_rate as f64 * slack.slope) as u64;
        let clump = (self.mean as f64 * slack.requests) as u64;
        let burst = rate * BURST_MS / 1_000 + clump + wanted;
        let reach = burst + (mean_rate as f64 * slack.reach) as u64 * s.horizon_ms / 1_000;
        let end = self.end(&ledger, reach, mean_rate, wanted, s);
        // While writes are not answered, any of their lines bounds the spending: one that is
        // shorter than the line in force would only take away what this router surely has.
        let kept = self.confirmed.filter(|_| !self.pending.is_empty());
        let slope = kept.map_or(slope, |k| slope.max(k.line.rate.0));
        let end = kept.map_or(end, |k| end.max(k.line.ceiling.0));
        let line = Line {
            floor: Tokens((charged + burst).min(end)),
            rate: Tokens(slope),
            ceiling: Tokens(end),
            seen,
            opens: slack.opens,
        };
        if !self.is_due(&line, now, s) {
            return None;
        }
        let rate = Tokens(mean_rate);
        ledger.set(Holder { name: self.me.clone(), settled: self.surely(), rate, line });
        Some(Plan { ledger, expect: self.ver, line, charged: Tokens(charged), closes })
    }

    /// Where the line should end: far enough for a cut from the store, but no further than this
    /// router's part of what is left, by the rates at which the routers spend. So the last
    /// tokens of a budget are where they are needed, and are not stranded with one router while
    /// another refuses. A request that waits gets what it needs if that much is free.
    fn end(&self, ledger: &Ledger, reach: u64, mean_rate: u64, wanted: u64, s: Sizing) -> u64 {
        let charged = self.charged().0;
        let left = self.left(ledger) * SHARED_PERCENT / 100;
        let fair = match self.fleet_rate(ledger, mean_rate) {
            0 => left / (s.routers + 1),
            all => (u128::from(left) * u128::from(mean_rate) / u128::from(all)) as u64,
        };
        let want = (reach + wanted).min(fair).max(wanted);
        let mine = ledger.holder(&self.me).map_or(0, |h| h.line.ceiling.0);
        let reachable = ledger.free(self.prepaid).0 + mine;
        (charged + want).min(reachable).max(charged)
    }

    /// What no router has spent yet, as far as is known.
    fn left(&self, ledger: &Ledger) -> u64 {
        let others = ledger.holders.iter().filter(|h| h.name != self.me);
        let spent = ledger.closed.0 + others.map(|h| h.settled.0).sum::<u64>() + self.charged().0;
        self.prepaid.0.saturating_sub(spent)
    }

    fn fleet_rate(&self, ledger: &Ledger, mean_rate: u64) -> u64 {
        let others = ledger.spenders().filter(|h| h.name != self.me);
        mean_rate + others.map(|h| h.rate.0).sum::<u64>()
    }

    fn renew_ms(&self) -> u64 {
        let others = self.ledger.spenders().filter(|h| h.name != self.me).count() as u64;
        let (least, most) = RENEW_RANGE_MS;
        ((others + 1) * RENEW_MS).clamp(least, most)
    }

    /// How many of the longest cuts the budget outlasts at the rate of all routers.
    fn lasting(&self, ledger: &Ledger, mean_rate: u64, s: Sizing) -> f64 {
        let per_cut = self.fleet_rate(ledger, mean_rate) as f64 * s.horizon_ms as f64 / 1_000.0;
        if per_cut > 0.0 { self.left(ledger) as f64 / per_cut } else { f64::INFINITY }
    }

    fn is_due(&self, next: &Line, now: Instant, s: Sizing) -> bool {
        let Some(current) = self.confirmed else {
            return next.ceiling.0 > 0 || (s.close_idle && !self.predecessors_closed());
        };
        if !self.pending.is_empty() {
            return true;
        }
        // Crumbs that do not cover the request that waits are left to others: once a budget is
        // nearly spent, all routers would race for them in vain.
        let covers = next.floor.0 >= self.charged().0 + self.wanted(now);
        let short = self.is_starved(now) && covers && next.floor > self.allowed(now);
        let old = now.saturating_duration_since(self.renewed).as_millis();
        let spends = self.charged() != self.written;
        let open = next.ceiling.0.saturating_sub(self.charged().0);
        let excess = current.line.ceiling.0.saturating_sub(next.ceiling.0);
        let gives_back = excess * 100 > open * EXCESS_PERCENT;
        let settled = self.surely() > self.ledger.holder(&self.me).map_or(Tokens(0), |h| h.settled);
        short || (old >= u128::from(self.renew_ms()) && (spends || settled || gives_back))
    }

    fn predecessors_closed(&self) -> bool {
        !self
            .ledger
            .holders
            .iter()
            .any(|h| h.name.place == self.me.place && h.name.incarnation != self.me.incarnation)
    }

    /// Notes a write that is about to be sent. From here on both the line in force and this one
    /// bound the spending, because nobody knows which one a successor will find.
    pub fn sending(&mut self, plan: &Plan, learnt: Instant) {
        let anchored = Anchored { line: plan.line, learnt };
        self.pending.push(Pending { based_on: plan.expect, anchored });
    }

    /// The write was answered: it is in force.
    pub fn committed(&mut self, plan: &Plan, ver: Ver, now: Instant) {
        self.wanted = None;
        self.renewed = now;
        self.written = plan.charged;
        self.observe(plan.ledger.clone(), ver);
    }

    /// The write was turned away and never happens.
    pub fn rejected(&mut self, plan: &Plan) {
        self.pending.retain(|p| p.anchored.line != plan.line || p.based_on != plan.expect);
    }

    /// The row without this process, for a planned stop: nothing of it stays in doubt.
    pub fn farewell(&self) -> Option<(Ledger, Ver)> {
        self.ledger.holder(&self.me)?;
        let mut ledger = self.ledger.clone();
        ledger.leave(&self.me, self.charged());
        Some((ledger, self.ver))
    }
}
