//! `kingcupwall check`: every mistake in a configuration, in one run.

use bpaf::Bpaf;

use super::read_text;
use crate::config::ini::findings_error;
use crate::config::parse::parse;
use crate::error::Result;

/// Check a configuration file and print every mistake as file:line: message
///
/// Example: kingcupwall check examples/consorcio.ini
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(command("check"))]
pub struct Args {
    /// Print nothing when the file is right
    #[bpaf(short, long)]
    quiet: bool,
    /// The configuration
    #[bpaf(positional("FILE"))]
    file: String,
}

/// Runs the command.
///
/// # Errors
/// `Io` or `BadConfig`.
pub fn run(args: &Args) -> Result<()> {
    let cfg = parse(&read_text(&args.file)?).map_err(|f| findings_error(&args.file, &f))?;
    if !args.quiet {
        let (s, o, b) = (cfg.services.len(), cfg.organisations.len(), cfg.budgets.len());
        println!("{}: right; services={s} organisations={o} budgets={b}", args.file);
    }
    Ok(())
}
