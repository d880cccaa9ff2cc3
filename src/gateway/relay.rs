//! Hands a target's answer to the caller: whole, in order, and never a part that looks whole.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use tokio::time::{timeout, timeout_at};

use super::catalog::RouteKind;
use super::forward::Job;
use super::liveness::await_probe;
use super::refusal::RouterResponse;
use super::reply::{Reply, Rest};
use super::request::{is_hop_by_hop, line};
use super::state::{Phase, Platform};
use crate::http1::{Conn, ResponseHead};

/// How long a caller may take nothing before it counts as gone: its buffers hold seconds of a
/// stream.
const STALLED: Duration = Duration::from_secs(5);

/// How the relay of an answer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Relayed {
    /// The caller has the whole answer.
    Whole,
    /// The caller left.
    CallerLeft,
    /// The target broke off, and the caller's connection was cut.
    Broken,
    /// The time was over, and the caller's connection was cut.
    TimedOut,
}

async fn hand_over(caller: &mut Conn, bytes: &[u8]) -> Result<(), Relayed> {
    match timeout(STALLED, caller.write(bytes)).await {
        Ok(Ok(())) => Ok(()),
        _ => Err(Relayed::CallerLeft),
    }
}

/// Writes an answer of the router's own.
///
/// # Errors
/// `CallerLeft`.
pub async fn write_own(caller: &mut Conn, own: &RouterResponse, keep: bool) -> Result<(), Relayed> {
    use std::io::Write;
    let body = format!("{{\"error\":\"{}\"}}", own.reason);
    let mut out = Vec::with_capacity(256);
    // Writing into a vector cannot fail.
    let _ = write!(out, "HTTP/1.1 {} {}\r\n", own.status, phrase(own.status));
    out.extend_from_slice(b"Content-Type: application/json\r\n");
    if let Some(after) = own.retry_after {
        let _ = write!(out, "Retry-After: {:.3}\r\n", after.as_secs_f64());
    }
    if !keep {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    let _ = write!(out, "Content-Length: {}\r\n\r\n{body}", body.len());
    hand_over(caller, &out).await
}

fn phrase(status: u16) -> &'static str {
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

/// How the answer is framed towards the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Frame {
    Length(u64),
    Chunked,
    UntilClose,
    AsSent,
}

fn encode_head(head: &ResponseHead, frame: Frame, keep: bool) -> Vec<u8> {
    use std::io::Write;
    let mut out = Vec::with_capacity(256 + 64 * head.headers.len());
    // Writing into a vector cannot fail.
    let _ = write!(out, "HTTP/1.1 {} {}\r\n", head.status, head.reason);
    let passes =
        |name: &str| frame == Frame::AsSent || !name.eq_ignore_ascii_case("content-length");
    for h in head.headers.iter().filter(|h| !is_hop_by_hop(h) && passes(&h.name)) {
        line(&mut out, &h.name, &h.value);
    }
    match frame {
        Frame::Length(n) => drop(write!(out, "Content-Length: {n}\r\n")),
        Frame::Chunked => out.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
        Frame::UntilClose | Frame::AsSent => (),
    }
    if !keep {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out
}

fn chunk(out: &mut Vec<u8>, frame: Frame, piece: &[u8]) {
    use std::io::Write;
    if piece.is_empty() {
        return;
    }
    if frame != Frame::Chunked {
        return out.extend_from_slice(piece);
    }
    // Writing into a vector cannot fail.
    let _ = write!(out, "{:x}\r\n", piece.len());
    out.extend_from_slice(piece);
    out.extend_from_slice(b"\r\n");
}

/// Relays an answer. Returns how it ended and whether the caller's connection can go on.
pub async fn relay<P: Platform>(
    job: &mut Job<'_, P>,
    caller: &mut Conn,
    reply: Reply,
) -> (Relayed, bool) {
    let Reply { head, start, rest, flight } = reply;
    let up = *job.gw.phase.borrow() == Phase::Up;
    let mut keep = job.head.keep && up;
    let bodiless = job.head.method == "HEAD" || head.status == 204 || head.status == 304;
    let frame = match &rest {
        _ if bodiless => Frame::AsSent,
        None => Frame::Length(start.len() as u64),
        Some(_) if job.head.http11 => Frame::Chunked,
        Some(_) => Frame::UntilClose,
    };
    keep &= frame != Frame::UntilClose;
    let mut out = encode_head(&head, frame, keep);
    chunk(&mut out, frame, &start);
    if let Some(events) = rest.as_ref().and_then(|r| r.stream.as_ref()).map(|s| s.events) {
        job.charge(events);
    }
    if let Err(ended) = hand_over(caller, &out).await {
        return (ended, false);
    }
    let Some(rest) = rest else { return (Relayed::Whole, keep) };
    let mut ongoing = Ongoing { rest, head, flight, frame };
    let ended = ongoing.run(job, caller).await;
    if ended == Relayed::Whole {
        let Ongoing { rest, head, flight, .. } = ongoing;
        flight.backend().pool.borrow_mut().put(rest.conn, &head);
        return (ended, keep);
    }
    (ended, false)
}

/// An answer on its way.
struct Ongoing {
    rest: Rest,
    head: ResponseHead,
    flight: super::backend::Flight,
    frame: Frame,
}

impl Ongoing {
    async fn run<P: Platform>(&mut self, job: &mut Job<'_, P>, caller: &mut Conn) -> Relayed {
        loop {
            let step = tokio::select! {
                biased;
                piece = timeout_at(job.until, self.rest.conn.read_piece(&mut self.rest.body)) => piece,
                () = caller.closed() => return Relayed::CallerLeft,
            };
            let Ok(piece) = step else { return Relayed::TimedOut };
            let written = match piece {
                Ok(Some(piece)) => match self.forwardable(job, &piece) {
                    Ok(Some(bytes)) => self.write(caller, &bytes).await,
                    Ok(None) => Ok(()),
                    Err(()) => self.go_on_elsewhere(job, caller).await,
                },
                Ok(None) if self.is_cut() => self.go_on_elsewhere(job, caller).await,
                Ok(None) => return self.finish(caller).await,
                Err(_) => self.go_on_elsewhere(job, caller).await,
            };
            if let Err(ended) = written {
                return ended;
            }
        }
    }

    fn is_cut(&self) -> bool {
        self.rest.stream.as_ref().is_some_and(|s| s.splitter.is_within_event())
    }

    /// The bytes that may be forwarded now: of a stream, whole events only.
    fn forwardable<P: Platform>(
        &mut self,
        job: &mut Job<'_, P>,
        piece: &Bytes,
    ) -> Result<Option<Bytes>, ()> {
        let Some(stream) = &mut self.rest.stream else { return Ok(Some(piece.clone())) };
        let events = stream.push(piece).map_err(|_| ())?;
        if events.is_some() {
            job.charge(stream.events);
        }
        Ok(events)
    }

    async fn write(&self, caller: &mut Conn, bytes: &[u8]) -> Result<(), Relayed> {
        let mut out = Vec::with_capacity(bytes.len() + 16);
        chunk(&mut out, self.frame, bytes);
        hand_over(caller, &out).await
    }

    async fn finish(&self, caller: &mut Conn) -> Relayed {
        if self.frame != Frame::Chunked {
            return Relayed::Whole;
        }
        hand_over(caller, b"0\r\n\r\n").await.err().unwrap_or(Relayed::Whole)
    }

    /// The target broke off. A resumable stream goes on at another target after the last whole
    /// event that the caller has; anything else ends here, cut so that it cannot look whole.
    async fn go_on_elsewhere<P: Platform>(
        &mut self,
        job: &mut Job<'_, P>,
        caller: &mut Conn,
    ) -> Result<(), Relayed> {
        self.flight.backend().failed();
        let Some(stream) = &self.rest.stream else { return Err(Relayed::Broken) };
        let (last, events): (Option<CompactString>, u64) = (stream.last_id.clone(), stream.events);
        let may = job.route.kind == RouteKind::ResumableStream
            && last.is_some()
            && job.made.runs < job.route.max_attempts
            && job.gw.retries.borrow_mut().take(&job.service);
        let (id, from) = (job.facts.id.clone(), self.flight.backend().id());
        job.gw.log.note(
            "stream_broken",
            format_args!("id={id} target={from} events={events} last={last:?} resumes={may}"),
        );
        let found = job.spawn_crash_check(self.flight.backend());
        if !may {
            return Err(Relayed::Broken);
        }
        await_probe(found).await;
        let reply = tokio::select! {
            biased;
            reply = job.obtain(last.clone()) => reply,
            () = caller.closed() => return Err(Relayed::CallerLeft),
        };
        let Ok(Reply { head, start, rest: Some(mut rest), flight }) = reply else {
            return Err(Relayed::Broken);
        };
        let Some(stream) = rest.stream.as_mut().filter(|_| head.status == 200) else {
            return Err(Relayed::Broken);
        };
        stream.events += events;
        stream.last_id = stream.last_id.take().or(last);
        job.charge(stream.events);
        self.rest = rest;
        self.head = head;
        self.flight = flight;
        self.write(caller, &start).await
    }
}
