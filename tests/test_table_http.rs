//! The platform's client over HTTP.

use std::time::Duration;

use kingcupwall::error::Kind;
use kingcupwall::table::ObjectStore;
use kingcupwall::table::http::HttpPlatform;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Answers one call with an object of ten pieces, one every 350 ms.
async fn answer_slowly(listener: TcpListener) {
    let (mut io, _) = listener.accept().await.unwrap();
    let mut head = [0; 4096];
    assert!(io.read(&mut head).await.unwrap() > 0);
    io.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n").await.unwrap();
    for _ in 0..10 {
        sleep(Duration::from_millis(350)).await;
        // A client that has given up closes the connection.
        if io.write_all(&[b'x'; 10]).await.is_err() {
            return;
        }
    }
}

/// A router that joins through a narrow link never gets the configuration's snapshot, asks for it
/// again and again, and fills the link with its beginning. Each call had 3 s for the whole answer,
/// also when it came without a pause.
#[tokio::test]
async fn get_longer_than_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let platform = HttpPlatform::new(&listener.local_addr().unwrap().to_string()).unwrap();
    tokio::spawn(answer_slowly(listener));
    let object = platform.get("config/snapshot/7".into()).await.unwrap();
    assert_eq!(object.len(), 100);
}

/// A platform that takes a call and never answers must not hold up its caller for ever.
#[tokio::test]
async fn get_silent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let platform = HttpPlatform::new(&listener.local_addr().unwrap().to_string()).unwrap();
    let got = platform.get("config/snapshot/7".into()).await;
    assert_eq!(got.unwrap_err().kind, Kind::PlatformAway);
}
