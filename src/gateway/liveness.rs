//! Whether a target's process has ended, as connections to it tell.

use std::cell::Cell;
use std::io::ErrorKind;

use tokio::sync::Mutex;
use tokio::time::Instant;

use super::pool::dial;
use super::targets::Backend;

/// What is known of the life of a target's process.
#[derive(Debug, Default)]
pub struct Life {
    ended: Cell<bool>,
    /// When the latest attempt to connect began that succeeded; locked while there is one.
    reached: Mutex<Option<Instant>>,
}

impl Life {
    /// Notes why connecting failed: where nobody listens any more, the process has ended. A
    /// connection that is not answered says nothing, the link may be cut.
    pub fn unreached(&self, e: &std::io::Error) {
        if e.kind() == ErrorKind::ConnectionRefused {
            self.ended.set(true);
        }
    }

    /// It took a connection or answered: it lives, whatever it refused a moment ago. Targets also
    /// refuse connections beyond those that they can keep.
    pub fn lives(&self) {
        self.ended.set(false);
    }

    /// Whether the process is known to have ended.
    pub fn has_ended(&self) -> bool {
        self.ended.get()
    }
}

/// Finds out whether a target's process has ended, after an answer of it broke off. Answers also
/// break off when links are reset or an answer is lost; then the target still takes connections.
/// Requests that broke off together share one attempt.
pub async fn find_ended(backend: &Backend) -> bool {
    let asked = Instant::now();
    let life = &backend.life;
    let mut reached = life.reached.lock().await;
    if life.has_ended() {
        return true;
    }
    if reached.is_some_and(|began| began >= asked) {
        return false;
    }
    let began = Instant::now();
    match dial(backend.addr()).await {
        Ok(link) => {
            life.lives();
            *reached = Some(began);
            backend.pool.borrow_mut().put_new(link.conn);
        }
        Err(e) => life.unreached(&e),
    }
    life.has_ended()
}
