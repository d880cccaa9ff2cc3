//! Lending between routers: asks, answers, and what became of loans.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::account::Denied;
use super::loans::{Lent, LoanId, Settled};
use super::manager::{BudgetManager, Shortfall};
use super::peers::Outgoing;
use super::wire::{Answer, Ask, Envelope, MAX_USES, Message, Use};
use crate::ids::Tokens;
use crate::rows::RowStore;

/// An ask that is not answered after so long is sent once more: datagrams are lost now and then.
/// An answer takes 2 ms, or 20 ms if the lender has to write both of its rows for it.
const ASK_AGAIN: Duration = Duration::from_millis(22);
/// Part of a borrower's patience for which its lender waits for the store: one that answers too
/// late counts as silent and is passed over.
const LENDERS_PATIENCE: (u32, u32) = (2, 3);
/// Time for news of loans to gather: one datagram carries those of many requests.
const GATHER: Duration = Duration::from_millis(20);
/// Pause between two looks at what lenders have not acknowledged, and at loans that are lost.
const LOOK: Duration = Duration::from_millis(250);

impl<S: RowStore> BudgetManager<S> {
    /// Waits until there are datagrams to send.
    pub async fn outgoing(&self) -> Vec<Outgoing> {
        loop {
            let some = self.peers.mail.notified();
            let outbox = self.peers.take_outbox();
            if !outbox.is_empty() {
                return outbox;
            }
            some.await;
        }
    }

    fn say(&self, to: SocketAddr, message: Message) {
        self.peers.send(to, Envelope::new(self.me.incarnation, message).encode());
    }

    /// Borrows `most` from another router. None if that one does not answer.
    pub(super) async fn borrow(
        &self,
        addr: SocketAddr,
        org: &str,
        max_cost: Tokens,
    ) -> Option<Result<u64, Shortfall>> {
        if self.peers.passes_over(addr, Instant::now()) {
            return None;
        }
        let prepaid = self.with_account(org, |a| a.prepaid())?;
        let (number, mut answer) = self.peers.register();
        self.peers.debts.borrow_mut().ask(number, addr, max_cost);
        let mut asked = Pending { keeper: self, number, over: false };
        let until = Instant::now() + self.settings.patience;
        let ask = Message::Ask(Ask { number, org: org.into(), max_cost, prepaid });
        let mut again = Instant::now();
        let answered = loop {
            self.say(addr, ask.clone());
            again += ASK_AGAIN;
            match timeout_at(again.min(until), &mut answer).await {
                Ok(answer) => break answer.ok(),
                Err(_) if Instant::now() >= until => break None,
                Err(_) => (),
            }
        };
        let Some(answer) = answered else {
            self.peers.fell_silent(addr, Instant::now());
            self.log.routine("borrow", format_args!("org={org} from={addr} outcome=no_answer"));
            return None;
        };
        asked.over = true;
        let refused = match answer {
            Answer::Lent => return Some(Ok(number)),
            Answer::NoneHere(ms) => {
                Shortfall::NoneHere(ms.map(|ms| Duration::from_millis(ms.into())))
            }
            Answer::Spent => Shortfall::Spent,
        };
        self.peers.debts.borrow_mut().denied(number);
        Some(Err(refused))
    }

    pub(super) fn use_loan(&self, number: u64, actual: Tokens, proven: Tokens) {
        if self.peers.debts.borrow_mut().used(number, actual, proven, Instant::now()) {
            self.peers.news.notify_one();
        }
    }

    pub(super) fn end_loan(&self, number: u64, actual: Tokens, proven: Tokens) {
        self.peers.debts.borrow_mut().end(number, actual, proven, Instant::now());
        self.peers.news.notify_one();
    }

    /// Tells lenders what became of their loans, and gives up on loans of which nobody tells, for
    /// ever.
    pub async fn report_loans(self: Rc<Self>) {
        loop {
            // Either there is news or it is time to look at what was not acknowledged.
            let _ = timeout(LOOK, self.peers.news.notified()).await;
            sleep(GATHER).await;
            self.tell_now();
            self.remind();
            self.lose_loans();
        }
    }

    fn tell_now(&self) {
        let due = self.peers.debts.borrow_mut().due(Instant::now());
        for to_one in due.chunk_by(|(a, _), (b, _)| a == b) {
            for uses in to_one.chunks(MAX_USES) {
                let (to, _) = uses[0];
                self.say(to, Message::Uses(uses.iter().map(|(_, u)| *u).collect()));
            }
        }
    }

    fn remind(&self) {
        let forgotten = self.peers.lent.borrow_mut().forgotten(Instant::now());
        for (borrower, number) in forgotten {
            self.say(borrower, Message::Answer(number, Answer::Lent));
        }
    }

    fn lose_loans(&self) {
        let lost = self.peers.lent.borrow_mut().lost(Instant::now());
        for loan in lost {
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

    /// Takes in a datagram of another router.
    pub fn receive(self: &Rc<Self>, from: SocketAddr, bytes: &[u8]) {
        let envelope = match Envelope::decode(bytes) {
            Ok(envelope) => envelope,
            Err(e) => {
                let n = bytes.len();
                return self.log.note("peer", format_args!("from={from} bytes={n} error={e}"));
            }
        };
        self.peers.spoke(from);
        let process = envelope.from;
        match envelope.message {
            Message::Ask(ask) => self.asked(from, process, ask),
            Message::Answer(number, answer) => self.answered(from, process, number, answer),
            Message::Uses(uses) => {
                let noted = uses.iter().filter_map(|u| self.told(process, u)).collect();
                self.say(from, Message::Noted(noted));
            }
            Message::Noted(numbers) => {
                let mut debts = self.peers.debts.borrow_mut();
                numbers.into_iter().for_each(|n| debts.noted(n));
            }
        }
    }

    fn asked(self: &Rc<Self>, from: SocketAddr, borrower: u64, ask: Ask) {
        let id: LoanId = (borrower, ask.number);
        let answer = |answer| self.say(from, Message::Answer(ask.number, answer));
        if self.peers.lent.borrow().has(id) {
            return answer(Answer::Lent);
        }
        let now = Instant::now();
        // The same message came twice. Taken up again, it would take a second part, which nobody
        // gives back.
        let known = |lent: &mut Lent| lent.is_waiting(id) || lent.has_ended(id, now);
        if known(&mut self.peers.lent.borrow_mut()) {
            return;
        }
        if self.lending_stopped.get() || self.stopped.get() {
            return answer(Answer::NoneHere(None));
        }
        let taken = self.with_account(&ask.org, |a| {
            a.set_prepaid(ask.prepaid);
            a.reserve_tokens(ask.max_cost, now)
        });
        match taken {
            None => answer(Answer::NoneHere(None)),
            Some(Ok(())) => {
                self.peers.lent.borrow_mut().lend(id, from, &ask.org, ask.max_cost, now);
                answer(Answer::Lent);
            }
            Some(Err(Denied::Spent)) => answer(Answer::Spent),
            Some(Err(Denied::NoneHere)) => {
                // The store may have a part; meanwhile other asks go on.
                self.peers.lent.borrow_mut().wait(id);
                spawn_local(self.clone().lend_later(from, id, ask));
            }
        }
    }

    async fn lend_later(self: Rc<Self>, from: SocketAddr, id: LoanId, ask: Ask) {
        let patience = self.settings.patience * LENDERS_PATIENCE.0 / LENDERS_PATIENCE.1;
        let lent = self.reserve_own(&ask.org, ask.max_cost, patience).await;
        let wanted = self.peers.lent.borrow_mut().end_wait(id);
        let answer = match lent {
            Ok(()) if !wanted => {
                let zero = Tokens(0);
                return self.update_account(&ask.org, |a| a.settle(ask.max_cost, zero, zero));
            }
            Ok(()) => {
                let now = Instant::now();
                self.peers.lent.borrow_mut().lend(id, from, &ask.org, ask.max_cost, now);
                Answer::Lent
            }
            Err(Shortfall::Spent) => Answer::Spent,
            Err(Shortfall::NoneHere(available_in)) => {
                let ms = available_in.map(|r| u32::try_from(r.as_millis()).unwrap_or(u32::MAX));
                Answer::NoneHere(ms)
            }
        };
        self.say(from, Message::Answer(ask.number, answer));
    }

    fn answered(&self, from: SocketAddr, process: u64, number: u64, answer: Answer) {
        // Noted before the request that waits hears of it: the same message may come once more
        // before that, and must find that the loan is in use.
        if answer == Answer::Lent && self.peers.is_asking(number) {
            self.peers.debts.borrow_mut().granted(number, process);
        }
        if self.peers.answered(number, answer) || answer != Answer::Lent {
            return;
        }
        // It came too late, or twice, or is a reminder. What is not in use is given back.
        let mut debts = self.peers.debts.borrow_mut();
        let zero = Tokens(0);
        let unused = Use { number, lender: process, actual: zero, proven: zero, ended: true };
        let u = if debts.is_unused(number, process) { Some(unused) } else { debts.in_use(number) };
        drop(debts);
        if let Some(u) = u {
            self.say(from, Message::Uses(vec![u]));
        }
    }

    /// Takes in how a loan is used. Returns its number if it has ended.
    fn told(&self, borrower: u64, u: &Use) -> Option<u64> {
        let ended = u.ended.then_some(u.number);
        if u.lender != 0 && u.lender != self.me.incarnation {
            // A process before this one had lent it. What it lent was closed with its line.
            return ended;
        }
        let settled = self.peers.lent.borrow_mut().used(borrower, u, Instant::now());
        match settled {
            Some(Settled::Proved(org, more)) => self.update_account(&org, |a| a.prove(more)),
            Some(Settled::Ended { org, max_cost, actual, proven }) => {
                self.update_account(&org, |a| a.settle(max_cost, actual, proven));
                self.changed.notify_waiters();
            }
            None => (),
        }
        ended
    }

    /// Waits until all that was lent has come back and all lenders know what this router owes.
    pub async fn wait_for_loans(&self) {
        while !self.peers.lent.borrow().is_empty() || self.peers.debts.borrow().is_owing() {
            sleep(GATHER).await;
        }
    }
}

/// An ask whose answer is waited for. Given up, it is taken back: what may have been lent on it
/// is not used.
struct Pending<'a, S: RowStore> {
    keeper: &'a BudgetManager<S>,
    number: u64,
    over: bool,
}

impl<S: RowStore> Drop for Pending<'_, S> {
    fn drop(&mut self) {
        if !self.over {
            self.keeper.peers.forget(self.number);
            self.keeper.end_loan(self.number, Tokens(0), Tokens(0));
        }
    }
}
