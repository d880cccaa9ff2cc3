//! `kingcupwall demo`: runs a fleet in one process, kills a router under load, and audits the result.

use std::time::Duration;

use bpaf::Bpaf;
use tokio::time::Instant;

use super::block_on;
use crate::audit::{Audit, audit};
use crate::client::Caller;
use crate::config::Config;
use crate::config::parse::parse;
use crate::error::{Error, Kind, Result};
use crate::ids::{Digest, ZoneId};
use crate::load::{LoadProfile, LoadSource, run as run_load, summarize};
use crate::standin::fleet::{PlatformHost, RouterHost, TargetHost, router_settings, submit_first};
use crate::standin::platform::PlatformLimits;
use crate::standin::target::TargetSetup;

/// Availability zones of the demo, with one router each.
const ZONES: [&str; 3] = ["hall-pacheco", "hall-barracas", "hall-ezeiza"];
/// Name, prepaid tokens and weight in the load of each organisation. The tokens of the last one run
/// out.
const ORGANISATIONS: [(&str, &str, f64); 4] =
    [("norte", "2M", 6.0), ("sur", "500k", 3.0), ("litoral", "300k", 2.0), ("andes", "3k", 1.0)];
/// Number of targets in each zone.
const TARGETS_PER_ZONE: usize = 2;
/// Maximum time until all bills are written after the last answer.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(6);

/// Run a fleet in this process, kill a router under load, and audit the outcome
///
/// The exit code is 0 only if the audit passed.
///
/// Example: kingcupwall demo --seed 7
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(command("demo"))]
pub struct Args {
    /// Seed of the load
    #[bpaf(argument("N"), fallback(7))]
    seed: u64,
    /// Number of requests to send
    #[bpaf(argument("N"), fallback(600))]
    requests: usize,
    /// Mean arrivals per second
    #[bpaf(argument("N"), fallback(60.0))]
    rate: f64,
    /// Do not kill a router
    no_kill: bool,
}

/// Returns the configuration of the demo.
fn config_text() -> String {
    let mut text = String::from(
        "[fleet]\nentry_lifetime = 1s\n\n[service claims]\nkind = model\nmodel = llama-8b\nbytes_per_token = 4\nmax_tokens = 64\n",
    );
    for (name, prepaid, _) in ORGANISATIONS {
        let digest = Digest::of(api_key(name).as_bytes());
        text += &format!(
            "\n[organisation {name}]\nkey = {digest}\n\n[budget {name}/main]\nprepaid = {prepaid}\n"
        );
    }
    text
}

fn api_key(organisation: &str) -> String {
    format!("{organisation}-key")
}

impl Args {
    async fn run_fleet(&self) -> Result<Audit> {
        let platform = PlatformHost::start(PlatformLimits::default()).await?;
        let zones: Vec<ZoneId> = ZONES.iter().map(|z| z.parse()).collect::<Result<_>>()?;
        let mut targets = Vec::new();
        for (i, zone) in zones.iter().cycle().take(ZONES.len() * TARGETS_PER_ZONE).enumerate() {
            let setup = TargetSetup { serves: vec!["llama-8b".into()], ..TargetSetup::default() };
            targets.push(TargetHost::start(&platform.memory, &format!("t{i}"), zone, setup).await?);
        }
        let mut routers = Vec::new();
        for (i, zone) in zones.iter().enumerate() {
            let settings = router_settings(platform.server.addr, &format!("router-{i}"), zone);
            routers.push(RouterHost::start(settings).await?);
        }
        let text = config_text();
        let revision = submit_first(routers[0].api, &text).await?;
        for r in &routers {
            r.ready().await;
        }
        println!(
            "fleet=ready revision={revision} routers={} targets={}",
            routers.len(),
            targets.len()
        );
        let cfg = parse(&text).map_err(|f| crate::config::ini::findings_error("demo", &f))?;
        self.load_and_audit(&platform, routers, &cfg).await
    }

    async fn load_and_audit(
        &self,
        platform: &PlatformHost,
        mut routers: Vec<RouterHost>,
        cfg: &Config,
    ) -> Result<Audit> {
        let addresses: Vec<String> = routers.iter().map(|r| r.api.to_string()).collect();
        let sources = ORGANISATIONS
            .iter()
            .map(|(name, _, share)| {
                let caller = Caller::new(addresses.clone(), &api_key(name), None)?;
                Ok(LoadSource { caller, organisation: (*name).into(), share: *share })
            })
            .collect::<Result<Vec<_>>>()?;
        let profile = LoadProfile {
            rate: self.rate,
            requests: self.requests,
            burst: 2.0,
            model: "claims".into(),
            max_tokens: 64,
            prompt_bytes: 200,
            prefixes: 8,
            retry_timeout: Duration::from_secs(15),
            seed: self.seed,
            label: format!("demo-{}", self.seed),
        };
        let started_at = Instant::now();
        let load = tokio::spawn(async move { run_load(&sources, &profile).await });
        if !self.no_kill {
            let kill_delay = Duration::from_secs_f64(self.requests as f64 / self.rate * 0.4);
            tokio::time::sleep(kill_delay).await;
            let killed_router = routers.remove(1);
            println!(
                "killed={} open_runs={}",
                killed_router.api,
                killed_router.router().node.lock_runs().running()
            );
            killed_router.kill();
        }
        let records = load.await.map_err(|e| Error::new(Kind::Io, e.to_string()))?;
        let summary = summarize(&records, started_at.elapsed());
        println!("load={}", serde_json::to_string(&summary)?);
        let mut result = audit(&platform.memory, cfg, &records).await?;
        let limit = Instant::now() + SETTLE_TIMEOUT;
        // Bills are written in batches, so the last ones are written shortly after the last answers.
        while !result.passed() && Instant::now() < limit {
            tokio::time::sleep(Duration::from_millis(100)).await;
            result = audit(&platform.memory, cfg, &records).await?;
        }
        let counts = platform.memory.counts();
        println!("table txns={} rows={} reads={}", counts.txns, counts.rows, counts.reads);
        for r in routers {
            r.kill();
        }
        Ok(result)
    }
}

/// Runs the command.
///
/// # Errors
/// `Io` if the fleet cannot be started or the audit failed.
pub fn run(args: &Args) -> Result<()> {
    let result = block_on(args.run_fleet())?;
    println!("{}", result.summary_line());
    match result.passed() {
        true => Ok(()),
        false => Err(Error::new(Kind::Io, "the audit failed:a value above is not as guaranteed")),
    }
}
