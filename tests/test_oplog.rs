//! The structured log: its limits, and that writing a line never blocks.

use std::time::Duration;

use kingcupwall::oplog::Log;
use tokio::io::AsyncWriteExt;
use tokio::task::LocalSet;

#[tokio::test(start_paused = true)]
async fn log_limits_each_kind() {
    // A kind of event that is logged very often must not displace the lines of other kinds.
    let log = Log::new();
    for n in 0..1_000 {
        log.routine("placed", format_args!("n={n}"));
    }
    log.note("store", format_args!("state=away"));
    let text = log.take();
    assert!(text.lines().count() < 100);
    assert!(text.contains("event=store state=away"));
    assert!(text.contains("event=log_dropped lines="));
    tokio::time::advance(Duration::from_secs(2)).await;
    log.routine("placed", format_args!("n=again"));
    assert!(log.take().contains("n=again"));
}

#[tokio::test(start_paused = true)]
async fn log_full_pipe() {
    // Requests must not block when the reader of the log has stalled and the pipe is full. Only the
    // writing task may wait, and lines beyond the limit are dropped and counted.
    LocalSet::new()
        .run_until(async {
            let log = Log::new();
            let (out, _reader) = tokio::io::duplex(1_024);
            tokio::task::spawn_local(log.clone().run(out));
            for n in 0..100_000 {
                log.note("refused", format_args!("n={n} {}", "x".repeat(100)));
                if n % 50 == 0 {
                    tokio::time::sleep(Duration::from_secs(1)).await;
                }
            }
            assert!(log.lines_dropped() > 0);
            assert!(log.take().len() < 256 * 1024);
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn log_writes_in_order() {
    LocalSet::new()
        .run_until(async {
            let log = Log::new();
            let (out, mut reader) = tokio::io::duplex(64 * 1024);
            tokio::task::spawn_local(log.clone().run(out));
            log.note("start", format_args!("a=1"));
            log.note("stop", format_args!("a=2"));
            let mut buf = vec![0; 1_024];
            let n = tokio::io::AsyncReadExt::read(&mut reader, &mut buf).await.unwrap();
            let text = String::from_utf8_lossy(&buf[..n]).into_owned();
            let (start, stop) =
                (text.find("event=start").unwrap(), text.find("event=stop").unwrap());
            assert!(start < stop);
            reader.shutdown().await.unwrap();
        })
        .await;
}
