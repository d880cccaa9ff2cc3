//! Both sides of lending between routers, apart from sending and waiting. Pure.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use tokio::time::Instant;

use super::wire::LoanUse;
use crate::ids::Tokens;

/// A loan of which nothing was heard for so long is lost: its borrower has ended, or forgot it.
/// Longer than any request may take, so that a router that was cut off from the others for a while
/// can still say what became of it.
const LOAN_EXPIRY: Duration = Duration::from_secs(90);
/// How long a lender knows the number of a loan that has ended. Longer than a datagram takes.
const ENDED_LOAN_TTL: Duration = Duration::from_secs(5);
/// A lender that has not heard of a loan for so long reminds its borrower of it. An ask that came
/// twice, the second time after the loan's end, makes a loan of which the borrower does not know.
const REMINDER_INTERVAL: Duration = Duration::from_secs(3);
/// Pause between two messages about the end of a loan that is not acknowledged: at least this, and
/// this part of the time since it ended. A lender that is down for long is not told every moment.
const END_REPORT_BACKOFF: (Duration, u32) = (Duration::from_millis(250), 4);
/// A borrower gives up telling after so long: its lender is gone.
const END_REPORT_GIVE_UP_AFTER: Duration = Duration::from_secs(60);
/// A running loan's use is told once this part of it more is proved, in per cent. A prompt is
/// most of a request and is proved with its first event, so that is said once, and the end.
const USE_REPORT_PERCENT: u64 = 25;

/// Which loan: the borrower's process, and its number there.
pub(super) type LoanId = (u64, u64);

/// Tokens that this router has lent.
#[derive(Clone, Debug)]
pub(super) struct LentLoan {
    pub(super) id: LoanId,
    /// Where its borrower is.
    pub(super) borrower: SocketAddr,
    pub(super) org: CompactString,
    pub(super) max_cost: Tokens,
    pub(super) proven: Tokens,
    /// When its borrower spoke of it, and when it was last reminded.
    last_report: Instant,
    last_reminder: Instant,
}

/// What a use of a loan means for the lender's account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum LoanChange {
    /// So much more is proved.
    Proven(CompactString, Tokens),
    /// It has ended: what it was, what it cost, what of it was proved before.
    Ended { org: CompactString, max_cost: Tokens, actual: Tokens, proven: Tokens },
}

/// All loans that this router has made, by id.
#[derive(Debug, Default)]
pub(super) struct LentLoans {
    loans: Vec<LentLoan>,
    /// Asks that wait for a part.
    waiting: Vec<LoanId>,
    /// Loans that have ended a moment ago: the same ask may come once more.
    ended: VecDeque<(LoanId, Instant)>,
}

impl LentLoans {
    fn find(&self, id: LoanId) -> Result<usize, usize> {
        self.loans.binary_search_by_key(&id, |l| l.id)
    }

    /// Whether the loan was made and has not ended.
    pub(super) fn contains(&self, id: LoanId) -> bool {
        self.find(id).is_ok()
    }

    /// Whether it has ended lately.
    pub(super) fn ended_recently(&mut self, id: LoanId, now: Instant) -> bool {
        let is_old =
            |(_, at): &(LoanId, Instant)| now.saturating_duration_since(*at) >= ENDED_LOAN_TTL;
        while self.ended.front().is_some_and(is_old) {
            self.ended.pop_front();
        }
        self.ended.iter().any(|(ended, _)| *ended == id)
    }

    /// Whether there are any.
    pub(super) fn is_empty(&self) -> bool {
        self.loans.is_empty()
    }

    /// Whether an ask waits.
    pub(super) fn is_waiting(&self, id: LoanId) -> bool {
        self.waiting.contains(&id)
    }

    /// An ask begins to wait.
    pub(super) fn begin_wait(&mut self, id: LoanId) {
        self.waiting.push(id);
    }

    /// An ask waits no longer. False if its sender has taken it back meanwhile.
    pub(super) fn end_wait(&mut self, id: LoanId) -> bool {
        let found = self.waiting.iter().position(|w| *w == id);
        found.map(|i| self.waiting.swap_remove(i)).is_some()
    }

    /// Notes a loan.
    pub(super) fn add_loan(
        &mut self,
        id: LoanId,
        borrower: SocketAddr,
        org: &str,
        max_cost: Tokens,
        now: Instant,
    ) {
        let Err(i) = self.find(id) else { return };
        let (org, proven) = (org.into(), Tokens(0));
        let loan =
            LentLoan { id, borrower, org, max_cost, proven, last_report: now, last_reminder: now };
        self.loans.insert(i, loan);
    }

    /// The loans of which to remind their borrowers now.
    pub(super) fn take_reminders(&mut self, now: Instant) -> Vec<(SocketAddr, u64)> {
        let is_due = |l: &&mut LentLoan| {
            let latest = l.last_report.max(l.last_reminder);
            now.saturating_duration_since(latest) >= REMINDER_INTERVAL
        };
        let remind = |l: &mut LentLoan| {
            l.last_reminder = now;
            (l.borrower, l.id.1)
        };
        self.loans.iter_mut().filter(is_due).map(remind).collect()
    }

    /// A borrower says how it uses a loan. What was said before never shrinks; of a loan that is
    /// not known (any more) there is nothing to do.
    pub(super) fn apply_use(
        &mut self,
        borrower: u64,
        loan_use: &LoanUse,
        now: Instant,
    ) -> Option<LoanChange> {
        let id = (borrower, loan_use.number);
        let Ok(i) = self.find(id) else {
            if loan_use.ended {
                self.end_wait(id);
                self.ended.push_back((id, now));
            }
            return None;
        };
        let loan = &mut self.loans[i];
        loan.last_report = now;
        if loan_use.ended {
            let LentLoan { org, max_cost, proven, .. } = self.loans.remove(i);
            self.ended.push_back((id, now));
            return Some(LoanChange::Ended { org, max_cost, actual: loan_use.actual, proven });
        }
        let proven = loan_use.proven.min(loan.max_cost);
        let more = proven.minus(loan.proven);
        loan.proven = loan.proven.max(proven);
        (more.0 > 0).then(|| LoanChange::Proven(loan.org.clone(), more))
    }

    /// Takes out the loans that nobody will say anything of any more.
    pub(super) fn take_expired(&mut self, now: Instant) -> Vec<LentLoan> {
        let is_lost = |l: &LentLoan| now.saturating_duration_since(l.last_report) >= LOAN_EXPIRY;
        let expired = self.loans.iter().filter(|l| is_lost(l)).cloned().collect();
        self.loans.retain(|l| !is_lost(l));
        expired
    }
}

/// Tokens that this router has borrowed.
#[derive(Clone, Debug)]
pub(super) struct BorrowedLoan {
    number: u64,
    pub(super) lender: SocketAddr,
    /// The lender's process; 0 while it has not answered.
    lender_process: u64,
    max_cost: Tokens,
    actual: Tokens,
    proven: Tokens,
    ended: Option<Instant>,
    /// What the lender was told to be proved, and when it was told last.
    reported_proven: Tokens,
    reported_at: Option<Instant>,
}

impl BorrowedLoan {
    fn is_due(&self, now: Instant) -> bool {
        if let Some(ended) = self.ended {
            let (least, divisor) = END_REPORT_BACKOFF;
            let pause = least.max(now.saturating_duration_since(ended) / divisor);
            return self.reported_at.is_none_or(|t| now.saturating_duration_since(t) >= pause);
        }
        let more = self.proven.minus(self.reported_proven);
        more.0 > 0 && more.0 * 100 >= self.max_cost.0 * USE_REPORT_PERCENT
    }

    fn to_use(&self) -> LoanUse {
        LoanUse {
            number: self.number,
            lender: self.lender_process,
            actual: self.actual,
            proven: self.proven,
            ended: self.ended.is_some(),
        }
    }
}

/// All loans that this router has taken, by number.
#[derive(Debug, Default)]
pub(super) struct BorrowedLoans(Vec<BorrowedLoan>);

impl BorrowedLoans {
    fn get(&mut self, number: u64) -> Option<&mut BorrowedLoan> {
        let i = self.0.binary_search_by_key(&number, |d| d.number).ok()?;
        Some(&mut self.0[i])
    }

    /// Notes an ask; `number` is higher than all before. Until it is answered it counts as one that
    /// must be taken back.
    pub(super) fn add_loan(&mut self, number: u64, lender: SocketAddr, max_cost: Tokens) {
        let zero = Tokens(0);
        self.0.push(BorrowedLoan {
            number,
            lender,
            lender_process: 0,
            max_cost,
            actual: zero,
            proven: zero,
            ended: None,
            reported_proven: zero,
            reported_at: None,
        });
    }

    /// The ask was granted by the process `lender`.
    pub(super) fn record_lender(&mut self, number: u64, lender: u64) {
        if let Some(d) = self.get(number) {
            d.lender_process = lender;
        }
    }

    /// The ask was turned away: nothing was lent.
    pub(super) fn remove(&mut self, number: u64) {
        self.0.retain(|d| d.number != number);
    }

    /// What a request has cost so far, and what of it is sure. Returns whether its lender should be
    /// told.
    pub(super) fn apply_use(
        &mut self,
        number: u64,
        actual: Tokens,
        proven: Tokens,
        now: Instant,
    ) -> bool {
        let Some(d) = self.get(number) else { return false };
        (d.actual, d.proven) = (actual, proven);
        d.is_due(now)
    }

    /// Nothing more will be spent of it.
    pub(super) fn end(&mut self, number: u64, actual: Tokens, proven: Tokens, now: Instant) {
        if let Some(d) = self.get(number) {
            (d.actual, d.proven) = (actual, proven);
            (d.ended, d.reported_at) = (Some(now), None);
        }
    }

    /// How a loan that runs is used, as its lender asks.
    pub(super) fn running_use(&mut self, number: u64) -> Option<LoanUse> {
        self.get(number).filter(|d| d.ended.is_none()).map(|d| d.to_use())
    }

    /// Whether nothing was or will be spent of a loan that the process `lender` speaks of: it is
    /// another process's by now, or its end is known to the lender, and this is a message of before
    /// or an ask that came twice. One that has ended and was not told yet is none of these: its
    /// lender must hear what it has cost.
    pub(super) fn is_unused(&mut self, number: u64, lender: u64) -> bool {
        self.get(number).is_none_or(|d| d.lender_process != 0 && d.lender_process != lender)
    }

    /// The lender knows that it has ended.
    pub(super) fn acknowledge(&mut self, number: u64) {
        self.0.retain(|d| d.number != number || d.ended.is_none());
    }

    /// What to tell whom now.
    pub(super) fn take_due(&mut self, now: Instant) -> Vec<(SocketAddr, LoanUse)> {
        let given_up = |d: &BorrowedLoan| {
            d.ended.is_some_and(|t| now.saturating_duration_since(t) >= END_REPORT_GIVE_UP_AFTER)
        };
        self.0.retain(|d| !given_up(d));
        let mut due = Vec::new();
        for d in self.0.iter_mut().filter(|d| d.is_due(now)) {
            d.reported_at = Some(now);
            d.reported_proven = d.proven;
            due.push((d.lender, d.to_use()));
        }
        due.sort_by_key(|(to, _)| *to);
        due
    }

    /// Whether some lender does not know yet that a loan has ended.
    pub(super) fn has_unacknowledged(&self) -> bool {
        self.0.iter().any(|d| d.ended.is_some())
    }
}
