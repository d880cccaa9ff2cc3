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
pub const SEAL: &str = "Response-Seal";
/// The host of all routes.
pub const HOST: &str = "shop.example";
/// How long a caller waits for an answer.
pub(crate) const TIME_LEFT: Duration = Duration::from_secs(4);
/// How long it waits for an entry answer.
const ENTRY: Duration = Duration::from_millis(800);
/// How long an entry answer is kept.
const ENTRY_KEPT: Duration = Duration::from_secs(1);

/// A kind of request, named by its route's prefix.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Asked {
    /// May run more than once.
    Safe,
    /// May run once.
    Once,
    /// A stream that may run once.
    Stream,
    /// A stream that may go on elsewhere.
    Resumable,
}

impl Asked {
    /// All kinds.
    pub const ALL: [Asked; 4] = [Asked::Safe, Asked::Once, Asked::Stream, Asked::Resumable];

    /// The prefix of its route.
    pub fn prefix(self) -> &'static str {
        match self {
            Asked::Safe => "/safe/",
            Asked::Once => "/once/",
            Asked::Stream => "/stream/",
            Asked::Resumable => "/resumable/",
        }
    }

    /// Whether its answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Asked::Stream | Asked::Resumable)
    }

    /// Whether it may run more than once.
    pub fn repeats(self) -> bool {
        matches!(self, Asked::Safe | Asked::Resumable)
    }
}

/// What a caller sent and got.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// The request's id.
    pub id: CompactString,
    /// Its kind.
    pub asked: Asked,
    /// The organisation whose key it bore.
    pub org: usize,
    /// Prompt tokens and most output tokens.
    pub tokens: (u64, u64),
    /// The router that it was sent to.
    pub router: SocketAddr,
    /// When it was sent.
    pub sent: Instant,
    /// When an answer came that says that its target leaves.
    pub heard_leaving: Option<Instant>,
    /// The answer's status; none if there was no answer.
    pub status: Option<u16>,
    /// The proof of whose answer it is.
    pub seal: Option<CompactString>,
    /// The body as far as it came.
    pub body: String,
    /// Whether the body was whole.
    pub whole: bool,
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
    pub seen: RefCell<Vec<Exchange>>,
    /// Set once callers are to end.
    pub over: Cell<bool>,
}

/// One caller, until `over`.
pub async fn call_on(callers: Rc<Callers>, number: u32, seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let mut open: Option<(SocketAddr, Conn)> = None;
    let mut sent = 0_u32;
    while !callers.over.get() {
        if open.is_none() {
            open = connect(&callers, &mut rng, number).await;
        }
        let Some((router, mut conn)) = open.take() else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        sent += 1;
        let id = format_compact!("c{number}n{sent}");
        let (exchange, keep) = ask(&callers, router, &mut conn, &mut rng, id).await;
        callers.seen.borrow_mut().push(exchange);
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
        let asked = timeout(ENTRY, resolve(directory, zone)).await;
        let Ok(Some(fronts)) = asked else { continue };
        let Some(front) = rng.choice(fronts) else { continue };
        if let Ok(Ok(conn)) = timeout(ENTRY, Conn::dial(front, TIME_LEFT)).await {
            return Some((front, conn));
        }
    }
    sleep(ENTRY_KEPT / 10).await;
    None
}

/// Asks one router which addresses to use.
async fn resolve(directory: SocketAddr, zone: &str) -> Option<Vec<SocketAddr>> {
    let mut conn = Conn::dial(directory, ENTRY).await.ok()?;
    let ask = format!("GET /resolve?name={HOST}&zone={zone} HTTP/1.1\r\nHost: entry\r\n\r\n");
    conn.write(ask.as_bytes()).await.ok()?;
    let head = conn.read_response(16 * 1024).await.ok()?;
    let body = conn.read_body(head.body, 64 * 1024).await.ok()??;
    let answer: Value = serde_json::from_slice(&body).ok()?;
    let addresses = answer["addresses"].as_array()?;
    Some(addresses.iter().filter_map(|a| a.as_str()?.parse().ok()).collect())
}

async fn ask(
    callers: &Callers,
    router: SocketAddr,
    conn: &mut Conn,
    rng: &mut Rng,
    id: CompactString,
) -> (Exchange, bool) {
    let asked = rng.choice(Asked::ALL).expect("there are kinds");
    let org = rng.usize(..callers.keys.len());
    let tokens = if asked.is_stream() { (rng.u64(20..200), 2 * rng.u64(2..30)) } else { (0, 0) };
    let mut exchange = Exchange {
        id,
        asked,
        org,
        tokens,
        router,
        sent: Instant::now(),
        heard_leaving: None,
        status: None,
        seal: None,
        body: String::new(),
        whole: false,
    };
    let names = names::headers();
    let (prefix, id, key) = (asked.prefix(), &exchange.id, &callers.keys[org]);
    let bytes = format!(
        "GET {prefix}{id} HTTP/1.1\r\nHost: {HOST}\r\n{}: {id}\r\n{}: {}\r\nAuthorization: Bearer {key}\r\n{}: {},{}\r\n\r\n",
        names.request_id,
        names.time_left,
        TIME_LEFT.as_millis(),
        names.token_counts,
        tokens.0,
        tokens.1,
    );
    let answered = async {
        conn.write(bytes.as_bytes()).await.ok()?;
        let head = conn.read_response(64 * 1024).await.ok()?;
        note_head(&mut exchange, &head);
        let mut framing = head.body;
        loop {
            match conn.read_piece(&mut framing).await {
                Ok(Some(piece)) => exchange.body += &String::from_utf8_lossy(&piece),
                Ok(None) => break,
                Err(_) => return None,
            }
        }
        exchange.whole = true;
        Some(head.keep_alive)
    };
    let keep = timeout(TIME_LEFT, answered).await.ok().flatten().unwrap_or(false);
    (exchange, keep)
}

fn note_head(exchange: &mut Exchange, head: &ResponseHead) {
    exchange.status = Some(head.status);
    exchange.seal = header(&head.headers, SEAL).map(CompactString::from);
    let leaving = header(&head.headers, &names::headers().leaving);
    exchange.heard_leaving = leaving.map(|_| Instant::now());
}
