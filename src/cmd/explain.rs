//! `kingcupwall explain`: explains the outcome of a request from the logs of routers.

use bpaf::Bpaf;

use super::read_text;
use crate::error::{Error, Kind, Result};
use crate::explain::explain;

/// Print the log lines of one request, with the state of its router and targets at that time
///
/// Lines of the request are marked with '>'. It is an error if no log line has the request's id.
///
/// Example: kingcupwall explain 9c41d07be2a35f68 router-1.log router-2.log
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(command("explain"))]
pub struct Args {
    /// Id of the request
    #[bpaf(positional("ID"))]
    id: String,
    /// Log files of the routers that may have processed the request
    #[bpaf(positional("FILE"), some("at least one log file is needed"))]
    files: Vec<String>,
}

/// Runs the command.
///
/// # Errors
/// `Io` if a file cannot be read, `NotFound` if no line has the id of the request.
pub fn run(args: &Args) -> Result<()> {
    let mut found = false;
    for file in &args.files {
        let text = read_text(file)?;
        for line in explain(&args.id, &text) {
            found = true;
            println!("{file}: {line}");
        }
    }
    if found {
        Ok(())
    } else {
        Err(Error::new(Kind::NotFound, "no log line has the id of this request"))
    }
}
