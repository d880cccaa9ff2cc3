//! Target stand-ins that speak the request protocol and inject faults.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::gateway::{SEAL, header_names};
use super::target_capacity::{Capacity, Places, Rejection};
use crate::error::Result;
use crate::gateway::HeaderNames;
use crate::http1::{Conn, Header, RequestHead, header};

/// Maximum time for which sent bytes may remain unacknowledged.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum length of a request body, in bytes.
const MAX_BODY_LEN: u64 = 1024 * 1024;
/// Segment size of Ethernet. With the loopback interface's own, a sender's buffer holds megabytes.
const SEGMENT_BYTES: u32 = 1_460;
/// Connections that may wait to be accepted.
const ACCEPT_BACKLOG: u32 = 128;
/// Body of a request that crashes any target that runs it.
pub const FATAL_BODY: &[u8] = b"fatal";
/// Delay between an answer with `Connection: close` and the close of the connection.
const CLOSE_DELAY: Duration = Duration::from_millis(400);
/// Version of a target's software unless a test sets another one.
const DEFAULT_VERSION: &str = "v1";
/// Tokens in one event of a stream.
pub const TOKENS_PER_EVENT: u64 = 2;

/// What a target does with one request instead of answering it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetFault {
    /// Rejects the request because the target is full; does not run it.
    Full,
    /// Like `Full`, with this `Retry-After`.
    FullRetryAfter(&'static str),
    /// Like `Full`, and announces that the connection will be closed, which happens after a short
    /// delay.
    FullAndCloses,
    /// Rejects the request because the address now belongs to another target; does not run it.
    OtherTarget,
    /// Runs the request and answers with status 500.
    Fails,
    /// Runs the request and closes the connection without an answer.
    LosesAnswer,
    /// Runs the request and never answers.
    Hangs,
    /// Runs the request and sends bytes that are not an HTTP response.
    Garbage,
    /// Runs the request and closes the connection in the middle of the body.
    CutsBody,
    /// Answers, and then sends a second response with the id of another request.
    AnswersTwice,
    /// Closes the connection in the middle of an event, after this many complete events.
    CutsStream(u64),
    /// Sends bytes that are no chunk after this many complete events, and works on until the
    /// connection is closed.
    SpoilsStream(u64),
    /// Sends a stream with neither a length nor chunks, which ends with the connection, in the
    /// middle of an event after this many complete ones.
    CutsUnframedStream(u64),
    /// Sends a complete stream with neither a length nor chunks.
    UnframedStream,
    /// Rejects the request before its body has arrived; does not run it. Keeps the connection, and
    /// reads the body after [`StandinTarget::read_on`].
    RejectsEarly,
    /// Runs the request and answers before its body has arrived. Keeps the connection, and reads
    /// the body after [`StandinTarget::read_on`].
    AnswersEarly,
    /// Sends a response with the id of another request before it reads the body of this one.
    StrayAnswerBeforeBody,
}

/// A request that a target ran.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// The caller's id of the request.
    pub id: CompactString,
    /// Path and query.
    pub target: CompactString,
    /// All headers.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Bytes,
    /// Time of arrival.
    pub at: Instant,
}

/// A request that arrived at a target, whether or not the target ran it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The caller's id of the request.
    pub id: CompactString,
    /// Time of arrival.
    pub at: Instant,
    /// The `Retry-After` value in seconds, if the request was rejected with one.
    pub retry_after: Option<&'static str>,
}

/// Limits the request rate of a cold target.
#[derive(Debug, Default)]
struct ColdLimit {
    /// Maximum number of requests within any second; a further one crashes the target. `None` while
    /// the target is warm.
    max_per_s: Option<usize>,
    /// Arrival times of the requests of the last second.
    arrivals: VecDeque<Instant>,
    /// Highest number of arrivals within one second while the target was cold.
    peak_per_s: usize,
}

impl ColdLimit {
    /// Records the arrival of a request. Returns whether the target can handle it.
    fn admits(&mut self, now: Instant) -> bool {
        while self.arrivals.front().is_some_and(|t| *t + Duration::from_secs(1) <= now) {
            self.arrivals.pop_front();
        }
        self.arrivals.push_back(now);
        let Some(max_per_s) = self.max_per_s else { return true };
        self.peak_per_s = self.peak_per_s.max(self.arrivals.len());
        self.arrivals.len() <= max_per_s
    }
}

#[derive(Debug, Default)]
struct Shared {
    cold: ColdLimit,
    faults: VecDeque<TargetFault>,
    runs: Vec<ReceivedRequest>,
    closed_early: u64,
    event_gap: Duration,
    crashed: watch::Sender<bool>,
    announces_leaving: bool,
    reject_all: Option<&'static str>,
    version: CompactString,
    arrivals: Vec<Arrival>,
    places: Places,
    fatal_part: Option<u64>,
    late_bodies: Vec<Bytes>,
    reads_on: Rc<Notify>,
}

/// A target with its own port. Clones share its state.
#[derive(Clone, Debug)]
pub struct StandinTarget {
    /// Id of the target.
    pub id: CompactString,
    /// Service of the target.
    pub service: CompactString,
    /// Availability zone of the target.
    pub zone: CompactString,
    /// Address of the target.
    pub addr: SocketAddr,
    names: Rc<TargetNames>,
    shared: Rc<RefCell<Shared>>,
}

/// Names of the headers that a target reads and writes.
#[derive(Clone, Debug)]
pub struct TargetNames {
    /// Headers that routers use as well.
    pub headers: HeaderNames,
    /// Header that proves which target answered which request.
    pub seal: CompactString,
}

impl StandinTarget {
    /// Starts a target.
    ///
    /// # Errors
    /// `Io` when no port can be bound.
    pub async fn start(id: &str, service: &str, zone: &str) -> Result<StandinTarget> {
        let names = TargetNames { headers: header_names(), seal: SEAL.into() };
        StandinTarget::start_named(id, service, zone, names).await
    }

    /// Starts a target with other header names.
    ///
    /// # Errors
    /// `Io` when no port can be bound.
    pub async fn start_named(
        id: &str,
        service: &str,
        zone: &str,
        names: TargetNames,
    ) -> Result<StandinTarget> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        StandinTarget::start_on(listener, id, service, zone, names)
    }

    /// Starts a target whose connections buffer only about `window` bytes that it has not read.
    ///
    /// # Errors
    /// `Io` when no port can be bound.
    pub async fn start_with_window(
        id: &str,
        service: &str,
        zone: &str,
        window: u32,
    ) -> Result<StandinTarget> {
        let names = TargetNames { headers: header_names(), seal: SEAL.into() };
        let sock = TcpSocket::new_v4()?;
        sock.set_recv_buffer_size(window)?;
        SockRef::from(&sock).set_tcp_mss(SEGMENT_BYTES)?;
        sock.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        StandinTarget::start_on(sock.listen(ACCEPT_BACKLOG)?, id, service, zone, names)
    }

    fn start_on(
        listener: TcpListener,
        id: &str,
        service: &str,
        zone: &str,
        names: TargetNames,
    ) -> Result<StandinTarget> {
        let target = StandinTarget {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            addr: listener.local_addr()?,
            names: Rc::new(names),
            shared: Rc::default(),
        };
        target.set_version(DEFAULT_VERSION);
        let server = target.clone();
        spawn_local(async move {
            let accept = async {
                while let Ok((io, _)) = listener.accept().await {
                    spawn_local(server.clone().serve(io));
                }
            };
            server.run_until_crash(accept).await;
        });
        Ok(target)
    }

    /// Sets the version of the target's software, which each event of a stream states.
    pub fn set_version(&self, version: &str) {
        self.shared.borrow_mut().version = version.into();
    }

    /// The version of the target's software.
    pub fn version(&self) -> CompactString {
        self.shared.borrow().version.clone()
    }

    /// Queues faults. Each of the next requests meets one of them.
    pub fn fail(&self, faults: &[TargetFault]) {
        self.shared.borrow_mut().faults.extend(faults);
    }

    /// Replaces the queued faults.
    pub fn set_faults(&self, faults: &[TargetFault]) {
        self.shared.borrow_mut().faults = faults.iter().copied().collect();
    }

    /// Sets the pause between two events of a stream. A fatal request also crashes this target
    /// after this time.
    pub fn set_event_gap(&self, gap: Duration) {
        self.shared.borrow_mut().event_gap = gap;
    }

    /// Makes the target cold with a limit, or warm with `None`. A cold target crashes when more
    /// than `max_per_s` requests arrive within one second.
    pub fn set_cold(&self, max_per_s: Option<usize>) {
        self.shared.borrow_mut().cold.max_per_s = max_per_s;
    }

    /// The highest number of requests that arrived within one second while the target was cold.
    pub fn peak_while_cold(&self) -> usize {
        self.shared.borrow().cold.peak_per_s
    }

    /// Sets whether all answers announce that the target is about to stop.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.borrow_mut().announces_leaving = leaving;
    }

    /// Rejects every request with this `Retry-After`; accepts requests again with `None`.
    pub fn set_reject_all(&self, retry_after: Option<&'static str>) {
        self.shared.borrow_mut().reject_all = retry_after;
    }

    /// Crashes the target when it begins to answer a request whose prompt has this part, unless it
    /// is the last one.
    pub fn set_fatal_part(&self, part: Option<u64>) {
        self.shared.borrow_mut().fatal_part = part;
    }

    fn has_fatal_part(&self, head: &RequestHead) -> bool {
        let Some(fatal) = self.shared.borrow().fatal_part else { return false };
        let parts = header(&head.headers, &self.names.headers.prompt_parts).unwrap_or_default();
        let mut ids: Vec<_> = parts.split(',').filter_map(|p| p.split_once(':')).collect();
        ids.pop();
        ids.iter().any(|(id, _)| u64::from_str_radix(id.trim(), 16) == Ok(fatal))
    }

    /// Limits how many requests the target runs and queues at once; no limit with `None`.
    pub fn set_capacity(&self, capacity: Option<Capacity>) {
        self.shared.borrow().places.set_capacity(capacity);
    }

    /// Announces, in all answers, how many requests the target can reject within one second for
    /// want of capacity. When it rejects more, it crashes.
    pub fn set_rejection_limit(&self, limit: Option<u32>) {
        self.shared.borrow().places.set_rejection_limit(limit);
    }

    /// Number of requests that the target rejected for want of capacity.
    pub fn rejections(&self) -> usize {
        self.shared.borrow().places.rejections()
    }

    /// The requests that arrived, except those intended for another target.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared.borrow().arrivals.clone()
    }

    /// Reads the bodies of requests that were answered early.
    pub fn read_on(&self) {
        self.shared.borrow().reads_on.notify_one();
    }

    /// The complete bodies of requests that were answered early.
    pub fn late_bodies(&self) -> Vec<Bytes> {
        self.shared.borrow().late_bodies.clone()
    }

    /// The requests that the target ran.
    pub fn runs(&self) -> Vec<ReceivedRequest> {
        self.shared.borrow().runs.clone()
    }

    /// Stops like a crashed process: closes the port and breaks all connections.
    pub fn crash(&self) {
        self.shared.borrow().crashed.send_replace(true);
    }

    /// Crashes after the pause between two events, even if the connection is closed before.
    fn crash_after_event_gap(&self) {
        let target = self.clone();
        spawn_local(async move {
            let gap = target.shared.borrow().event_gap;
            tokio::time::sleep(gap).await;
            target.crash();
        });
    }

    /// Whether the target has crashed.
    pub fn has_crashed(&self) -> bool {
        *self.shared.borrow().crashed.borrow()
    }

    /// Waits until the target has crashed.
    pub async fn wait_for_crash(&self) {
        self.run_until_crash(std::future::pending()).await;
    }

    /// Runs `work` until it completes or the target crashes.
    async fn run_until_crash(&self, work: impl Future<Output = ()>) {
        let mut crashed = self.shared.borrow().crashed.subscribe();
        tokio::select! {
            biased;
            // The sender lives as long as this target, so the channel cannot be closed.
            _ = crashed.wait_for(|crashed| *crashed) => (),
            () = work => (),
        }
    }

    /// Number of requests whose connection was closed before their answer was complete.
    pub fn closed_early(&self) -> u64 {
        self.shared.borrow().closed_early
    }

    async fn serve(self, io: TcpStream) {
        let Ok(mut conn) = Conn::new(io, UNACKED_TIMEOUT) else { return };
        let answer_all = async {
            while let Ok(head) = conn.read_request(64 * 1024).await {
                let early = self.next_early_fault();
                if early == Some(TargetFault::StrayAnswerBeforeBody) {
                    if !write(&mut conn, &self.stray_response()).await {
                        return;
                    }
                } else if let Some(fault) = early {
                    if !self.answer_early(&mut conn, &head, fault).await {
                        return;
                    }
                    continue;
                }
                let Ok(Some(body)) = conn.read_body(head.body, |n| n <= MAX_BODY_LEN).await else {
                    return;
                };
                if !self.answer(&mut conn, &head, body).await {
                    return;
                }
            }
        };
        self.run_until_crash(answer_all).await;
    }

    fn next_early_fault(&self) -> Option<TargetFault> {
        let mut shared = self.shared.borrow_mut();
        let is_early = matches!(
            shared.faults.front(),
            Some(
                TargetFault::RejectsEarly
                    | TargetFault::AnswersEarly
                    | TargetFault::StrayAnswerBeforeBody
            )
        );
        if is_early { shared.faults.pop_front() } else { None }
    }

    /// Answers a request of which only the head was read, and reads its body later. Returns whether
    /// the connection stays open.
    async fn answer_early(&self, conn: &mut Conn, head: &RequestHead, fault: TargetFault) -> bool {
        let names = &self.names.headers;
        let id: CompactString = header(&head.headers, &names.request_id).unwrap_or_default().into();
        let seal = format!("{}: {}.{id}\r\n", self.names.seal, self.id);
        let text = format!("answer of {} to {id}", self.id);
        let answered = match fault {
            TargetFault::RejectsEarly => self.reject(conn, &id, "").await,
            _ => write(conn, &self.response(200, &id, &seal, &text)).await,
        };
        let reads_on = self.shared.borrow().reads_on.clone();
        reads_on.notified().await;
        let Ok(Some(body)) = conn.read_body(head.body, |n| n <= MAX_BODY_LEN).await else {
            return false;
        };
        self.shared.borrow_mut().late_bodies.push(body);
        answered
    }

    /// Answers one request. Returns whether the connection stays open.
    async fn answer(&self, conn: &mut Conn, head: &RequestHead, body: Bytes) -> bool {
        let names = &self.names.headers;
        let id: CompactString = header(&head.headers, &names.request_id).unwrap_or_default().into();
        let expected = header(&head.headers, &names.expect_target);
        let fault = self.next_fault();
        if fault == Some(TargetFault::OtherTarget) || expected != Some(self.id.as_str()) {
            return write(conn, &self.response(421, &id, "", "")).await;
        }
        let retry_after = match fault {
            Some(TargetFault::FullRetryAfter(after)) => Some(after),
            _ => None,
        };
        let arrival = Arrival { id: id.clone(), at: Instant::now(), retry_after };
        self.shared.borrow_mut().arrivals.push(arrival);
        match fault {
            Some(TargetFault::Full) => return self.reject(conn, &id, "").await,
            Some(TargetFault::FullRetryAfter(after)) => {
                return self.reject(conn, &id, &format!("Retry-After: {after}\r\n")).await;
            }
            Some(TargetFault::FullAndCloses) => {
                self.reject(conn, &id, "Connection: close\r\n").await;
                tokio::time::sleep(CLOSE_DELAY).await;
                return false;
            }
            _ => (),
        }
        if !self.shared.borrow_mut().cold.admits(Instant::now()) {
            self.crash();
            return false;
        }
        let places = self.shared.borrow().places.clone();
        let place = match places.take(Instant::now()) {
            Ok(place) => place,
            Err(Rejection::Tolerated) => return self.reject(conn, &id, "").await,
            Err(Rejection::Fatal) => {
                self.crash();
                return false;
            }
        };
        let request = ReceivedRequest {
            id: id.clone(),
            target: head.target.clone(),
            headers: head.headers.clone(),
            body,
            at: Instant::now(),
        };
        let is_fatal = request.body == FATAL_BODY || self.has_fatal_part(head);
        self.shared.borrow_mut().runs.push(request);
        let _slot = tokio::select! {
            slot = place.run() => slot,
            () = conn.wait_closed() => {
                self.shared.borrow_mut().closed_early += 1;
                return false;
            }
        };
        if is_fatal {
            self.crash_after_event_gap();
            return std::future::pending().await;
        }
        let seal = format!("{}: {}.{id}\r\n", self.names.seal, self.id);
        let text = format!("answer of {} to {id}", self.id);
        match fault {
            Some(TargetFault::Fails) => {
                write(conn, &self.response(500, &id, &seal, "failed")).await
            }
            Some(TargetFault::LosesAnswer) => false,
            Some(TargetFault::Hangs) => {
                conn.wait_closed().await;
                self.shared.borrow_mut().closed_early += 1;
                false
            }
            Some(TargetFault::Garbage) => {
                write(conn, b"\x00\x01 this is no response\r\n\r\n").await;
                false
            }
            Some(TargetFault::CutsBody) => {
                let whole = self.response(200, &id, &seal, &text);
                write(conn, &whole[..whole.len() - 3]).await;
                false
            }
            Some(TargetFault::AnswersTwice) => {
                let mut responses = self.response(200, &id, &seal, &text);
                responses.extend(self.stray_response());
                write(conn, &responses).await
            }
            _ if head.target.starts_with("/stream/") || head.target.starts_with("/resumable/") => {
                self.stream(conn, head, &id, &seal, fault).await
            }
            _ => write(conn, &self.response(200, &id, &seal, &text)).await,
        }
    }

    async fn stream(
        &self,
        conn: &mut Conn,
        head: &RequestHead,
        id: &str,
        seal: &str,
        fault: Option<TargetFault>,
    ) -> bool {
        let names = &self.names.headers;
        let counts = header(&head.headers, &names.token_counts).and_then(|v| v.split_once(','));
        let output: u64 = counts.and_then(|(_, o)| o.trim().parse().ok()).unwrap_or(10);
        let resume_after = header(&head.headers, &names.last_event_id);
        let from: u64 = resume_after.and_then(|v| v.parse().ok()).unwrap_or(0);
        let is_unframed =
            matches!(fault, Some(TargetFault::UnframedStream | TargetFault::CutsUnframedStream(_)));
        let framing = if is_unframed { "Connection: close" } else { "Transfer-Encoding: chunked" };
        let start = format!(
            "HTTP/1.1 200 OK\r\n{}: {id}\r\n{seal}{}Content-Type: text/event-stream\r\n\
             {framing}\r\n\r\n",
            names.request_id,
            self.announcements()
        );
        if !write(conn, start.as_bytes()).await {
            return false;
        }
        let (gap, version) = (self.shared.borrow().event_gap, self.version());
        for n in from + 1..=output / TOKENS_PER_EVENT {
            let event = format!("id: {n}\ndata: token {n} of {version}\n\n");
            if fault == Some(TargetFault::CutsStream(n - 1)) {
                write(conn, format!("{:x}\r\n{}", event.len(), &event[..6]).as_bytes()).await;
                return false;
            }
            if fault == Some(TargetFault::SpoilsStream(n - 1)) {
                write(conn, b"\0 no chunk\r\n").await;
                conn.wait_closed().await;
                self.shared.borrow_mut().closed_early += 1;
                return false;
            }
            if fault == Some(TargetFault::CutsUnframedStream(n - 1)) {
                write(conn, &event.as_bytes()[..6]).await;
                return false;
            }
            if is_unframed {
                write(conn, event.as_bytes()).await;
                continue;
            }
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            let disconnected = tokio::select! {
                () = conn.wait_closed(), if !gap.is_zero() => true,
                () = tokio::time::sleep(gap), if !gap.is_zero() => false,
                else => false,
            };
            if disconnected || !write(conn, chunk.as_bytes()).await {
                self.shared.borrow_mut().closed_early += 1;
                return false;
            }
        }
        if is_unframed {
            return false;
        }
        write(conn, b"0\r\n\r\n").await
    }

    fn next_fault(&self) -> Option<TargetFault> {
        let mut shared = self.shared.borrow_mut();
        shared.reject_all.map(TargetFault::FullRetryAfter).or_else(|| shared.faults.pop_front())
    }

    /// Answers with status 503 and the proof that the request was not run, with additional header
    /// lines.
    async fn reject(&self, conn: &mut Conn, id: &str, headers: &str) -> bool {
        let headers = format!("{}: 1\r\n{headers}", self.names.headers.not_run);
        write(conn, &self.response(503, id, &headers, "")).await
    }

    /// The header lines in which the target announces that it is about to stop, and how many
    /// requests it can reject.
    fn announcements(&self) -> String {
        let (shared, names) = (self.shared.borrow(), &self.names.headers);
        let mut lines = String::new();
        if shared.announces_leaving {
            lines += &format!("{}: 1\r\n", names.leaving);
        }
        if let Some(limit) = shared.places.rejection_limit() {
            lines += &format!("{}: {limit}\r\n", names.rejection_limit);
        }
        lines
    }

    /// A response with the id of another request.
    fn stray_response(&self) -> Vec<u8> {
        let seal = format!("{}: {}.someone-else\r\n", self.names.seal, self.id);
        self.response(200, "someone-else", &seal, "not for you")
    }

    fn response(&self, status: u16, id: &str, headers: &str, body: &str) -> Vec<u8> {
        let (name, len, announced) =
            (&self.names.headers.request_id, body.len(), self.announcements());
        format!(
            "HTTP/1.1 {status} Stated\r\n{name}: {id}\r\n{headers}{announced}Content-Length: {len}\r\n\r\n{body}"
        )
        .into_bytes()
    }
}

async fn write(conn: &mut Conn, bytes: &[u8]) -> bool {
    conn.write(bytes).await.is_ok()
}
