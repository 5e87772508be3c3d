//! `reachtallyd`: the entry box's daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use reachtally_config::{Settings, settings};
use reachtally_daemon::{Identity, demo, run, standalone};
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};

/// The entry box's daemon of reachtally, a router for language-model pipelines.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Run the daemon until SIGTERM or SIGINT
    #[bpaf(command)]
    Run {
        /// Settings file (YAML)
        #[bpaf(argument("FILE"))]
        settings: Option<PathBuf>,
        /// Worker threads
        #[bpaf(argument("N"), fallback(1), guard(|n| *n > 0, "give at least 1"))]
        threads: usize,
        /// Run with an embedded log, live list, engines and services; needs no settings
        standalone: bool,
    },
    /// Check a settings file and report every finding
    #[bpaf(command)]
    Check {
        /// Settings file (YAML)
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Run a session against embedded stand-ins in which a stage fails midway
    #[bpaf(command)]
    Demo,
}

fn main() -> ExitCode {
    init_logs();
    let command = command().run();
    let done = runtime(&command).and_then(|runtime| runtime.block_on(execute(command)));
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("reachtallyd: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Builds the runtime, with one worker thread by default. A step then passes through the daemon without
/// crossing threads, which otherwise dominates the time to first token.
fn runtime(command: &Command) -> Result<Runtime, String> {
    let threads = match command {
        Command::Run { threads, .. } => *threads,
        Command::Check { .. } | Command::Demo => 1,
    };
    Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .map_err(|err| format!("can't start the runtime: {err}"))
}

/// Sets up logging at level `info` unless `RUST_LOG` is set. Rocket's logs are always disabled, since it
/// writes several lines per request.
fn init_logs() {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .filter_module("rocket", log::LevelFilter::Off)
        .init();
}

async fn execute(command: Command) -> Result<(), String> {
    match command {
        Command::Check { settings } => {
            read_settings(&settings)?;
            println!("{}: no findings", settings.display());
            Ok(())
        }
        Command::Demo => demo::demo().await.map_err(|report| format!("{report:?}")),
        Command::Run {
            standalone: true, ..
        } => run_standalone().await,
        Command::Run {
            settings: Some(file),
            ..
        } => {
            let settings = read_settings(&file)?;
            let daemon = run::start(settings, Identity::random())
                .await
                .map_err(|report| format!("{report:?}"))?;
            stop_signal().await?;
            daemon.stop().await;
            Ok(())
        }
        Command::Run { settings: None, .. } => {
            Err("give --settings FILE, or --standalone".to_owned())
        }
    }
}

fn read_settings(file: &std::path::Path) -> Result<Settings, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|err| format!("can't read {name}: {err}"))?;
    settings::parse(&name, &text).map_err(|findings| format!("bad settings\n{findings}"))
}

async fn run_standalone() -> Result<(), String> {
    let options = standalone::Options {
        callers: settings::CALLERS,
        operators: settings::OPERATORS,
        ..standalone::Options::default()
    };
    let setup = standalone::standalone(options)
        .await
        .map_err(|report| format!("{report:?}"))?;
    println!(
        "callers:   http://{}  key {}",
        setup.daemon.callers(),
        standalone::CALLER_KEY
    );
    println!(
        "operators: http://{}  key {}",
        setup.daemon.operators(),
        standalone::OPERATOR_KEY
    );
    stop_signal().await?;
    setup.daemon.stop().await;
    Ok(())
}

async fn stop_signal() -> Result<(), String> {
    let failed = |err: std::io::Error| format!("can't wait for signals: {err}");
    let mut term = signal(SignalKind::terminate()).map_err(failed)?;
    let mut int = signal(SignalKind::interrupt()).map_err(failed)?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}
