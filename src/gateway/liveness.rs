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
const PROBE_WAIT: Duration = Duration::from_millis(100);

/// What is known of the life of a target's process.
#[derive(Debug, Default)]
pub struct Liveness {
    ended: Cell<bool>,
    /// It could not be reached, and no connection to it was used since.
    last_connect_failed: Cell<bool>,
    /// When the latest attempt to connect began that succeeded; locked while there is one.
    last_connect: Mutex<Option<Instant>>,
}

impl Liveness {
    /// Notes why connecting failed: where nobody listens any more, the process has ended. A
    /// connection that is not answered says nothing, the link may be cut.
    pub fn connect_failed(&self, e: &std::io::Error) {
        self.last_connect_failed.set(true);
        if e.kind() == ErrorKind::ConnectionRefused {
            self.ended.set(true);
        }
    }

    /// It took a connection or answered: it lives, whatever it refused a moment ago. Targets also
    /// refuse connections beyond those that they can keep.
    pub fn mark_alive(&self) {
        self.ended.set(false);
    }

    /// A connection to it is there. Returns whether it could not be reached before: the process may
    /// have started anew meanwhile.
    pub fn connected(&self) -> bool {
        self.mark_alive();
        self.last_connect_failed.replace(false)
    }

    /// Whether the process is known to have ended.
    pub fn has_ended(&self) -> bool {
        self.ended.get()
    }

    /// Finds out whether the process has ended, after an answer of it broke off. Answers also
    /// break off when links are reset or an answer is lost; then the target still takes
    /// connections. Requests that broke off together share one attempt.
    pub async fn probe_ended(&self, addr: SocketAddr, pool: &RefCell<Pool>) -> bool {
        let requested_at = Instant::now();
        let mut last_connect = self.last_connect.lock().await;
        if self.has_ended() {
            return true;
        }
        if last_connect.is_some_and(|began| began >= requested_at) {
            return false;
        }
        let began = Instant::now();
        match dial(addr).await {
            Ok(link) => {
                self.mark_alive();
                *last_connect = Some(began);
                link.put_back(&mut pool.borrow_mut());
            }
            Err(e) => self.connect_failed(&e),
        }
        self.has_ended()
    }
}

/// Waits a moment for what an attempt to find out whether a target has ended brings: the next
/// target must not get a request that has ended enough of them.
pub async fn await_probe(probe: Option<JoinHandle<()>>) {
    if let Some(probe) = probe {
        // Without an answer in time the target counts as living, and is noted later if it has ended.
        let _ = timeout(PROBE_WAIT, probe).await;
    }
}
