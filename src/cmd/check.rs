//! `kingcupwall check`: reports all errors in a configuration.

use bpaf::Bpaf;

use super::read_text;
use crate::config::ini::findings_error;
use crate::config::parse::parse;
use crate::error::Result;

/// Check a configuration file and print all errors as file:line: message
///
/// Example: kingcupwall check examples/consorcio.ini
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(command("check"))]
pub struct Args {
    /// Print nothing if the file is valid
    #[bpaf(short, long)]
    quiet: bool,
    /// Configuration file
    #[bpaf(positional("FILE"))]
    file: String,
}

/// Runs the command.
///
/// # Errors
/// `Io` if the file cannot be read, `BadConfig` with all errors in it.
pub fn run(args: &Args) -> Result<()> {
    let cfg = parse(&read_text(&args.file)?).map_err(|f| findings_error(&args.file, &f))?;
    if !args.quiet {
        let (s, o, b) = (cfg.services.len(), cfg.organisations.len(), cfg.budgets.len());
        println!("{}: right; services={s} organisations={o} budgets={b}", args.file);
    }
    Ok(())
}
