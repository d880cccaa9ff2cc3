//! Serves the platform's store over HTTP to the routers of a soak.

use kingcupwall::http1::Conn;
use kingcupwall::rows::{
    ArrivingAnswers, MemoryRows, Page, Row, RowStore, StoreError, StoreResult, Ver,
};
use kingcupwall_platform::names;
use kingcupwall_platform::wire::{WirePage, WireTx};
use reqwest::Url;
use serde_json::Value;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::cuts::RouterLinks;

/// How long bytes that were sent to a router may stay unacknowledged.
const ACK_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a call's body, in bytes.
const MAX_BYTES: u64 = 1024 * 1024;

/// Serves one router's calls through a handle of the store, without end. Faults that are set on the
/// handle apply to these calls. Targets' entries state the addresses of the router's own links.
pub(crate) async fn serve(
    listener: TcpListener,
    rows: MemoryRows,
    links: Rc<RefCell<RouterLinks>>,
) {
    while let Ok((io, _)) = listener.accept().await {
        let (rows, links) = (rows.clone(), links.clone());
        spawn_local(async move {
            let Ok(mut conn) = Conn::new(io, ACK_TIMEOUT) else { return };
            while let Ok(head) = conn.read_request(64 * 1024).await {
                let Ok(Some(body)) = conn.read_body(head.body, |n| n <= MAX_BYTES).await else {
                    return;
                };
                // A lost answer is simulated by closing the connection without a response.
                let Some(reply) = handle_call(&rows, &links, &head.target, &body).await else {
                    return;
                };
                if conn.write(&reply).await.is_err() {
                    return;
                }
            }
        });
    }
}

async fn handle_call(
    rows: &MemoryRows,
    links: &RefCell<RouterLinks>,
    target: &str,
    body: &[u8],
) -> Option<Vec<u8>> {
    let url = Url::parse("http://store").ok()?.join(target).ok()?;
    let field = |name: &str| {
        let found = url.query_pairs().find(|(n, _)| n == name);
        found.map(|(_, v)| v.into_owned()).unwrap_or_default()
    };
    let number = |name: &str| field(name).parse::<u64>().ok();
    let outcome = match url.path() {
        "/rows-tx" => commit(rows, body).await,
        "/rows-get" => rows.scan(&field("table"), &field("part")).await,
        "/rows-feed" => {
            let wait = Duration::from_millis(number("wait_ms")?);
            let (table, after) = (field("table"), Ver(number("after")?));
            rows.feed(&table, after, wait, &ArrivingAnswers::default()).await
        }
        _ => return Some(encode(404, Page::default())),
    };
    match outcome {
        Ok(mut page) => {
            page.rows.iter_mut().for_each(|row| set_link_address(row, &links.borrow()));
            Some(encode(200, page))
        }
        Err(StoreError::Conflict(rows)) => Some(encode(412, Page { rows, ..Page::default() })),
        Err(StoreError::HistoryGone) => Some(encode(410, Page::default())),
        Err(StoreError::Rejected(status)) => Some(encode(status, Page::default())),
        Err(StoreError::Unknown(_)) => None,
    }
}

/// Replaces the address in a target's entry by that of the router's link to the target.
fn set_link_address(row: &mut Row, links: &RouterLinks) {
    let addr = links.addr(&row.at.key).filter(|_| row.at.table == names::TARGETS_TABLE);
    let entry = row.value.as_deref().and_then(|v| serde_json::from_slice::<Value>(v).ok());
    if let (Some(addr), Some(mut entry)) = (addr, entry) {
        entry["address"] = addr.to_string().into();
        row.value = Some(entry.to_string().into_bytes().into());
    }
}

async fn commit(rows: &MemoryRows, body: &[u8]) -> StoreResult<Page> {
    let wire: Option<WireTx> = serde_json::from_slice(body).ok();
    let tx = wire.and_then(|w| w.into_tx().ok()).ok_or(StoreError::Rejected(400))?;
    let done = rows.commit(&tx).await?;
    Ok(Page { rows: Vec::new(), ver: done.ver, now: done.now })
}

fn encode(status: u16, page: Page) -> Vec<u8> {
    let body = serde_json::to_string(&WirePage::from(page)).expect("a page can be written as JSON");
    let len = body.len();
    format!(
        "HTTP/1.1 {status} Stated\r\nContent-Type: application/json\r\nContent-Length: {len}\r\n\r\n{body}"
    )
    .into_bytes()
}
