//! Starts a chain of engines, a log, a list and a daemon as processes on the loopback interface.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;

use reachtally_config::keys;
use reachtally_core::declare::{Account, Engine, Layers, Model, Object};
use reachtally_core::fold::{Config, Operation};
use reachtally_daemon::publish;
use reachtally_log::http::HttpPlatform;

use crate::process::{self, Process};

/// Key of the caller.
pub const KEY: &str = "bench";
/// Key of the operator.
pub const OPERATOR_KEY: &str = "operator";
/// Name of the model.
pub const MODEL: &str = "bench";
/// Layers of the model.
pub const LAYERS: u32 = 24;
/// Number of readiness checks before the start of the daemon fails.
const MAX_READY_POLLS: u32 = 100;
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Processes to start.
#[derive(Debug, Clone)]
pub struct Options {
    /// Number of stages of the chain.
    pub stages: u32,
    /// Engines per stage.
    pub replicas: u32,
    /// Bytes of one activation.
    pub activation_bytes: usize,
    /// Slots per engine.
    pub slots: u32,
    /// Base time of an engine iteration, in µs.
    pub base_us: u64,
    /// Time per layer and position, in µs.
    pub per_layer_us: u64,
    /// Mebibytes of stage inputs that the daemon keeps for replay.
    pub replay_mib: usize,
}

/// The processes of an experiment.
pub struct Setup {
    /// The daemon under test.
    pub daemon: Process,
    /// Base address for callers.
    pub callers: String,
    /// Base address for operators.
    pub operators: String,
    /// Base addresses of the engines, stage by stage.
    pub engines: Vec<String>,
    _processes: Vec<Process>,
    settings: PathBuf,
}

impl Drop for Setup {
    fn drop(&mut self) {
        std::fs::remove_file(&self.settings).ok();
    }
}

/// Starts all processes and waits until the daemon is ready.
pub async fn start(options: &Options) -> Result<Setup, String> {
    let mut processes = Vec::new();
    let (process, log) = process::standin(&["log".to_owned()])?;
    processes.push(process);
    let (engines, declared) = start_engines(options, &mut processes)?;
    let boxes = declared.iter().map(|engine| engine.box_name.clone());
    let list_args: Vec<String> = std::iter::once("list".to_owned()).chain(boxes).collect();
    let (process, list) = process::standin(&list_args)?;
    processes.push(process);
    publish_declarations(&log, &list, declared).await?;
    let (callers, operators) = (free_address()?, free_address()?);
    let settings = write_settings(&log, &list, callers, operators, options.replay_mib)?;
    let daemon = process::daemon(&settings)?;
    let setup = Setup {
        daemon,
        callers: format!("http://{callers}"),
        operators: format!("http://{operators}"),
        engines,
        _processes: processes,
        settings,
    };
    wait_ready(&setup).await?;
    Ok(setup)
}

fn start_engines(
    options: &Options,
    processes: &mut Vec<Process>,
) -> Result<(Vec<String>, Vec<Engine>), String> {
    let layers_per_stage = LAYERS / options.stages;
    let mut urls = Vec::new();
    let mut declared = Vec::new();
    for stage in 0..options.stages {
        for replica in 0..options.replicas {
            let layers = Layers {
                first: stage * layers_per_stage,
                end: if stage + 1 == options.stages {
                    LAYERS
                } else {
                    (stage + 1) * layers_per_stage
                },
            };
            let (process, url) = process::standin(&engine_arguments(options, layers))?;
            processes.push(process);
            urls.push(url.clone());
            declared.push(Engine {
                name: format!("e{stage}-{replica}"),
                box_name: format!("t{stage}-{replica}"),
                domain: "d1".to_owned(),
                url,
                model: MODEL.to_owned(),
                layers,
                slots: options.slots,
                checks_fence: false,
            });
        }
    }
    Ok((urls, declared))
}

fn engine_arguments(options: &Options, layers: Layers) -> Vec<String> {
    let text = format!(
        "engine --first {} --end {} --model-layers {LAYERS} --slots {} --activation-bytes {} \
         --base-us {} --per-layer-us {} --no-ledger",
        layers.first,
        layers.end,
        options.slots,
        options.activation_bytes,
        options.base_us,
        options.per_layer_us,
    );
    text.split_whitespace().map(str::to_owned).collect()
}

async fn publish_declarations(log: &str, list: &str, engines: Vec<Engine>) -> Result<(), String> {
    let model = Object::Model(Model {
        name: MODEL.to_owned(),
        layers: LAYERS,
    });
    let account = Object::Account(Account {
        name: "bench".to_owned(),
        key_hashes: vec![keys::hash(KEY)],
        models: vec![MODEL.to_owned()],
        adapters: Vec::new(),
        services: Vec::new(),
        priority: 0,
        max_running: 100_000,
    });
    let mut objects = vec![model, account];
    objects.extend(engines.into_iter().map(Object::Engine));
    let operation = Operation {
        id: "bench".to_owned(),
        actor: "bench".to_owned(),
        edits: Config::default().edits(objects),
    };
    let platform = HttpPlatform::new(log, list).map_err(|err| err.to_string())?;
    publish::publish(&platform, &operation)
        .await
        .map(|_| ())
        .map_err(|err| format!("publishing the declarations failed: {err:?}"))
}

/// Returns a currently free address, since the daemon's settings need a fixed one. Another process may still take it.
fn free_address() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).map_err(|err| err.to_string())?;
    listener.local_addr().map_err(|err| err.to_string())
}

fn write_settings(
    log: &str,
    list: &str,
    callers: SocketAddr,
    operators: SocketAddr,
    replay_mib: usize,
) -> Result<PathBuf, String> {
    let hash = keys::hash(OPERATOR_KEY);
    let text = format!(
        "box: bench-entry\ndomain: d1\ncallers: {callers}\noperators: {operators}\nlog: {log}\n\
         list: {list}\noperator_keys:\n  - {{name: bench, role: admin, hash: {hash}}}\n\
         limits:\n  replay_mib: {replay_mib}\n"
    );
    let name = format!(
        "reachtally-bench-{}-{}.yaml",
        std::process::id(),
        callers.port()
    );
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).map_err(|err| err.to_string())?;
    Ok(path)
}

async fn wait_ready(setup: &Setup) -> Result<(), String> {
    let client = reqwest::Client::new();
    let url = format!("{}/v1/models", setup.callers);
    for _ in 0..MAX_READY_POLLS {
        let answer = client.get(&url).bearer_auth(KEY).send().await;
        if answer.is_ok_and(|answer| answer.status().is_success()) {
            return Ok(());
        }
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
    Err("the daemon did not become ready in time".to_owned())
}
