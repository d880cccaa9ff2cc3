//! Connections from callers.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use super::forward::{Job, OrDash, route_kind_label};
use super::refusal::{RejectedRequest, RouterResponse};
use super::relay::{RelayOutcome, relay, write_router_response};
use super::request::RequestMeta;
use super::state::{Gateway, Phase, Platform};
use super::stats::count_request_end;
use crate::http1::{Conn, HeadError, RequestHead};

/// How long bytes sent to a caller may stay unacknowledged before its connection counts as broken.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(4);
/// Time limit for a request body if the caller states no time limit of its own.
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// `Retry-After` when the memory for bodies is full.
const BODY_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Accepts connections until a planned stop reaches [`Phase::Finishing`].
pub async fn accept<P: Platform>(gw: Rc<Gateway<P>>, listener: TcpListener) {
    let mut phase = gw.phase.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|p| *p == Phase::Finishing) => return,
        };
        match accepted {
            Ok((io, _)) if gw.open_connections.get() < gw.settings.max_connections => {
                tokio::task::spawn_local(serve_connection(gw.clone(), io));
            }
            // Closing at once lets the caller try another router; making it wait would delay it.
            Ok(_) => gw.log.note(
                "accept",
                format_args!("outcome=too_many open={}", gw.open_connections.get()),
            ),
            Err(e) => {
                gw.log.note("accept", format_args!("outcome=failed error={e}"));
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Guard that counts the bytes of a request body towards the memory for bodies until it is dropped.
struct HeldBody<'a, P: Platform> {
    gw: &'a Gateway<P>,
    bytes: u64,
}

impl<P: Platform> HeldBody<'_, P> {
    /// Counts the body as `len` bytes long, before they are read.
    ///
    /// # Errors
    /// The response that refuses the request.
    fn grow_to(&mut self, len: u64) -> Result<(), RouterResponse> {
        if len > self.gw.limits().body_bytes {
            return Err(RouterResponse::new(413, "body_too_long"));
        }
        let all = self.gw.body_bytes.get() - self.bytes + len;
        if all > self.gw.settings.body_memory {
            return Err(RouterResponse::refusal("no_memory_for_body", BODY_MEMORY_RETRY_AFTER));
        }
        self.gw.body_bytes.set(all);
        self.bytes = len;
        Ok(())
    }
}

impl<P: Platform> Drop for HeldBody<'_, P> {
    fn drop(&mut self) {
        self.gw.body_bytes.set(self.gw.body_bytes.get() - self.bytes);
    }
}

/// Guard that counts an open connection or an active request until it is dropped.
pub(super) struct CountGuard<'a, P: Platform>(&'a Gateway<P>, Kind);

enum Kind {
    Connection,
    Request,
    /// A request of another router's caller, with this many connections.
    Tunnel(usize),
}

impl<'a, P: Platform> CountGuard<'a, P> {
    fn connection(gw: &'a Gateway<P>) -> CountGuard<'a, P> {
        gw.open_connections.set(gw.open_connections.get() + 1);
        CountGuard(gw, Kind::Connection)
    }

    /// Counts a request from its first byte on, so that a planned stop waits for the rest of it.
    fn request(gw: &'a Gateway<P>) -> CountGuard<'a, P> {
        gw.active_requests.set(gw.active_requests.get() + 1);
        CountGuard(gw, Kind::Request)
    }

    /// Counts a tunnel, which occupies `connections` connections.
    pub(super) fn tunnel(gw: &'a Gateway<P>, connections: usize) -> CountGuard<'a, P> {
        gw.open_connections.set(gw.open_connections.get() + connections);
        gw.active_requests.set(gw.active_requests.get() + 1);
        CountGuard(gw, Kind::Tunnel(connections))
    }
}

impl<P: Platform> Drop for CountGuard<'_, P> {
    fn drop(&mut self) {
        let gw = self.0;
        match self.1 {
            Kind::Connection => gw.open_connections.set(gw.open_connections.get() - 1),
            Kind::Request => request_ended(gw),
            Kind::Tunnel(connections) => {
                gw.open_connections.set(gw.open_connections.get() - connections);
                request_ended(gw);
            }
        }
    }
}

fn request_ended<P: Platform>(gw: &Gateway<P>) {
    gw.active_requests.set(gw.active_requests.get() - 1);
    if gw.active_requests.get() == 0 {
        gw.no_active_requests.notify_waiters();
    }
}

async fn serve_connection<P: Platform>(gw: Rc<Gateway<P>>, io: TcpStream) {
    let _counted = CountGuard::connection(&gw);
    gw.stats.accepted_connections.inc();
    let accepted = Instant::now();
    let Ok(mut conn) = Conn::new(io, UNACKED_TIMEOUT) else { return };
    let mut phase = gw.phase.subscribe();
    let mut requests = 0;
    let mut first_ms = None;
    while let Some((head, _counted)) = next_request(&gw, &mut conn, &mut phase).await {
        let started = Instant::now();
        requests += 1;
        first_ms.get_or_insert((started - accepted).as_millis());
        if !serve_request(&gw, &mut conn, &head, started).await {
            break;
        }
    }
    let open_ms = accepted.elapsed().as_millis();
    gw.log.routine(
        "connection",
        format_args!("requests={requests} first_ms={first_ms:?} open_ms={open_ms}"),
    );
}

/// Reads the next request head; `None` if the connection is to be closed. The request counts as
/// active from its first byte on.
async fn next_request<'a, P: Platform>(
    gw: &'a Gateway<P>,
    conn: &mut Conn,
    phase: &mut watch::Receiver<Phase>,
) -> Option<(RequestHead, CountGuard<'a, P>)> {
    let limits = gw.limits();
    let has_data = !conn.is_buffer_empty();
    let more = tokio::select! {
        biased;
        // Bytes that were not read yet are left unread: the stop may already have seen that no
        // request is active.
        _ = phase.wait_for(|p| *p == Phase::Finishing), if !has_data => return None,
        more = timeout(limits.idle_time, conn.wait_for_data()) => more,
    };
    if !matches!(more, Ok(Ok(true))) {
        return None;
    }
    let counted = CountGuard::request(gw);
    let response = match timeout(limits.head_time, conn.read_request(limits.head_bytes)).await {
        Ok(Ok(head)) => return Some((head, counted)),
        Ok(Err(HeadError::Closed | HeadError::Broken(_))) => return None,
        Ok(Err(HeadError::Invalid(_))) => RouterResponse::new(400, "malformed_request"),
        Ok(Err(HeadError::TooLong)) => RouterResponse::new(431, "head_too_long"),
        Err(_) => RouterResponse::new(408, "head_too_slow"),
    };
    gw.log.note("refused", format_args!("status={} reason={}", response.status, response.reason));
    // A failed write needs no handling: the connection is closed either way.
    let _ = write_router_response(conn, &response, false).await;
    None
}

/// Reads the body of a request. Its memory is counted before it is read.
///
/// # Errors
/// The response that refuses the request, or `None` if the connection broke.
async fn read_body<'a, P: Platform>(
    gw: &'a Gateway<P>,
    conn: &mut Conn,
    head: &RequestHead,
    meta: &RequestMeta,
) -> Result<(Bytes, HeldBody<'a, P>), Option<RouterResponse>> {
    let mut held = HeldBody { gw, bytes: 0 };
    if head.body.is_done() {
        return Ok((Bytes::new(), held));
    }
    if let Some(len) = head.body.known_length() {
        held.grow_to(len).map_err(Some)?;
    }
    if head.expects_continue && conn.is_buffer_empty() {
        conn.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.map_err(|_| None)?;
    }
    let time = meta.time_left.unwrap_or(DEFAULT_BODY_TIMEOUT);
    let mut refusal = None;
    let admits = |len| held.grow_to(len).map_err(|response| refusal = Some(response)).is_ok();
    match timeout(time, conn.read_body(head.body, admits)).await {
        Ok(Ok(Some(body))) => Ok((body, held)),
        Ok(Ok(None)) => Err(refusal),
        Ok(Err(e)) if e.kind() == std::io::ErrorKind::InvalidData => {
            Err(Some(RouterResponse::new(400, "malformed_body")))
        }
        Ok(Err(_)) => Err(None),
        Err(_) => Err(Some(RouterResponse::new(408, "body_too_slow"))),
    }
}

/// Serves one request. Returns whether the connection can be reused.
async fn serve_request<P: Platform>(
    gw: &Rc<Gateway<P>>,
    conn: &mut Conn,
    head: &RequestHead,
    started: Instant,
) -> bool {
    gw.requests_since_sample.set(gw.requests_since_sample.get().saturating_add(1));
    let meta = RequestMeta::read(gw.platform.header_names(), &head.headers);
    let (body, _held) = match read_body(gw, conn, head, &meta).await {
        Ok(read) => read,
        Err(response) => {
            if let Some(response) = response {
                gw.log.note(
                    "refused",
                    format_args!(
                        "id={} status={} reason={}",
                        meta.id, response.status, response.reason
                    ),
                );
                // The unread rest of the body makes the connection unusable, so it is closed.
                let _ = write_router_response(conn, &response, false).await;
            }
            return false;
        }
    };
    let id = meta.id.clone();
    let admitted = tokio::select! {
        biased;
        admitted = Job::admit(gw, head, body, meta, started) => admitted,
        () = conn.wait_closed() => {
            log_caller_left(gw, &id, started, false);
            return false;
        }
    };
    let mut job = match admitted {
        Ok(job) => job,
        Err(unadmitted) => {
            count_request_end(&gw.stats, "unplaced", unadmitted.response.reason);
            return write_refusal(gw, conn, head, &id, &unadmitted, started).await;
        }
    };
    let kind = route_kind_label(job.route.kind);
    let obtained = tokio::select! {
        biased;
        obtained = job.fetch_reply(None) => obtained,
        () = conn.wait_closed() => {
            count_request_end(&gw.stats, kind, "caller_left");
            log_caller_left(gw, &id, started, job.may_have_run.get());
            job.caller_disconnected();
            return false;
        }
    };
    match obtained {
        Ok(reply) => {
            let (status, target) = (reply.head.status, reply.in_flight.backend().id());
            let (relayed, keep_alive) = relay(&mut job, conn, reply).await;
            record_end(&job, relayed, status, &target);
            keep_alive
        }
        Err(response) => {
            count_request_end(&gw.stats, kind, response.reason);
            let (route, org) = (Some(job.route.name.clone()), job.org.clone());
            write_refusal(gw, conn, head, &id, &RejectedRequest { response, route, org }, started)
                .await
        }
    }
}

/// Logs that a caller disconnected before its answer began.
fn log_caller_left<P: Platform>(gw: &Gateway<P>, id: &str, started: Instant, sent: bool) {
    gw.stats.caller_disconnects.inc();
    let ms = started.elapsed().as_millis();
    gw.log.routine("left", format_args!("id={id} at_ms={ms} sent={sent}"));
}

async fn write_refusal<P: Platform>(
    gw: &Gateway<P>,
    conn: &mut Conn,
    head: &RequestHead,
    id: &str,
    refused: &RejectedRequest,
    started: Instant,
) -> bool {
    let RejectedRequest { response, route, org } = refused;
    let (route, org) = (route.as_deref().unwrap_or("-"), org.as_deref().unwrap_or("-"));
    let keep_alive = head.keep_alive && *gw.phase.borrow() == Phase::Up;
    let ms = started.elapsed().as_millis();
    let after = response.retry_after.map(|d| d.as_millis());
    gw.log.note(
        "refused",
        format_args!(
            "id={id} route={route} org={org} status={} reason={} retry_after_ms={after:?} at_ms={ms}",
            response.status, response.reason
        ),
    );
    write_router_response(conn, response, keep_alive).await.is_ok() && keep_alive
}

fn record_end<P: Platform>(job: &Job<'_, P>, relayed: RelayOutcome, status: u16, target: &str) {
    let gw = job.gw;
    let outcome = match relayed {
        RelayOutcome::Complete if status < 400 => "answered",
        RelayOutcome::Complete => "target_failure",
        RelayOutcome::CallerLeft => "caller_left",
        RelayOutcome::Interrupted => "broken",
        RelayOutcome::TimedOut => "timed_out",
    };
    match outcome {
        "answered" => job.record_completion(),
        "caller_left" => job.caller_disconnected(),
        _ => (),
    }
    count_request_end(&gw.stats, route_kind_label(job.route.kind), outcome);
    let took = job.started.elapsed();
    gw.stats.answer_seconds.observe(took.as_secs_f64());
    let cost = job.reservation.as_ref().map_or(0, |h| h.spent().0);
    gw.stats.tokens_charged.inc_by(cost);
    let fields = format_args!(
        "id={} route={} org={} target={target} via={} status={status} outcome={outcome} config={} runs={} sends={} tokens={cost} ms={}",
        job.meta.id,
        job.route.name,
        job.org.as_deref().unwrap_or("-"),
        OrDash(job.via),
        job.catalog.version,
        job.send_counts.runs,
        job.send_counts.sends,
        took.as_millis(),
    );
    if relayed == RelayOutcome::Complete {
        gw.log.routine("done", fields);
    } else {
        gw.log.note("cut", fields);
    }
}
