//! `kingcupwall experiment`: runs the experiments that compare design alternatives.

use std::path::PathBuf;

use bpaf::Bpaf;
use serde::Serialize;

use crate::error::Result;
use crate::experiment::{budget, capacity, cold_start, origins, overhead, overload, quarantine};

/// Measure design alternatives: budget in virtual time with in-memory stand-ins, cold-start,
/// origins, overload and quarantine in a simulation, the others in real time
///
/// Example: kingcupwall experiment budget --json
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(command("experiment"))]
pub struct Args {
    /// Requests in each cell, which is one combination of alternatives
    #[bpaf(argument("N"), fallback(6000))]
    requests: usize,
    /// Seed of the random numbers
    #[bpaf(argument("N"), fallback(7))]
    seed: u64,
    /// Run only the cells whose name, such as policy/workload, contains this text
    #[bpaf(argument("TEXT"), fallback(String::new()))]
    only: String,
    /// Write an SVG plot to this file (only cold-start)
    #[bpaf(argument("FILE"))]
    plot: Option<PathBuf>,
    /// Print one JSON object per cell
    json: bool,
    /// Experiment: budget, capacity, cold-start, origins, overhead, overload or quarantine
    #[bpaf(positional("NAME"))]
    name: Name,
}

#[derive(Clone, Copy, Debug)]
enum Name {
    Budget,
    Capacity,
    ColdStart,
    Origins,
    Overhead,
    Overload,
    Quarantine,
}

impl std::str::FromStr for Name {
    type Err = String;

    fn from_str(s: &str) -> std::result::Result<Name, String> {
        match s {
            "budget" => Ok(Name::Budget),
            "capacity" => Ok(Name::Capacity),
            "cold-start" => Ok(Name::ColdStart),
            "origins" => Ok(Name::Origins),
            "overhead" => Ok(Name::Overhead),
            "overload" => Ok(Name::Overload),
            "quarantine" => Ok(Name::Quarantine),
            other => Err(format!(
                "unknown experiment {other:?}; must be budget, capacity, cold-start, origins, overhead, overload or quarantine"
            )),
        }
    }
}

impl Args {
    fn print_row<T: Serialize>(&self, row: &T) {
        let value = serde_json::to_value(row).expect("a result row can be serialized");
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
/// The error that ended the experiment.
pub fn run(args: &Args) -> Result<()> {
    match args.name {
        Name::Budget => {
            let print_row = |c: &budget::Cell| args.print_row(c);
            virtual_time(budget::run(args.requests, args.seed, &args.only, print_row)).map(drop)
        }
        Name::Capacity => super::block_on(capacity::run(|p| args.print_row(p))),
        Name::ColdStart => {
            let mut cells = Vec::new();
            cold_start::run(args.seed, &args.only, |c| {
                args.print_row(c);
                cells.push(*c);
            });
            args.plot.as_ref().map_or(Ok(()), |file| cold_start::plot(&cells, file))
        }
        Name::Origins => {
            origins::run(args.seed, &args.only, |c| args.print_row(c));
            Ok(())
        }
        Name::Overhead => super::block_on(async {
            args.print_row(&overhead::run(args.requests).await?);
            Ok(())
        }),
        Name::Overload => {
            overload::run(args.seed, &args.only, |c| args.print_row(c));
            Ok(())
        }
        Name::Quarantine => {
            quarantine::run(args.seed, &args.only, |c| args.print_row(c));
            Ok(())
        }
    }
}

/// Runs a future with tokio's paused clock, which advances to the next timer when all tasks are idle.
fn virtual_time<T>(f: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build()?;
    runtime.block_on(f)
}
