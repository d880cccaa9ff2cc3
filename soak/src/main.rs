//! Runs the soak test for one seed after the other. Exits with 1 if a seed failed.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use eyre::{Result, WrapErr, eyre};
use kingcupwall_soak::run::{Setup, run};
use tokio::task::LocalSet;

/// Run the daemon under random faults and check what callers see
///
/// Example: kingcupwall-soak --seeds 50 --seconds 20
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(options)]
struct Args {
    /// First seed; random if absent
    #[bpaf(argument("N"))]
    seed: Option<u64>,
    /// Number of seeds, counting up from the first
    #[bpaf(argument("N"), fallback(1))]
    seeds: u64,
    /// How long faults are injected for each seed, in seconds
    #[bpaf(argument("S"), fallback(20))]
    seconds: u64,
    /// Number of routers, two in each availability zone
    #[bpaf(argument("N"), fallback(4))]
    routers: u8,
    /// Number of callers
    #[bpaf(argument("N"), fallback(16))]
    callers: u32,
    /// File of seeds to run instead, one a line with seconds and routers, as in soak/seeds.txt
    #[bpaf(argument("FILE"))]
    again: Option<PathBuf>,
    /// Executable of the daemon; by default the one in the directory of this program
    #[bpaf(argument("FILE"))]
    daemon: Option<PathBuf>,
}

fn main() -> Result<ExitCode> {
    let args = args().run();
    let first = args.seed.unwrap_or_else(|| fastrand::u64(..1_000_000_000));
    let default_daemon = std::env::current_exe()?.with_file_name("kingcupwall-platform");
    let daemon = args.daemon.unwrap_or(default_daemon);
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let runs = match &args.again {
        Some(file) => read_runs(file)?,
        None => (first..first + args.seeds).map(|s| (s, args.seconds, args.routers)).collect(),
    };
    let mut failed = Vec::new();
    for (seed, seconds, routers) in runs {
        let setup = Setup {
            seed,
            faults_for: Duration::from_secs(seconds),
            routers,
            callers: args.callers,
            daemon: daemon.clone(),
        };
        let report = LocalSet::new().block_on(&rt, run(&setup))?;
        println!("{report}");
        if !report.violations.is_empty() {
            println!("  logs of the routers: {}", report.logs.display());
            failed.push(seed);
        }
    }
    println!("failed={failed:?}");
    Ok(if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Reads the seed, the seconds of faults and the number of routers from each line, and ignores the
/// rest of the line, which states the cause.
fn read_runs(file: &Path) -> Result<Vec<(u64, u64, u8)>> {
    let text = std::fs::read_to_string(file).wrap_err_with(|| file.display().to_string())?;
    let lines = text.lines().enumerate();
    let runs = lines.filter(|(_, l)| !l.is_empty() && !l.starts_with('#'));
    runs.map(|(n, l)| {
        read_run(l).ok_or_else(|| {
            eyre!(
                "{}:{}: expected seed, seconds and routers as numbers, found: {l}",
                file.display(),
                n + 1
            )
        })
    })
    .collect()
}

fn read_run(line: &str) -> Option<(u64, u64, u8)> {
    let mut words = line.split(' ');
    let mut number = || words.next()?.parse::<u64>().ok();
    Some((number()?, number()?, u8::try_from(number()?).ok()?))
}
