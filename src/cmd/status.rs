//! `kingcupwall status`: who runs what.

use bpaf::Bpaf;
use serde_json::Value;

use super::block_on;
use crate::error::Result;
use crate::operator::OperatorClient;

/// Show routers, targets and revisions as one router sees them
///
/// Example: kingcupwall status --router 127.0.0.1:8080 --key secret
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(command("status"))]
pub struct Args {
    /// A router's address
    #[bpaf(argument("ADDR"))]
    router: String,
    /// The operator key
    #[bpaf(argument("KEY"), env("KINGCUPWALL_OPERATOR_KEY"))]
    key: String,
    /// Print one JSON object
    json: bool,
}

/// Runs the command.
///
/// # Errors
/// `Unauthorized` or `Io`.
pub fn run(args: &Args) -> Result<()> {
    let status: Value =
        block_on(async { OperatorClient::new(&args.router, &args.key)?.get("status").await })?;
    if args.json {
        println!("{status}");
        return Ok(());
    }
    println!(
        "me={} revision={} draining={}",
        text(&status["me"]),
        status["revision"],
        status["draining"]
    );
    for r in rows(&status["routers"]) {
        println!(
            "router={} zone={} api={} revision={} load={} leaving={}",
            text(&r["incarnation"]),
            text(&r["zone"]),
            text(&r["api"]),
            r["revision"],
            r["load"],
            r["leaving"]
        );
    }
    for r in rows(&status["silent"]) {
        println!("silent={} for_ms={}", text(&r["incarnation"]), r["silent_ms"]);
    }
    for t in rows(&status["targets"]) {
        println!(
            "target={} zone={} leaving={} in_flight={} active={} queued={} slots={}",
            text(&t["id"]),
            text(&t["zone"]),
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

fn text(v: &Value) -> &str {
    v.as_str().unwrap_or("-")
}

fn rows(v: &Value) -> impl Iterator<Item = &Value> {
    v.as_array().into_iter().flatten()
}
