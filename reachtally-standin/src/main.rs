//! `reachtally-standin`: one stand-in as a plain process.

use std::time::Duration;

use bpaf::{Bpaf, Parser};
use reachtally_listen::{Error, Options as Listen};
use reachtally_log::memory;
use reachtally_standin::engine::{self, Fault, StepTime};
use reachtally_standin::{list, log_server, service};

/// A stand-in of what surrounds the router, for tests on loopback.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// The append-only log.
    #[bpaf(command)]
    Log {
        /// Port on loopback, 0 for any free one
        #[bpaf(argument("PORT"), fallback(0))]
        port: u16,
        /// Appends taken a second
        #[bpaf(argument("N"), fallback(300))]
        appends_per_s: u32,
        /// Records kept in each stream
        #[bpaf(argument("N"), fallback(100_000))]
        keep_records: usize,
        /// Ports of more entrances, each of which can be cut off
        #[bpaf(argument("PORT"), many)]
        entrance: Vec<u16>,
    },
    /// The live list.
    #[bpaf(command)]
    List {
        /// Port on loopback, 0 for any free one
        #[bpaf(argument("PORT"), fallback(0))]
        port: u16,
        /// Boxes shown at the start
        #[bpaf(positional("BOX"), many)]
        boxes: Vec<String>,
    },
    /// A model engine with a layer range.
    #[bpaf(command)]
    Engine {
        /// Port on loopback, 0 for any free one
        #[bpaf(argument("PORT"), fallback(0))]
        port: u16,
        /// First layer held
        #[bpaf(argument("LAYER"))]
        first: u32,
        /// One past the last layer held
        #[bpaf(argument("LAYER"))]
        end: u32,
        /// Layers of the whole model
        #[bpaf(argument("N"))]
        model_layers: u32,
        /// Requests whose KV fits
        #[bpaf(argument("N"), fallback(4096))]
        slots: u32,
        /// Bytes of one activation
        #[bpaf(argument("BYTES"), fallback(64))]
        activation_bytes: usize,
        /// Microseconds of an iteration however small
        #[bpaf(argument("US"), fallback(0))]
        base_us: u64,
        /// Microseconds for each layer of each position
        #[bpaf(argument("US"), fallback(0))]
        per_layer_us: u64,
        /// Milliseconds by which its reports lag
        #[bpaf(argument("MS"), fallback(0))]
        report_lag_ms: u64,
        /// Refuse orders with an outdated fence
        checks_fence: bool,
        /// Die after so many milliseconds
        #[bpaf(argument("MS"))]
        die_after_ms: Option<u64>,
        /// Keep no ledger
        no_ledger: bool,
        #[bpaf(external(initial_faults), many)]
        faults: Vec<Fault>,
    },
    /// A plain service.
    #[bpaf(command)]
    Service {
        /// Port on loopback, 0 for any free one
        #[bpaf(argument("PORT"), fallback(0))]
        port: u16,
        #[bpaf(external(initial_faults), many)]
        faults: Vec<Fault>,
    },
}

/// Faults in effect from the start; the route `POST /faults` changes them later.
fn initial_faults() -> impl bpaf::Parser<Fault> {
    let pause = bpaf::long("pause-ms")
        .help("Answer nothing for so many milliseconds")
        .argument("MS")
        .map(Fault::PauseMs);
    let slow = bpaf::long("slow")
        .help("Take so many times longer")
        .argument("FACTOR")
        .map(Fault::Slow);
    let lose = bpaf::long("lose-answers")
        .help("Run so many calls and lose their answers")
        .argument("N")
        .map(Fault::LoseAnswers);
    let double = bpaf::long("double-answers")
        .help("Give the results of so many calls twice")
        .argument("N")
        .map(Fault::DoubleAnswers);
    let refuse = bpaf::long("refuse")
        .help("Refuse so many calls as not run")
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

/// Run the stand-in until it is told to die. Its address is the first line of standard output.
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
                let more = log_server::entrance(listen(port), log.log().clone()).await?;
                urls.push(more.url());
                entrances.push(more);
            }
            // In one write: a reader of the first line may close the pipe after it.
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
