//! `kingcupwall explain`: what became of a request, from the logs alone.

use bpaf::Bpaf;

use super::read_text;
use crate::error::{Error, Kind, Result};
use crate::explain::explain;

/// Print what the logs say of one request, with what its router believed at that time
///
/// Lines of the request are marked with '>'. Exits with an error if no line names it.
///
/// Example: kingcupwall explain 9c41d07be2a35f68 router-1.log router-2.log
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(command("explain"))]
pub struct Args {
    /// The request's id
    #[bpaf(positional("ID"))]
    id: String,
    /// Log files, one of each router that may have served it
    #[bpaf(positional("FILE"), some("at least one log file"))]
    files: Vec<String>,
}

/// Runs the command.
///
/// # Errors
/// `Io` for a file that cannot be read, `NotFound` if no line names the request.
pub fn run(args: &Args) -> Result<()> {
    let mut found = false;
    for file in &args.files {
        let text = read_text(file)?;
        for line in explain(&args.id, &text) {
            found = true;
            println!("{file}: {line}");
        }
    }
    if found { Ok(()) } else { Err(Error::new(Kind::NotFound, "no line names this request")) }
}
