//! Relays a target's answer to the caller: complete and in order, or cut so that the caller can
//! tell that it is incomplete.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use tokio::time::{timeout, timeout_at};

use super::catalog::RouteKind;
use super::forward::{Job, OrDash};
use super::liveness::await_probe;
use super::refusal::RouterResponse;
use super::reply::{RemainingBody, Reply};
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
    let ended = ongoing.run(job, caller).await;
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

impl OngoingRelay {
    async fn run<P: Platform>(&mut self, job: &mut Job<'_, P>, caller: &mut Conn) -> RelayOutcome {
        loop {
            let step = tokio::select! {
                biased;
                piece = timeout_at(job.answer_deadline, self.remaining.conn.read_piece(&mut self.remaining.body)) => piece,
                () = caller.wait_closed() => return RelayOutcome::CallerLeft,
            };
            let Ok(piece) = step else { return RelayOutcome::TimedOut };
            let written = match piece {
                Ok(Some(piece)) => match self.forwardable(job, &piece) {
                    Ok(Some(bytes)) => self.write(caller, &bytes).await,
                    Ok(None) => Ok(()),
                    Err(()) => self.resume_at_other_target(job, caller).await,
                },
                Ok(None) if self.ends_within_event() => {
                    self.resume_at_other_target(job, caller).await
                }
                Ok(None) => return self.finish(caller).await,
                Err(_) => self.resume_at_other_target(job, caller).await,
            };
            if let Err(ended) = written {
                return ended;
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
    ) -> Result<Option<Bytes>, ()> {
        let Some(stream) = &mut self.remaining.stream else { return Ok(Some(piece.clone())) };
        let events = stream.push(piece).map_err(|_| ())?;
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
    async fn resume_at_other_target<P: Platform>(
        &mut self,
        job: &mut Job<'_, P>,
        caller: &mut Conn,
    ) -> Result<(), RelayOutcome> {
        job.record_failure(self.in_flight.backend());
        let Some(stream) = &self.remaining.stream else { return Err(RelayOutcome::Interrupted) };
        let (last, events): (Option<CompactString>, u64) = (stream.last_id.clone(), stream.events);
        let may_resume = job.route.kind == RouteKind::ResumableStream
            && last.is_some()
            && job.send_counts.runs < job.route.max_attempts
            && job.can_continue()
            && job.gw.retries.borrow_mut().take(&job.service);
        let (id, from) = (job.meta.id.clone(), self.in_flight.backend().id());
        job.gw.log.note(
            "stream_broken",
            format_args!(
                "id={id} target={from} version={} events={events} last={last:?} resumes={may_resume}",
                OrDash(self.in_flight.backend().version_name())
            ),
        );
        let found = job.spawn_crash_check(self.in_flight.backend());
        if !may_resume {
            return Err(RelayOutcome::Interrupted);
        }
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
        self.remaining = remaining;
        self.head = head;
        self.in_flight = in_flight;
        self.write(caller, &first_bytes).await
    }
}
