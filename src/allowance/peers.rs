//! What a router knows of the others that it lends to and borrows from, and what it has to say
//! to them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use super::loans::{BorrowedLoans, LentLoans};
use super::wire::Answer;

/// How long a router that did not answer is passed over. Then one request tries it again.
const SKIP_FOR: Duration = Duration::from_millis(500);

/// A datagram to be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outgoing {
    /// To whom.
    pub to: SocketAddr,
    /// What.
    pub bytes: Vec<u8>,
}

/// The number of an ask that waits for its answer, and where that goes.
type Waiter = (u64, oneshot::Sender<Answer>);

/// State of lending and borrowing.
#[derive(Debug, Default)]
pub(super) struct Peers {
    /// What this router has lent.
    pub(super) lent: RefCell<LentLoans>,
    /// What it has borrowed.
    pub(super) borrowed: RefCell<BorrowedLoans>,
    /// The number of the latest ask.
    last_number: Cell<u64>,
    pending_asks: RefCell<Vec<Waiter>>,
    /// Routers that did not answer of late, and until when they are passed over.
    unresponsive: RefCell<Vec<(SocketAddr, Instant)>>,
    outbox: RefCell<Vec<Outgoing>>,
    /// Fires when there is something to send.
    pub(super) outbox_ready: Notify,
    /// Fires when a lender should be told of a loan.
    pub(super) reports_due: Notify,
}

impl Peers {
    /// A number for an ask, and where its answer will arrive.
    pub(super) fn register(&self) -> (u64, oneshot::Receiver<Answer>) {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let (tx, rx) = oneshot::channel();
        self.pending_asks.borrow_mut().push((number, tx));
        (number, rx)
    }

    /// Whether somebody waits for the answer to an ask.
    pub(super) fn is_pending(&self, number: u64) -> bool {
        self.pending_asks.borrow().iter().any(|(n, tx)| *n == number && !tx.is_closed())
    }

    /// An answer has arrived. False if nobody waits for it (any more).
    pub(super) fn deliver_answer(&self, number: u64, answer: Answer) -> bool {
        let mut pending_asks = self.pending_asks.borrow_mut();
        let Some(i) = pending_asks.iter().position(|(n, _)| *n == number) else { return false };
        let (_, tx) = pending_asks.swap_remove(i);
        tx.send(answer).is_ok()
    }

    /// Nobody waits for the answer any more.
    pub(super) fn cancel_ask(&self, number: u64) {
        self.pending_asks.borrow_mut().retain(|(n, _)| *n != number);
    }

    /// Whether to pass a router over. Once its time is over one request tries it, and the others
    /// go on passing it over until it has answered.
    pub(super) fn should_skip(&self, addr: SocketAddr, now: Instant) -> bool {
        let mut unresponsive = self.unresponsive.borrow_mut();
        let Some(entry) = unresponsive.iter_mut().find(|(a, _)| *a == addr) else { return false };
        if now < entry.1 {
            return true;
        }
        entry.1 = now + SKIP_FOR;
        false
    }

    /// A router did not answer.
    pub(super) fn mark_unresponsive(&self, addr: SocketAddr, now: Instant) {
        let mut unresponsive = self.unresponsive.borrow_mut();
        unresponsive.retain(|(a, _)| *a != addr);
        unresponsive.push((addr, now + SKIP_FOR));
    }

    /// A router said something.
    pub(super) fn mark_responsive(&self, addr: SocketAddr) {
        self.unresponsive.borrow_mut().retain(|(a, _)| *a != addr);
    }

    /// Puts a datagram into the outbox.
    pub(super) fn enqueue(&self, to: SocketAddr, bytes: Vec<u8>) {
        self.outbox.borrow_mut().push(Outgoing { to, bytes });
        self.outbox_ready.notify_one();
    }

    /// What is to be sent now.
    pub(super) fn take_outbox(&self) -> Vec<Outgoing> {
        self.outbox.take()
    }
}
