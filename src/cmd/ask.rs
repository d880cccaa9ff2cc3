//! `kingcupwall ask`: prints which routers an organisation should use.

use bpaf::Bpaf;

use super::block_on;
use crate::client::Caller;
use crate::error::Result;
use crate::ids::ZoneId;

/// Ask a router which addresses to use; prints one per line, in order of preference
///
/// Example: kingcupwall ask --router 127.0.0.1:8080 --api-key norte-key --zone hall-barracas
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(command("ask"))]
pub struct Args {
    /// Address of a router, as IP:PORT
    #[bpaf(argument("ADDR"))]
    router: String,
    /// API key of the organisation
    #[bpaf(argument("KEY"), env("KINGCUPWALL_API_KEY"))]
    api_key: String,
    /// Availability zone of the caller
    #[bpaf(argument("ZONE"))]
    zone: Option<ZoneId>,
}

/// Runs the command.
///
/// # Errors
/// `Unauthorized` if the API key is wrong, `Io` if the router cannot be reached.
pub fn run(args: &Args) -> Result<()> {
    let caller = Caller::new(vec![args.router.clone()], &args.api_key, args.zone.clone())?;
    let answer = block_on(caller.fetch_addresses(&args.router))?;
    answer.addresses.iter().for_each(|a| println!("{a}"));
    println!("lifetime_ms={}", answer.lifetime_ms);
    Ok(())
}
