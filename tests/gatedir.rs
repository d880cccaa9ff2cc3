//! A small fleet of gateways on stand-ins, with callers that see every byte.

use std::net::SocketAddr;
use std::time::Duration;

use kingcupwall::http1::{Conn, ResponseHead, header};
use kingcupwall::standin::gateway::{LocalPlatform, catalog_parts};
use kingcupwall::standin::gateway_host::GatewayHost;
use kingcupwall::standin::gateway_target::StandinTarget;
use tokio::task::LocalSet;

/// Runs a test on one thread with local tasks, as the daemon does.
pub fn local(test: impl Future<Output = ()>) {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&rt, test);
}

/// A store, its targets and one router.
pub struct Fleet {
    /// The platform as its operator uses it.
    pub platform: LocalPlatform,
    /// Targets, all of one service.
    pub targets: Vec<StandinTarget>,
    /// The first router.
    pub router: GatewayHost,
}

impl Fleet {
    /// Starts a fleet with `targets` targets and `prepaid` tokens.
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

    /// The version of the configuration that the router has in force.
    pub fn version(&self) -> u64 {
        self.router.gw.config().map_or(0, |c| c.version)
    }

    /// All runs at all targets.
    pub fn runs(&self) -> usize {
        self.targets.iter().map(|t| t.runs().len()).sum()
    }

    /// Fills the retry budget.
    pub async fn earn_retries(&self) {
        for n in 0..10 {
            let got = Call::get("/safe/warm").id(&format!("warm{n}")).send(self.router.front).await;
            assert_eq!(got.status(), 200);
        }
    }
}

/// A request of a caller.
pub struct Call {
    path: String,
    id: String,
    key: Option<String>,
    headers: String,
    body: String,
}

impl Call {
    /// A request without a body.
    pub fn get(path: &str) -> Call {
        let key = Some("key-norte".to_owned());
        Call {
            path: path.into(),
            id: "q1".into(),
            key,
            headers: String::new(),
            body: String::new(),
        }
    }

    /// Sets its id.
    pub fn id(mut self, id: &str) -> Call {
        self.id = id.into();
        self
    }

    /// Sets its key.
    pub fn key(mut self, key: &str) -> Call {
        self.key = Some(key.into());
        self
    }

    /// Adds a header line.
    pub fn with(mut self, line: &str) -> Call {
        self.headers += &format!("{line}\r\n");
        self
    }

    /// Sets prompt tokens and most output tokens.
    pub fn tokens(self, prompt: u64, output: u64) -> Call {
        self.with(&format!("Tokens: {prompt},{output}"))
    }

    /// Sets its body.
    pub fn body(mut self, body: &str) -> Call {
        self.body = body.into();
        self
    }

    /// Its bytes.
    pub fn bytes(&self) -> Vec<u8> {
        let method = if self.body.is_empty() { "GET" } else { "POST" };
        let key = self.key.as_ref().map(|k| format!("Authorization: Bearer {k}\r\n"));
        let length = if self.body.is_empty() {
            String::new()
        } else {
            format!("Content-Length: {}\r\n", self.body.len())
        };
        format!(
            "{method} {} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {}\r\nTime-Left-Ms: 4000\r\n{}{}{length}\r\n{}",
            self.path,
            self.id,
            key.unwrap_or_default(),
            self.headers,
            self.body,
        )
        .into_bytes()
    }

    /// Sends it on a connection of its own and reads everything that comes.
    pub async fn send(&self, to: SocketAddr) -> Got {
        let mut conn = Conn::dial(to, Duration::from_secs(5)).await.unwrap();
        conn.write(&self.bytes()).await.unwrap();
        Got::read(&mut conn).await
    }
}

/// What a caller got.
pub struct Got {
    /// The head, if any came.
    pub head: Option<ResponseHead>,
    /// The body as far as it came.
    pub body: String,
    /// Whether the body was whole.
    pub whole: bool,
}

impl Got {
    /// Reads one answer.
    pub async fn read(conn: &mut Conn) -> Got {
        let Ok(head) = conn.read_response(64 * 1024).await else {
            return Got { head: None, body: String::new(), whole: false };
        };
        let mut framing = head.body;
        let mut body = Vec::new();
        let whole = loop {
            match conn.read_piece(&mut framing).await {
                Ok(Some(piece)) => body.extend_from_slice(&piece),
                Ok(None) => break true,
                Err(_) => break false,
            }
        };
        Got { head: Some(head), body: String::from_utf8(body).unwrap(), whole }
    }

    /// The status; 0 if the connection ended without an answer.
    pub fn status(&self) -> u16 {
        self.head.as_ref().map_or(0, |h| h.status)
    }

    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.as_ref().and_then(|h| header(&h.headers, name))
    }

    /// The ids of the events in the body.
    pub fn events(&self) -> Vec<u64> {
        let ids = self.body.lines().filter_map(|l| l.strip_prefix("id: "));
        ids.map(|id| id.parse().unwrap()).collect()
    }
}

/// Waits until `done` holds, for some seconds at most.
pub async fn eventually(what: &str, done: impl Fn() -> bool) {
    for _ in 0..1_000 {
        if done() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("{what} did not happen");
}
