//! Whether a target's process has ended, as connections to it tell.

use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

use super::pool::{Pool, dial};

/// How long a request that broke off waits for the answer whether its target has ended, before it
/// goes to the next one. Connecting takes a few ms; a lost packet is not waited for.
const EVIDENCE_WAIT: Duration = Duration::from_millis(100);

/// What is known of the life of a target's process.
#[derive(Debug, Default)]
pub struct Life {
    ended: Cell<bool>,
    /// It could not be reached, and no connection to it was used since.
    lost: Cell<bool>,
    /// When the latest attempt to connect began that succeeded; locked while there is one.
    reached: Mutex<Option<Instant>>,
}

impl Life {
    /// Notes why connecting failed: where nobody listens any more, the process has ended. A
    /// connection that is not answered says nothing, the link may be cut.
    pub fn unreached(&self, e: &std::io::Error) {
        self.lost.set(true);
        if e.kind() == ErrorKind::ConnectionRefused {
            self.ended.set(true);
        }
    }

    /// It took a connection or answered: it lives, whatever it refused a moment ago. Targets also
    /// refuse connections beyond those that they can keep.
    pub fn lives(&self) {
        self.ended.set(false);
    }

    /// A connection to it is there. Returns whether it could not be reached before: the process may
    /// have started anew meanwhile.
    pub fn reached(&self) -> bool {
        self.lives();
        self.lost.replace(false)
    }

    /// Whether the process is known to have ended.
    pub fn has_ended(&self) -> bool {
        self.ended.get()
    }

    /// Finds out whether the process has ended, after an answer of it broke off. Answers also
    /// break off when links are reset or an answer is lost; then the target still takes
    /// connections. Requests that broke off together share one attempt.
    pub async fn find_ended(&self, addr: SocketAddr, pool: &RefCell<Pool>) -> bool {
        let asked = Instant::now();
        let mut reached = self.reached.lock().await;
        if self.has_ended() {
            return true;
        }
        if reached.is_some_and(|began| began >= asked) {
            return false;
        }
        let began = Instant::now();
        match dial(addr).await {
            Ok(link) => {
                self.lives();
                *reached = Some(began);
                link.return_to(&mut pool.borrow_mut());
            }
            Err(e) => self.unreached(&e),
        }
        self.has_ended()
    }
}

/// Waits a moment for what an attempt to find out whether a target has ended brings: the next
/// target must not get a request that has ended enough of them.
pub async fn await_evidence(found: Option<JoinHandle<()>>) {
    if let Some(found) = found {
        // Without an answer in time the target counts as living, and is noted later if it has ended.
        let _ = timeout(EVIDENCE_WAIT, found).await;
    }
}
