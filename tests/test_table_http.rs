//! Tests of the HTTP client of the platform.

use std::time::Duration;

use kingcupwall::error::Kind;
use kingcupwall::table::ObjectStore;
use kingcupwall::table::http::HttpPlatform;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Serves one request with an object of ten chunks, one every 350 ms.
async fn serve_slowly(listener: TcpListener) {
    let (mut io, _) = listener.accept().await.unwrap();
    let mut head = [0; 4096];
    assert!(io.read(&mut head).await.unwrap() > 0);
    io.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n").await.unwrap();
    for _ in 0..10 {
        sleep(Duration::from_millis(350)).await;
        // A client that timed out closes the connection.
        if io.write_all(&[b'x'; 10]).await.is_err() {
            return;
        }
    }
}

/// Guards against a router that never gets the configuration snapshot over a slow link and keeps
/// requesting it: with a timeout of 3 s for the whole response, a download that makes steady
/// progress was cut off.
#[tokio::test]
async fn get_slow_download() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let platform = HttpPlatform::new(&listener.local_addr().unwrap().to_string()).unwrap();
    tokio::spawn(serve_slowly(listener));
    let object = platform.get("config/snapshot/7".into()).await.unwrap();
    assert_eq!(object.len(), 100);
}

/// Guards against a caller that waits forever for a platform that accepts a request and never
/// responds.
#[tokio::test]
async fn get_silent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let platform = HttpPlatform::new(&listener.local_addr().unwrap().to_string()).unwrap();
    let got = platform.get("config/snapshot/7".into()).await;
    assert_eq!(got.unwrap_err().kind, Kind::PlatformAway);
}
