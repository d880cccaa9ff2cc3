//! Callers: each asks which routers to use, keeps its connection until the router ends it, and
//! notes what it got.

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

/// The header with the proof of whose answer it is.
pub const SEAL_HEADER: &str = "Response-Seal";
/// The host of all routes.
pub const HOST: &str = "shop.example";
/// How long a caller waits for an answer.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
/// How long it waits for an entry answer.
const DIRECTORY_TIMEOUT: Duration = Duration::from_millis(800);
/// How long an entry answer is kept.
const DIRECTORY_TTL: Duration = Duration::from_secs(1);

/// A kind of request, named by its route's prefix.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// May run once.
    NonIdempotent,
    /// A stream that may run once.
    Stream,
    /// A stream that may go on elsewhere.
    ResumableStream,
}

impl RequestKind {
    /// All kinds.
    pub const ALL: [RequestKind; 4] = [
        RequestKind::Idempotent,
        RequestKind::NonIdempotent,
        RequestKind::Stream,
        RequestKind::ResumableStream,
    ];

    /// The prefix of its route.
    pub fn prefix(self) -> &'static str {
        match self {
            RequestKind::Idempotent => "/safe/",
            RequestKind::NonIdempotent => "/once/",
            RequestKind::Stream => "/stream/",
            RequestKind::ResumableStream => "/resumable/",
        }
    }

    /// Whether its answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, RequestKind::Stream | RequestKind::ResumableStream)
    }

    /// Whether it may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RequestKind::Idempotent | RequestKind::ResumableStream)
    }
}

/// What a caller sent and got.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// The request's id.
    pub id: CompactString,
    /// Its kind.
    pub request_kind: RequestKind,
    /// The organisation whose key it bore.
    pub org: usize,
    /// Prompt tokens and most output tokens.
    pub tokens: (u64, u64),
    /// The router that it was sent to.
    pub router: SocketAddr,
    /// When it was sent.
    pub sent_at: Instant,
    /// When an answer came that says that its target leaves.
    pub leaving_at: Option<Instant>,
    /// The answer's status; none if there was no answer.
    pub status: Option<u16>,
    /// The proof of whose answer it is.
    pub seal: Option<CompactString>,
    /// The body as far as it came.
    pub body: String,
    /// Whether the body was whole.
    pub is_complete: bool,
}

impl Exchange {
    /// The ids of the events that came.
    pub fn events(&self) -> Vec<u64> {
        let complete = self.body.split_inclusive("\n\n").filter(|e| e.ends_with("\n\n"));
        let ids = complete.filter_map(|e| e.lines().find_map(|l| l.strip_prefix("id: ")));
        ids.filter_map(|id| id.parse().ok()).collect()
    }

    /// Events of the whole answer.
    pub fn expected_events(&self) -> u64 {
        self.tokens.1 / TOKENS_PER_EVENT
    }
}

/// What all callers share.
pub struct Callers {
    /// Where to ask which routers to use.
    pub directories: Vec<SocketAddr>,
    /// The keys of organisations.
    pub keys: Vec<CompactString>,
    /// Everything that was sent, and what came.
    pub exchange_log: RefCell<Vec<Exchange>>,
    /// Set once callers are to end.
    pub stop_requested: Cell<bool>,
}

/// One caller, until `over`.
pub async fn run_caller(callers: Rc<Callers>, number: u32, seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let mut open: Option<(SocketAddr, Conn)> = None;
    let mut sent = 0_u32;
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
        let (exchange, keep) = send_request(&callers, router, &mut conn, &mut rng, id).await;
        callers.exchange_log.borrow_mut().push(exchange);
        // An open connection is used as long as the router keeps it.
        open = keep.then_some((router, conn));
        sleep(Duration::from_millis(rng.u64(10..60))).await;
    }
}

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

/// Asks one router which addresses to use.
async fn resolve(directory: SocketAddr, zone: &str) -> Option<Vec<SocketAddr>> {
    let mut conn = Conn::dial(directory, DIRECTORY_TIMEOUT).await.ok()?;
    let request = format!("GET /resolve?name={HOST}&zone={zone} HTTP/1.1\r\nHost: entry\r\n\r\n");
    conn.write(request.as_bytes()).await.ok()?;
    let head = conn.read_response(16 * 1024).await.ok()?;
    let body = conn.read_body(head.body, 64 * 1024).await.ok()??;
    let reply: Value = serde_json::from_slice(&body).ok()?;
    let addresses = reply["addresses"].as_array()?;
    Some(addresses.iter().filter_map(|a| a.as_str()?.parse().ok()).collect())
}

async fn send_request(
    callers: &Callers,
    router: SocketAddr,
    conn: &mut Conn,
    rng: &mut Rng,
    id: CompactString,
) -> (Exchange, bool) {
    let request_kind = rng.choice(RequestKind::ALL).expect("there are kinds");
    let org = rng.usize(..callers.keys.len());
    let tokens =
        if request_kind.is_stream() { (rng.u64(20..200), 2 * rng.u64(2..30)) } else { (0, 0) };
    let mut exchange = Exchange {
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
    };
    let names = names::headers();
    let (prefix, id, key) = (request_kind.prefix(), &exchange.id, &callers.keys[org]);
    let bytes = format!(
        "GET {prefix}{id} HTTP/1.1\r\nHost: {HOST}\r\n{}: {id}\r\n{}: {}\r\nAuthorization: Bearer {key}\r\n{}: {},{}\r\n\r\n",
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
        Some(head.keep)
    };
    let keep = timeout(REQUEST_TIMEOUT, exchanged).await.ok().flatten().unwrap_or(false);
    (exchange, keep)
}

fn record_head(exchange: &mut Exchange, head: &ResponseHead) {
    exchange.status = Some(head.status);
    exchange.seal = header(&head.headers, SEAL_HEADER).map(CompactString::from);
    let leaving = header(&head.headers, &names::headers().leaving);
    exchange.leaving_at = leaving.map(|_| Instant::now());
}
