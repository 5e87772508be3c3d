//! `reachtally-bench`: the load and experiment tool.
//!
//! Each sub-command prints a table, or one object with `--json`. It exits with a non-zero status on a violation, and with `--check`
//! also if a goal is missed.

mod admission;
mod boxes;
mod choice;
mod claims;
mod control;
mod drain;
mod faults;
mod limits;
mod overhead;
mod path;
mod placement;
mod process;
mod recovery;
mod relay;
mod report;
mod setup;
mod sim;
mod sse;
mod suspects;
mod timeline;

use std::process::ExitCode;

use bpaf::Bpaf;

/// Load and experiment tool of reachtally.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Print one JSON object instead of a table
    json: bool,
    /// Exit non-zero where a goal is missed
    check: bool,
    #[bpaf(external)]
    experiment: Experiment,
}

#[derive(Debug, Clone, Bpaf)]
enum Experiment {
    /// Latency that the router adds to the engines', and its processor and memory cost
    #[bpaf(command)]
    Overhead(#[bpaf(external(overhead::options))] overhead::Options),
    /// Time from the failure of a stage to the next token, compared with restarting the whole chain
    #[bpaf(command)]
    Recovery(#[bpaf(external(recovery::options))] recovery::Options),
    /// Control-plane cost of one daemon, by fleet size
    #[bpaf(command)]
    Control(#[bpaf(external(control::options))] control::Options),
    /// Graceful shutdown of a daemon with many open streams
    #[bpaf(command)]
    Drain(#[bpaf(external(drain::options))] drain::Options),
    /// Soak test of several daemons and stand-ins as processes under faults, checked against the ledgers
    #[bpaf(command)]
    Faults(#[bpaf(external(faults::options))] faults::Options),
    /// Latency, processor time and memory of the relay of whole requests
    #[bpaf(command)]
    Relay(#[bpaf(external(relay::options))] relay::Options),
    /// The relay as a separate process; started by `relay`
    #[bpaf(command("relay-box"), hide)]
    RelayBox(#[bpaf(external(relay::box_options))] relay::BoxOptions),
    /// How evenly boxes with partial knowledge spread requests, compared with one that knows every load
    #[bpaf(command)]
    Choice(#[bpaf(external(choice::options))] choice::Options),
    /// Cost of the decisions on the request path, by number of engines
    #[bpaf(command)]
    Path(#[bpaf(external(path::options))] path::Options),
    /// Capacity of layer placements, whole and after losses, compared with simple placements and an upper bound
    #[bpaf(command)]
    Placement(#[bpaf(external(placement::options))] placement::Options),
    /// Requests that crash engines: engines lost to one, and time until all boxes quarantine it
    #[bpaf(command)]
    Suspects(#[bpaf(external(suspects::options))] suspects::Options),
    /// Rate limits shared by all boxes: enforcement and utilization, by sharing policy
    #[bpaf(command)]
    Limits(#[bpaf(external(limits::options))] limits::Options),
    /// Demand beyond the engines' capacity: which requests are answered in time, by admission policy
    #[bpaf(command)]
    Admission(#[bpaf(external(admission::options))] admission::Options),
    /// At-most-once requests: how many share an append, and that none runs twice
    #[bpaf(command)]
    Claims(#[bpaf(external(claims::options))] claims::Options),
}

/// Runs the relay on a separate thread, since it creates its own runtime.
fn run_box(options: relay::BoxOptions) -> Result<report::Report, String> {
    let running = std::thread::spawn(move || relay::run_box(&options));
    running
        .join()
        .map_err(|_| "the relay panicked".to_owned())?
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = arguments().run();
    let result = match arguments.experiment {
        Experiment::Overhead(options) => overhead::run(options).await,
        Experiment::Faults(options) => faults::run(options).await,
        Experiment::Control(options) => control::run(&options),
        Experiment::Drain(options) => drain::run(options).await,
        Experiment::Recovery(options) => recovery::run(&options),
        Experiment::Relay(options) => relay::run(options).await,
        Experiment::RelayBox(options) => run_box(options),
        Experiment::Choice(options) => choice::run(&options),
        Experiment::Path(options) => path::run(&options),
        Experiment::Placement(options) => placement::run(&options),
        Experiment::Limits(options) => limits::run(&options),
        Experiment::Suspects(options) => suspects::run(&options),
        Experiment::Admission(options) => admission::run(&options),
        Experiment::Claims(options) => claims::run(&options),
    };
    match result {
        Ok(report) => report.print(arguments.json, arguments.check),
        Err(message) => {
            eprintln!("reachtally-bench: {message}");
            ExitCode::FAILURE
        }
    }
}
