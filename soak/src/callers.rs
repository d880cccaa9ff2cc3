//! Callers that resolve a router through the directories, reuse their connection until the router
//! closes it, and record each request with its response.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::{CompactString, format_compact};
use fastrand::Rng;
use kingcupwall::http1::{Conn, ResponseHead, header};
use kingcupwall::standin::gateway_target::TOKENS_PER_EVENT;
use kingcupwall_platform::names;
use serde_json::Value;
use tokio::time::{Instant, sleep, timeout};

/// The response header that states which target answered which request, as `target.request`.
pub const SEAL_HEADER: &str = "Response-Seal";
/// The host of all routes.
pub const HOST: &str = "shop.example";
/// How long a caller waits for a complete response. It is also sent as the request's remaining
/// time.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a caller waits for a directory's response, and then for a connection to a router.
const DIRECTORY_TIMEOUT: Duration = Duration::from_millis(800);
/// Time-to-live of a directory's response. A caller that found no router retries after a tenth of
/// it.
const DIRECTORY_TTL: Duration = Duration::from_secs(1);

/// A kind of request. Each has a route of its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// May be executed more than once.
    Idempotent,
    /// May be executed once.
    NonIdempotent,
    /// A streamed response, which may be produced once.
    Stream,
    /// A streamed response that another target may resume.
    ResumableStream,
}

impl RequestKind {
    /// All kinds, in the order from which random requests are drawn.
    pub const ALL: [RequestKind; 4] = [
        RequestKind::Idempotent,
        RequestKind::NonIdempotent,
        RequestKind::Stream,
        RequestKind::ResumableStream,
    ];

    /// The path prefix of the route.
    pub fn prefix(self) -> &'static str {
        match self {
            RequestKind::Idempotent => "/safe/",
            RequestKind::NonIdempotent => "/once/",
            RequestKind::Stream => "/stream/",
            RequestKind::ResumableStream => "/resumable/",
        }
    }

    /// Whether the response is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, RequestKind::Stream | RequestKind::ResumableStream)
    }

    /// Whether the request may be executed more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RequestKind::Idempotent | RequestKind::ResumableStream)
    }
}

/// A caller's request and the response to it.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// The request's id.
    pub id: CompactString,
    /// The kind of request.
    pub request_kind: RequestKind,
    /// Index of the organisation whose API key was sent.
    pub org: usize,
    /// Number of prompt tokens, and maximum number of output tokens.
    pub tokens: (u64, u64),
    /// Address of the router that the request was sent to.
    pub router: SocketAddr,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When a response head arrived that announces that its target is leaving.
    pub leaving_at: Option<Instant>,
    /// The response's status; `None` if no response arrived.
    pub status: Option<u16>,
    /// The value of [`SEAL_HEADER`].
    pub seal: Option<CompactString>,
    /// The part of the body that arrived.
    pub body: String,
    /// Whether the whole body arrived.
    pub is_complete: bool,
    /// The stream that the request resumes.
    pub resumes: Option<Resumed>,
}

/// The part of a stream that a caller got before it resumed the stream.
#[derive(Clone, Debug)]
pub struct Resumed {
    /// Id of the request that brought the first event.
    pub root: CompactString,
    /// Number of events.
    pub events: u64,
}

impl Exchange {
    fn complete_events(&self) -> impl Iterator<Item = &str> {
        self.body.split_inclusive("\n\n").filter(|e| e.ends_with("\n\n"))
    }

    /// The ids of the complete events in the body.
    pub fn events(&self) -> Vec<u64> {
        let id = |e: &str| e.lines().find_map(|l| l.strip_prefix("id: "))?.parse().ok();
        self.complete_events().filter_map(id).collect()
    }

    /// The software versions that the complete events state.
    pub fn versions(&self) -> Vec<&str> {
        let version = |e| str::trim_end(e).rsplit_once(" of ").map(|(_, version)| version);
        self.complete_events().filter_map(version).collect()
    }

    /// Id of the request that the stream began under.
    pub fn root(&self) -> &CompactString {
        self.resumes.as_ref().map_or(&self.id, |r| &r.root)
    }

    /// Number of events that came before those of this response.
    pub fn events_before(&self) -> u64 {
        self.resumes.as_ref().map_or(0, |r| r.events)
    }

    /// Number of events in a complete response.
    pub fn expected_events(&self) -> u64 {
        self.tokens.1 / TOKENS_PER_EVENT - self.events_before()
    }

    fn without_response(self) -> Exchange {
        Exchange {
            leaving_at: None,
            status: None,
            seal: None,
            body: String::new(),
            is_complete: false,
            ..self
        }
    }

    /// What a caller resumes after this response broke off; `None` if it cannot resume it.
    fn resumable_part(&self) -> Option<Resumed> {
        let events = self.events().len() as u64;
        let is_cut = self.request_kind == RequestKind::ResumableStream && !self.is_complete;
        let may_resume = is_cut && events > 0 && self.resumes.is_none();
        may_resume.then(|| Resumed { root: self.id.clone(), events })
    }
}

/// State that all callers share.
pub struct Callers {
    /// Addresses of the routers' directories.
    pub directories: Vec<SocketAddr>,
    /// API keys, one for each organisation.
    pub keys: Vec<CompactString>,
    /// All exchanges so far, in the order in which they ended.
    pub exchange_log: RefCell<Vec<Exchange>>,
    /// Set to make all callers stop.
    pub stop_requested: Cell<bool>,
}

/// Sends requests of one caller, one after the other, until callers are stopped.
pub async fn run_caller(callers: Rc<Callers>, number: u32, seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let mut open: Option<(SocketAddr, Conn)> = None;
    let mut sent = 0_u32;
    // A broken stream is resumed once, at any router.
    let mut broken: Option<(Exchange, Resumed)> = None;
    while !callers.stop_requested.get() {
        if open.is_none() {
            open = connect(&callers, &mut rng, number).await;
        }
        let Some((router, mut conn)) = open.take() else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        sent += 1;
        let id = format_compact!("c{number}n{sent}");
        let request = match broken.take() {
            Some((before, resumed)) => Exchange {
                id,
                router,
                resumes: Some(resumed),
                sent_at: Instant::now(),
                ..before.without_response()
            },
            None => random_request(&callers, router, &mut rng, id),
        };
        let (exchange, keep_alive) = send_request(&callers, &mut conn, request).await;
        broken = exchange.resumable_part().map(|part| (exchange.clone(), part));
        callers.exchange_log.borrow_mut().push(exchange);
        // A connection is reused until the router closes it.
        open = keep_alive.then_some((router, conn));
        sleep(Duration::from_millis(rng.u64(10..60))).await;
    }
}

/// Connects to a router that a directory lists for the caller's zone. Directories are tried in random
/// order. The zone depends on whether `number` is even.
pub(crate) async fn connect(
    callers: &Callers,
    rng: &mut Rng,
    number: u32,
) -> Option<(SocketAddr, Conn)> {
    let zone = if number.is_multiple_of(2) { "zone-0" } else { "zone-1" };
    let mut directories = callers.directories.clone();
    rng.shuffle(&mut directories);
    for directory in directories {
        let resolved = timeout(DIRECTORY_TIMEOUT, resolve(directory, zone)).await;
        let Ok(Some(fronts)) = resolved else { continue };
        let Some(front) = rng.choice(fronts) else { continue };
        if let Ok(Ok(conn)) = timeout(DIRECTORY_TIMEOUT, Conn::dial(front, REQUEST_TIMEOUT)).await {
            return Some((front, conn));
        }
    }
    sleep(DIRECTORY_TTL / 10).await;
    None
}

/// Requests the addresses of routers for a zone from one directory.
async fn resolve(directory: SocketAddr, zone: &str) -> Option<Vec<SocketAddr>> {
    let mut conn = Conn::dial(directory, DIRECTORY_TIMEOUT).await.ok()?;
    let request = format!("GET /resolve?name={HOST}&zone={zone} HTTP/1.1\r\nHost: entry\r\n\r\n");
    conn.write(request.as_bytes()).await.ok()?;
    let head = conn.read_response(16 * 1024).await.ok()?;
    let body = conn.read_body(head.body, |n| n <= 64 * 1024).await.ok()??;
    let reply: Value = serde_json::from_slice(&body).ok()?;
    let addresses = reply["addresses"].as_array()?;
    Some(addresses.iter().filter_map(|a| a.as_str()?.parse().ok()).collect())
}

fn random_request(
    callers: &Callers,
    router: SocketAddr,
    rng: &mut Rng,
    id: CompactString,
) -> Exchange {
    let request_kind = rng.choice(RequestKind::ALL).expect("there is at least one kind of request");
    let org = rng.usize(..callers.keys.len());
    let tokens =
        if request_kind.is_stream() { (rng.u64(20..200), 2 * rng.u64(2..30)) } else { (0, 0) };
    Exchange {
        id,
        request_kind,
        org,
        tokens,
        router,
        sent_at: Instant::now(),
        leaving_at: None,
        status: None,
        seal: None,
        body: String::new(),
        is_complete: false,
        resumes: None,
    }
}

async fn send_request(
    callers: &Callers,
    conn: &mut Conn,
    mut exchange: Exchange,
) -> (Exchange, bool) {
    let names = names::headers();
    let (prefix, id) = (exchange.request_kind.prefix(), &exchange.id);
    let (tokens, key) = (exchange.tokens, &callers.keys[exchange.org]);
    let resumes = exchange.resumes.as_ref().map(|r| {
        let (last, resumes) = (&names.last_event_id, &names.resumes);
        format!("{last}: {}\r\n{resumes}: {}\r\n", r.events, r.root)
    });
    let (root, resumes) = (exchange.root(), resumes.unwrap_or_default());
    let bytes = format!(
        "GET {prefix}{root} HTTP/1.1\r\nHost: {HOST}\r\n{}: {id}\r\n{}: {}\r\nAuthorization: Bearer {key}\r\n{resumes}{}: {},{}\r\n\r\n",
        names.request_id,
        names.time_left,
        REQUEST_TIMEOUT.as_millis(),
        names.token_counts,
        tokens.0,
        tokens.1,
    );
    let exchanged = async {
        conn.write(bytes.as_bytes()).await.ok()?;
        let head = conn.read_response(64 * 1024).await.ok()?;
        record_head(&mut exchange, &head);
        let mut framing = head.body;
        loop {
            match conn.read_piece(&mut framing).await {
                Ok(Some(piece)) => exchange.body += &String::from_utf8_lossy(&piece),
                Ok(None) => break,
                Err(_) => return None,
            }
        }
        exchange.is_complete = true;
        Some(head.keep_alive)
    };
    let keep_alive = timeout(REQUEST_TIMEOUT, exchanged).await.ok().flatten().unwrap_or(false);
    (exchange, keep_alive)
}

fn record_head(exchange: &mut Exchange, head: &ResponseHead) {
    exchange.status = Some(head.status);
    exchange.seal = header(&head.headers, SEAL_HEADER).map(CompactString::from);
    let leaving = header(&head.headers, &names::headers().leaving);
    exchange.leaving_at = leaving.map(|_| Instant::now());
}
