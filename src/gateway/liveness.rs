//! Detects whether a target's process has ended, from the outcome of connection attempts.

use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

use super::connect::ConnectError;
use super::pool::{Pool, TargetConn};

/// How long a request whose answer broke off waits for the probe of its target before it is sent to
/// the next one. Connecting takes a few milliseconds; a retransmission after packet loss is not
/// waited for.
const PROBE_WAIT: Duration = Duration::from_millis(100);

/// What is known about the process of a target.
#[derive(Debug, Default)]
pub struct Liveness {
    ended: Cell<bool>,
    /// A connection attempt failed, and no connection has been used since.
    last_connect_failed: Cell<bool>,
    /// Start of the latest successful connection attempt. Locked while an attempt is in progress.
    last_connect: Mutex<Option<Instant>>,
}

impl Liveness {
    /// Records why connecting failed. A refused connection means that the process has ended. A
    /// connection attempt without an answer proves nothing, because the network may be partitioned.
    pub fn connect_failed(&self, e: &std::io::Error) {
        self.last_connect_failed.set(true);
        if e.kind() == ErrorKind::ConnectionRefused {
            self.ended.set(true);
        }
    }

    /// The target accepted a connection or answered, so its process is alive even if it refused a
    /// connection shortly before: targets also refuse connections above their own limit.
    pub fn mark_alive(&self) {
        self.ended.set(false);
    }

    /// A connection to the target is open. Returns whether the previous attempt had failed, in
    /// which case the process may have restarted since.
    pub fn connected(&self) -> bool {
        self.mark_alive();
        self.last_connect_failed.replace(false)
    }

    /// Whether the process is known to have ended.
    pub fn has_ended(&self) -> bool {
        self.ended.get()
    }

    /// Determines by a new connection, which `connect` opens, whether the process has ended, after
    /// one of its answers broke off. Answers also break off when connections are reset or an answer
    /// is lost; then the target still accepts connections. Requests that broke off together share
    /// one attempt.
    pub async fn probe_ended(
        &self,
        connect: impl Future<Output = Result<TargetConn, ConnectError>>,
        pool: &RefCell<Pool>,
    ) -> bool {
        let requested_at = Instant::now();
        let mut last_connect = self.last_connect.lock().await;
        if self.has_ended() {
            return true;
        }
        if last_connect.is_some_and(|began| began >= requested_at) {
            return false;
        }
        let began = Instant::now();
        if let Ok(target_conn) = connect.await {
            *last_connect = Some(began);
            target_conn.return_to(&mut pool.borrow_mut());
        }
        self.has_ended()
    }
}

/// Waits up to `PROBE_WAIT` for a probe of a target, so that a request which is now quarantined
/// is not sent to the next target.
pub async fn await_probe(probe: Option<JoinHandle<()>>) {
    if let Some(probe) = probe {
        // Without a result in time the target counts as alive. The probe continues and records the
        // crash later if the process has ended.
        let _ = timeout(PROBE_WAIT, probe).await;
    }
}
