//! `kingcupwall budget`: what an organisation's budgets stand at.

use bpaf::Bpaf;

use super::block_on;
use crate::api::operator::BudgetReport;
use crate::error::Result;
use crate::operator::OperatorClient;

/// Show an organisation's budgets: prepaid, settled, granted, in doubt, by holder
///
/// Example: kingcupwall budget norte --router 127.0.0.1:8080 --key secret
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(command("budget"))]
pub struct Args {
    /// A router's address
    #[bpaf(argument("ADDR"))]
    router: String,
    /// The operator key
    #[bpaf(argument("KEY"), env("KINGCUPWALL_OPERATOR_KEY"))]
    key: String,
    /// Print one JSON object a budget
    json: bool,
    /// The organisation
    #[bpaf(positional("ORGANISATION"))]
    organisation: String,
}

/// Runs the command.
///
/// # Errors
/// `NotFound`, `Unauthorized`, `PlatformAway` or `Io`.
pub fn run(args: &Args) -> Result<()> {
    let path = format!("budget/{}", args.organisation);
    let reports: Vec<BudgetReport> =
        block_on(async { OperatorClient::new(&args.router, &args.key)?.get(&path).await })?;
    for r in &reports {
        if args.json {
            println!("{}", serde_json::to_string(r)?);
            continue;
        }
        println!(
            "budget={} prepaid={} settled={} granted={} in_doubt={} free={}",
            r.budget, r.prepaid, r.settled, r.granted, r.in_doubt, r.free
        );
        for h in &r.holders {
            let state = if h.alive { "alive" } else { "silent" };
            println!(
                "  holder={} state={:?} {state} granted={} settled={}",
                h.holder, h.state, h.granted, h.settled
            );
        }
    }
    Ok(())
}
