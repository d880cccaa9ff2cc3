//! `kingcupwall demo`: a whole fleet in one process, a router killed in the middle, and an audit.

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
use crate::load::{Member, Shape, run as run_load, summarize};
use crate::standin::fleet::{PlatformHost, RouterHost, TargetHost, router_settings, submit_first};
use crate::standin::platform::PlatformLimits;
use crate::standin::target::TargetSetup;

/// Zones of the demo.
const ZONES: [&str; 3] = ["hall-pacheco", "hall-barracas", "hall-ezeiza"];
/// Organisations and their prepaid tokens; the last one's run out.
const ORGANISATIONS: [(&str, &str, f64); 4] =
    [("norte", "2M", 6.0), ("sur", "500k", 3.0), ("litoral", "300k", 2.0), ("andes", "3k", 1.0)];
/// Targets in each zone.
const TARGETS_PER_ZONE: usize = 2;
/// Time for the ledger to settle after the last answer.
const SETTLE: Duration = Duration::from_secs(6);

/// Run a whole fleet in this process, kill a router in the middle, and audit the outcome
///
/// Exits with 0 only if every property held.
///
/// Example: kingcupwall demo --seed 7
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(command("demo"))]
pub struct Args {
    /// Makes the load repeatable
    #[bpaf(argument("N"), fallback(7))]
    seed: u64,
    /// Requests to send
    #[bpaf(argument("N"), fallback(600))]
    requests: usize,
    /// Arrivals a second
    #[bpaf(argument("N"), fallback(60.0))]
    rate: f64,
    /// Kill no router
    no_kill: bool,
}

/// The demo's configuration.
fn configuration() -> String {
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
        let text = configuration();
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
        let members = ORGANISATIONS
            .iter()
            .map(|(name, _, share)| {
                let caller = Caller::new(addresses.clone(), &api_key(name), None)?;
                Ok(Member { caller, organisation: (*name).into(), share: *share })
            })
            .collect::<Result<Vec<_>>>()?;
        let shape = Shape {
            rate: self.rate,
            requests: self.requests,
            burst: 2.0,
            model: "claims".into(),
            max_tokens: 64,
            prompt_bytes: 200,
            prefixes: 8,
            patience: Duration::from_secs(15),
            seed: self.seed,
            label: format!("demo-{}", self.seed),
        };
        let began = Instant::now();
        let load = tokio::spawn(async move { run_load(&members, &shape).await });
        if !self.no_kill {
            let half = Duration::from_secs_f64(self.requests as f64 / self.rate * 0.4);
            tokio::time::sleep(half).await;
            let victim = routers.remove(1);
            println!(
                "killed={} open_runs={}",
                victim.api,
                victim.router().node.lock_runs().running()
            );
            victim.kill();
        }
        let records = load.await.map_err(|e| Error::new(Kind::Io, e.to_string()))?;
        let summary = summarize(&records, began.elapsed());
        println!("load={}", serde_json::to_string(&summary)?);
        let mut result = audit(&platform.memory, cfg, &records).await?;
        let limit = Instant::now() + SETTLE;
        // Bills are written in groups: the last ones come a moment after the last answers.
        while !result.holds() && Instant::now() < limit {
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
/// `Io` when the fleet cannot be started or a property did not hold.
pub fn run(args: &Args) -> Result<()> {
    let result = block_on(args.run_fleet())?;
    println!("{}", result.line());
    match result.holds() {
        true => Ok(()),
        false => Err(Error::new(Kind::Io, "a property did not hold")),
    }
}
