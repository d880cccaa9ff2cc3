//! Test fixture: a small gateway fleet with stand-in targets and raw HTTP callers.

use std::net::SocketAddr;
use std::time::Duration;

use kingcupwall::http1::{Conn, ResponseHead, header};
use kingcupwall::standin::gateway::{LocalPlatform, catalog_parts};
use kingcupwall::standin::gateway_host::GatewayHost;
use kingcupwall::standin::gateway_target::StandinTarget;
use tokio::task::LocalSet;

/// Runs a test on a single thread with local tasks, as the daemon does.
pub fn run_local(test: impl Future<Output = ()>) {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&rt, test);
}

/// A store, its targets and one router.
pub struct Fleet {
    /// The store and the platform, with the operator's functions.
    pub platform: LocalPlatform,
    /// The targets, all of one service.
    pub targets: Vec<StandinTarget>,
    /// The first router.
    pub router: GatewayHost,
}

impl Fleet {
    /// Starts `targets` targets and a router; the organisation has `prepaid` tokens.
    pub async fn start(targets: usize, prepaid: u64) -> Fleet {
        let platform = LocalPlatform::new();
        platform.configure(catalog_parts(1, prepaid));
        let mut started = Vec::new();
        for n in 1..=targets {
            let target = StandinTarget::start(&format!("t{n}"), "model", "zone-1").await.unwrap();
            platform.register(&target, "ready");
            started.push(target);
        }
        let router = GatewayHost::start(&platform, "r1", "zone-1", 1).await.unwrap();
        Fleet { platform, targets: started, router }
    }

    /// The version of the configuration in force at the router; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.router.gw.config().map_or(0, |c| c.version)
    }

    /// The number of requests that ran at all targets.
    pub fn runs(&self) -> usize {
        self.targets.iter().map(|t| t.runs().len()).sum()
    }

    /// Fills the router's retry budget with ten successful requests.
    pub async fn fill_retry_budget(&self) {
        for n in 0..10 {
            let got = Call::get("/safe/warm").id(&format!("warm{n}")).send(self.router.front).await;
            assert_eq!(got.status(), 200);
        }
    }
}

/// A caller's request.
pub struct Call {
    path: String,
    id: String,
    key: Option<String>,
    time_left_ms: u64,
    headers: String,
    body: String,
}

impl Call {
    /// Creates a request without a body.
    pub fn get(path: &str) -> Call {
        let key = Some("key-norte".to_owned());
        Call {
            path: path.into(),
            id: "q1".into(),
            key,
            time_left_ms: 4_000,
            headers: String::new(),
            body: String::new(),
        }
    }

    /// Sets the request id.
    pub fn id(mut self, id: &str) -> Call {
        self.id = id.into();
        self
    }

    /// Sets the API key.
    pub fn key(mut self, key: &str) -> Call {
        self.key = Some(key.into());
        self
    }

    /// Sets how long the caller waits for the answer.
    pub fn time_left_ms(mut self, ms: u64) -> Call {
        self.time_left_ms = ms;
        self
    }

    /// Adds a header line, without the line end.
    pub fn with_header(mut self, line: &str) -> Call {
        self.headers += &format!("{line}\r\n");
        self
    }

    /// Sets the prompt tokens and the maximum output tokens.
    pub fn tokens(self, prompt: u64, output: u64) -> Call {
        self.with_header(&format!("Tokens: {prompt},{output}"))
    }

    /// Sets the body, which makes the request a `POST`.
    pub fn body(mut self, body: &str) -> Call {
        self.body = body.into();
        self
    }

    /// Encodes the request.
    pub fn bytes(&self) -> Vec<u8> {
        let method = if self.body.is_empty() { "GET" } else { "POST" };
        let key = self.key.as_ref().map(|k| format!("Authorization: Bearer {k}\r\n"));
        let length = if self.body.is_empty() {
            String::new()
        } else {
            format!("Content-Length: {}\r\n", self.body.len())
        };
        format!(
            "{method} {} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {}\r\nTime-Left-Ms: {}\r\n{}{}{length}\r\n{}",
            self.path,
            self.id,
            self.time_left_ms,
            key.unwrap_or_default(),
            self.headers,
            self.body,
        )
        .into_bytes()
    }

    /// Sends the request on a new connection and reads the whole answer.
    pub async fn send(&self, to: SocketAddr) -> CallResult {
        let mut conn = Conn::dial(to, Duration::from_secs(5)).await.unwrap();
        conn.write(&self.bytes()).await.unwrap();
        CallResult::read(&mut conn).await
    }
}

/// The answer that a caller received.
pub struct CallResult {
    /// The head; `None` if the connection ended without one.
    pub head: Option<ResponseHead>,
    /// The received part of the body.
    pub body: String,
    /// Whether the body is complete.
    pub is_complete: bool,
}

impl CallResult {
    /// Reads one answer.
    pub async fn read(conn: &mut Conn) -> CallResult {
        let Ok(head) = conn.read_response(64 * 1024).await else {
            return CallResult { head: None, body: String::new(), is_complete: false };
        };
        let mut framing = head.body;
        let mut body = Vec::new();
        let is_complete = loop {
            match conn.read_piece(&mut framing).await {
                Ok(Some(piece)) => body.extend_from_slice(&piece),
                Ok(None) => break true,
                Err(_) => break false,
            }
        };
        CallResult { head: Some(head), body: String::from_utf8(body).unwrap(), is_complete }
    }

    /// The status; 0 if the connection ended without an answer.
    pub fn status(&self) -> u16 {
        self.head.as_ref().map_or(0, |h| h.status)
    }

    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.as_ref().and_then(|h| header(&h.headers, name))
    }

    /// The ids of the events in the body.
    pub fn events(&self) -> Vec<u64> {
        let ids = self.body.lines().filter_map(|l| l.strip_prefix("id: "));
        ids.map(|id| id.parse().unwrap()).collect()
    }
}

/// Waits until `done` returns `true`; panics after several seconds.
pub async fn eventually(what: &str, done: impl Fn() -> bool) {
    for _ in 0..1_000 {
        if done() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("{what} did not happen");
}
