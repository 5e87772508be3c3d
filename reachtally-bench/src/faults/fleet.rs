//! Processes of the soak test, which can be killed, paused and restarted on the same port.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use reachtally_config::keys;
use reachtally_core::declare::{Account, Engine, Layers, Model, Object, Service};
use reachtally_core::fold::{Config, Operation};
use reachtally_daemon::publish;
use reachtally_log::http::HttpPlatform;
use reqwest::Client;
use serde_json::Value;

use crate::process::{self, Process};
use crate::setup::{KEY, MODEL, OPERATOR_KEY};

/// Number of layers of the model.
pub const LAYERS: u32 = 12;
const STAGES: u32 = 3;
const REPLICAS: u32 = 2;
/// Failure domain of each daemon.
const DOMAINS: [&str; 3] = ["d1", "d1", "d2"];
/// Number of readiness checks before the start of a daemon fails.
const MAX_READY_POLLS: u32 = 200;
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A process that can be restarted.
pub struct ManagedProcess {
    /// Base address; for a daemon, that of its listener for callers.
    pub url: String,
    /// For a daemon, base address of its listener for operators.
    pub operators: String,
    /// Number of kills, pauses and continuations so far.
    pub disturbed: AtomicU64,
    down: AtomicBool,
    kind: Kind,
    process: Mutex<Option<Process>>,
}

enum Kind {
    Daemon(PathBuf),
    StandIn(Vec<String>),
}

/// All processes of the soak test.
pub struct Fleet {
    /// Daemons, which are the entry boxes.
    pub daemons: Vec<ManagedProcess>,
    /// Engines.
    pub engines: Vec<ManagedProcess>,
    /// The service whose calls must not be repeated.
    pub orders: ManagedProcess,
    /// The log.
    pub log: ManagedProcess,
    /// The live list.
    pub list: ManagedProcess,
    /// Base address of the log for each failure domain.
    pub log_urls: [String; 2],
    /// Client for control routes.
    pub client: Client,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for daemon in &self.daemons {
            if let Kind::Daemon(settings) = &daemon.kind {
                std::fs::remove_file(settings).ok();
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl ManagedProcess {
    fn lock(&self) -> MutexGuard<'_, Option<Process>> {
        lock(&self.process)
    }

    fn disturb(&self) {
        self.disturbed.fetch_add(1, Ordering::SeqCst);
    }

    /// Number of kills, pauses and continuations so far.
    pub fn disturbances(&self) -> u64 {
        self.disturbed.load(Ordering::SeqCst)
    }

    /// Kills the process. It counts as down already before, since its connections break while it dies.
    pub fn kill(&self) {
        self.down.store(true, Ordering::SeqCst);
        self.disturb();
        self.lock().take();
    }

    /// Whether the process is being killed or was killed.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    /// Restarts the process after a kill.
    pub fn start(&self) -> Result<(), String> {
        let process = match &self.kind {
            Kind::Daemon(settings) => process::daemon(settings)?,
            Kind::StandIn(arguments) => process::standin(arguments)?.0,
        };
        *self.lock() = Some(process);
        self.down.store(false, Ordering::SeqCst);
        Ok(())
    }

    /// Sends a signal to the process. `SIGSTOP` and `SIGCONT` emulate a process that the system starves.
    pub fn signal(&self, signal: Signal) {
        self.disturb();
        if let Some(process) = &*self.lock() {
            // The process may have exited already.
            kill(Pid::from_raw(process.id() as i32), signal).ok();
        }
    }

    /// Injects a fault through the control route of a stand-in.
    pub async fn fault(&self, client: &Client, fault: &Value) {
        let url = format!("{}/faults", self.url);
        // Errors are ignored, since the stand-in may be paused or dead.
        client
            .post(url)
            .json(fault)
            .timeout(READY_POLL_INTERVAL * 10)
            .send()
            .await
            .ok();
    }
}

fn start_stand_in(arguments: &str) -> Result<ManagedProcess, String> {
    let arguments: Vec<String> = arguments.split_whitespace().map(str::to_owned).collect();
    let (process, url) = process::standin(&arguments)?;
    let port = url.rsplit(':').next().unwrap_or_default().to_owned();
    let restart_arguments = [arguments, vec!["--port".to_owned(), port]].concat();
    Ok(ManagedProcess {
        url,
        operators: String::new(),
        disturbed: AtomicU64::new(0),
        down: AtomicBool::new(false),
        kind: Kind::StandIn(restart_arguments),
        process: Mutex::new(Some(process)),
    })
}

/// Starts all processes and waits until every daemon serves requests.
pub async fn start() -> Result<Fleet, String> {
    let log_urls = [free_address()?, free_address()?];
    let ports = log_urls.map(|address| format!(" --entrance {}", address.port()));
    let log = start_stand_in(&format!("log{}", ports.concat()))?;
    let list = start_stand_in("list")?;
    let orders = start_stand_in("service")?;
    let mut engines = Vec::new();
    let mut declared = Vec::new();
    let layers_per_stage = LAYERS / STAGES;
    for stage in 0..STAGES {
        for replica in 0..REPLICAS {
            let (first, end) = (stage * layers_per_stage, (stage + 1) * layers_per_stage);
            let engine = start_stand_in(&format!(
                "engine --first {first} --end {end} --model-layers {LAYERS} --base-us 2000"
            ))?;
            declared.push(declared_engine(
                stage,
                replica,
                &engine.url,
                Layers { first, end },
            ));
            engines.push(engine);
        }
    }
    let client = Client::new();
    publish_all(&log.url, &list.url, declared, &orders.url).await?;
    let mut daemons = Vec::new();
    for (number, domain) in DOMAINS.iter().enumerate() {
        let log_index = if *domain == DOMAINS[0] { 0 } else { 1 };
        let log = format!("http://{}", log_urls[log_index]);
        daemons.push(daemon(number, domain, &log, &list.url)?);
    }
    let fleet = Fleet {
        log_urls: log_urls.map(|address| format!("http://{address}")),
        daemons,
        engines,
        orders,
        log,
        list,
        client,
    };
    list_boxes(&fleet).await?;
    for daemon in &fleet.daemons {
        wait_ready(&fleet.client, &daemon.url).await?;
    }
    Ok(fleet)
}

fn declared_engine(stage: u32, replica: u32, url: &str, layers: Layers) -> Engine {
    Engine {
        name: format!("e{stage}{replica}"),
        box_name: format!("t{stage}{replica}"),
        domain: "d1".to_owned(),
        url: url.to_owned(),
        model: MODEL.to_owned(),
        layers,
        slots: 256,
        checks_fence: false,
    }
}

async fn publish_all(
    log: &str,
    list: &str,
    engines: Vec<Engine>,
    orders: &str,
) -> Result<(), String> {
    let mut objects = vec![
        Object::Model(Model {
            name: MODEL.to_owned(),
            layers: LAYERS,
        }),
        Object::Service(Service {
            name: "orders".to_owned(),
            urls: vec![orders.to_owned()],
            repeatable: false,
            deduplicates: false,
        }),
        Object::Account(Account {
            name: "soak".to_owned(),
            key_hashes: vec![keys::hash(KEY)],
            models: vec![MODEL.to_owned()],
            adapters: Vec::new(),
            services: vec!["orders".to_owned()],
            max_running: 1000,
            priority: 0,
        }),
    ];
    objects.extend(engines.into_iter().map(Object::Engine));
    let operation = Operation {
        id: "soak".to_owned(),
        actor: "soak".to_owned(),
        edits: Config::default().edits(objects),
    };
    let platform = HttpPlatform::new(log, list).map_err(|err| err.to_string())?;
    let published = publish::publish(&platform, &operation).await;
    published
        .map(|_| ())
        .map_err(|err| format!("publishing the declarations failed: {err:?}"))
}

fn free_address() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).map_err(|err| err.to_string())?;
    listener.local_addr().map_err(|err| err.to_string())
}

fn daemon(number: usize, domain: &str, log: &str, list: &str) -> Result<ManagedProcess, String> {
    let (callers, operators, peer) = (free_address()?, free_address()?, free_address()?);
    let hash = keys::hash(OPERATOR_KEY);
    let text = format!(
        "box: b{number}\ndomain: {domain}\ncallers: {callers}\noperators: {operators}\n\
         peer: {peer}\nlog: {log}\nlist: {list}\noperator_keys:\n  - \
         {{name: soak, role: admin, hash: {hash}}}\nlimits:\n  patience_s: 30\n"
    );
    let name = format!("reachtally-soak-{}-{number}.yaml", std::process::id());
    let settings = std::env::temp_dir().join(name);
    std::fs::write(&settings, text).map_err(|err| err.to_string())?;
    let process = process::daemon(&settings)?;
    Ok(ManagedProcess {
        url: format!("http://{callers}"),
        operators: format!("http://{operators}"),
        disturbed: AtomicU64::new(0),
        down: AtomicBool::new(false),
        kind: Kind::Daemon(settings),
        process: Mutex::new(Some(process)),
    })
}

/// Adds the box of every engine to the live list.
async fn list_boxes(fleet: &Fleet) -> Result<(), String> {
    for stage in 0..STAGES {
        for replica in 0..REPLICAS {
            list_box(fleet, &format!("t{stage}{replica}"), false).await?;
        }
    }
    Ok(())
}

/// Adds or updates a box in the live list, as leaving or not.
pub async fn list_box(fleet: &Fleet, name: &str, leaving: bool) -> Result<(), String> {
    let body = serde_json::json!({"name": name, "leaving": leaving});
    let req = fleet
        .client
        .put(format!("{}/boxes", fleet.list.url))
        .json(&body);
    req.send().await.map(|_| ()).map_err(|err| err.to_string())
}

/// Partitions a failure domain from the log, or reconnects it.
pub async fn set_partitioned(fleet: &Fleet, domain: usize, is_cut: bool) -> Result<(), String> {
    let url = format!("{}/cut", fleet.log_urls[domain]);
    let sent = fleet.client.post(url).json(&is_cut).send().await;
    sent.map(|_| ()).map_err(|err| err.to_string())
}

/// Waits until a daemon serves requests.
pub async fn wait_ready(client: &Client, url: &str) -> Result<(), String> {
    for _ in 0..MAX_READY_POLLS {
        let req = client.get(format!("{url}/v1/models")).bearer_auth(KEY);
        let answer = req.timeout(READY_POLL_INTERVAL * 10).send().await;
        if answer.is_ok_and(|answer| answer.status().is_success()) {
            return Ok(());
        }
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
    Err(format!("the daemon at {url} did not become ready in time"))
}
