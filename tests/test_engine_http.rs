//! Tests of the HTTP client of targets.

use kingcupwall::engine::Engine;
use kingcupwall::engine::http::HttpEngine;
use kingcupwall::error::Kind;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Well above the longest accepted answer and what the buffers of a connection hold.
const MAX_SENT_BYTES: usize = 64 * 1024 * 1024;

/// Serves one request with `head` and a body without end. Returns the number of bytes sent until the
/// client has closed the connection.
async fn serve_endlessly(listener: TcpListener, head: &str) -> usize {
    let (mut io, _) = listener.accept().await.unwrap();
    assert!(io.read(&mut [0; 4_096]).await.unwrap() > 0);
    io.write_all(head.as_bytes()).await.unwrap();
    let (piece, mut sent) = ([b' '; 64 * 1024], 0);
    while sent <= MAX_SENT_BYTES && io.write_all(&piece).await.is_ok() {
        sent += piece.len();
    }
    sent
}

/// Guards against a router that keeps all bytes of a target that sends them without end.
#[rstest]
#[case::until_close("HTTP/1.1 200 OK\r\n\r\n")]
#[case::long("HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n")]
#[tokio::test]
async fn report_without_end(#[case] head: &'static str) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let served = tokio::spawn(serve_endlessly(listener, head));
    let got = HttpEngine::new().unwrap().report(&addr).await;
    assert_eq!(got.unwrap_err().kind, Kind::TargetFailed);
    assert!(served.await.unwrap() <= MAX_SENT_BYTES);
}
