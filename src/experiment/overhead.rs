//! Measures the latency that a router adds to a request, compared with direct calls of the target in
//! the same run.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::client::{Caller, ChatCall};
use crate::engine::http::HttpEngine;
use crate::engine::{Engine, PieceStream, StartRun};
use crate::error::Result;
use crate::ids::{Digest, ZoneId};
use crate::standin::fleet::{PlatformHost, RouterHost, TargetHost, router_settings, submit_first};
use crate::standin::platform::PlatformLimits;
use crate::standin::target::TargetSetup;

/// Number of requests of each kind before the measurement starts.
const WARM_UP_REQUESTS: usize = 50;
/// Maximum output tokens of a request.
const OUTPUT_TOKENS: u64 = 8;

/// Times until the answer is complete, in microseconds.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Overhead {
    /// Number of measured requests of each kind.
    pub requests: usize,
    /// Median of direct calls.
    pub direct_p50_us: u64,
    /// 99th percentile of direct calls.
    pub direct_p99_us: u64,
    /// Median of calls through a router with a witness.
    pub routed_p50_us: u64,
    /// 99th percentile of calls through a router with a witness.
    pub routed_p99_us: u64,
    /// Ratio of the medians, routed to direct.
    pub ratio_p50: f64,
    /// Ratio of the 99th percentiles, routed to direct.
    pub ratio_p99: f64,
}

/// Sends requests alternately to the target and through a router.
///
/// # Errors
/// `Io` if the fleet cannot be started, or the error of a request.
pub async fn run(requests: usize) -> Result<Overhead> {
    let platform = PlatformHost::start(PlatformLimits::default()).await?;
    let zones: [ZoneId; 2] = ["a".parse()?, "b".parse()?];
    let step_time = Duration::from_millis(2);
    let setup = TargetSetup { serves: vec!["m".into()], step_time, ..TargetSetup::default() };
    let target: TargetHost = TargetHost::start(&platform.memory, "t0", &zones[0], setup).await?;
    let mut routers = Vec::new();
    for zone in &zones {
        routers.push(RouterHost::start(router_settings(platform.server.addr, "r", zone)).await?);
    }
    let key = Digest::of(b"key");
    let text = format!(
        "[service chat]\nmodel = m\nbytes_per_token = 4\n[organisation o]\nkey = {key}\n[budget o/b]\nprepaid = 10M\n"
    );
    submit_first(routers[0].api, &text).await?;
    for r in &routers {
        r.ready().await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let caller = Caller::new(vec![routers[0].api.to_string()], "key", None)?;
    let engine = HttpEngine::new()?;
    let addr = target.server.addr.to_string();
    let mut direct: Histogram<u64> =
        Histogram::new(3).expect("three significant digits are in range");
    let mut routed = direct.clone();
    for n in 0..requests + WARM_UP_REQUESTS {
        let (a, b) = (call_direct(&engine, &addr, n).await?, call_routed(&caller, n).await?);
        if n >= WARM_UP_REQUESTS {
            // The histogram resizes automatically, so recording cannot fail.
            let _ = direct.record(a.as_micros() as u64);
            let _ = routed.record(b.as_micros() as u64);
        }
    }
    routers.into_iter().for_each(RouterHost::kill);
    let q = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q);
    let (d50, d99, r50, r99) =
        (q(&direct, 0.5), q(&direct, 0.99), q(&routed, 0.5), q(&routed, 0.99));
    Ok(Overhead {
        requests,
        direct_p50_us: d50,
        direct_p99_us: d99,
        routed_p50_us: r50,
        routed_p99_us: r99,
        ratio_p50: r50 as f64 / d50 as f64,
        ratio_p99: r99 as f64 / d99 as f64,
    })
}

fn content(n: usize) -> String {
    format!("request {n}")
}

async fn call_direct(engine: &HttpEngine, addr: &str, n: usize) -> Result<Duration> {
    let run = StartRun {
        run: format!("direct-{n}").parse()?,
        model: "m".into(),
        prompt: format!("user: {}\n", content(n)),
        max_tokens: OUTPUT_TOKENS,
        priority: crate::api::DEFAULT_PRIORITY,
        so_far: Vec::new(),
    };
    let started_at = Instant::now();
    let mut parts = engine.start(addr, &run).await?;
    while parts.next().await?.is_some() {}
    Ok(started_at.elapsed())
}

async fn call_routed(caller: &Caller, n: usize) -> Result<Duration> {
    let call = ChatCall {
        model: "chat".into(),
        content: content(n),
        max_tokens: OUTPUT_TOKENS,
        key: format!("k{n}").parse()?,
        priority: crate::api::DEFAULT_PRIORITY,
        retry_timeout: Duration::from_secs(10),
    };
    let started_at = Instant::now();
    caller.chat(&call, |_| {}).await?;
    Ok(started_at.elapsed())
}
