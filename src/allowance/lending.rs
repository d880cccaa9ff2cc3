//! Lending between routers: sending loan requests, answering them, and reporting the use of loans.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::account::Denied;
use super::loans::{LentLoans, LoanChange, LoanId};
use super::manager::{BudgetManager, Shortfall};
use super::peers::Outgoing;
use super::wire::{Answer, Envelope, LoanRequest, LoanUse, MAX_USES, Message};
use crate::ids::Tokens;
use crate::rows::RowStore;

/// An unanswered loan request is sent again after this time, because datagrams are lost now and
/// then. An answer takes 2 ms, or 20 ms if the lender has to write both of its rows first.
const LOAN_REQUEST_RETRY_AFTER: Duration = Duration::from_millis(22);
/// Fraction of a borrower's timeout for which its lender waits for the store. A lender that answers
/// too late counts as unresponsive and is skipped for a while.
const LENDER_WAIT_RATIO: (u32, u32) = (2, 3);
/// Delay that batches reports: one datagram carries the reports of many requests.
const REPORT_BATCH_DELAY: Duration = Duration::from_millis(20);
/// Interval between two checks for unacknowledged reports and for expired loans.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

impl<S: RowStore> BudgetManager<S> {
    /// Waits until there are datagrams to send, and returns them.
    pub async fn outgoing(&self) -> Vec<Outgoing> {
        loop {
            let outbox_filled = self.peers.outbox_ready.notified();
            let outbox = self.peers.take_outbox();
            if !outbox.is_empty() {
                return outbox;
            }
            outbox_filled.await;
        }
    }

    fn send_message(&self, to: SocketAddr, message: Message) {
        self.peers.enqueue(to, Envelope::new(self.me.incarnation, message).encode());
    }

    /// Borrows `max_cost` tokens from another router. Returns the loan's number, or `None` if the
    /// router does not answer.
    pub(super) async fn borrow(
        &self,
        addr: SocketAddr,
        org: &str,
        max_cost: Tokens,
    ) -> Option<Result<u64, Shortfall>> {
        if self.peers.should_skip(addr, Instant::now()) {
            return None;
        }
        let prepaid = self.with_account(org, |a| a.prepaid())?;
        let (number, mut answer) = self.peers.register();
        self.peers.borrowed.borrow_mut().add_loan(number, addr, max_cost);
        let mut pending = PendingLoanRequest { manager: self, number, is_answered: false };
        let until = Instant::now() + self.settings.patience;
        let loan_request = Message::Ask(LoanRequest { number, org: org.into(), max_cost, prepaid });
        let mut retry_at = Instant::now();
        let answered = loop {
            self.send_message(addr, loan_request.clone());
            retry_at += LOAN_REQUEST_RETRY_AFTER;
            match timeout_at(retry_at.min(until), &mut answer).await {
                Ok(answer) => break answer.ok(),
                Err(_) if Instant::now() >= until => break None,
                Err(_) => (),
            }
        };
        let Some(answer) = answered else {
            self.peers.mark_unresponsive(addr, Instant::now());
            self.log.routine("borrow", format_args!("org={org} from={addr} outcome=no_answer"));
            return None;
        };
        pending.is_answered = true;
        let refused = match answer {
            Answer::Lent => return Some(Ok(number)),
            Answer::NoneHere(ms) => {
                Shortfall::NoneHere(ms.map(|ms| Duration::from_millis(ms.into())))
            }
            Answer::Spent => Shortfall::Spent,
        };
        self.peers.borrowed.borrow_mut().remove(number);
        Some(Err(refused))
    }

    pub(super) fn use_loan(&self, number: u64, actual: Tokens, proven: Tokens) {
        if self.peers.borrowed.borrow_mut().apply_use(number, actual, proven, Instant::now()) {
            self.peers.reports_due.notify_one();
        }
    }

    pub(super) fn end_loan(&self, number: u64, actual: Tokens, proven: Tokens) {
        self.peers.borrowed.borrow_mut().end(number, actual, proven, Instant::now());
        self.peers.reports_due.notify_one();
    }

    /// Reports the use of loans to their lenders and writes off expired loans. Runs forever.
    pub async fn report_loans(self: Rc<Self>) {
        loop {
            // Both a new report and a timeout are handled below.
            let _ = timeout(RECHECK_INTERVAL, self.peers.reports_due.notified()).await;
            sleep(REPORT_BATCH_DELAY).await;
            self.send_reports();
            self.send_reminders();
            self.write_off_expired_loans();
        }
    }

    fn send_reports(&self) {
        let due = self.peers.borrowed.borrow_mut().take_due(Instant::now());
        for lender_reports in due.chunk_by(|(a, _), (b, _)| a == b) {
            for uses in lender_reports.chunks(MAX_USES) {
                let (to, _) = uses[0];
                self.send_message(
                    to,
                    Message::Uses(uses.iter().map(|(_, loan_use)| *loan_use).collect()),
                );
            }
        }
    }

    fn send_reminders(&self) {
        let reminders = self.peers.lent.borrow_mut().take_reminders(Instant::now());
        for (borrower, number) in reminders {
            self.send_message(borrower, Message::Answer(number, Answer::Lent));
        }
    }

    fn write_off_expired_loans(&self) {
        let expired = self.peers.lent.borrow_mut().take_expired(Instant::now());
        for loan in expired {
            self.update_account(&loan.org, |a| a.write_off(loan.max_cost, loan.proven));
            let (borrower, number) = loan.id;
            self.log.note(
                "loan",
                format_args!(
                    "org={} borrower={borrower:x} number={number} most={} proven={} outcome=lost",
                    loan.org, loan.max_cost, loan.proven
                ),
            );
        }
    }

    /// Handles a datagram from another router.
    pub fn receive(self: &Rc<Self>, from: SocketAddr, bytes: &[u8]) {
        let envelope = match Envelope::decode(bytes) {
            Ok(envelope) => envelope,
            Err(e) => {
                let n = bytes.len();
                return self.log.note("peer", format_args!("from={from} bytes={n} error={e}"));
            }
        };
        self.peers.mark_responsive(from);
        let process = envelope.from;
        match envelope.message {
            Message::Ask(loan_request) => self.handle_loan_request(from, process, loan_request),
            Message::Answer(number, answer) => self.handle_answer(from, process, number, answer),
            Message::Uses(uses) => {
                let acknowledged =
                    uses.iter().filter_map(|loan_use| self.handle_use(process, loan_use)).collect();
                self.send_message(from, Message::Noted(acknowledged));
            }
            Message::Noted(numbers) => {
                let mut borrowed = self.peers.borrowed.borrow_mut();
                numbers.into_iter().for_each(|n| borrowed.acknowledge(n));
            }
        }
    }

    fn handle_loan_request(
        self: &Rc<Self>,
        from: SocketAddr,
        borrower: u64,
        loan_request: LoanRequest,
    ) {
        let id: LoanId = (borrower, loan_request.number);
        let answer = |answer| self.send_message(from, Message::Answer(loan_request.number, answer));
        if self.peers.lent.borrow().contains(id) {
            return answer(Answer::Lent);
        }
        let now = Instant::now();
        // A duplicate loan request must not reserve tokens a second time, because no borrower would
        // return them.
        let is_duplicate =
            |lent: &mut LentLoans| lent.is_waiting(id) || lent.ended_recently(id, now);
        if is_duplicate(&mut self.peers.lent.borrow_mut()) {
            return;
        }
        if self.lending_stopped.get() || self.stopped.get() {
            return answer(Answer::NoneHere(None));
        }
        let reserved = self.with_account(&loan_request.org, |a| {
            a.set_prepaid(loan_request.prepaid);
            a.reserve_tokens(loan_request.max_cost, now)
        });
        match reserved {
            None => answer(Answer::NoneHere(None)),
            Some(Ok(())) => {
                self.peers.lent.borrow_mut().add_loan(
                    id,
                    from,
                    &loan_request.org,
                    loan_request.max_cost,
                    now,
                );
                answer(Answer::Lent);
            }
            Some(Err(Denied::Spent)) => answer(Answer::Spent),
            Some(Err(Denied::NoneHere)) => {
                // A write to the store may still provide the tokens. Other loan requests are
                // handled in the meantime.
                self.peers.lent.borrow_mut().begin_wait(id);
                spawn_local(self.clone().lend_after_waiting(from, id, loan_request));
            }
        }
    }

    async fn lend_after_waiting(
        self: Rc<Self>,
        from: SocketAddr,
        id: LoanId,
        loan_request: LoanRequest,
    ) {
        let patience = self.settings.patience * LENDER_WAIT_RATIO.0 / LENDER_WAIT_RATIO.1;
        let lent = self.reserve_own(&loan_request.org, loan_request.max_cost, patience).await;
        let still_wanted = self.peers.lent.borrow_mut().end_wait(id);
        let answer = match lent {
            Ok(()) if !still_wanted => {
                let zero = Tokens(0);
                return self.update_account(&loan_request.org, |a| {
                    a.settle(loan_request.max_cost, zero, zero)
                });
            }
            Ok(()) => {
                let now = Instant::now();
                self.peers.lent.borrow_mut().add_loan(
                    id,
                    from,
                    &loan_request.org,
                    loan_request.max_cost,
                    now,
                );
                Answer::Lent
            }
            Err(Shortfall::Spent) => Answer::Spent,
            Err(Shortfall::NoneHere(available_in)) => {
                let ms = available_in.map(|r| u32::try_from(r.as_millis()).unwrap_or(u32::MAX));
                Answer::NoneHere(ms)
            }
        };
        self.send_message(from, Message::Answer(loan_request.number, answer));
    }

    fn handle_answer(&self, from: SocketAddr, process: u64, number: u64, answer: Answer) {
        if !self.peers.has_requested(number) {
            // The answer is for a predecessor, whose loans this process cannot report on.
            let outcome = "not_requested";
            return self.log.routine(
                "loan",
                format_args!("from={from} lender={process:x} number={number} outcome={outcome}"),
            );
        }
        // Recorded before the waiting request is notified: a duplicate of the answer may arrive
        // first and must find the loan in use.
        if answer == Answer::Lent && self.peers.is_pending(number) {
            self.peers.borrowed.borrow_mut().record_lender(number, process);
        }
        if self.peers.deliver_answer(number, answer) || answer != Answer::Lent {
            return;
        }
        // The answer is late, a duplicate or a reminder. A loan that is not in use is returned.
        let mut borrowed = self.peers.borrowed.borrow_mut();
        let zero = Tokens(0);
        let unused = LoanUse { number, lender: process, actual: zero, proven: zero, ended: true };
        let loan_use = if borrowed.is_unused(number, process) {
            Some(unused)
        } else {
            borrowed.running_use(number)
        };
        drop(borrowed);
        if let Some(loan_use) = loan_use {
            self.send_message(from, Message::Uses(vec![loan_use]));
        }
    }

    /// Applies a report on a loan. Returns the loan's number if the loan has ended.
    fn handle_use(&self, borrower: u64, loan_use: &LoanUse) -> Option<u64> {
        let ended = loan_use.ended.then_some(loan_use.number);
        if loan_use.lender != 0 && loan_use.lender != self.me.incarnation {
            // The loan is from an earlier process at this endpoint. It was closed with that
            // process's spending limit.
            return ended;
        }
        let loan_change =
            self.peers.lent.borrow_mut().apply_use(borrower, loan_use, Instant::now());
        match loan_change {
            Some(LoanChange::Proven(org, more)) => self.update_account(&org, |a| a.prove(more)),
            Some(LoanChange::Ended { org, max_cost, actual, proven }) => {
                self.update_account(&org, |a| a.settle(max_cost, actual, proven));
                self.changed.notify_waiters();
            }
            None => (),
        }
        ended
    }

    /// Waits until all loans given have been returned and the ends of all loans taken are
    /// acknowledged.
    pub async fn wait_for_loans(&self) {
        while !self.peers.lent.borrow().is_empty()
            || self.peers.borrowed.borrow().has_unacknowledged()
        {
            sleep(REPORT_BATCH_DELAY).await;
        }
    }
}

/// A loan request that waits for its answer. Dropping it cancels the loan request and reports that
/// nothing was spent of a loan that may have been given.
struct PendingLoanRequest<'a, S: RowStore> {
    manager: &'a BudgetManager<S>,
    number: u64,
    is_answered: bool,
}

impl<S: RowStore> Drop for PendingLoanRequest<'_, S> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.manager.peers.cancel_loan_request(self.number);
            self.manager.end_loan(self.number, Tokens(0), Tokens(0));
        }
    }
}
