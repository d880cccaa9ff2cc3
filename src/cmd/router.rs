//! `kingcupwall router`: runs one router.

use bpaf::Bpaf;

use super::{block_on, read_text, wait_for_signal};
use crate::config::settings::parse_settings;
use crate::error::Result;
use crate::router::start::RunningRouter;

/// Run one router until SIGTERM or SIGINT, then drain it
///
/// Example: kingcupwall router --settings router.ini
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(command("router"))]
pub struct Args {
    /// INI file with the settings of this router
    #[bpaf(argument("FILE"))]
    settings: String,
}

/// Runs the command.
///
/// # Errors
/// `BadConfig` if the settings are invalid, `Io` if they cannot be read or a port cannot be bound.
pub fn run(args: &Args) -> Result<()> {
    let settings = parse_settings(&args.settings, &read_text(&args.settings)?)?;
    block_on(async {
        let router = RunningRouter::start(settings).await?;
        println!("listening={}", router.api);
        wait_for_signal().await?;
        router.stop().await;
        Ok(())
    })
}
