//! `kingcupwall gateway-demo`: a fleet of gateways on stand-ins, one killed, and an audit.

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

/// Availability zones, with one router and two targets each.
const ZONES: [&str; 3] = ["zone-1", "zone-2", "zone-3"];
/// Tokens that the only organisation has prepaid; the last requests find them spent.
const PREPAID: u64 = 30_000;
/// Prompt and most output tokens of a request.
const COST: (u64, u64) = (120, 40);
/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(4);
/// How long a caller's bytes may stay unacknowledged.
const SILENCE: Duration = Duration::from_secs(5);

/// Run three gateways on stand-ins in this process, kill one, and audit the outcome
///
/// Exits with 0 only if every property held.
///
/// Example: kingcupwall gateway-demo --requests 300
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(command("gateway-demo"))]
pub struct Args {
    /// Requests to send
    #[bpaf(argument("N"), fallback(300))]
    requests: usize,
}

/// What callers saw.
#[derive(Debug, Default)]
struct Outcomes {
    whole: u64,
    refused: u64,
    cut: u64,
    unreached: u64,
    tokens: u64,
}

/// One caller's request; notes how it ended and what was delivered.
async fn call(n: usize, to: std::net::SocketAddr, seen: Rc<RefCell<Outcomes>>) {
    let kind = if n.is_multiple_of(2) { "stream" } else { "resumable" };
    let (prompt, output) = COST;
    let req = format!(
        "GET /{kind}/a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: d{n}\r\nTime-Left-Ms: 4000\r\n\
         Authorization: Bearer key-norte\r\nTokens: {prompt},{output}\r\n\r\n"
    );
    let Ok(mut conn) = Conn::dial(to, SILENCE).await else {
        seen.borrow_mut().unreached += 1;
        return;
    };
    if conn.write(req.as_bytes()).await.is_err() {
        seen.borrow_mut().unreached += 1;
        return;
    }
    let Ok(head) = conn.read_response(64 * 1024).await else {
        seen.borrow_mut().cut += 1;
        return;
    };
    let mut body = head.body;
    let mut events = 0;
    let whole = loop {
        match conn.read_piece(&mut body).await {
            Ok(Some(piece)) => events += piece.windows(2).filter(|w| w == b"\n\n").count() as u64,
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    let mut seen = seen.borrow_mut();
    match (head.status, whole) {
        (200, whole) => {
            seen.tokens += prompt + events * TOKENS_PER_EVENT;
            *(if whole { &mut seen.whole } else { &mut seen.cut }) += 1;
        }
        _ => seen.refused += 1,
    }
}

async fn play(requests: usize) -> Result<()> {
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
    let seen = Rc::new(RefCell::new(Outcomes::default()));
    let mut calls = JoinSet::new();
    for n in 0..requests {
        if n == requests / 2 {
            hosts.remove(0).kill();
            hosts.push(GatewayHost::start(&platform, "r0", ZONES[0], 2).await?);
        }
        calls.spawn_local(call(n, hosts[n % hosts.len()].front, seen.clone()));
        sleep(PAUSE).await;
    }
    while calls.join_next().await.is_some() {}
    let seen = seen.take();
    audit(&platform, &targets, &seen).await
}

async fn audit(platform: &LocalPlatform, targets: &[StandinTarget], seen: &Outcomes) -> Result<()> {
    let mut ids: Vec<_> = targets.iter().flat_map(|t| t.runs()).map(|r| r.id).collect();
    let once =
        |id: &str| id.trim_start_matches('d').parse().is_ok_and(|n: u64| n.is_multiple_of(2));
    ids.retain(|id| once(id));
    ids.sort();
    let runs = ids.len();
    ids.dedup();
    let twice = runs - ids.len();
    let page =
        platform.scan("budgets", "norte").await.map_err(|e| Error::new(Kind::Io, e.to_string()))?;
    let value = page.rows.first().and_then(|r| r.value.clone()).unwrap_or_default();
    let promised = Ledger::decode(&value)?.committed();
    println!(
        "whole={} refused={} cut={} unreached={} run_twice={twice} delivered_tokens={} promised_tokens={promised} prepaid={PREPAID}",
        seen.whole, seen.refused, seen.cut, seen.unreached, seen.tokens,
    );
    let held = twice == 0 && seen.tokens <= PREPAID && promised.0 <= PREPAID && seen.whole > 0;
    if held { Ok(()) } else { Err(Error::new(Kind::OutcomeUnknown, "a property did not hold")) }
}

/// Runs the command.
///
/// # Errors
/// `OutcomeUnknown` if a property did not hold.
pub fn run(args: &Args) -> Result<()> {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&rt, play(args.requests))
}
