//! `reachtally-bench`: the load and experiment tool.
//!
//! Each sub-command prints a table, or with `--json` one object. It exits non-zero where a promise
//! broke, and with `--check` also where a goal is missed.

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
mod scene;
mod setup;
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
    /// What the router adds to the engines' own time, and what it costs in processor and memory
    #[bpaf(command)]
    Overhead(#[bpaf(external(overhead::options))] overhead::Options),
    /// Time from a stage's death to the next token, against restarting the whole chain
    #[bpaf(command)]
    Recovery(#[bpaf(external(recovery::options))] recovery::Options),
    /// What control costs one daemon, against the sizes of the fleet
    #[bpaf(command)]
    Control(#[bpaf(external(control::options))] control::Options),
    /// A daemon that is told to stop with many streams open
    #[bpaf(command)]
    Drain(#[bpaf(external(drain::options))] drain::Options),
    /// A soak of several daemons and stand-ins as processes, under faults, against the ledgers
    #[bpaf(command)]
    Faults(#[bpaf(external(faults::options))] faults::Options),
    /// What the relay of whole requests adds, in time, processor time and memory
    #[bpaf(command)]
    Relay(#[bpaf(external(relay::options))] relay::Options),
    /// The relay as a process of its own; started by `relay`
    #[bpaf(command("relay-box"), hide)]
    RelayBox(#[bpaf(external(relay::box_options))] relay::BoxOptions),
    /// How well boxes that know only what they are told spread requests, against one that knows all
    #[bpaf(command)]
    Choice(#[bpaf(external(choice::options))] choice::Options),
    /// What the decisions on the path of a request cost, against the number of engines
    #[bpaf(command)]
    Path(#[bpaf(external(path::options))] path::Options),
    /// What plans of layers serve, whole and after losses, against simple plans and a bound
    #[bpaf(command)]
    Placement(#[bpaf(external(placement::options))] placement::Options),
    /// Requests that crash engines: how many one costs, and how soon all boxes know it
    #[bpaf(command)]
    Suspects(#[bpaf(external(suspects::options))] suspects::Options),
    /// Rate limits that hold for all boxes together: how well they are kept and used, by ways to share them
    #[bpaf(command)]
    Limits(#[bpaf(external(limits::options))] limits::Options),
    /// Requests that want more than the engines can do in time: who is answered, by ways to admit them
    #[bpaf(command)]
    Admission(#[bpaf(external(admission::options))] admission::Options),
    /// Requests that may run once: how many share an append, and that none runs twice
    #[bpaf(command)]
    Claims(#[bpaf(external(claims::options))] claims::Options),
}

/// On a thread of its own, since the relay brings its own runtime.
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
