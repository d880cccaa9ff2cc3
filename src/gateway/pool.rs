//! Kept connections to one target.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::{Instant, timeout};

use crate::http1::{Conn, ResponseHead, keep_alive_seconds};

/// How long bytes sent to a target may stay unacknowledged. A target without power never
/// answers; idempotent work must then go elsewhere while there is time. Longer than several
/// retransmissions on a link that loses packets.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long connecting may take. Within a region it takes a few ms; one lost packet costs a
/// second, which is too long to wait for when other targets are there.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Part of a stated idle timeout that is used, so that a request does not cross the close.
const KEEP_ALIVE_FRACTION: f64 = 0.6;
/// Idle time after which a connection is not used again when the target states none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Kept connections to one target, at most; the rest are closed.
const MAX_IDLE_CONNS: usize = 16;

/// A connection that can take a request.
#[derive(Debug)]
pub struct TargetConn {
    /// The connection.
    pub conn: Conn,
    /// Whether it has carried a request before.
    pub used: bool,
    /// Until when it may be kept; absent once it can carry no other request.
    reuse_until: Option<Instant>,
}

impl TargetConn {
    /// Skips the body of an answer that is not handed on. The connection is used again only if the
    /// answer allows it and its body is whole.
    pub async fn discard_body(&mut self, answer: ResponseHead) {
        self.reuse_until = reuse_deadline(&answer);
        let mut body = answer.body;
        while self.reuse_until.is_some() {
            match self.conn.read_piece(&mut body).await {
                Ok(Some(_)) => (),
                Ok(None) => return,
                Err(_) => self.reuse_until = None,
            }
        }
    }

    /// Keeps the connection, on which the target has proved that it did not run a request, or got
    /// none.
    pub fn return_to(self, pool: &mut Pool) {
        if let Some(reuse_until) = self.reuse_until {
            pool.add_idle(self.conn, reuse_until);
        }
    }
}

/// Until when a connection may be kept after an answer; none if the answer was its last.
fn reuse_deadline(answer: &ResponseHead) -> Option<Instant> {
    let stated = keep_alive_seconds(&answer.headers).map(Duration::from_secs);
    let keep_alive = stated
        .map_or(DEFAULT_KEEP_ALIVE, |s| s.mul_f64(KEEP_ALIVE_FRACTION).min(DEFAULT_KEEP_ALIVE));
    answer.keep_alive.then(|| Instant::now() + keep_alive)
}

#[derive(Debug)]
struct IdleConn {
    conn: Conn,
    reuse_until: Instant,
}

/// Kept connections, the one used last at the end.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Vec<IdleConn>,
}

impl Pool {
    /// A kept connection that is surely open and holds no stray bytes.
    pub fn take(&mut self) -> Option<TargetConn> {
        let now = Instant::now();
        self.idle.retain(|i| i.reuse_until > now);
        while let Some(mut idle) = self.idle.pop() {
            if idle.conn.is_reusable() {
                return Some(TargetConn {
                    conn: idle.conn,
                    used: true,
                    reuse_until: Some(idle.reuse_until),
                });
            }
        }
        None
    }

    /// Keeps a connection whose last answer was whole, if that answer allows it.
    pub fn put(&mut self, conn: Conn, answer: &ResponseHead) {
        if let Some(reuse_until) = reuse_deadline(answer) {
            self.add_idle(conn, reuse_until);
        }
    }

    fn add_idle(&mut self, mut conn: Conn, reuse_until: Instant) {
        if self.idle.len() < MAX_IDLE_CONNS && conn.is_reusable() {
            self.idle.push(IdleConn { conn, reuse_until });
        }
    }

    /// Closes all kept connections.
    pub fn clear(&mut self) {
        self.idle.clear();
    }
}

/// A new connection.
///
/// # Errors
/// Those of connecting; nothing was sent.
pub async fn dial(addr: SocketAddr) -> std::io::Result<TargetConn> {
    let conn = timeout(CONNECT_TIMEOUT, Conn::dial(addr, UNACKED_TIMEOUT)).await??;
    Ok(TargetConn { conn, used: false, reuse_until: Some(Instant::now() + DEFAULT_KEEP_ALIVE) })
}
