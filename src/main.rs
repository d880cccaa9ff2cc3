//! The command line interface.

use std::process::ExitCode;

use bpaf::Bpaf;
use eyre::WrapErr;
use kingcupwall::cmd;
use kingcupwall::error::Error;
use log::LevelFilter;

/// A router fleet for prepaid token budgets
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Log level: off, error, warn, info, debug
    #[bpaf(argument("LEVEL"), env("KINGCUPWALL_LOG"), fallback(LevelFilter::Warn))]
    log: LevelFilter,
    #[bpaf(external)]
    command: Command,
}

#[derive(Clone, Debug)]
#[derive(Bpaf)]
enum Command {
    Ask(#[bpaf(external(cmd::ask::args))] cmd::ask::Args),
    Budget(#[bpaf(external(cmd::budget::args))] cmd::budget::Args),
    Call(#[bpaf(external(cmd::call::args))] cmd::call::Args),
    Check(#[bpaf(external(cmd::check::args))] cmd::check::Args),
    Demo(#[bpaf(external(cmd::demo::args))] cmd::demo::Args),
    Digest(#[bpaf(external(cmd::digest::args))] cmd::digest::Args),
    Experiment(#[bpaf(external(cmd::experiment::args))] cmd::experiment::Args),
    Explain(#[bpaf(external(cmd::explain::args))] cmd::explain::Args),
    GatewayDemo(#[bpaf(external(cmd::gateway_demo::args))] cmd::gateway_demo::Args),
    Load(#[bpaf(external(cmd::load::args))] cmd::load::Args),
    Router(#[bpaf(external(cmd::router::args))] cmd::router::Args),
    Standin(#[bpaf(external(cmd::standin::args))] cmd::standin::Args),
    Status(#[bpaf(external(cmd::status::args))] cmd::status::Args),
    Submit(#[bpaf(external(cmd::submit::args))] cmd::submit::Args),
}

fn run(options: &Options) -> eyre::Result<()> {
    let log_config = simplelog::ConfigBuilder::new().set_time_format_rfc3339().build();
    simplelog::WriteLogger::init(options.log, log_config, std::io::stderr())
        .wrap_err("logging cannot be set up")?;
    match &options.command {
        Command::Ask(a) => cmd::ask::run(a),
        Command::Budget(a) => cmd::budget::run(a),
        Command::Call(a) => cmd::call::run(a),
        Command::Check(a) => cmd::check::run(a),
        Command::Demo(a) => cmd::demo::run(a),
        Command::Digest(a) => cmd::digest::run(a),
        Command::Explain(a) => cmd::explain::run(a),
        Command::Experiment(a) => cmd::experiment::run(a),
        Command::GatewayDemo(a) => cmd::gateway_demo::run(a),
        Command::Load(a) => cmd::load::run(a),
        Command::Router(a) => cmd::router::run(a),
        Command::Standin(a) => cmd::standin::run(a),
        Command::Status(a) => cmd::status::run(a),
        Command::Submit(a) => cmd::submit::run(a),
    }?;
    Ok(())
}

fn main() -> ExitCode {
    let Err(report) = run(&options().run()) else { return ExitCode::SUCCESS };
    eprintln!("kingcupwall: {report:#}");
    let exit = report.downcast_ref::<Error>().map_or(1, |e| e.kind.attrs().exit);
    ExitCode::from(exit)
}
