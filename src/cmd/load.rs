//! `kingcupwall load`: open-loop load from several organisations.

use bpaf::Bpaf;
use tokio::time::Instant;

use super::block_on;
use crate::client::Caller;
use crate::error::{Error, Kind, Result};
use crate::ids::Millis;
use crate::load::{LoadProfile, LoadSource, run as run_load, summarize};

/// Send seeded open-loop load and print latencies
///
/// Organisations are given as NAME:API_KEY:SHARE.
///
/// Example: kingcupwall load --router 127.0.0.1:8080 --model claims --org norte:norte-key:3 --rate 50
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(command("load"))]
pub struct Args {
    /// A router's address; repeatable
    #[bpaf(argument("ADDR"), some("at least one --router is needed"))]
    router: Vec<String>,
    /// NAME:API_KEY:SHARE; repeatable
    #[bpaf(argument("ORG"), some("at least one --org is needed"))]
    org: Vec<String>,
    /// The model service
    #[bpaf(argument("NAME"))]
    model: String,
    /// Arrivals a second
    #[bpaf(argument("N"), fallback(50.0))]
    rate: f64,
    /// Requests in all
    #[bpaf(argument("N"), fallback(500))]
    requests: usize,
    /// Times the rate that the middle third comes at
    #[bpaf(argument("N"), fallback(1.0))]
    burst: f64,
    /// Answer tokens at most
    #[bpaf(argument("N"), fallback(64))]
    max_tokens: u64,
    /// Bytes of prompt
    #[bpaf(argument("N"), fallback(400))]
    prompt_bytes: usize,
    /// Different shared beginnings of prompts; 0: none
    #[bpaf(argument("N"), fallback(0))]
    prefixes: usize,
    /// How long each caller goes on trying
    #[bpaf(argument("TIME"), fallback(Millis(30000)))]
    patience: Millis,
    /// Makes the load repeatable
    #[bpaf(argument("N"), fallback(7))]
    seed: u64,
    /// Print one JSON object
    json: bool,
}

impl Args {
    fn sources(&self) -> Result<Vec<LoadSource>> {
        let bad =
            |o: &str| Error::new(Kind::BadRequest, format!("{o:?} is not NAME:API_KEY:SHARE"));
        let source = |o: &String| {
            let parts: Vec<&str> = o.split(':').collect();
            let [name, key, share] = parts[..] else { return Err(bad(o)) };
            let share = share.parse().map_err(|_| bad(o))?;
            let caller = Caller::new(self.router.clone(), key, None)?;
            Ok(LoadSource { caller, organisation: name.into(), share })
        };
        self.org.iter().map(source).collect()
    }

    fn profile(&self) -> LoadProfile {
        LoadProfile {
            rate: self.rate,
            requests: self.requests,
            burst: self.burst,
            model: self.model.clone(),
            max_tokens: self.max_tokens,
            prompt_bytes: self.prompt_bytes,
            prefixes: self.prefixes,
            retry_timeout: self.patience.duration(),
            seed: self.seed,
            label: format!("load-{}-{}", self.seed, std::process::id()),
        }
    }
}

/// Runs the command.
///
/// # Errors
/// `BadRequest` for the arguments, `Io` when no client can be set up.
pub fn run(args: &Args) -> Result<()> {
    let (sources, profile) = (args.sources()?, args.profile());
    let summary = block_on(async {
        let started_at = Instant::now();
        let records = run_load(&sources, &profile).await;
        Ok(summarize(&records, started_at.elapsed()))
    })?;
    let value = serde_json::to_value(&summary)?;
    if args.json {
        println!("{value}");
        return Ok(());
    }
    for (name, v) in value.as_object().into_iter().flatten() {
        println!("{name:<16} {v}");
    }
    Ok(())
}
