//! `kingcupwall load`: sends open-loop load from several organisations.

use bpaf::Bpaf;
use tokio::time::Instant;

use super::block_on;
use crate::client::Caller;
use crate::error::{Error, Kind, Result};
use crate::ids::Millis;
use crate::load::{LoadProfile, LoadSource, run as run_load, summarize};

/// Send seeded open-loop load and print outcomes and latencies
///
/// Organisations are given as NAME:API_KEY:SHARE.
///
/// Example: kingcupwall load --router 127.0.0.1:8080 --model claims --org norte:norte-key:3 --rate 50
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(command("load"))]
pub struct Args {
    /// Address of a router, as IP:PORT; repeatable
    #[bpaf(argument("ADDR"), some("at least one --router is needed"))]
    router: Vec<String>,
    /// Organisation with its API key and its weight in the load, as NAME:API_KEY:SHARE; repeatable
    #[bpaf(argument("ORG"), some("at least one --org is needed"))]
    org: Vec<String>,
    /// Name of the model service
    #[bpaf(argument("NAME"))]
    model: String,
    /// Mean arrivals per second
    #[bpaf(argument("N"), fallback(50.0))]
    rate: f64,
    /// Total number of requests
    #[bpaf(argument("N"), fallback(500))]
    requests: usize,
    /// Factor on the rate for the middle third of the requests
    #[bpaf(argument("N"), fallback(1.0))]
    burst: f64,
    /// Maximum output tokens of a request
    #[bpaf(argument("N"), fallback(64))]
    max_tokens: u64,
    /// Minimum length of a prompt in bytes
    #[bpaf(argument("N"), fallback(400))]
    prompt_bytes: usize,
    /// Number of different prefixes that the prompts share; 0 for none
    #[bpaf(argument("N"), fallback(0))]
    prefixes: usize,
    /// Total time for a request and its retries
    #[bpaf(argument("TIME"), fallback(Millis(30000)))]
    patience: Millis,
    /// Seed of the load
    #[bpaf(argument("N"), fallback(7))]
    seed: u64,
    /// Print a JSON object
    json: bool,
}

impl Args {
    fn sources(&self) -> Result<Vec<LoadSource>> {
        let invalid = |source_arg: &str| {
            Error::new(
                Kind::BadRequest,
                format!("--org {source_arg:?} is not of the form NAME:API_KEY:SHARE"),
            )
        };
        let source = |source_arg: &String| {
            let parts: Vec<&str> = source_arg.split(':').collect();
            let [name, key, share] = parts[..] else { return Err(invalid(source_arg)) };
            let share = share.parse().map_err(|_| invalid(source_arg))?;
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
/// `BadRequest` if an `--org` argument is malformed, `Io` if the HTTP client cannot be created.
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
