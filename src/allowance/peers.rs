//! A router's state of lending to and borrowing from other routers, and its outgoing messages.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use super::loans::{BorrowedLoans, LentLoans};
use super::wire::Answer;
use crate::ids::Digest;

/// How long a router that did not answer is skipped. After that one request tries it again.
const SKIP_FOR: Duration = Duration::from_millis(500);

/// A datagram to be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outgoing {
    /// Destination address.
    pub to: SocketAddr,
    /// Encoded message.
    pub bytes: Vec<u8>,
}

/// The number of a pending loan request, and the channel for its answer.
type Waiter = (u64, oneshot::Sender<Answer>);

/// State of lending and borrowing.
#[derive(Debug, Default)]
pub(super) struct Peers {
    /// Loans that this router has given.
    pub(super) lent: RefCell<LentLoans>,
    /// Loans that this router has taken.
    pub(super) borrowed: RefCell<BorrowedLoans>,
    /// Numbers before the first and of the latest loan request of this process.
    base_number: u64,
    last_number: Cell<u64>,
    pending_loans: RefCell<Vec<Waiter>>,
    /// Routers that did not answer recently, and until when they are skipped.
    unresponsive: RefCell<Vec<(SocketAddr, Instant)>>,
    outbox: RefCell<Vec<Outgoing>>,
    /// Notified when there are datagrams to send.
    pub(super) outbox_ready: Notify,
    /// Notified when a report to a lender is due.
    pub(super) reports_due: Notify,
}

impl Peers {
    /// State of the process `incarnation`.
    ///
    /// Lenders answer to an endpoint, where a successor may receive what was meant for its
    /// predecessor. Each process therefore numbers its loan requests from another value. The top
    /// bit is left free, so that the numbers do not overflow.
    pub(super) fn new(incarnation: u64) -> Peers {
        let base_number = Digest::of(&incarnation.to_be_bytes()).first_u64() >> 1;
        Peers { base_number, last_number: Cell::new(base_number), ..Peers::default() }
    }

    /// Whether this process has made the loan request `number`.
    pub(super) fn has_requested(&self, number: u64) -> bool {
        number > self.base_number && number <= self.last_number.get()
    }

    /// Allocates the number of a loan request and the channel on which its answer will arrive.
    pub(super) fn register(&self) -> (u64, oneshot::Receiver<Answer>) {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let (tx, rx) = oneshot::channel();
        self.pending_loans.borrow_mut().push((number, tx));
        (number, rx)
    }

    /// Whether a request still waits for the answer to a loan request.
    pub(super) fn is_pending(&self, number: u64) -> bool {
        self.pending_loans.borrow().iter().any(|(n, tx)| *n == number && !tx.is_closed())
    }

    /// Passes an answer to the request that waits for it. Returns false if none does (any more).
    pub(super) fn deliver_answer(&self, number: u64, answer: Answer) -> bool {
        let mut pending_loans = self.pending_loans.borrow_mut();
        let Some(i) = pending_loans.iter().position(|(n, _)| *n == number) else { return false };
        let (_, tx) = pending_loans.swap_remove(i);
        tx.send(answer).is_ok()
    }

    /// Removes a pending loan request.
    pub(super) fn cancel_loan_request(&self, number: u64) {
        self.pending_loans.borrow_mut().retain(|(n, _)| *n != number);
    }

    /// Whether to skip a router. Once its time is up one request tries the router, and the others
    /// keep skipping it until it has answered.
    pub(super) fn should_skip(&self, addr: SocketAddr, now: Instant) -> bool {
        let mut unresponsive = self.unresponsive.borrow_mut();
        let Some(entry) = unresponsive.iter_mut().find(|(a, _)| *a == addr) else { return false };
        if now < entry.1 {
            return true;
        }
        entry.1 = now + SKIP_FOR;
        false
    }

    /// Records that a router did not answer.
    pub(super) fn mark_unresponsive(&self, addr: SocketAddr, now: Instant) {
        let mut unresponsive = self.unresponsive.borrow_mut();
        unresponsive.retain(|(a, _)| *a != addr);
        unresponsive.push((addr, now + SKIP_FOR));
    }

    /// Records that a message from a router has arrived.
    pub(super) fn mark_responsive(&self, addr: SocketAddr) {
        self.unresponsive.borrow_mut().retain(|(a, _)| *a != addr);
    }

    /// Adds a datagram to the outbox.
    pub(super) fn enqueue(&self, to: SocketAddr, bytes: Vec<u8>) {
        self.outbox.borrow_mut().push(Outgoing { to, bytes });
        self.outbox_ready.notify_one();
    }

    /// Removes and returns the datagrams to send now.
    pub(super) fn take_outbox(&self) -> Vec<Outgoing> {
        self.outbox.take()
    }
}
