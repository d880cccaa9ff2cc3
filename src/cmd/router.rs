//! `kingcupwall router`: one router, until SIGTERM.

use bpaf::Bpaf;

use super::{block_on, read_text, stopped};
use crate::config::settings::parse_settings;
use crate::error::Result;
use crate::router::start::RunningRouter;

/// Run one router until SIGTERM, then drain it
///
/// Example: kingcupwall router --settings router.ini
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(command("router"))]
pub struct Args {
    /// INI file with this router's settings
    #[bpaf(argument("FILE"))]
    settings: String,
}

/// Runs the command.
///
/// # Errors
/// `BadConfig` for the settings, `Io` for the listeners.
pub fn run(args: &Args) -> Result<()> {
    let settings = parse_settings(&args.settings, &read_text(&args.settings)?)?;
    block_on(async {
        let router = RunningRouter::start(settings).await?;
        println!("listening={}", router.api);
        stopped().await?;
        router.stop().await;
        Ok(())
    })
}
