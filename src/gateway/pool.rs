//! Pool of idle connections to one target.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::{Instant, timeout};

use crate::http1::{Conn, ResponseHead, keep_alive_seconds};

/// How long bytes sent to a target may stay unacknowledged. A target that lost power never answers,
/// and idempotent requests must then be retried elsewhere while there is time. The limit is longer
/// than several retransmissions on a lossy link.
pub(super) const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long connecting may take. Within a region it takes a few ms. One lost packet costs a second,
/// which is too long to wait when other targets are available.
const TARGET_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Fraction of the target's stated idle timeout during which a connection is reused, so that no
/// request is sent while the target closes the connection.
const KEEP_ALIVE_FRACTION: f64 = 0.6;
/// Idle time after which a connection is not reused if the target states no timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Size of a body that is read only to use its connection again, and the time for it. A new
/// connection costs less than more of it.
const MAX_DISCARDED_BYTES: u64 = 64 * 1024;
const DISCARD_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of idle connections to one target; further ones are closed.
const MAX_IDLE_CONNS: usize = 16;

/// A connection to a target that can carry a request.
#[derive(Debug)]
pub struct TargetConn {
    /// The buffered connection.
    pub conn: Conn,
    /// Whether the connection has carried a request before.
    pub used: bool,
    /// The router that relays the connection; `None` if it is direct.
    pub via: Option<SocketAddr>,
    /// Until when the connection may be reused; `None` if it cannot carry another request.
    reuse_until: Option<Instant>,
}

impl TargetConn {
    /// A new connection that the router at `relay` relays.
    pub fn relayed(conn: Conn, relay: SocketAddr) -> TargetConn {
        TargetConn { via: Some(relay), ..TargetConn::direct(conn) }
    }

    fn direct(conn: Conn) -> TargetConn {
        let reuse_until = Some(Instant::now() + DEFAULT_KEEP_ALIVE);
        TargetConn { conn, used: false, via: None, reuse_until }
    }

    /// Reads and drops the body of an answer that is not forwarded, which may take `DISCARD_TIMEOUT`.
    /// The connection is reusable only if the answer allows it and its body is complete.
    pub async fn discard_body(&mut self, answer: &ResponseHead) {
        self.reuse_until = reuse_deadline(answer);
        if self.reuse_until.is_some() {
            let discarded = self.conn.discard_body(answer.body, MAX_DISCARDED_BYTES);
            if !matches!(timeout(DISCARD_TIMEOUT, discarded).await, Ok(Ok(()))) {
                self.reuse_until = None;
            }
        }
    }

    /// Returns the connection to the pool after the target proved that it did not run the request,
    /// or got none.
    pub fn return_to(mut self, pool: &mut Pool) {
        self.conn.end_request();
        if let Some(reuse_until) = self.reuse_until {
            pool.add_idle(self.conn, self.via, reuse_until);
        }
    }
}

/// Until when a connection may be reused after `answer`; `None` if the answer closes it.
fn reuse_deadline(answer: &ResponseHead) -> Option<Instant> {
    let stated = keep_alive_seconds(&answer.headers).map(Duration::from_secs);
    let keep_alive = stated
        .map_or(DEFAULT_KEEP_ALIVE, |s| s.mul_f64(KEEP_ALIVE_FRACTION).min(DEFAULT_KEEP_ALIVE));
    answer.keep_alive.then(|| Instant::now() + keep_alive)
}

#[derive(Debug)]
struct IdleConn {
    conn: Conn,
    via: Option<SocketAddr>,
    idle_since: Instant,
    reuse_until: Instant,
}

/// Idle connections, the most recently used one last.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Vec<IdleConn>,
}

impl Pool {
    /// Takes an idle connection that is still open and holds no unexpected bytes, after
    /// [`Pool::close_unusable`].
    pub fn take(
        &mut self,
        is_usable: impl Fn(Option<SocketAddr>, Instant) -> bool,
    ) -> Option<TargetConn> {
        self.close_unusable(is_usable);
        while let Some(mut idle) = self.idle.pop() {
            if idle.conn.is_reusable() {
                return Some(TargetConn {
                    conn: idle.conn,
                    used: true,
                    via: idle.via,
                    reuse_until: Some(idle.reuse_until),
                });
            }
        }
        None
    }

    /// Closes the idle connections that must not be used any more, given the relay and since when a
    /// connection is idle.
    pub fn close_unusable(&mut self, is_usable: impl Fn(Option<SocketAddr>, Instant) -> bool) {
        let now = Instant::now();
        self.idle.retain(|i| i.reuse_until > now && is_usable(i.via, i.idle_since));
    }

    /// Returns a connection after a complete answer, if that answer allows reuse.
    /// `via` is the router that relays the connection, if any.
    pub fn put(&mut self, mut conn: Conn, via: Option<SocketAddr>, answer: &ResponseHead) {
        conn.end_request();
        if let Some(reuse_until) = reuse_deadline(answer) {
            self.add_idle(conn, via, reuse_until);
        }
    }

    fn add_idle(&mut self, mut conn: Conn, via: Option<SocketAddr>, reuse_until: Instant) {
        if self.idle.len() < MAX_IDLE_CONNS && conn.is_reusable() {
            self.idle.push(IdleConn { conn, via, idle_since: Instant::now(), reuse_until });
        }
    }

    /// Closes all idle connections.
    pub fn clear(&mut self) {
        self.idle.clear();
    }
}

/// Opens a new connection.
///
/// # Errors
/// The error of connecting, or `TimedOut`. Nothing was sent then.
pub async fn dial(addr: SocketAddr) -> std::io::Result<TargetConn> {
    let conn = timeout(TARGET_CONNECT_TIMEOUT, Conn::dial(addr, UNACKED_TIMEOUT)).await??;
    Ok(TargetConn::direct(conn))
}
