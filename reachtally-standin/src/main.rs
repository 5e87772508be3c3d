//! `reachtally-standin`: runs one stand-in as a separate process.

use std::time::Duration;

use bpaf::{Bpaf, Parser};
use reachtally_listen::{Error, Options as Listen};
use reachtally_log::memory;
use reachtally_standin::engine::{self, Fault, StepTime};
use reachtally_standin::{list, log_server, service};

/// Runs a test double of one of the router's dependencies on loopback.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// The append-only log.
    #[bpaf(command)]
    Log {
        /// Loopback port; 0 selects a free port
        #[bpaf(argument("PORT"), fallback(0))]
        port: u16,
        /// Maximum appends per second
        #[bpaf(argument("N"), fallback(300))]
        appends_per_s: u32,
        /// Maximum number of records kept in each stream
        #[bpaf(argument("N"), fallback(100_000))]
        keep_records: usize,
        /// Port of an additional server for the same log, which can be partitioned from it
        #[bpaf(argument("PORT"), many)]
        entrance: Vec<u16>,
    },
    /// The live list.
    #[bpaf(command)]
    List {
        /// Loopback port; 0 selects a free port
        #[bpaf(argument("PORT"), fallback(0))]
        port: u16,
        /// Boxes listed at the start
        #[bpaf(positional("BOX"), many)]
        boxes: Vec<String>,
    },
    /// An engine that holds a layer range of a model.
    #[bpaf(command)]
    Engine {
        /// Loopback port; 0 selects a free port
        #[bpaf(argument("PORT"), fallback(0))]
        port: u16,
        /// First layer held
        #[bpaf(argument("LAYER"))]
        first: u32,
        /// One past the last layer held
        #[bpaf(argument("LAYER"))]
        end: u32,
        /// Number of layers of the whole model
        #[bpaf(argument("N"))]
        model_layers: u32,
        /// Number of requests whose KV fits
        #[bpaf(argument("N"), fallback(4096))]
        slots: u32,
        /// Size of one activation in bytes
        #[bpaf(argument("BYTES"), fallback(64))]
        activation_bytes: usize,
        /// Fixed duration of an iteration in microseconds
        #[bpaf(argument("US"), fallback(0))]
        base_us: u64,
        /// Additional microseconds for each layer of each position
        #[bpaf(argument("US"), fallback(0))]
        per_layer_us: u64,
        /// Delay of reports in milliseconds
        #[bpaf(argument("MS"), fallback(0))]
        report_lag_ms: u64,
        /// Reject orders with an outdated fence
        checks_fence: bool,
        /// Terminate after this many milliseconds
        #[bpaf(argument("MS"))]
        die_after_ms: Option<u64>,
        /// Disable the ledger
        no_ledger: bool,
        #[bpaf(external(initial_faults), many)]
        faults: Vec<Fault>,
    },
    /// A plain service.
    #[bpaf(command)]
    Service {
        /// Loopback port; 0 selects a free port
        #[bpaf(argument("PORT"), fallback(0))]
        port: u16,
        #[bpaf(external(initial_faults), many)]
        faults: Vec<Fault>,
    },
}

/// Parses the initial faults; `POST /faults` changes them at run time.
fn initial_faults() -> impl bpaf::Parser<Fault> {
    let pause = bpaf::long("pause-ms")
        .help("Pause processing once for this many milliseconds")
        .argument("MS")
        .map(Fault::PauseMs);
    let slow = bpaf::long("slow")
        .help("Multiply the duration of each iteration by this factor")
        .argument("FACTOR")
        .map(Fault::Slow);
    let lose = bpaf::long("lose-answers")
        .help("Run this many calls but lose their responses")
        .argument("N")
        .map(Fault::LoseAnswers);
    let double = bpaf::long("double-answers")
        .help("Return the results of this many calls twice")
        .argument("N")
        .map(Fault::DoubleAnswers);
    let refuse = bpaf::long("refuse")
        .help("Reject this many calls as not run")
        .argument("N")
        .map(Fault::Refuse);
    bpaf::construct!([pause, slow, lose, double, refuse])
}

#[tokio::main]
async fn main() -> std::process::ExitCode {
    env_logger::Builder::from_default_env()
        .filter_module("rocket", log::LevelFilter::Off)
        .init();
    match run(command().run()).await {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("reachtally-standin: {err}");
            std::process::ExitCode::FAILURE
        }
    }
}

fn listen(port: u16) -> Listen {
    Listen {
        port,
        ..Listen::loopback()
    }
}

/// Runs the stand-in until it stops. The first line of standard output is its base URL.
async fn run(command: Command) -> Result<(), Error> {
    match command {
        Command::Log {
            port,
            appends_per_s,
            keep_records,
            entrance,
        } => {
            let options = memory::Options {
                appends_per_s,
                keep_records,
                ..memory::Options::default()
            };
            let log = log_server::start(listen(port), options).await?;
            let mut urls = vec![log.url()];
            let mut entrances = Vec::new();
            for port in entrance {
                let server = log_server::entrance(listen(port), log.log().clone()).await?;
                urls.push(server.url());
                entrances.push(server);
            }
            // A single write, because a reader of the first line may close the pipe afterwards.
            println!("{}", urls.join("\n"));
            log.stopped().await;
        }
        Command::List { port, boxes } => {
            let list = list::start(listen(port), boxes).await?;
            println!("{}", list.url());
            list.stopped().await;
        }
        Command::Engine {
            port,
            first,
            end,
            model_layers,
            slots,
            activation_bytes,
            base_us,
            per_layer_us,
            report_lag_ms,
            checks_fence,
            die_after_ms,
            no_ledger,
            faults,
        } => {
            let options = engine::Options {
                slots,
                checks_fence,
                report_lag: Duration::from_millis(report_lag_ms),
                activation_bytes: activation_bytes.max(engine::model::VALUE_BYTES),
                step_time: StepTime {
                    base: Duration::from_micros(base_us),
                    per_layer: Duration::from_micros(per_layer_us),
                },
                ledger: !no_ledger,
                ..engine::Options::range(first, end, model_layers)
            };
            let engine = engine::start(listen(port), options).await?;
            faults.into_iter().for_each(|fault| engine.fault(fault));
            println!("{}", engine.url());
            if let Some(ms) = die_after_ms {
                tokio::time::sleep(Duration::from_millis(ms)).await;
                engine.fault(Fault::Die);
            }
            engine.stopped().await;
        }
        Command::Service { port, faults } => {
            let service = service::start(listen(port)).await?;
            faults.into_iter().for_each(|fault| service.fault(fault));
            println!("{}", service.url());
            service.stopped().await;
        }
    }
    Ok(())
}
