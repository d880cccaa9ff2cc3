//! Tunnels: a router connects to a target through another router.
//!
//! A router that is partitioned from the targets asks another one with `CONNECT`, as specified in
//! RFC 9110, section 9.3.6. The request target is the digest of the target's id in hexadecimal, so
//! that a tunnel leads to known targets only. After status 200 the connection carries the bytes of
//! the target's connection. A relay always connects to the target itself, never through another
//! tunnel.
//!
//! An answer may end with its connection, so the relay has to say that the target has closed it: a
//! relay that dies closes the tunnel in order as well. A router asks with `Tunnel-Framing: chunked`
//! for the target's bytes in chunks, of which the last one says so, and a relay that frames them
//! repeats the header. Without it the end of the tunnel counts as a failure of the relay.
//!
//! | status | meaning |
//! | --- | --- |
//! | 200 | the connection to the target is open |
//! | 400, 404 | the request is malformed; the relay does not know the target |
//! | 502 | the target refused the connection |
//! | 503 | the relay is stopping, is partitioned itself, or has no free connections |
//! | 504 | the target did not answer the relay |

use std::cell::Cell;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, copy};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use super::backend::Backend;
use super::connect::{DirectError, connect_directly};
use super::front::CountGuard;
use super::pool::UNACKED_TIMEOUT;
use super::state::{Gateway, Phase, Platform};
use crate::http1::{
    BodyDecoder, Conn, LAST_CHUNK, RelayFraming, append_chunk, failure_of_write, header,
};
use crate::stats::ReasonLabel;

/// Time limit for opening a tunnel: the connection to the relay, and the relay's connection to the
/// target or its check whether it is partitioned itself.
const OPEN_TIMEOUT: Duration = Duration::from_millis(700);
/// Time limit for the head of a request to open a tunnel.
const HEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a head when a tunnel is opened.
const MAX_HEAD_BYTES: usize = 1_024;
/// How long a relay waits for a router to close a tunnel whose target has closed it.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Header with the framing of the target's bytes.
const FRAMING: &str = "Tunnel-Framing";
/// The only framing.
const CHUNKED: &str = "chunked";
/// The maximum number of a target's bytes in one chunk.
const CHUNK_BYTES: usize = 8 * 1024;
/// Number of connections that a tunnel occupies at its relay.
const CONNECTIONS_PER_TUNNEL: usize = 2;

/// Why no tunnel was opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TunnelError {
    /// The target refused the relay's connection.
    TargetRefused,
    /// The target did not answer the relay.
    TargetUnanswered,
    /// The relay did not answer, or cannot relay at the moment.
    RelayFailed,
}

/// Opens a tunnel through the router at `relay` to the target with this digest. The relay knows this
/// router by its address `from`.
///
/// # Errors
/// See [`TunnelError`]. Nothing was sent to the target.
pub async fn open(
    from: IpAddr,
    relay: SocketAddr,
    target_digest: u64,
) -> Result<Conn, TunnelError> {
    let opened = async {
        let mut conn = Conn::dial_from(from, relay, UNACKED_TIMEOUT).await.ok()?;
        let request = format!(
            "CONNECT {target_digest:016x} HTTP/1.1\r\nHost: {target_digest:016x}\r\n\
             {FRAMING}: {CHUNKED}\r\n\r\n"
        );
        conn.write(request.as_bytes()).await.ok()?;
        let head = conn.read_response(MAX_HEAD_BYTES).await.ok()?;
        let framing = match header(&head.headers, FRAMING) {
            Some(CHUNKED) => RelayFraming::Chunked(BodyDecoder::chunked()),
            _ => RelayFraming::Unmarked,
        };
        Some((conn.behind_relay(framing), head.status))
    };
    match timeout(OPEN_TIMEOUT, opened).await {
        Ok(Some((conn, 200))) => Ok(conn),
        Ok(Some((_, 502))) => Err(TunnelError::TargetRefused),
        Ok(Some((_, 504))) => Err(TunnelError::TargetUnanswered),
        Ok(_) | Err(_) => Err(TunnelError::RelayFailed),
    }
}

/// Accepts tunnels of other routers. Never returns.
pub async fn accept<P: Platform>(gw: Rc<Gateway<P>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((io, from)) if gw.peers.borrow().binary_search(&from.ip()).is_ok() => {
                spawn_local(serve(gw.clone(), io, from));
            }
            Ok((_, from)) => {
                gw.log.note("tunnel", format_args!("from={from} outcome=unknown_router"));
            }
            Err(e) => {
                gw.log.note("tunnel", format_args!("outcome=not_accepted error={e}"));
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Why a request for a tunnel is rejected, for the log, with the status of the response.
type Rejection = (u16, &'static str);

async fn serve<P: Platform>(gw: Rc<Gateway<P>>, io: TcpStream, from: SocketAddr) {
    let _counted = CountGuard::tunnel(&gw, CONNECTIONS_PER_TUNNEL);
    let began = Instant::now();
    let Ok(mut router) = Conn::new(io, UNACKED_TIMEOUT) else { return };
    let opened = match requested_target(&gw, &mut router).await {
        Ok((backend, is_framed)) => {
            open_target(&gw, &backend).await.map(|conn| (backend, conn, is_framed))
        }
        Err(rejection) => Err(rejection),
    };
    let outcome = opened.as_ref().err().map_or("opened", |(_, reason)| reason);
    gw.stats.tunnels_served.get_or_create(&ReasonLabel { reason: outcome }).inc();
    match opened {
        Ok((backend, target, is_framed)) => {
            let target_id = backend.id();
            let framing =
                if is_framed { format!("{FRAMING}: {CHUNKED}\r\n") } else { String::new() };
            let response = format!("HTTP/1.1 200 Connection Established\r\n{framing}\r\n");
            if router.write(response.as_bytes()).await.is_err() {
                return;
            }
            let ended = splice(router, target, is_framed).await;
            let ms = began.elapsed().as_millis();
            gw.log.routine(
                "tunnel",
                format_args!("from={from} target={target_id} outcome={ended} ms={ms}"),
            );
        }
        Err((status, reason)) => {
            gw.log.note("tunnel", format_args!("from={from} outcome={reason} status={status}"));
            let response = format!(
                "HTTP/1.1 {status} {reason}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            );
            // A router that has left needs no response.
            let _ = router.write(response.as_bytes()).await;
        }
    }
}

/// Reads which target a router wants to reach, and whether it wants the target's bytes in chunks.
async fn requested_target<P: Platform>(
    gw: &Gateway<P>,
    router: &mut Conn,
) -> Result<(Rc<Backend>, bool), Rejection> {
    let head = timeout(HEAD_TIMEOUT, router.read_request(MAX_HEAD_BYTES)).await;
    let Ok(Ok(head)) = head else { return Err((400, "malformed")) };
    if head.method != "CONNECT" {
        return Err((400, "malformed"));
    }
    let digest = u64::from_str_radix(&head.target, 16).map_err(|_| (400, "malformed"))?;
    if *gw.phase.borrow() == Phase::Finishing {
        return Err((503, "stopping"));
    }
    if gw.open_connections.get() > gw.settings.max_connections {
        return Err((503, "too_many"));
    }
    if gw.path.is_partitioned() {
        return Err((503, "partitioned"));
    }
    let is_framed = header(&head.headers, FRAMING) == Some(CHUNKED);
    let backend = gw.targets.by_digest(digest).ok_or((404, "unknown_target"))?;
    Ok((backend, is_framed))
}

async fn open_target<P: Platform>(
    gw: &Rc<Gateway<P>>,
    backend: &Backend,
) -> Result<Conn, Rejection> {
    match connect_directly(gw, backend).await {
        Ok(target_conn) => Ok(target_conn.conn),
        Err(DirectError::Partitioned) => Err((503, "partitioned")),
        Err(DirectError::Target(e) | DirectError::Nowhere(e)) => Err(match e.kind() {
            io::ErrorKind::ConnectionRefused => (502, "refused"),
            _ => (504, "unanswered"),
        }),
    }
}

/// Copies bytes in chunks until their end, without the last chunk.
async fn copy_chunks(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
) -> io::Result<()> {
    let (mut piece, mut chunk) = (vec![0; CHUNK_BYTES], Vec::new());
    loop {
        let n = from.read(&mut piece).await?;
        if n == 0 {
            return Ok(());
        }
        chunk.clear();
        append_chunk(&mut chunk, &piece[..n]);
        to.write_all(&chunk).await?;
    }
}

/// A side of a tunnel.
enum Side {
    Router,
    Target,
}

/// Copies a router's bytes to the target. Returns the target's error if writing fails; `None` once
/// the router has closed the tunnel.
///
/// # Errors
/// The error of reading from the router.
async fn copy_to_target(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
) -> io::Result<Option<io::Error>> {
    let mut piece = vec![0; CHUNK_BYTES];
    loop {
        let n = from.read(&mut piece).await?;
        if n == 0 {
            return Ok(None);
        }
        if let Err(e) = to.write_all(&piece[..n]).await {
            return Ok(Some(e));
        }
    }
}

/// Closes a tunnel and waits for the router to close it. The router's bytes are read to the end,
/// because a connection that is closed with unread bytes is reset, and the reset could overtake the
/// answer.
async fn close_after_answer(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
) {
    let closed = async {
        to.shutdown().await?;
        let mut unread = [0; 256];
        while from.read(&mut unread).await? > 0 {}
        io::Result::Ok(())
    };
    // The tunnel is closed in any case.
    let _ = timeout(CLOSE_TIMEOUT, closed).await;
}

/// Copies bytes in both directions until one side closes; the target's in chunks if `is_framed` is
/// set. Returns which side did.
async fn splice(mut router: Conn, mut target: Conn, is_framed: bool) -> &'static str {
    let (mut router_rd, mut router_wr, from_router) = router.split();
    let (mut target_rd, mut target_wr, from_target) = target.split();
    let target_failure = Cell::new(None);
    let closed_by = {
        let up = async {
            let mut router_rd = from_router.as_ref().chain(&mut router_rd);
            copy_to_target(&mut router_rd, &mut target_wr).await
        };
        let mut down = pin!(async {
            let mut target_rd = from_target.as_ref().chain(&mut target_rd);
            if is_framed {
                copy_chunks(&mut target_rd, &mut router_wr).await?;
            } else {
                copy(&mut target_rd, &mut router_wr).await?;
            }
            if let Some(failure) = target_failure.get() {
                return Err(io::Error::from(failure));
            }
            if is_framed {
                router_wr.write_all(LAST_CHUNK).await?;
            }
            Ok(())
        });
        tokio::select! {
            up = up => match up {
                Ok(None) => Ok(Side::Router),
                Err(e) => Err(e),
                // The target may have answered before. What it sent can still be read.
                Ok(Some(e)) => {
                    target_failure.set(failure_of_write(&e));
                    down.await.map(|()| Side::Target)
                }
            },
            down = &mut down => down.map(|()| Side::Target),
        }
    };
    if !matches!(closed_by, Ok(Side::Target)) {
        // The request is cancelled: closing the target's connection stops its work. Its bytes may
        // still be held up between this router and the target.
        target.set_reset_on_close(true);
    }
    drop(target);
    match closed_by {
        Ok(Side::Router) => "router_closed",
        Err(_) if !is_framed => {
            // An answer that is delimited by the end of its connection must not look complete.
            router.set_reset_on_close(true);
            "reset"
        }
        // A failure shows in the missing last chunk.
        Ok(Side::Target) | Err(_) => {
            close_after_answer(&mut router_rd, &mut router_wr).await;
            if closed_by.is_ok() { "target_closed" } else { "reset" }
        }
    }
}
