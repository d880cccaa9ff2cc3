//! `kingcupwall gateway-demo`: runs gateways with stand-in targets, kills one, and audits the result.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bpaf::Bpaf;
use tokio::task::{JoinSet, LocalSet};
use tokio::time::sleep;

use crate::allowance::Ledger;
use crate::error::{Error, Kind, Result};
use crate::http1::Conn;
use crate::rows::RowStore;
use crate::standin::gateway::{LocalPlatform, catalog_parts};
use crate::standin::gateway_host::GatewayHost;
use crate::standin::gateway_target::{StandinTarget, TOKENS_PER_EVENT, TargetFault};

/// Availability zones, with one gateway and two targets each.
const ZONES: [&str; 3] = ["zone-1", "zone-2", "zone-3"];
/// Prepaid tokens of the only organisation. They are spent before the last requests.
const PREPAID: u64 = 30_000;
/// Prompt tokens and maximum output tokens of a request.
const TOKENS_PER_REQUEST: (u64, u64) = (120, 40);
/// Interval between requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(4);
/// Maximum time that sent bytes may stay unacknowledged.
const ACK_TIMEOUT: Duration = Duration::from_secs(5);

/// Run three gateways with stand-in targets in this process, kill one, and audit the outcome
///
/// The exit code is 0 only if the audit passed.
///
/// Example: kingcupwall gateway-demo --requests 300
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(command("gateway-demo"))]
pub struct Args {
    /// Number of requests to send
    #[bpaf(argument("N"), fallback(300))]
    requests: usize,
}

/// Counts of requests by outcome, as callers observed them, and the tokens delivered to callers.
#[derive(Debug, Default)]
struct Outcomes {
    completed: u64,
    refused: u64,
    interrupted: u64,
    unreachable: u64,
    tokens: u64,
}

/// Sends request `n` and records its outcome and the delivered tokens.
async fn send_request(n: usize, to: std::net::SocketAddr, outcomes: Rc<RefCell<Outcomes>>) {
    let kind = if n.is_multiple_of(2) { "stream" } else { "resumable" };
    let (prompt, output) = TOKENS_PER_REQUEST;
    let req = format!(
        "GET /{kind}/a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: d{n}\r\nTime-Left-Ms: 4000\r\n\
         Authorization: Bearer key-norte\r\nTokens: {prompt},{output}\r\n\r\n"
    );
    let Ok(mut conn) = Conn::dial(to, ACK_TIMEOUT).await else {
        outcomes.borrow_mut().unreachable += 1;
        return;
    };
    if conn.write(req.as_bytes()).await.is_err() {
        outcomes.borrow_mut().unreachable += 1;
        return;
    }
    let Ok(head) = conn.read_response(64 * 1024).await else {
        outcomes.borrow_mut().interrupted += 1;
        return;
    };
    let mut body = head.body;
    let mut events = 0;
    let completed = loop {
        match conn.read_piece(&mut body).await {
            Ok(Some(piece)) => events += piece.windows(2).filter(|w| w == b"\n\n").count() as u64,
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    let mut outcomes = outcomes.borrow_mut();
    match (head.status, completed) {
        (200, completed) => {
            outcomes.tokens += prompt + events * TOKENS_PER_EVENT;
            *(if completed { &mut outcomes.completed } else { &mut outcomes.interrupted }) += 1;
        }
        _ => outcomes.refused += 1,
    }
}

async fn run_gateways(requests: usize) -> Result<()> {
    let platform = LocalPlatform::new();
    platform.configure(catalog_parts(1, PREPAID));
    let mut targets = Vec::new();
    for (n, zone) in ZONES.iter().chain(&ZONES).enumerate() {
        let target = StandinTarget::start(&format!("t{n}"), "model", zone).await?;
        platform.register(&target, "ready");
        target.fail(&[TargetFault::CutsStream(3), TargetFault::Full]);
        targets.push(target);
    }
    let mut hosts = Vec::new();
    for (n, zone) in ZONES.iter().enumerate() {
        hosts.push(GatewayHost::start(&platform, &format!("r{n}"), zone, 1).await?);
    }
    let outcomes = Rc::new(RefCell::new(Outcomes::default()));
    let mut requests_in_flight = JoinSet::new();
    for n in 0..requests {
        if n == requests / 2 {
            hosts.remove(0).kill();
            hosts.push(GatewayHost::start(&platform, "r0", ZONES[0], 2).await?);
        }
        requests_in_flight.spawn_local(send_request(
            n,
            hosts[n % hosts.len()].front,
            outcomes.clone(),
        ));
        sleep(REQUEST_INTERVAL).await;
    }
    while requests_in_flight.join_next().await.is_some() {}
    let outcomes = outcomes.take();
    audit(&platform, &targets, &outcomes).await
}

/// Checks that no non-resumable request was executed twice, and that neither delivered nor committed
/// tokens exceed the prepaid ones.
async fn audit(
    platform: &LocalPlatform,
    targets: &[StandinTarget],
    outcomes: &Outcomes,
) -> Result<()> {
    let mut ids: Vec<_> = targets.iter().flat_map(|t| t.runs()).map(|r| r.id).collect();
    // Requests with an even number are streams, which may be executed only once.
    let once =
        |id: &str| id.trim_start_matches('d').parse().is_ok_and(|n: u64| n.is_multiple_of(2));
    ids.retain(|id| once(id));
    ids.sort();
    let runs = ids.len();
    ids.dedup();
    let executed_twice = runs - ids.len();
    let rows_page =
        platform.scan("budgets", "norte").await.map_err(|e| Error::new(Kind::Io, e.to_string()))?;
    let value = rows_page.rows.first().and_then(|r| r.value.clone()).unwrap_or_default();
    let committed_tokens = Ledger::decode(&value)?.committed();
    println!(
        "whole={} refused={} cut={} unreached={} run_twice={executed_twice} delivered_tokens={} promised_tokens={committed_tokens} prepaid={PREPAID}",
        outcomes.completed,
        outcomes.refused,
        outcomes.interrupted,
        outcomes.unreachable,
        outcomes.tokens,
    );
    let passed = executed_twice == 0
        && outcomes.tokens <= PREPAID
        && committed_tokens.0 <= PREPAID
        && outcomes.completed > 0;
    if passed {
        Ok(())
    } else {
        Err(Error::new(Kind::OutcomeUnknown, "the audit failed:a value above is not as guaranteed"))
    }
}

/// Runs the command.
///
/// # Errors
/// `OutcomeUnknown` if the audit failed.
pub fn run(args: &Args) -> Result<()> {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&rt, run_gateways(args.requests))
}
