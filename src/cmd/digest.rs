//! `kingcupwall digest`: what a configuration stores of a key.

use std::io::Read;

use bpaf::Bpaf;

use crate::error::Result;
use crate::ids::Digest;

/// Print the digest of a key for a configuration; reads the key from standard input without KEY
///
/// Example: kingcupwall digest norte-key
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(command("digest"))]
pub struct Args {
    /// The key
    #[bpaf(positional("KEY"))]
    key: Option<String>,
}

/// Runs the command.
///
/// # Errors
/// `Io` when standard input cannot be read.
pub fn run(args: &Args) -> Result<()> {
    let mut key = args.key.clone().unwrap_or_default();
    if args.key.is_none() {
        std::io::stdin().read_to_string(&mut key)?;
    }
    println!("{}", Digest::of(key.trim_end().as_bytes()));
    Ok(())
}
