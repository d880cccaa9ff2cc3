//! Stand-ins around the gateway: a platform over the row store in memory, and targets that
//! speak the request protocol and fail as they are told.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString, format_compact};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::error::{Error, Kind, Result};
use crate::gateway::catalog::{Engine, Share};
use crate::gateway::place::Weights;
use crate::gateway::retries::RetryAllowance;
use crate::gateway::{
    Catalog, CatalogParts, Limits, Names, Organisation, Platform, Route, RouteKind, Service,
    StartedMs, TargetInfo, TargetState,
};
use crate::http1::{Conn, Header, RequestHead, header};
use crate::ids::Tokens;
use crate::rows::{Arriving, Committed, MemoryRows, Page, RowStore, StoreResult, Tx, Ver};

/// How long a stand-in's bytes may stay unacknowledged.
const SILENCE: Duration = Duration::from_secs(5);
/// The longest request a stand-in takes, in bytes.
const MAX_REQUEST: u64 = 1024 * 1024;
/// The body of a request that ends any target which runs it.
pub const FATAL_BODY: &[u8] = b"fatal";
/// Tokens in one event of a stand-in's stream.
pub const TOKENS_PER_EVENT: u64 = 2;
/// Names of headers at the stand-ins.
pub const REQUEST_ID: &str = "Request-Id";
/// See [`REQUEST_ID`].
pub const SEAL: &str = "Seal";
/// See [`REQUEST_ID`].
pub const ORGANISATION: &str = "Organisation";
/// See [`REQUEST_ID`].
pub const EXPECT_TARGET: &str = "Expect-Target";
/// See [`REQUEST_ID`].
pub const NOT_RUN: &str = "Not-Run";
/// See [`REQUEST_ID`].
pub const TOKEN_COUNTS: &str = "Tokens";
/// See [`REQUEST_ID`].
pub const LAST_EVENT: &str = "Last-Event-Id";

fn names() -> Names {
    Names {
        request_id: REQUEST_ID.into(),
        time_left: "Time-Left-Ms".into(),
        prompt_parts: "Prompt-Parts".into(),
        token_counts: TOKEN_COUNTS.into(),
        output_estimate: "Output-Estimate".into(),
        last_event_id: LAST_EVENT.into(),
        organisation: ORGANISATION.into(),
        expect_target: EXPECT_TARGET.into(),
        not_run: NOT_RUN.into(),
        reserved: vec![ORGANISATION.into(), EXPECT_TARGET.into(), NOT_RUN.into(), SEAL.into()],
    }
}

/// A route of the only host.
pub fn route(prefix: &str, kind: RouteKind, max_attempts: u32) -> Route {
    Route {
        name: prefix.trim_matches('/').into(),
        host: "shop.example".into(),
        prefix: prefix.into(),
        kind,
        timeout: Duration::from_secs(5),
        aim: Duration::from_millis(400),
        gap_aim: Duration::from_millis(200),
        priority: 1,
        max_attempts,
        public: false,
        shares: vec![Share { service: "model".into(), weight: 1 }],
    }
}

/// The usual configuration: four kinds of routes, one organisation with `prepaid` tokens.
pub fn parts(version: u64, prepaid: u64) -> CatalogParts {
    CatalogParts {
        version,
        routes: vec![
            route("/safe/", RouteKind::Idempotent, 2),
            route("/once/", RouteKind::NonIdempotent, 1),
            route("/stream/", RouteKind::Stream, 1),
            route("/resumable/", RouteKind::ResumableStream, 2),
        ],
        services: vec![Service {
            name: "model".into(),
            max_connections: 100,
            engine: Some(Engine {
                slots: 8,
                kv_capacity: 100_000,
                tokens_per_event: TOKENS_PER_EVENT,
            }),
        }],
        limits: Limits::default(),
        organisations: Some(vec![Organisation {
            name: "norte".into(),
            keys: vec!["key-norte".into()],
            priority: None,
            prepaid: Some(Tokens(prepaid)),
        }]),
    }
}

/// A platform over the row store in memory. Configurations are kept beside the store, and
/// their row holds a number; a target's row is `service address zone slots state`, and after it
/// when the target started if that is known.
#[derive(Clone)]
pub struct LocalPlatform {
    /// The store; its fault is this handle's own.
    pub rows: MemoryRows,
    configs: Rc<RefCell<Vec<CatalogParts>>>,
    names: Rc<Names>,
}

impl Default for LocalPlatform {
    fn default() -> LocalPlatform {
        LocalPlatform::new()
    }
}

impl LocalPlatform {
    /// An empty platform.
    pub fn new() -> LocalPlatform {
        LocalPlatform { rows: MemoryRows::new(), configs: Rc::default(), names: Rc::new(names()) }
    }

    /// The same platform for another router, with a fault of its own.
    pub fn another(&self) -> LocalPlatform {
        LocalPlatform { rows: self.rows.another(), ..self.clone() }
    }

    /// Acknowledges a configuration.
    pub fn configure(&self, parts: CatalogParts) {
        self.configure_large(parts, 0);
    }

    /// Acknowledges a configuration whose row has at least `bytes` bytes.
    pub fn configure_large(&self, parts: CatalogParts, bytes: usize) {
        let mut configs = self.configs.borrow_mut();
        configs.push(parts);
        let mut row = (configs.len() - 1).to_string().into_bytes();
        row.resize(bytes.max(row.len()), b' ');
        self.rows.put("operator", "config", &row);
    }

    /// Writes a target's entry.
    pub fn register(&self, target: &StandinTarget, state: &str) {
        let row = format!("{} {} {} 8 {state}", target.service, target.addr, target.zone);
        self.rows.put("targets", &target.id, row.as_bytes());
    }
}

impl RowStore for LocalPlatform {
    async fn scan(&self, table: &str, part: &str) -> StoreResult<Page> {
        self.rows.scan(table, part).await
    }

    async fn feed(
        &self,
        table: &str,
        after: Ver,
        wait: Duration,
        arriving: &Arriving,
    ) -> StoreResult<Page> {
        self.rows.feed(table, after, wait, arriving).await
    }

    async fn commit(&self, tx: &Tx) -> StoreResult<Committed> {
        self.rows.commit(tx).await
    }
}

fn bad_row(what: &str) -> Error {
    Error::new(Kind::BadFormat, what)
}

impl Platform for LocalPlatform {
    fn names(&self) -> &Names {
        &self.names
    }

    fn config_row(&self) -> (&'static str, &'static str) {
        ("operator", "config")
    }

    fn targets_table(&self) -> &'static str {
        "targets"
    }

    fn catalog(&self, value: &[u8]) -> Result<Catalog> {
        let number = std::str::from_utf8(value).ok().and_then(|v| v.trim().parse::<usize>().ok());
        let configs = self.configs.borrow();
        let parts = number.and_then(|n| configs.get(n)).ok_or_else(|| bad_row("config"))?;
        Ok(Catalog::build(parts.clone()))
    }

    fn target(&self, id: &str, value: &[u8]) -> Result<TargetInfo> {
        let text = std::str::from_utf8(value).map_err(|_| bad_row("target"))?;
        let fields: Vec<&str> = text.split(' ').collect();
        let (fields, born) = match fields[..] {
            [service, addr, zone, slots, state] => ([service, addr, zone, slots, state], None),
            [service, addr, zone, slots, state, born] => {
                let born = born.parse().map_err(|_| bad_row("born"))?;
                ([service, addr, zone, slots, state], Some(StartedMs(born)))
            }
            _ => return Err(bad_row("target")),
        };
        let [service, addr, zone, slots, state] = fields;
        Ok(TargetInfo {
            id: id.into(),
            service: service.into(),
            addr: addr.parse().map_err(|_| bad_row("address"))?,
            zone: zone.into(),
            slots: slots.parse().map_err(|_| bad_row("slots"))?,
            state: if state == "ready" { TargetState::Ready } else { TargetState::Draining },
            warm_up: Duration::ZERO,
            born,
        })
    }
}

/// What a target does with one request instead of answering it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetFault {
    /// Says that it is full; does not run it.
    Full,
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
}

#[derive(Debug, Default)]
struct Shared {
    faults: VecDeque<TargetFault>,
    runs: Vec<Seen>,
    closed_early: u64,
    event_gap: Duration,
    ended: watch::Sender<bool>,
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
    pub headers: Names,
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
        let fault = self.shared.borrow_mut().faults.pop_front();
        if fault == Some(TargetFault::OtherTarget) || expected != Some(self.id.as_str()) {
            return write(conn, &self.short(421, &id, "", "")).await;
        }
        if fault == Some(TargetFault::Full) {
            return write(conn, &self.short(503, &id, &format!("{}: 1\r\n", names.not_run), ""))
                .await;
        }
        let seen = Seen {
            id: id.clone(),
            target: head.target.clone(),
            headers: head.headers.clone(),
            body,
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
                conn.closed().await;
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
            "HTTP/1.1 200 OK\r\n{}: {id}\r\n{seal}Content-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            names.request_id
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
                () = conn.closed(), if !gap.is_zero() => true,
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

    fn short(&self, status: u16, id: &str, headers: &str, body: &str) -> Vec<u8> {
        let (name, len) = (&self.names.headers.request_id, body.len());
        format!(
            "HTTP/1.1 {status} Stated\r\n{name}: {id}\r\n{headers}Content-Length: {len}\r\n\r\n{body}"
        )
        .into_bytes()
    }
}

async fn write(conn: &mut Conn, bytes: &[u8]) -> bool {
    conn.write(bytes).await.is_ok()
}

/// Settings of a gateway for the stand-ins: everything on loopback, a short stop.
pub fn settings(instance: &str, zone: &str, front: SocketAddr) -> crate::gateway::Settings {
    crate::gateway::Settings {
        instance: instance.to_compact_string(),
        zone: zone.to_compact_string(),
        front,
        peer: front,
        retries: RetryAllowance { ratio: 0.5, slack: 60.0 },
        budgets: crate::allowance::KeeperSettings {
            horizon_ms: 10_000,
            patience: Duration::from_millis(500),
        },
        weights: Weights::default(),
        capacity: 100,
        entry_ttl: Duration::from_millis(100),
        grace: Duration::from_secs(5),
        body_memory: 64 * 1024 * 1024,
        max_connections: 1_000,
    }
}

/// The name of a process at an instance.
pub fn process(instance: &str, incarnation: u64) -> crate::allowance::HolderName {
    crate::allowance::HolderName { place: format_compact!("{instance}/127.0.0.1"), incarnation }
}
