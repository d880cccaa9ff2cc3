//! State of loans between routers, on the lender's and on the borrower's side, without sending or
//! waiting.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use tokio::time::Instant;

use super::wire::LoanUse;
use crate::ids::Tokens;

/// A loan without reports for this time is written off, because its borrower has crashed or lost
/// it. Longer than any request may take, so that a router that was partitioned from the others for
/// a while can still report the cost.
const LOAN_EXPIRY: Duration = Duration::from_secs(90);
/// How long a lender keeps the number of an ended loan. Longer than a datagram takes to arrive.
const ENDED_LOAN_TTL: Duration = Duration::from_secs(5);
/// A lender that has received no report of a loan for this time sends its borrower a reminder. A
/// duplicate loan request that arrives after the loan's end creates a loan that is unknown to the
/// borrower.
const REMINDER_INTERVAL: Duration = Duration::from_secs(3);
/// Interval between two reports of a loan's end until one is acknowledged: the minimum, and the
/// divisor of the time since the end. The interval grows so that a lender that is down for long
/// does not receive a stream of reports.
const END_REPORT_BACKOFF: (Duration, u32) = (Duration::from_millis(250), 4);
/// A borrower stops reporting a loan's end after this time, because the lender is gone.
const END_REPORT_GIVE_UP_AFTER: Duration = Duration::from_secs(60);
/// The use of a running loan is reported once this share of it is newly proven, in percent. The
/// prompt is most of a request and is proven with the first event, so a loan usually takes one such
/// report and one for its end.
const USE_REPORT_PERCENT: u64 = 25;

/// Identifies a loan: the borrower's incarnation, and the loan's number there.
pub(super) type LoanId = (u64, u64);

/// Tokens that this router has lent.
#[derive(Clone, Debug)]
pub(super) struct LentLoan {
    pub(super) id: LoanId,
    /// Address of the borrower.
    pub(super) borrower: SocketAddr,
    pub(super) org: CompactString,
    pub(super) max_cost: Tokens,
    pub(super) proven: Tokens,
    /// When the borrower last reported on the loan, and when it was last sent a reminder.
    last_report: Instant,
    last_reminder: Instant,
}

/// Change of the lender's account that follows from a report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum LoanChange {
    /// This many more tokens are proven.
    Proven(CompactString, Tokens),
    /// The loan has ended: its size, its cost, and the tokens that were proven before.
    Ended { org: CompactString, max_cost: Tokens, actual: Tokens, proven: Tokens },
}

/// All loans that this router has given, by id.
#[derive(Debug, Default)]
pub(super) struct LentLoans {
    loans: Vec<LentLoan>,
    /// Loan requests that wait for tokens.
    waiting: Vec<LoanId>,
    /// Loans that ended recently, to detect duplicates of their loan requests.
    ended: VecDeque<(LoanId, Instant)>,
}

impl LentLoans {
    fn find(&self, id: LoanId) -> Result<usize, usize> {
        self.loans.binary_search_by_key(&id, |l| l.id)
    }

    /// Whether the loan was given and has not ended.
    pub(super) fn contains(&self, id: LoanId) -> bool {
        self.find(id).is_ok()
    }

    /// Whether the loan has ended recently.
    pub(super) fn ended_recently(&mut self, id: LoanId, now: Instant) -> bool {
        let is_old =
            |(_, at): &(LoanId, Instant)| now.saturating_duration_since(*at) >= ENDED_LOAN_TTL;
        while self.ended.front().is_some_and(is_old) {
            self.ended.pop_front();
        }
        self.ended.iter().any(|(ended, _)| *ended == id)
    }

    /// Whether there are no loans.
    pub(super) fn is_empty(&self) -> bool {
        self.loans.is_empty()
    }

    /// Whether a loan request waits for tokens.
    pub(super) fn is_waiting(&self, id: LoanId) -> bool {
        self.waiting.contains(&id)
    }

    /// Records that a loan request waits for tokens.
    pub(super) fn begin_wait(&mut self, id: LoanId) {
        self.waiting.push(id);
    }

    /// Records that a loan request no longer waits. Returns false if the borrower has cancelled it
    /// in the meantime.
    pub(super) fn end_wait(&mut self, id: LoanId) -> bool {
        let found = self.waiting.iter().position(|w| *w == id);
        found.map(|i| self.waiting.swap_remove(i)).is_some()
    }

    /// Adds a loan.
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

    /// Marks the loans that are due for a reminder and returns their borrowers and numbers.
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

    /// Applies a borrower's report. Reported amounts never shrink. Reports of unknown loans change
    /// nothing but end a waiting loan request.
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

    /// Removes and returns the loans whose borrowers have stopped reporting.
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
    /// Incarnation of the lender; 0 until it has answered.
    lender_process: u64,
    max_cost: Tokens,
    actual: Tokens,
    proven: Tokens,
    ended: Option<Instant>,
    /// The proven tokens last reported to the lender, and when they were reported.
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
        let i = self.0.binary_search_by_key(&number, |loan| loan.number).ok()?;
        Some(&mut self.0[i])
    }

    /// Adds the loan of a loan request; `number` must be higher than all before. Until the loan
    /// request is answered, the loan has to be cancelled if the request gives up.
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

    /// Records that the process `lender` granted the loan request.
    pub(super) fn record_lender(&mut self, number: u64, lender: u64) {
        if let Some(loan) = self.get(number) {
            loan.lender_process = lender;
        }
    }

    /// Removes a loan whose loan request was refused.
    pub(super) fn remove(&mut self, number: u64) {
        self.0.retain(|loan| loan.number != number);
    }

    /// Sets the cost and the proven tokens of a loan. Returns whether a report to the lender is
    /// due.
    pub(super) fn apply_use(
        &mut self,
        number: u64,
        actual: Tokens,
        proven: Tokens,
        now: Instant,
    ) -> bool {
        let Some(loan) = self.get(number) else { return false };
        (loan.actual, loan.proven) = (actual, proven);
        loan.is_due(now)
    }

    /// Ends a loan; no more will be spent from it.
    pub(super) fn end(&mut self, number: u64, actual: Tokens, proven: Tokens, now: Instant) {
        if let Some(loan) = self.get(number) {
            (loan.actual, loan.proven) = (actual, proven);
            (loan.ended, loan.reported_at) = (Some(now), None);
        }
    }

    /// The current use of a running loan, in answer to a reminder.
    pub(super) fn running_use(&mut self, number: u64) -> Option<LoanUse> {
        self.get(number).filter(|loan| loan.ended.is_none()).map(|loan| loan.to_use())
    }

    /// Whether nothing was or will be spent from the loan that the process `lender` refers to.
    /// Either the loan is from another process by now, or the lender has acknowledged its end and
    /// the message is old or answers a duplicate loan request. A loan that has ended without an
    /// acknowledgement does not count as unused: the lender still needs its cost.
    pub(super) fn is_unused(&mut self, number: u64, lender: u64) -> bool {
        self.get(number)
            .is_none_or(|loan| loan.lender_process != 0 && loan.lender_process != lender)
    }

    /// Removes a loan whose end the lender has acknowledged.
    pub(super) fn acknowledge(&mut self, number: u64) {
        self.0.retain(|loan| loan.number != number || loan.ended.is_none());
    }

    /// Returns the reports that are due and their recipients, sorted by recipient, and marks them
    /// as sent.
    pub(super) fn take_due(&mut self, now: Instant) -> Vec<(SocketAddr, LoanUse)> {
        let given_up = |loan: &BorrowedLoan| {
            loan.ended.is_some_and(|t| now.saturating_duration_since(t) >= END_REPORT_GIVE_UP_AFTER)
        };
        self.0.retain(|loan| !given_up(loan));
        let mut due = Vec::new();
        for loan in self.0.iter_mut().filter(|loan| loan.is_due(now)) {
            loan.reported_at = Some(now);
            loan.reported_proven = loan.proven;
            due.push((loan.lender, loan.to_use()));
        }
        due.sort_by_key(|(to, _)| *to);
        due
    }

    /// Whether the end of some loan is not acknowledged yet.
    pub(super) fn has_unacknowledged(&self) -> bool {
        self.0.iter().any(|loan| loan.ended.is_some())
    }
}
