//! `kingcupwall digest`: prints the digest of a key, which a configuration stores in its place.

use std::io::Read;

use bpaf::Bpaf;

use crate::error::Result;
use crate::ids::Digest;

/// Print the digest of a key for a configuration; the key is read from standard input if KEY is absent
///
/// Example: kingcupwall digest norte-key
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(command("digest"))]
pub struct Args {
    /// API key or operator key
    #[bpaf(positional("KEY"))]
    key: Option<String>,
}

/// Runs the command.
///
/// # Errors
/// `Io` if standard input cannot be read.
pub fn run(args: &Args) -> Result<()> {
    let mut key = args.key.clone().unwrap_or_default();
    if args.key.is_none() {
        std::io::stdin().read_to_string(&mut key)?;
    }
    println!("{}", Digest::of(key.trim_end().as_bytes()));
    Ok(())
}
