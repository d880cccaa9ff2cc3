//! Connects to targets: directly, or through other routers while this one is partitioned.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::select_ok;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use super::backend::Backend;
use super::path::{Prefer, Verdict};
use super::pool::{TargetConn, dial};
use super::state::{Gateway, Platform};
use super::stats::{connect_outcome, count_connect};
use super::tunnel::{self, TunnelError};
use crate::stats::ReasonLabel;

/// Number of targets to which a check connects.
const CHECKED_TARGETS: usize = 4;
/// How long a check waits for a connection of this router before it asks other routers as well.
const RELAYED_CHECK_DELAY: Duration = Duration::from_millis(50);
/// How long a check waits for a connection that another router relays. If the target can be reached
/// it takes a few milliseconds.
const RELAYED_CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of routers through which a check connects.
const CHECKED_RELAYS: usize = 2;
/// Number of relays in this router's zone, and in other zones, that are tried for one connection.
/// The whole zone may be partitioned without all of its routers knowing it yet.
const MAX_RELAYS: [(usize, Prefer); 2] = [(1, Prefer::SameZone), (2, Prefer::OtherZones)];
/// Interval between two attempts of a partitioned router to connect directly.
pub const RETURN_PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Why no connection to a target was opened. No byte of a request was sent.
#[derive(Debug)]
pub enum ConnectError {
    /// The target refused the connection or did not answer.
    Target(io::Error),
    /// Neither this router nor others that it asked reach this target or any other.
    Nowhere(io::Error),
    /// This router is partitioned, and no other router could relay the connection.
    NoPath,
}

/// Connects to a target, through another router in an allowed zone if this one is partitioned from
/// the targets.
///
/// # Errors
/// See [`ConnectError`].
pub async fn connect<P: Platform>(
    gw: &Rc<Gateway<P>>,
    backend: &Backend,
    allows_zone: impl Fn(&str) -> bool,
) -> Result<TargetConn, ConnectError> {
    if !gw.path.is_partitioned() {
        match connect_directly(gw, backend).await {
            Ok(target_conn) => return Ok(target_conn),
            Err(DirectError::Target(e)) => return Err(ConnectError::Target(e)),
            Err(DirectError::Nowhere(e)) => return Err(ConnectError::Nowhere(e)),
            Err(DirectError::Partitioned) => (),
        }
    }
    connect_relayed(gw, backend, allows_zone).await
}

/// Why no direct connection to a target was opened.
#[derive(Debug)]
pub(super) enum DirectError {
    /// The target refused the connection or did not answer.
    Target(io::Error),
    /// As [`ConnectError::Nowhere`].
    Nowhere(io::Error),
    /// This router is partitioned from the targets.
    Partitioned,
}

/// Connects to a target without a relay. The failure is recorded as the target's unless this router
/// turns out to be partitioned.
///
/// # Errors
/// See [`DirectError`].
pub(super) async fn connect_directly<P: Platform>(
    gw: &Rc<Gateway<P>>,
    backend: &Backend,
) -> Result<TargetConn, DirectError> {
    let began = Instant::now();
    let e = match dial_directly(gw, backend).await {
        Ok(target_conn) => return Ok(target_conn),
        Err(e) => e,
    };
    let verdict = check_path(gw, began).await;
    if verdict == Verdict::Partitioned {
        return Err(DirectError::Partitioned);
    }
    backend.process_state.connect_failed(&e);
    Err(if verdict == Verdict::Unknown { DirectError::Nowhere(e) } else { DirectError::Target(e) })
}

async fn dial_directly<P: Platform>(gw: &Gateway<P>, backend: &Backend) -> io::Result<TargetConn> {
    let began = Instant::now();
    let dialled = dial(backend.addr()).await;
    count_connect(&gw.stats, &dialled);
    match &dialled {
        Ok(_) => {
            gw.path.record_opened(began);
            backend.process_state.mark_alive();
        }
        Err(e) => {
            let (target, ms) = (backend.id(), began.elapsed().as_millis());
            let outcome = connect_outcome(e);
            gw.log.note("connect", format_args!("target={target} outcome={outcome} ms={ms}"));
        }
    }
    dialled
}

async fn connect_relayed<P: Platform>(
    gw: &Gateway<P>,
    backend: &Backend,
    allows_zone: impl Fn(&str) -> bool,
) -> Result<TargetConn, ConnectError> {
    let mut relays = Vec::new();
    for (n, prefer) in MAX_RELAYS {
        let next = gw.path.relays(n, prefer, &allows_zone);
        let is_new = |relay: &SocketAddr| !relays.contains(relay);
        let new: Vec<_> = next.into_iter().filter(is_new).collect();
        relays.extend(new);
    }
    for relay in relays {
        match open_tunnel(gw, backend, relay).await {
            Ok(target_conn) => return Ok(target_conn),
            Err(TunnelError::TargetRefused) => {
                let e = io::Error::from(io::ErrorKind::ConnectionRefused);
                backend.process_state.connect_failed(&e);
                return Err(ConnectError::Target(e));
            }
            Err(TunnelError::TargetUnanswered) => {
                let e = io::Error::from(io::ErrorKind::TimedOut);
                backend.process_state.connect_failed(&e);
                return Err(ConnectError::Target(e));
            }
            Err(TunnelError::RelayFailed) => gw.path.pause_relay(relay),
        }
    }
    Err(ConnectError::NoPath)
}

async fn open_tunnel<P: Platform>(
    gw: &Gateway<P>,
    backend: &Backend,
    relay: SocketAddr,
) -> Result<TargetConn, TunnelError> {
    let began = Instant::now();
    let opened = tunnel::open(gw.settings.peer.ip(), relay, backend.id_digest).await;
    let reason = match &opened {
        Ok(_) => "opened",
        Err(TunnelError::TargetRefused) => "refused",
        Err(TunnelError::TargetUnanswered) => "unanswered",
        Err(TunnelError::RelayFailed) => "relay_failed",
    };
    gw.stats.tunnels_requested.get_or_create(&ReasonLabel { reason }).inc();
    let (target, ms) = (backend.id(), began.elapsed().as_millis());
    gw.log.routine("relay", format_args!("target={target} via={relay} outcome={reason} ms={ms}"));
    opened.map(|conn| {
        backend.process_state.mark_alive();
        TargetConn::relayed(conn, relay)
    })
}

/// Determines whether this router is partitioned from the targets, after a connection or request
/// that began at `began` failed. Concurrent callers share one check. It runs in a task of its own,
/// so that it completes even if the caller of this request leaves.
pub async fn check_path<P: Platform>(gw: &Rc<Gateway<P>>, began: Instant) -> Verdict {
    match gw.path.known_verdict(began) {
        Some(verdict) => verdict,
        None => spawn_local(run_check(gw.clone(), began)).await.unwrap_or(Verdict::Unknown),
    }
}

async fn run_check<P: Platform>(gw: Rc<Gateway<P>>, began: Instant) -> Verdict {
    let gw = &gw;
    let mut last_check = gw.path.last_check.lock().await;
    if let Some(verdict) = gw.path.known_verdict(began) {
        return verdict;
    }
    if let Some((_, verdict)) = last_check.filter(|(check_began, _)| *check_began >= began) {
        return verdict;
    }
    let check_began = Instant::now();
    let checked = gw.targets.draw_for_check(CHECKED_TARGETS);
    let mut own = Box::pin(open_any(gw, &checked));
    let relayed = || async {
        timeout(RELAYED_CHECK_TIMEOUT, open_any_relayed(gw, &checked)).await.unwrap_or(false)
    };
    let verdict = match timeout(RELAYED_CHECK_DELAY, &mut own).await {
        Ok(true) => Verdict::Reachable,
        Ok(false) => Verdict::of(false, relayed().await),
        Err(_) => {
            let (own_opened, relayed_opened) = tokio::join!(own, relayed());
            Verdict::of(own_opened, relayed_opened)
        }
    };
    let before = last_check.replace((check_began, verdict)).map(|(_, verdict)| verdict);
    if verdict == Verdict::Partitioned {
        gw.path.set_partitioned(true);
        gw.stats.partitioned.set(1);
        // What was concluded about targets from this router's own network does not hold.
        gw.targets.all().iter().for_each(|b| b.reset_failures());
        close_unusable_connections(gw);
    }
    if before != Some(verdict) {
        let (ms, targets) = (check_began.elapsed().as_millis(), checked.len());
        gw.log.note("path", format_args!("check={verdict:?} targets={targets} ms={ms}"));
    }
    verdict
}

/// Connects directly to all of `backends` at once. Returns whether one connection opened.
async fn open_any<P: Platform>(gw: &Gateway<P>, backends: &[Rc<Backend>]) -> bool {
    let attempts = backends.iter().map(|b| {
        Box::pin(async move {
            let target_conn = dial_directly(gw, b).await?;
            target_conn.return_to(&mut b.pool.borrow_mut());
            io::Result::Ok(())
        })
    });
    let attempts: Vec<_> = attempts.collect();
    !attempts.is_empty() && select_ok(attempts).await.is_ok()
}

/// Connects through several routers to each of `backends` at once. Returns whether one connection
/// opened.
async fn open_any_relayed<P: Platform>(gw: &Gateway<P>, backends: &[Rc<Backend>]) -> bool {
    let relays = gw.path.relays(CHECKED_RELAYS, Prefer::OtherZones, |_| true);
    let pairs = relays.iter().flat_map(|relay| backends.iter().map(|b| (*relay, b)));
    let attempts = pairs.map(|(relay, b)| Box::pin(open_tunnel(gw, b, relay)));
    let attempts: Vec<_> = attempts.collect();
    !attempts.is_empty() && select_ok(attempts).await.is_ok()
}

/// Whether another router reaches a target that refused this router's connection.
pub(super) async fn is_reached_by_others<P: Platform>(
    gw: &Gateway<P>,
    backend: &Rc<Backend>,
) -> bool {
    let opened = open_any_relayed(gw, std::slice::from_ref(backend));
    timeout(RELAYED_CHECK_TIMEOUT, opened).await.unwrap_or(false)
}

/// Closes idle connections that must not be used any more. An idle tunnel would hold up a planned
/// stop of its relay.
pub(super) fn close_unusable_connections<P: Platform>(gw: &Gateway<P>) {
    for backend in gw.targets.all() {
        let mut pool = backend.pool.borrow_mut();
        pool.close_unusable(|via, since| gw.path.is_usable(via, since, |_| true));
    }
}

/// Ends the partition of this router once one of its own connections opens again. Never returns.
pub async fn watch_path<P: Platform>(gw: Rc<Gateway<P>>) {
    loop {
        gw.path.wait_partitioned().await;
        sleep(RETURN_PROBE_INTERVAL).await;
        let probed = gw.targets.draw_for_check(CHECKED_TARGETS);
        if !open_any(&gw, &probed).await {
            continue;
        }
        if let Some(since) = gw.path.set_partitioned(false) {
            gw.stats.partitioned.set(0);
            close_unusable_connections(&gw);
            let ms = since.elapsed().as_millis();
            gw.log.note("path", format_args!("state=reachable partitioned_ms={ms}"));
        }
    }
}
