//! `kingcupwall status`: prints the state of the fleet.

use bpaf::Bpaf;
use serde_json::Value;

use super::block_on;
use crate::error::Result;
use crate::operator::OperatorClient;

/// Show routers, targets and configuration revisions as known to one router
///
/// Example: kingcupwall status --router 127.0.0.1:8080 --key secret
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(command("status"))]
pub struct Args {
    /// Address of a router, as IP:PORT
    #[bpaf(argument("ADDR"))]
    router: String,
    /// Operator key
    #[bpaf(argument("KEY"), env("KINGCUPWALL_OPERATOR_KEY"))]
    key: String,
    /// Print a JSON object
    json: bool,
}

/// Runs the command.
///
/// # Errors
/// `Unauthorized` if the operator key is wrong, `Io` if the router cannot be reached.
pub fn run(args: &Args) -> Result<()> {
    let status: Value =
        block_on(async { OperatorClient::new(&args.router, &args.key)?.get("status").await })?;
    if args.json {
        println!("{status}");
        return Ok(());
    }
    println!(
        "me={} revision={} draining={}",
        text_or_dash(&status["me"]),
        status["revision"],
        status["draining"]
    );
    for r in elements(&status["routers"]) {
        println!(
            "router={} zone={} api={} revision={} load={} leaving={}",
            text_or_dash(&r["incarnation"]),
            text_or_dash(&r["zone"]),
            text_or_dash(&r["api"]),
            r["revision"],
            r["load"],
            r["leaving"]
        );
    }
    for r in elements(&status["silent"]) {
        println!("silent={} for_ms={}", text_or_dash(&r["incarnation"]), r["silent_ms"]);
    }
    for t in elements(&status["targets"]) {
        println!(
            "target={} zone={} leaving={} in_flight={} active={} queued={} slots={}",
            text_or_dash(&t["id"]),
            text_or_dash(&t["zone"]),
            t["leaving"],
            t["in_flight"],
            t["active"],
            t["queued"],
            t["slots"]
        );
    }
    println!("requests={}", status["requests"]);
    println!("ledger={}", status["ledger"]);
    Ok(())
}

fn text_or_dash(v: &Value) -> &str {
    v.as_str().unwrap_or("-")
}

fn elements(v: &Value) -> impl Iterator<Item = &Value> {
    v.as_array().into_iter().flatten()
}
