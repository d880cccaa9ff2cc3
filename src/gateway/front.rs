//! Callers' connections.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use super::forward::{Job, label};
use super::refusal::{RejectedRequest, RouterResponse};
use super::relay::{Relayed, relay, write_own};
use super::request::Facts;
use super::state::{Gateway, Phase, Platform};
use super::stats::ended;
use crate::http1::{Conn, HeadError, RequestHead};

/// How long bytes sent to a caller may stay unacknowledged.
const SILENCE: Duration = Duration::from_secs(4);
/// Time for a request body to arrive when the caller states none.
const BODY_TIME: Duration = Duration::from_secs(10);

/// Takes connections until the planned stop no longer allows it.
pub async fn accept<P: Platform>(gw: Rc<Gateway<P>>, listener: TcpListener) {
    let mut phase = gw.phase.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|p| *p == Phase::Finishing) => return,
        };
        match accepted {
            Ok((io, _)) if gw.connections.get() < gw.settings.max_connections => {
                tokio::task::spawn_local(serve(gw.clone(), io));
            }
            // Closing at once lets the caller go elsewhere; waiting would hold it up.
            Ok(_) => gw
                .log
                .note("accept", format_args!("outcome=too_many open={}", gw.connections.get())),
            Err(e) => {
                gw.log.note("accept", format_args!("outcome=failed error={e}"));
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Counts a connection or a request while it lives.
struct Counted<'a, P: Platform>(&'a Gateway<P>, Kind);

enum Kind {
    Connection,
    Request(u64),
}

impl<'a, P: Platform> Counted<'a, P> {
    fn connection(gw: &'a Gateway<P>) -> Counted<'a, P> {
        gw.connections.set(gw.connections.get() + 1);
        Counted(gw, Kind::Connection)
    }

    fn request(gw: &'a Gateway<P>, bytes: u64) -> Counted<'a, P> {
        gw.taken.set(gw.taken.get().saturating_add(1));
        gw.active.set(gw.active.get() + 1);
        gw.body_bytes.set(gw.body_bytes.get() + bytes);
        Counted(gw, Kind::Request(bytes))
    }
}

impl<P: Platform> Drop for Counted<'_, P> {
    fn drop(&mut self) {
        let gw = self.0;
        match self.1 {
            Kind::Connection => gw.connections.set(gw.connections.get() - 1),
            Kind::Request(bytes) => {
                gw.active.set(gw.active.get() - 1);
                gw.body_bytes.set(gw.body_bytes.get() - bytes);
                if gw.active.get() == 0 {
                    gw.idle.notify_waiters();
                }
            }
        }
    }
}

async fn serve<P: Platform>(gw: Rc<Gateway<P>>, io: TcpStream) {
    let _counted = Counted::connection(&gw);
    gw.stats.accepted_connections.inc();
    let accepted = Instant::now();
    let Ok(mut conn) = Conn::new(io, SILENCE) else { return };
    let mut phase = gw.phase.subscribe();
    let mut requests = 0;
    let mut first_ms = None;
    while let Some(head) = next_request(&gw, &mut conn, &mut phase).await {
        let started = Instant::now();
        requests += 1;
        first_ms.get_or_insert((started - accepted).as_millis());
        if !exchange(&gw, &mut conn, &head, started).await {
            break;
        }
    }
    let open_ms = accepted.elapsed().as_millis();
    gw.log.routine(
        "connection",
        format_args!("requests={requests} first_ms={first_ms:?} open_ms={open_ms}"),
    );
}

/// The next request on a connection; `None` once it is to be closed.
async fn next_request<P: Platform>(
    gw: &Gateway<P>,
    conn: &mut Conn,
    phase: &mut watch::Receiver<Phase>,
) -> Option<RequestHead> {
    let limits = gw.limits();
    let more = tokio::select! {
        biased;
        more = timeout(limits.idle_time, conn.has_more()) => more,
        _ = phase.wait_for(|p| *p == Phase::Finishing) => return None,
    };
    if !matches!(more, Ok(Ok(true))) {
        return None;
    }
    let response = match timeout(limits.head_time, conn.read_request(limits.head_bytes)).await {
        Ok(Ok(head)) => return Some(head),
        Ok(Err(HeadError::Closed | HeadError::Broken(_))) => return None,
        Ok(Err(HeadError::Bad(_))) => RouterResponse::new(400, "malformed_request"),
        Ok(Err(HeadError::TooLong)) => RouterResponse::new(431, "head_too_long"),
        Err(_) => RouterResponse::new(408, "head_too_slow"),
    };
    gw.log.note("refused", format_args!("status={} reason={}", response.status, response.reason));
    // The connection is closed either way.
    let _ = write_own(conn, &response, false).await;
    None
}

/// Reads a request's body.
async fn read_body<P: Platform>(
    gw: &Gateway<P>,
    conn: &mut Conn,
    head: &RequestHead,
    facts: &Facts,
) -> Result<Bytes, Option<RouterResponse>> {
    if head.body.is_done() {
        return Ok(Bytes::new());
    }
    let max = gw.limits().body_bytes;
    if head.body.known_length().is_some_and(|n| n > max) {
        return Err(Some(RouterResponse::new(413, "body_too_long")));
    }
    let expected = head.body.known_length().unwrap_or(0);
    if gw.body_bytes.get() + expected > gw.settings.body_memory {
        let soon = Duration::from_millis(300);
        return Err(Some(RouterResponse::refusal("no_memory_for_body", soon)));
    }
    if head.expects_continue && conn.is_drained() {
        conn.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.map_err(|_| None)?;
    }
    let time = facts.time_left.unwrap_or(BODY_TIME);
    match timeout(time, conn.read_body(head.body, max)).await {
        Ok(Ok(Some(body))) => Ok(body),
        Ok(Ok(None)) => Err(Some(RouterResponse::new(413, "body_too_long"))),
        Ok(Err(e)) if e.kind() == std::io::ErrorKind::InvalidData => {
            Err(Some(RouterResponse::new(400, "malformed_body")))
        }
        Ok(Err(_)) => Err(None),
        Err(_) => Err(Some(RouterResponse::new(408, "body_too_slow"))),
    }
}

/// Serves one request. Returns whether the connection can take another.
async fn exchange<P: Platform>(
    gw: &Rc<Gateway<P>>,
    conn: &mut Conn,
    head: &RequestHead,
    started: Instant,
) -> bool {
    let facts = Facts::read(gw.platform.names(), &head.headers);
    let body = match read_body(gw, conn, head, &facts).await {
        Ok(body) => body,
        Err(response) => {
            if let Some(response) = response {
                gw.log.note(
                    "refused",
                    format_args!(
                        "id={} status={} reason={}",
                        facts.id, response.status, response.reason
                    ),
                );
                // The rest of the body is still on its way: the connection is closed.
                let _ = write_own(conn, &response, false).await;
            }
            return false;
        }
    };
    let _counted = Counted::request(gw, body.len() as u64);
    let id = facts.id.clone();
    let admitted = tokio::select! {
        biased;
        admitted = Job::admit(gw, head, body, facts, started) => admitted,
        () = conn.closed() => {
            note_left(gw, &id, started, false);
            return false;
        }
    };
    let mut job = match admitted {
        Ok(job) => job,
        Err(unadmitted) => {
            ended(&gw.stats, "unplaced", unadmitted.response.reason);
            return refuse(gw, conn, head, &id, &unadmitted, started).await;
        }
    };
    let kind = label(job.route.kind);
    let obtained = tokio::select! {
        biased;
        obtained = job.obtain(None) => obtained,
        () = conn.closed() => {
            ended(&gw.stats, kind, "caller_left");
            note_left(gw, &id, started, job.may_have_run.get());
            job.caller_disconnected();
            return false;
        }
    };
    match obtained {
        Ok(reply) => {
            let (status, target) = (reply.head.status, reply.flight.backend().id());
            let (relayed, keep) = relay(&mut job, conn, reply).await;
            conclude(&job, relayed, status, &target);
            keep
        }
        Err(response) => {
            ended(&gw.stats, kind, response.reason);
            let (route, org) = (Some(job.route.name.clone()), job.org.clone());
            refuse(gw, conn, head, &id, &RejectedRequest { response, route, org }, started).await
        }
    }
}

/// Notes that a caller left before its answer began.
fn note_left<P: Platform>(gw: &Gateway<P>, id: &str, started: Instant, sent: bool) {
    gw.stats.caller_disconnects.inc();
    let ms = started.elapsed().as_millis();
    gw.log.routine("left", format_args!("id={id} at_ms={ms} sent={sent}"));
}

async fn refuse<P: Platform>(
    gw: &Gateway<P>,
    conn: &mut Conn,
    head: &RequestHead,
    id: &str,
    refused: &RejectedRequest,
    started: Instant,
) -> bool {
    let RejectedRequest { response, route, org } = refused;
    let (route, org) = (route.as_deref().unwrap_or("-"), org.as_deref().unwrap_or("-"));
    let keep = head.keep && *gw.phase.borrow() == Phase::Up;
    let ms = started.elapsed().as_millis();
    let after = response.retry_after.map(|d| d.as_millis());
    gw.log.note(
        "refused",
        format_args!(
            "id={id} route={route} org={org} status={} reason={} retry_after_ms={after:?} at_ms={ms}",
            response.status, response.reason
        ),
    );
    write_own(conn, response, keep).await.is_ok() && keep
}

fn conclude<P: Platform>(job: &Job<'_, P>, relayed: Relayed, status: u16, target: &str) {
    let gw = job.gw;
    let outcome = match relayed {
        Relayed::Whole if status < 400 => "answered",
        Relayed::Whole => "target_failure",
        Relayed::CallerLeft => "caller_left",
        Relayed::Broken => "broken",
        Relayed::TimedOut => "timed_out",
    };
    match outcome {
        "answered" => job.record_completion(),
        "caller_left" => job.caller_disconnected(),
        _ => (),
    }
    ended(&gw.stats, label(job.route.kind), outcome);
    let took = job.started.elapsed();
    gw.stats.answer_seconds.observe(took.as_secs_f64());
    let cost = job.hold.as_ref().map_or(0, |h| h.spent().0);
    gw.stats.tokens_charged.inc_by(cost);
    let fields = format_args!(
        "id={} route={} org={} target={target} status={status} outcome={outcome} config={} runs={} sends={} tokens={cost} ms={}",
        job.facts.id,
        job.route.name,
        job.org.as_deref().unwrap_or("-"),
        job.catalog.version,
        job.made.runs,
        job.made.sends,
        took.as_millis(),
    );
    if relayed == Relayed::Whole {
        gw.log.routine("done", fields);
    } else {
        gw.log.note("cut", fields);
    }
}
