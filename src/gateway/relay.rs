//! Relays a target's answer to the caller: complete and in order, or cut so that the caller can
//! tell that it is incomplete.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::{timeout, timeout_at};

use super::catalog::RouteKind;
use super::forward::{Job, OrDash};
use super::liveness::await_probe;
use super::refusal::RouterResponse;
use super::reply::{RemainingBody, Reply, StreamProgress};
use super::request::{is_hop_by_hop, write_header_line};
use super::state::{Phase, Platform};
use crate::http1::{Conn, LAST_CHUNK, ResponseHead, append_chunk};

/// How long a caller may accept no bytes before it counts as disconnected. Its buffers hold several
/// seconds of a stream.
const CALLER_WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// How the relay of an answer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayOutcome {
    /// The caller received the whole answer.
    Complete,
    /// The caller disconnected.
    CallerLeft,
    /// The target failed during the answer, and the caller's connection was closed.
    Interrupted,
    /// The deadline passed, and the caller's connection was closed.
    TimedOut,
}

async fn write_to_caller(caller: &mut Conn, bytes: &[u8]) -> Result<(), RelayOutcome> {
    match timeout(CALLER_WRITE_TIMEOUT, caller.write(bytes)).await {
        Ok(Ok(())) => Ok(()),
        _ => Err(RelayOutcome::CallerLeft),
    }
}

/// Writes a response of the router itself.
///
/// # Errors
/// `CallerLeft` if the caller disconnected or accepted no bytes for `CALLER_WRITE_TIMEOUT`.
pub async fn write_router_response(
    caller: &mut Conn,
    response: &RouterResponse,
    keep_alive: bool,
) -> Result<(), RelayOutcome> {
    use std::io::Write;
    let body = format!("{{\"error\":\"{}\"}}", response.reason);
    let mut out = Vec::with_capacity(256);
    // Writing into a vector cannot fail.
    let _ = write!(out, "HTTP/1.1 {} {}\r\n", response.status, reason_phrase(response.status));
    out.extend_from_slice(b"Content-Type: application/json\r\n");
    if let Some(after) = response.retry_after {
        let _ = write!(out, "Retry-After: {:.3}\r\n", after.as_secs_f64());
    }
    if !keep_alive {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    let _ = write!(out, "Content-Length: {}\r\n\r\n{body}", body.len());
    write_to_caller(caller, &out).await
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        400 => "Bad Request",
        401 => "Unauthorized",
        402 => "Payment Required",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}

/// How the body is delimited towards the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    Length(u64),
    Chunked,
    UntilClose,
    /// There is no body, and `Content-Length` is forwarded as the target sent it.
    AsSent,
}

fn encode_head(head: &ResponseHead, framing: Framing, keep_alive: bool) -> Vec<u8> {
    use std::io::Write;
    let mut out = Vec::with_capacity(256 + 64 * head.headers.len());
    // Writing into a vector cannot fail.
    let _ = write!(out, "HTTP/1.1 {} {}\r\n", head.status, head.reason);
    let passes =
        |name: &str| framing == Framing::AsSent || !name.eq_ignore_ascii_case("content-length");
    for h in head.headers.iter().filter(|h| !is_hop_by_hop(h) && passes(&h.name)) {
        write_header_line(&mut out, &h.name, &h.value);
    }
    match framing {
        Framing::Length(n) => drop(write!(out, "Content-Length: {n}\r\n")),
        Framing::Chunked => out.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
        Framing::UntilClose | Framing::AsSent => (),
    }
    if !keep_alive {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out
}

fn append_framed(out: &mut Vec<u8>, framing: Framing, piece: &[u8]) {
    if framing == Framing::Chunked {
        append_chunk(out, piece);
    } else {
        out.extend_from_slice(piece);
    }
}

/// Relays an answer. Returns the outcome and whether the caller's connection can be reused.
pub async fn relay<P: Platform>(
    job: &mut Job<'_, P>,
    caller: &mut Conn,
    reply: Reply,
) -> (RelayOutcome, bool) {
    let Reply { head, first_bytes, remaining, in_flight } = reply;
    let up = *job.gw.phase.borrow() == Phase::Up;
    let mut keep_alive = job.head.keep_alive && up;
    let bodiless = job.head.method == "HEAD" || head.status == 204 || head.status == 304;
    let framing = match &remaining {
        _ if bodiless => Framing::AsSent,
        None => Framing::Length(first_bytes.len() as u64),
        Some(_) if job.head.http11 => Framing::Chunked,
        Some(_) => Framing::UntilClose,
    };
    keep_alive &= framing != Framing::UntilClose;
    if framing == Framing::UntilClose {
        caller.set_reset_on_close(true);
    }
    let mut out = encode_head(&head, framing, keep_alive);
    append_framed(&mut out, framing, &first_bytes);
    if let Some(events) = remaining.as_ref().and_then(|r| r.stream.as_ref()).map(|s| s.events) {
        job.charge(events);
        job.record_origin(in_flight.backend());
    }
    if let Err(ended) = write_to_caller(caller, &out).await {
        return (ended, false);
    }
    let Some(remaining) = remaining else { return (RelayOutcome::Complete, keep_alive) };
    let mut ongoing = OngoingRelay { remaining, head, in_flight, framing };
    let ended = loop {
        match ongoing.run(job, caller).await {
            Ok(ended) => break ended,
            Err(TargetFailed) => match ongoing.resume_at_other_target(job, caller).await {
                Ok(resumed) => ongoing = resumed,
                Err(ended) => return (ended, false),
            },
        }
    };
    if ended == RelayOutcome::Complete {
        if framing == Framing::UntilClose {
            caller.set_reset_on_close(false);
        }
        let OngoingRelay { remaining, head, in_flight, .. } = ongoing;
        in_flight.backend().pool.borrow_mut().put(remaining.conn, remaining.via, &head);
        return (ended, keep_alive);
    }
    (ended, false)
}

/// An answer of which a part was relayed.
struct OngoingRelay {
    remaining: RemainingBody,
    head: ResponseHead,
    in_flight: super::backend::InFlight,
    framing: Framing,
}

/// The target of an answer failed before its end.
struct TargetFailed;

impl OngoingRelay {
    /// Relays the answer until it ends.
    async fn run<P: Platform>(
        &mut self,
        job: &mut Job<'_, P>,
        caller: &mut Conn,
    ) -> Result<RelayOutcome, TargetFailed> {
        loop {
            let step = tokio::select! {
                biased;
                piece = timeout_at(job.answer_deadline, self.remaining.conn.read_piece(&mut self.remaining.body)) => piece,
                () = caller.wait_closed() => return Ok(RelayOutcome::CallerLeft),
            };
            let Ok(piece) = step else { return Ok(RelayOutcome::TimedOut) };
            let written = match piece {
                Ok(Some(piece)) => match self.forwardable(job, &piece)? {
                    Some(bytes) => self.write(caller, &bytes).await,
                    None => Ok(()),
                },
                Ok(None) if self.ends_within_event() => return Err(TargetFailed),
                Ok(None) => return Ok(self.finish(caller).await),
                Err(_) => return Err(TargetFailed),
            };
            if let Err(ended) = written {
                return Ok(ended);
            }
        }
    }

    fn ends_within_event(&self) -> bool {
        self.remaining.stream.as_ref().is_some_and(|s| s.splitter.is_within_event())
    }

    /// Returns the bytes that may be forwarded now; for a stream these are complete events only.
    fn forwardable<P: Platform>(
        &mut self,
        job: &mut Job<'_, P>,
        piece: &Bytes,
    ) -> Result<Option<Bytes>, TargetFailed> {
        let Some(stream) = &mut self.remaining.stream else { return Ok(Some(piece.clone())) };
        let events = stream.push(piece).map_err(|_| TargetFailed)?;
        if events.is_some() {
            job.charge(stream.events);
        }
        Ok(events)
    }

    async fn write(&self, caller: &mut Conn, bytes: &[u8]) -> Result<(), RelayOutcome> {
        let mut out = Vec::with_capacity(bytes.len() + 16);
        append_framed(&mut out, self.framing, bytes);
        write_to_caller(caller, &out).await
    }

    async fn finish(&self, caller: &mut Conn) -> RelayOutcome {
        if self.framing != Framing::Chunked {
            return RelayOutcome::Complete;
        }
        write_to_caller(caller, LAST_CHUNK).await.err().unwrap_or(RelayOutcome::Complete)
    }

    /// Handles a target that failed during its answer. A resumable stream continues at another
    /// target of the same software version, after the last complete event that the caller received.
    /// Any other answer ends here, and the connection is closed so that the answer cannot pass as
    /// complete.
    ///
    /// The connection to the failed target is closed first: it may still work on the request, which
    /// must not run at two targets at once.
    async fn resume_at_other_target<P: Platform>(
        self,
        job: &mut Job<'_, P>,
        caller: &mut Conn,
    ) -> Result<OngoingRelay, RelayOutcome> {
        let OngoingRelay { remaining, in_flight, framing, .. } = self;
        let stream = remaining.stream;
        drop(remaining.conn);
        job.record_failure(in_flight.backend());
        let Some(StreamProgress { last_id: last, events, .. }) = stream else {
            return Err(RelayOutcome::Interrupted);
        };
        let may_resume = job.route.kind == RouteKind::ResumableStream
            && last.is_some()
            && job.send_counts.runs < job.route.max_attempts
            && job.can_continue()
            && job.gw.retries.borrow_mut().take(&job.service);
        let (id, from) = (job.meta.id.clone(), in_flight.backend().id());
        job.gw.log.note(
            "stream_broken",
            format_args!(
                "id={id} target={from} version={} events={events} last={last:?} resumes={may_resume}",
                OrDash(in_flight.backend().version_name())
            ),
        );
        let found = job.spawn_crash_check(in_flight.backend());
        if !may_resume {
            return Err(RelayOutcome::Interrupted);
        }
        drop(in_flight);
        await_probe(found).await;
        let reply = tokio::select! {
            biased;
            reply = job.fetch_reply(last.clone()) => reply,
            () = caller.wait_closed() => return Err(RelayOutcome::CallerLeft),
        };
        let Ok(Reply { head, first_bytes, remaining: Some(mut remaining), in_flight }) = reply
        else {
            return Err(RelayOutcome::Interrupted);
        };
        let Some(stream) = remaining.stream.as_mut().filter(|_| head.status == 200) else {
            return Err(RelayOutcome::Interrupted);
        };
        stream.events += events;
        stream.last_id = stream.last_id.take().or(last);
        job.charge(stream.events);
        let resumed = OngoingRelay { remaining, head, in_flight, framing };
        resumed.write(caller, &first_bytes).await?;
        Ok(resumed)
    }
}
