//! Targets that speak the request protocol and fail as they are told.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::gateway::{SEAL, names};
use crate::error::Result;
use crate::gateway::HeaderNames;
use crate::http1::{Conn, Header, RequestHead, header};

/// How long a stand-in's bytes may stay unacknowledged.
const SILENCE: Duration = Duration::from_secs(5);
/// The longest request a stand-in takes, in bytes.
const MAX_REQUEST: u64 = 1024 * 1024;
/// The body of a request that ends any target which runs it.
pub const FATAL_BODY: &[u8] = b"fatal";
/// How long after it announced the end of a connection a stand-in closes it.
const CLOSES_AFTER: Duration = Duration::from_millis(400);
/// Tokens in one event of a stand-in's stream.
pub const TOKENS_PER_EVENT: u64 = 2;

/// What a target does with one request instead of answering it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetFault {
    /// Says that it is full; does not run it.
    Full,
    /// The same, with this `Retry-After`.
    FullUntil(&'static str),
    /// The same as `Full`, and announces the end of the connection, which it closes a moment later.
    FullAndCloses,
    /// Says that another target has the address; does not run it.
    OtherTarget,
    /// Runs it and answers with a failure.
    Fails,
    /// Runs it and closes the connection without an answer.
    LosesAnswer,
    /// Takes it and never answers.
    Hangs,
    /// Sends bytes that are no response.
    Garbage,
    /// Breaks off within the body.
    CutsBody,
    /// Answers, and then once more with another request's id.
    AnswersTwice,
    /// Breaks off within the event after so many whole ones.
    CutsStream(u64),
}

/// A request as a target saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The caller's id.
    pub id: CompactString,
    /// Path and query.
    pub target: CompactString,
    /// All its headers.
    pub headers: Vec<Header>,
    /// Its body.
    pub body: Bytes,
    /// When it arrived.
    pub at: Instant,
}

/// A request that arrived at a target, whether it ran it or not.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The caller's id.
    pub id: CompactString,
    /// When it arrived.
    pub at: Instant,
    /// Set if it was turned away with a `Retry-After`: the seconds stated.
    pub retry_after: Option<&'static str>,
}

/// What a cold target bears.
#[derive(Debug, Default)]
struct Cold {
    /// Requests within any second; one more ends it. None while it is warm.
    most: Option<usize>,
    /// When requests arrived within the last second.
    arrivals: VecDeque<Instant>,
    /// The most that arrived within one second while it was cold.
    seen: usize,
}

impl Cold {
    /// A request arrives. Returns whether the target bears it.
    fn bears(&mut self, now: Instant) -> bool {
        while self.arrivals.front().is_some_and(|t| *t + Duration::from_secs(1) <= now) {
            self.arrivals.pop_front();
        }
        self.arrivals.push_back(now);
        let Some(most) = self.most else { return true };
        self.seen = self.seen.max(self.arrivals.len());
        self.arrivals.len() <= most
    }
}

#[derive(Debug, Default)]
struct Shared {
    cold: Cold,
    faults: VecDeque<TargetFault>,
    runs: Vec<Seen>,
    closed_early: u64,
    event_gap: Duration,
    ended: watch::Sender<bool>,
    says_leaving: bool,
    rests: Option<&'static str>,
    arrivals: Vec<Arrival>,
}

/// A target on a port of its own.
#[derive(Clone, Debug)]
pub struct StandinTarget {
    /// Its id.
    pub id: CompactString,
    /// Its service.
    pub service: CompactString,
    /// Its availability zone.
    pub zone: CompactString,
    /// Its address.
    pub addr: SocketAddr,
    names: Rc<TargetNames>,
    shared: Rc<RefCell<Shared>>,
}

/// Names of headers that a target reads and writes.
#[derive(Clone, Debug)]
pub struct TargetNames {
    /// Those it shares with routers.
    pub headers: HeaderNames,
    /// The header that proves whose answer it is.
    pub seal: CompactString,
}

impl StandinTarget {
    /// Starts a target.
    ///
    /// # Errors
    /// Those of listening.
    pub async fn start(id: &str, service: &str, zone: &str) -> Result<StandinTarget> {
        let names = TargetNames { headers: names(), seal: SEAL.into() };
        StandinTarget::start_named(id, service, zone, names).await
    }

    /// Starts a target that uses other names of headers.
    ///
    /// # Errors
    /// Those of listening.
    pub async fn start_named(
        id: &str,
        service: &str,
        zone: &str,
        names: TargetNames,
    ) -> Result<StandinTarget> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let target = StandinTarget {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            addr: listener.local_addr()?,
            names: Rc::new(names),
            shared: Rc::default(),
        };
        let serving = target.clone();
        spawn_local(async move {
            let accept = async {
                while let Ok((io, _)) = listener.accept().await {
                    spawn_local(serving.clone().serve(io));
                }
            };
            serving.until_ended(accept).await;
        });
        Ok(target)
    }

    /// The next requests meet these faults, one each.
    pub fn fail(&self, faults: &[TargetFault]) {
        self.shared.borrow_mut().faults.extend(faults);
    }

    /// Pause between two events of a stream, and before a fatal request ends this target.
    pub fn set_event_gap(&self, gap: Duration) {
        self.shared.borrow_mut().event_gap = gap;
    }

    /// It is cold from now on and ends when more than `most` requests arrive within a second; warm
    /// if absent.
    pub fn set_cold(&self, most: Option<usize>) {
        self.shared.borrow_mut().cold.most = most;
    }

    /// The most requests that arrived within one second while it was cold.
    pub fn most_while_cold(&self) -> usize {
        self.shared.borrow().cold.seen
    }

    /// All its answers say that it leaves, or not any more.
    pub fn set_says_leaving(&self, leaving: bool) {
        self.shared.borrow_mut().says_leaving = leaving;
    }

    /// It turns every request away with this `Retry-After`; none if absent.
    pub fn set_rests(&self, retry_after: Option<&'static str>) {
        self.shared.borrow_mut().rests = retry_after;
    }

    /// The requests that arrived, but for those meant for another target.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared.borrow().arrivals.clone()
    }

    /// The requests that it ran.
    pub fn runs(&self) -> Vec<Seen> {
        self.shared.borrow().runs.clone()
    }

    /// Ends as a process does that crashes: nobody listens any more, all connections break.
    pub fn end(&self) {
        self.shared.borrow().ended.send_replace(true);
    }

    /// Ends after the pause between two events, also if the connection is closed meanwhile.
    fn end_later(&self) {
        let target = self.clone();
        spawn_local(async move {
            let gap = target.shared.borrow().event_gap;
            tokio::time::sleep(gap).await;
            target.end();
        });
    }

    /// Whether it has ended.
    pub fn has_ended(&self) -> bool {
        *self.shared.borrow().ended.borrow()
    }

    /// Waits until it has ended.
    pub async fn wait_end(&self) {
        self.until_ended(std::future::pending()).await;
    }

    /// Does `work` until this target ends.
    async fn until_ended(&self, work: impl Future<Output = ()>) {
        let mut ended = self.shared.borrow().ended.subscribe();
        tokio::select! {
            biased;
            // The sender lives as long as this target: the channel cannot be closed.
            _ = ended.wait_for(|ended| *ended) => (),
            () = work => (),
        }
    }

    /// Requests whose connection was closed before their answer was whole.
    pub fn closed_early(&self) -> u64 {
        self.shared.borrow().closed_early
    }

    async fn serve(self, io: TcpStream) {
        let Ok(mut conn) = Conn::new(io, SILENCE) else { return };
        let answer_all = async {
            while let Ok(head) = conn.read_request(64 * 1024).await {
                let Ok(Some(body)) = conn.read_body(head.body, MAX_REQUEST).await else { return };
                if !self.answer(&mut conn, &head, body).await {
                    return;
                }
            }
        };
        self.until_ended(answer_all).await;
    }

    /// Answers one request. Returns whether the connection goes on.
    async fn answer(&self, conn: &mut Conn, head: &RequestHead, body: Bytes) -> bool {
        let names = &self.names.headers;
        let id: CompactString = header(&head.headers, &names.request_id).unwrap_or_default().into();
        let expected = header(&head.headers, &names.expect_target);
        let fault = self.next_fault();
        if fault == Some(TargetFault::OtherTarget) || expected != Some(self.id.as_str()) {
            return write(conn, &self.short(421, &id, "", "")).await;
        }
        let retry_after = match fault {
            Some(TargetFault::FullUntil(after)) => Some(after),
            _ => None,
        };
        let arrival = Arrival { id: id.clone(), at: Instant::now(), retry_after };
        self.shared.borrow_mut().arrivals.push(arrival);
        match fault {
            Some(TargetFault::Full) => return self.turn_away(conn, &id, "").await,
            Some(TargetFault::FullUntil(after)) => {
                return self.turn_away(conn, &id, &format!("Retry-After: {after}\r\n")).await;
            }
            Some(TargetFault::FullAndCloses) => {
                self.turn_away(conn, &id, "Connection: close\r\n").await;
                tokio::time::sleep(CLOSES_AFTER).await;
                return false;
            }
            _ => (),
        }
        if !self.shared.borrow_mut().cold.bears(Instant::now()) {
            self.end();
            return false;
        }
        let seen = Seen {
            id: id.clone(),
            target: head.target.clone(),
            headers: head.headers.clone(),
            body,
            at: Instant::now(),
        };
        let is_fatal = seen.body == FATAL_BODY;
        self.shared.borrow_mut().runs.push(seen);
        if is_fatal {
            self.end_later();
            return std::future::pending().await;
        }
        let seal = format!("{}: {}.{id}\r\n", self.names.seal, self.id);
        let text = format!("answer of {} to {id}", self.id);
        match fault {
            Some(TargetFault::Fails) => write(conn, &self.short(500, &id, &seal, "failed")).await,
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
                let whole = self.short(200, &id, &seal, &text);
                write(conn, &whole[..whole.len() - 3]).await;
                false
            }
            Some(TargetFault::AnswersTwice) => {
                let mut both = self.short(200, &id, &seal, &text);
                both.extend(self.short(200, "someone-else", &seal, "not for you"));
                write(conn, &both).await
            }
            _ if head.target.starts_with("/stream/") || head.target.starts_with("/resumable/") => {
                self.stream(conn, head, &id, &seal, fault).await
            }
            _ => write(conn, &self.short(200, &id, &seal, &text)).await,
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
        let last = header(&head.headers, &names.last_event_id);
        let from: u64 = last.and_then(|v| v.parse().ok()).unwrap_or(0);
        let start = format!(
            "HTTP/1.1 200 OK\r\n{}: {id}\r\n{seal}{}Content-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            names.request_id,
            self.leaving()
        );
        if !write(conn, start.as_bytes()).await {
            return false;
        }
        let gap = self.shared.borrow().event_gap;
        for n in from + 1..=output / TOKENS_PER_EVENT {
            let event = format!("id: {n}\ndata: token {n}\n\n");
            if fault == Some(TargetFault::CutsStream(n - 1)) {
                write(conn, format!("{:x}\r\n{}", event.len(), &event[..6]).as_bytes()).await;
                return false;
            }
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            let left = tokio::select! {
                () = conn.wait_closed(), if !gap.is_zero() => true,
                () = tokio::time::sleep(gap), if !gap.is_zero() => false,
                else => false,
            };
            if left || !write(conn, chunk.as_bytes()).await {
                self.shared.borrow_mut().closed_early += 1;
                return false;
            }
        }
        write(conn, b"0\r\n\r\n").await
    }

    fn next_fault(&self) -> Option<TargetFault> {
        let mut shared = self.shared.borrow_mut();
        shared.rests.map(TargetFault::FullUntil).or_else(|| shared.faults.pop_front())
    }

    /// Answers that it did not run the request, with more headers.
    async fn turn_away(&self, conn: &mut Conn, id: &str, headers: &str) -> bool {
        let headers = format!("{}: 1\r\n{headers}", self.names.headers.not_run);
        write(conn, &self.short(503, id, &headers, "")).await
    }

    /// The header that says that it leaves, if it does.
    fn leaving(&self) -> String {
        let leaving = self.shared.borrow().says_leaving;
        if leaving { format!("{}: 1\r\n", self.names.headers.leaving) } else { String::new() }
    }

    fn short(&self, status: u16, id: &str, headers: &str, body: &str) -> Vec<u8> {
        let (name, len, leaving) = (&self.names.headers.request_id, body.len(), self.leaving());
        format!(
            "HTTP/1.1 {status} Stated\r\n{name}: {id}\r\n{headers}{leaving}Content-Length: {len}\r\n\r\n{body}"
        )
        .into_bytes()
    }
}

async fn write(conn: &mut Conn, bytes: &[u8]) -> bool {
    conn.write(bytes).await.is_ok()
}
