//! Targets whose answers break off in their heads, or never end.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use kingcupwall::gateway::backend::target_digest;
use kingcupwall::http1::{BodyDecoder, Conn, HeadError, RelayFraming};
use kingcupwall::standin::gateway::{LocalPlatform, catalog_parts};
use kingcupwall::standin::gateway_host::GatewayHost;
use rstest::rstest;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::spawn_local;

use crate::gateway_fleet::{Call, eventually, run_local};

/// What a peer does after an answer.
#[derive(Clone, Copy)]
enum Then {
    Close,
    /// Answers the next request.
    Continue,
    /// Sends these bytes until the connection is closed.
    Repeat(&'static [u8]),
    /// Resets the connection after a pause.
    Reset(Duration),
    /// Ends the answer by closing its direction of the connection, and resets it after a pause.
    EndAndReset(Duration),
}

/// Bytes that a peer's connection buffers.
const WINDOW: u32 = 4_096;
/// Segment size of Ethernet. With the loopback interface's own, a sender's buffer holds megabytes.
const SEGMENT_BYTES: u32 = 1_460;
/// Length of a body that does not fit into the buffers of a connection.
const LONG_BODY: usize = 512 * 1024;
/// Enough tunnels that their relay looks first at either direction of some.
const TUNNELS: usize = 20;

/// The connections of a peer.
#[derive(Default)]
struct Connections {
    accepted: Cell<usize>,
    ended: Cell<usize>,
}

/// Starts a peer that sends `answer` for each request; `ID` in it stands for the request's id.
async fn peer(answer: impl Into<String>, then: Then) -> (SocketAddr, Rc<Connections>) {
    let (answer, connections) = (answer.into(), Rc::<Connections>::default());
    let sock = TcpSocket::new_v4().unwrap();
    sock.set_recv_buffer_size(WINDOW).unwrap();
    SockRef::from(&sock).set_tcp_mss(SEGMENT_BYTES).unwrap();
    sock.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = sock.listen(64).unwrap();
    let (addr, counts) = (listener.local_addr().unwrap(), connections.clone());
    spawn_local(async move {
        while let Ok((io, _)) = listener.accept().await {
            counts.accepted.set(counts.accepted.get() + 1);
            let (answer, counts) = (answer.clone(), counts.clone());
            spawn_local(async move {
                serve(io, answer, then).await;
                counts.ended.set(counts.ended.get() + 1);
            });
        }
    });
    (addr, connections)
}

async fn serve(mut io: TcpStream, answer: String, then: Then) {
    let mut buf = [0; 4_096];
    while let Ok(n @ 1..) = io.read(&mut buf).await {
        let text = String::from_utf8_lossy(&buf[..n]);
        let id = text.lines().find_map(|l| l.strip_prefix("Request-Id: "));
        let answer = answer.replace("ID", id.unwrap_or_default());
        if io.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        match then {
            Then::Close => return,
            Then::Continue => (),
            Then::Repeat(bytes) => {
                while io.write_all(&bytes.repeat(1_024)).await.is_ok() {}
                return;
            }
            Then::Reset(pause) => return reset(io, pause).await,
            Then::EndAndReset(pause) => {
                io.shutdown().await.unwrap();
                return reset(io, pause).await;
            }
        }
    }
}

async fn reset(io: TcpStream, pause: Duration) {
    if !pause.is_zero() {
        tokio::time::sleep(pause).await;
    }
    SockRef::from(&io).set_linger(Some(Duration::ZERO)).unwrap();
}

/// Starts a router whose only target is at `addr`.
async fn router_before(addr: SocketAddr) -> (LocalPlatform, GatewayHost) {
    let platform = LocalPlatform::new();
    platform.configure(catalog_parts(1, 1_000_000));
    let row = format!("model {addr} zone-1 8 ready v1");
    platform.rows.put("targets", "t1", row.as_bytes());
    let router = GatewayHost::start(&platform, "r1", "zone-1", 1).await.unwrap();
    (platform, router)
}

#[test]
fn answer_cut_in_its_head_is_no_success() {
    // Guards against a success with an empty or short body, because a target closed the connection
    // within its head.
    run_local(async {
        let head = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nSeal: s\r\nContent-Length: 5\r\n\r\n";
        for len in 1..head.len() {
            if head[..len].ends_with("Request-Id: I") {
                continue;
            }
            let (_platform, router) = router_before(peer(&head[..len], Then::Close).await.0).await;
            for path in ["/once/a", "/stream/a"] {
                let got = Call::get(path).time_left_ms(1_000).send(router.front).await;
                assert!(got.status() >= 500, "{len} {path}: {}", got.status());
            }
            router.kill();
        }
    });
}

#[test]
fn interim_responses_without_end() {
    // Guards against a request that waits for its deadline while its target sends interim
    // responses without end.
    run_local(async {
        let interim = Then::Repeat(b"HTTP/1.1 100 Continue\r\n\r\n");
        let (addr, _) = peer("", interim).await;
        let mut conn = Conn::dial(addr, Duration::from_secs(5)).await.unwrap();
        conn.write(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
        let head = conn.read_response(32 * 1024);
        let head = tokio::time::timeout(Duration::from_secs(10), head).await;
        assert!(matches!(head, Ok(Err(HeadError::TooLong))), "{head:?}");
    });
}

#[rstest]
#[case::rejected("503 Busy\r\nRequest-Id: ID\r\nNot-Run: 1")]
#[case::stray("200 OK\r\nRequest-Id: other")]
fn rejection_with_body_without_end(#[case] head: &str) {
    // Guards against a request that waits for its deadline while its target sends a body without
    // end that nobody gets.
    let answer = format!("HTTP/1.1 {head}\r\nTransfer-Encoding: chunked\r\n\r\n");
    run_local(async move {
        let (addr, connections) = peer(answer, Then::Repeat(b"4\r\nbody\r\n")).await;
        let (_platform, router) = router_before(addr).await;
        let call = Call::get("/once/a").time_left_ms(20_000);
        let got = tokio::time::timeout(Duration::from_secs(4), call.send(router.front)).await;
        assert!(got.is_ok_and(|got| got.status() >= 500));
        // Nor does the router read on when the request has been answered.
        eventually("the connection is closed", || connections.ended.get() > 0).await;
    });
}

#[test]
fn answer_after_one_cut_in_its_head() {
    // Guards against an answer that is read with the status, and the proof of a request that did not
    // run, of an earlier answer on the connection that broke off in its head.
    run_local(async {
        let stray = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nServer: s\r\nContent-Length: 0\r\n\r\n";
        let answer = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";
        for len in 0..stray.len() {
            let (addr, _) = peer(format!("{}{answer}", &stray[..len]), Then::Continue).await;
            let (_platform, router) = router_before(addr).await;
            let got = Call::get("/once/a").time_left_ms(1_000).send(router.front).await;
            assert_eq!(got.status(), if len == 0 { 200 } else { 502 }, "{len}");
            router.kill();
        }
    });
}

#[test]
fn answer_with_several_ids_is_unknown() {
    // Guards against the head of two answers that a target has mixed up.
    run_local(async {
        let answer = "HTTP/1.1 503 Busy\r\nRequest-Id: ID\r\nRequest-Id: other\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
        let (addr, _) = peer(answer, Then::Continue).await;
        let (_platform, router) = router_before(addr).await;
        let got = Call::get("/once/a").time_left_ms(1_000).send(router.front).await;
        assert_eq!(got.status(), 502);
    });
}

#[rstest]
#[case::in_step("", 1)]
#[case::after_stray_answer("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n", 3)]
fn connection_with_stray_answer_is_not_used_again(#[case] stray: &str, #[case] expected: usize) {
    // Guards against a connection whose answers belong to other requests than the latest one.
    let answer = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";
    let answer = format!("{stray}{answer}");
    run_local(async move {
        let (addr, connections) = peer(answer, Then::Continue).await;
        let (_platform, router) = router_before(addr).await;
        for n in 0..3 {
            let got = Call::get("/once/a").id(&format!("q{n}")).send(router.front).await;
            assert_eq!((got.status(), got.body.as_str()), (200, "ok"));
        }
        assert_eq!(connections.accepted.get(), expected);
    });
}

#[rstest]
#[case::no_body("")]
#[case::events("id: 1\ndata: x\n\n")]
fn success_without_receipt_is_no_success(
    #[case] body: &str,
    #[values("/once/a", "/stream/a")] path: &str,
) {
    // Guards against a success that ends with its connection, although its head broke off before the
    // length and a blank line followed.
    let answer = format!("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n\r\n{body}");
    run_local(async move {
        let (addr, _) = peer(answer, Then::Close).await;
        let (_platform, router) = router_before(addr).await;
        let got = Call::get(path).time_left_ms(1_000).send(router.front).await;
        assert_eq!(got.status(), 502);
    });
}

#[rstest]
#[case::zero("000 Nothing")]
#[case::below_interim("099 Low\r\nNot-Run: 1")]
#[case::above_server_errors("600 High")]
#[case::highest("999 High\r\nRetry-After: 1")]
fn answer_with_status_out_of_range_is_unreadable(
    #[case] status: &str,
    #[values("/safe/a", "/once/a", "/stream/a")] path: &str,
) {
    // Guards against a caller that gets a status which HTTP does not have.
    let answer =
        format!("HTTP/1.1 {status}\r\nRequest-Id: ID\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok");
    run_local(async move {
        let (addr, connections) = peer(answer, Then::Continue).await;
        let (_platform, router) = router_before(addr).await;
        let got = Call::get(path).send(router.front).await;
        assert_eq!((got.status(), got.header("Seal")), (502, None));
        // Its connection is out of step.
        eventually("the connection is closed", || connections.ended.get() > 0).await;
    });
}

#[rstest]
#[case::answer_of_another_protocol(
    "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok"
)]
#[case::no_answer("HTTP/1.1 101 Switching Protocols\r\n\r\n")]
fn answer_after_switch_of_protocols_is_unreadable(
    #[case] after: &str,
    #[values("/safe/a", "/once/a", "/stream/a")] path: &str,
) {
    // Guards against bytes of another protocol that pass for an answer, after a target has switched to
    // one that no request asked for.
    let answer = format!("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n{after}");
    run_local(async move {
        let (_platform, router) = router_before(peer(answer, Then::Continue).await.0).await;
        let call = Call::get(path).with_header("Connection: upgrade").with_header("Upgrade: x");
        let got = call.send(router.front).await;
        assert_eq!(got.status(), 502);
    });
}

#[rstest]
#[case::plain("/once/a", "200 OK", "part")]
#[case::rejected("/once/a", "404 Not Found", "part")]
#[case::failed("/safe/a", "503 Busy", "part")]
#[case::stream("/stream/a", "200 OK", "id: 1\ndata: x\n\n")]
fn answer_reset_during_upload_is_incomplete(
    #[case] path: &str,
    #[case] status: &str,
    #[case] part: &str,
    #[values(0, 50)] pause_ms: u64,
) {
    // Guards against an answer without a length that passes for complete, because the reset of its
    // connection is reported to the write of the request and not to a read.
    let answer = format!("HTTP/1.1 {status}\r\nRequest-Id: ID\r\nSeal: s\r\n\r\n{part}");
    run_local(async move {
        let then = Then::Reset(Duration::from_millis(pause_ms));
        let (_platform, router) = router_before(peer(answer, then).await.0).await;
        let got = Call::get(path).body(&"1".repeat(LONG_BODY)).send(router.front).await;
        let is_visible = got.status() == 502 || path == "/stream/a" && !got.is_complete;
        assert!(is_visible, "{} complete={} {}", got.status(), got.is_complete, got.body);
    });
}

#[rstest]
#[case::ended("", Then::EndAndReset)]
#[case::with_length("Content-Length: 5\r\n", Then::Reset)]
fn answer_whole_before_reset_is_complete(
    #[case] length: &str,
    #[case] then: fn(Duration) -> Then,
    #[values(0, 50)] pause_ms: u64,
) {
    // Guards against a complete answer that is lost, because its target does not read the rest of the
    // request.
    let answer = format!("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nSeal: s\r\n{length}\r\nwhole");
    run_local(async move {
        let then = then(Duration::from_millis(pause_ms));
        let (_platform, router) = router_before(peer(answer, then).await.0).await;
        let got = Call::get("/once/a").body(&"1".repeat(LONG_BODY)).send(router.front).await;
        assert_eq!((got.status(), got.body.as_str(), got.is_complete), (200, "whole", true));
    });
}

#[rstest]
#[case::blank("Content Length: 2")]
#[case::blank_before_colon("Content-Length : 2")]
#[case::blank_first(" Content-Length: 2")]
#[case::tab_first("\tContent-Length: 2")]
#[case::tab("Content\tLength: 2")]
#[case::null("Content-\0Length: 2")]
#[case::delete("Content-Length\x7f: 2")]
#[case::carriage_return("Content\r-Length: 2")]
#[case::carriage_return_first("\rContent-Length: 2")]
#[case::line_feed("Content\n-Length: 2")]
#[case::line_feed_first("\nContent-Length: 2")]
#[case::line_feed_in_value("X: 1\nContent-Length: 2")]
#[case::empty(": 2")]
#[case::no_colon("Content-Length")]
fn answer_with_invalid_field_name_is_unreadable(
    #[case] field: &str,
    #[values("/safe/a", "/once/a", "/stream/a")] path: &str,
) {
    // Guards against a caller that gets a line which is no field, or the rest of a head as a body.
    let answer = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nSeal: s\r\n{field}\r\n\r\nid: 1\ndata: x\n\n"
    );
    run_local(async move {
        let (_platform, router) = router_before(peer(answer, Then::Close).await.0).await;
        let got = Call::get(path).send(router.front).await;
        assert_eq!(got.status(), 502, "{}", got.body);
    });
}

/// Opens a tunnel through `relay` to the target `t1`, as a router does that asks for `framing`.
async fn open_tunnel(relay: SocketAddr, framing: &str) -> Option<Conn> {
    let mut conn = Conn::dial(relay, Duration::from_secs(5)).await.ok()?;
    let digest = target_digest("t1");
    let connect = format!("CONNECT {digest:016x} HTTP/1.1\r\nHost: {digest:016x}\r\n{framing}\r\n");
    conn.write(connect.as_bytes()).await.ok()?;
    let head = conn.read_response(1_024).await.ok()?;
    let chunks = || RelayFraming::Chunked(BodyDecoder::chunked());
    let conn = if framing.is_empty() { conn } else { conn.behind_relay(chunks()) };
    (head.status == 200).then_some(conn)
}

/// A target behind a relay, and a router that may ask for tunnels to it.
struct Relay {
    target: TcpListener,
    host: GatewayHost,
    _router: GatewayHost,
    _platform: LocalPlatform,
}

impl Relay {
    async fn start() -> Relay {
        let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (platform, host) = router_before(target.local_addr().unwrap()).await;
        let router = GatewayHost::start(&platform, "r2", "zone-1", 1).await.unwrap();
        eventually("the relay knows the router", || !host.gw.peers.borrow().is_empty()).await;
        Relay { target, host, _router: router, _platform: platform }
    }

    /// Begins a request, of which a part is still to come. Returns the tunnel and the target's end.
    async fn begin_upload(&self, framing: &str) -> (Conn, TcpStream) {
        let opened = open_tunnel(self.host.gw.settings.peer, framing).await;
        let (mut conn, (mut target, _)) = (opened.unwrap(), self.target.accept().await.unwrap());
        conn.write(b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n").await.unwrap();
        assert!(target.read(&mut [0; 256]).await.unwrap() > 0);
        (conn, target)
    }
}

#[rstest]
#[case::marked_end("Tunnel-Framing: chunked\r\n")]
#[case::unmarked_end("")]
fn relayed_answer_reset_during_upload_is_incomplete(#[case] framing: &'static str) {
    // Guards against a relay that ends a tunnel in order because the reset of its target is reported
    // to the write of the request.
    run_local(async move {
        let relay = Relay::start().await;
        for n in 0..TUNNELS {
            let (mut conn, mut target) = relay.begin_upload(framing).await;
            target.write_all(b"HTTP/1.1 200 OK\r\n\r\npart").await.unwrap();
            let head = conn.read_response(1_024).await.unwrap();
            reset(target, Duration::ZERO).await;
            conn.start_request("more".into()).unwrap();
            let body = conn.read_body(head.body, |_| true).await;
            assert!(body.is_err(), "{n}: {body:?}");
        }
    });
}

#[rstest]
#[case::ended("", true)]
#[case::with_length("Content-Length: 5\r\n", false)]
fn relayed_answer_whole_before_reset_is_complete(#[case] length: &str, #[case] ends: bool) {
    // Guards against a relay that drops a complete answer, because its target does not read the rest
    // of the request.
    let answer = format!("HTTP/1.1 200 OK\r\n{length}\r\nwhole");
    run_local(async move {
        let relay = Relay::start().await;
        for n in 0..TUNNELS {
            let (mut conn, mut target) = relay.begin_upload("Tunnel-Framing: chunked\r\n").await;
            target.write_all(answer.as_bytes()).await.unwrap();
            if ends {
                target.shutdown().await.unwrap();
            }
            reset(target, Duration::ZERO).await;
            conn.start_request("more".into()).unwrap();
            let head = conn.read_response(1_024).await;
            let head = head.unwrap_or_else(|e| panic!("{n}: {e:?}"));
            let body = conn.read_body(head.body, |_| true).await;
            assert_eq!(body.unwrap().as_deref(), Some(&b"whole"[..]), "{n}");
        }
    });
}
