//! `kingcupwall experiment`: measures the project's decisions.

use std::path::PathBuf;

use bpaf::Bpaf;
use serde::Serialize;

use crate::error::Result;
use crate::experiment::{budget, capacity, cold_start, overhead, quarantine};

/// Measure decisions: budget in virtual time over in-memory fakes, cold-start and
/// quarantine in a model, the others in real time
///
/// Example: kingcupwall experiment budget --json
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(command("experiment"))]
pub struct Args {
    /// Requests in each cell
    #[bpaf(argument("N"), fallback(6000))]
    requests: usize,
    /// Makes it repeatable
    #[bpaf(argument("N"), fallback(7))]
    seed: u64,
    /// Only cells whose policy/workload contains this
    #[bpaf(argument("TEXT"), fallback(String::new()))]
    only: String,
    /// Write a plot to this file, as SVG (cold-start)
    #[bpaf(argument("FILE"))]
    plot: Option<PathBuf>,
    /// Print one JSON object a cell
    json: bool,
    /// Which: budget, capacity, cold-start, overhead, quarantine
    #[bpaf(positional("NAME"))]
    name: Name,
}

#[derive(Clone, Copy, Debug)]
enum Name {
    Budget,
    Capacity,
    ColdStart,
    Overhead,
    Quarantine,
}

impl std::str::FromStr for Name {
    type Err = String;

    fn from_str(s: &str) -> std::result::Result<Name, String> {
        match s {
            "budget" => Ok(Name::Budget),
            "capacity" => Ok(Name::Capacity),
            "cold-start" => Ok(Name::ColdStart),
            "overhead" => Ok(Name::Overhead),
            "quarantine" => Ok(Name::Quarantine),
            other => Err(format!(
                "no experiment {other:?}; there are: budget, capacity, cold-start, overhead, quarantine"
            )),
        }
    }
}

impl Args {
    fn show<T: Serialize>(&self, row: &T) {
        let value = serde_json::to_value(row).expect("rows serialize");
        if self.json {
            println!("{value}");
            return;
        }
        let fields = value.as_object().into_iter().flatten();
        let text: Vec<String> = fields.map(|(k, v)| format!("{k}={v}")).collect();
        println!("{}", text.join(" "));
    }
}

/// Runs the command.
///
/// # Errors
/// What the experiment meets.
pub fn run(args: &Args) -> Result<()> {
    match args.name {
        Name::Budget => {
            let show = |c: &budget::Cell| args.show(c);
            virtual_time(budget::run(args.requests, args.seed, &args.only, show)).map(drop)
        }
        Name::Capacity => super::block_on(capacity::run(|p| args.show(p))),
        Name::ColdStart => {
            let mut cells = Vec::new();
            cold_start::run(args.seed, &args.only, |c| {
                args.show(c);
                cells.push(*c);
            });
            args.plot.as_ref().map_or(Ok(()), |file| cold_start::plot(&cells, file))
        }
        Name::Overhead => super::block_on(async {
            args.show(&overhead::run(args.requests).await?);
            Ok(())
        }),
        Name::Quarantine => {
            quarantine::run(args.seed, &args.only, |c| args.show(c));
            Ok(())
        }
    }
}

/// Runs a future on a clock that jumps to the next timer when nothing else is to do.
fn virtual_time<T>(f: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build()?;
    runtime.block_on(f)
}
