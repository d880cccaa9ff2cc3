//! `kingcupwall budget`: prints the state of an organisation's budgets.

use bpaf::Bpaf;

use super::block_on;
use crate::api::operator::BudgetReport;
use crate::error::Result;
use crate::operator::OperatorClient;

/// Show the budgets of an organisation: tokens prepaid, settled, granted and in doubt, by holder
///
/// Example: kingcupwall budget norte --router 127.0.0.1:8080 --key secret
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(command("budget"))]
pub struct Args {
    /// Address of a router, as IP:PORT
    #[bpaf(argument("ADDR"))]
    router: String,
    /// Operator key
    #[bpaf(argument("KEY"), env("KINGCUPWALL_OPERATOR_KEY"))]
    key: String,
    /// Print one JSON object per budget
    json: bool,
    /// Name of the organisation
    #[bpaf(positional("ORGANISATION"))]
    organisation: String,
}

/// Runs the command.
///
/// # Errors
/// `NotFound` if the organisation does not exist, `Unauthorized`, `PlatformAway` or `Io`.
pub fn run(args: &Args) -> Result<()> {
    let path = format!("budget/{}", args.organisation);
    let reports: Vec<BudgetReport> =
        block_on(async { OperatorClient::new(&args.router, &args.key)?.get(&path).await })?;
    for report in &reports {
        if args.json {
            println!("{}", serde_json::to_string(report)?);
            continue;
        }
        println!(
            "budget={} prepaid={} settled={} granted={} in_doubt={} free={}",
            report.budget,
            report.prepaid,
            report.settled,
            report.granted,
            report.in_doubt,
            report.free
        );
        for entry in &report.holders {
            let state = if entry.alive { "alive" } else { "silent" };
            println!(
                "  holder={} state={:?} {state} granted={} settled={}",
                entry.holder, entry.state, entry.granted, entry.settled
            );
        }
    }
    Ok(())
}
