//! A daemon with embedded stand-ins for the platform, the engines and the services.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use reachtally_config::keys;
use reachtally_config::settings::{
    BODY_BYTES, BODY_MEMORY_BYTES, Operator, REQUEST_TIMEOUT, Role, Settings,
};
use reachtally_core::Limits;
use reachtally_core::declare::{self, Layers, Object};
use reachtally_core::fold::{Config, Operation};
use reachtally_listen::Options as Listen;
use reachtally_log::memory;
use reachtally_standin::engine::{self, Engine, StepTime};
use reachtally_standin::list::{self, List};
use reachtally_standin::log_server::{self, LogServer};
use reachtally_standin::service::{self, Service};

use crate::publish;
use crate::run::{Daemon, Identity, start};

/// API key of the embedded account.
pub const CALLER_KEY: &str = "demo";
/// API key of the embedded operator.
pub const OPERATOR_KEY: &str = "operator";
/// Name of the embedded model.
pub const MODEL: &str = "demo";
/// Name of the embedded adapter.
pub const ADAPTER: &str = "demo-quotes";
/// Number of layers of the embedded model.
pub const LAYERS: u32 = 24;
/// Number of stages of each chain.
pub const STAGES: u32 = 3;
/// Number of engines per stage.
pub const REPLICAS: u32 = 2;
/// Concurrent requests per embedded engine.
const SLOTS: u32 = 512;

/// Options of a standalone daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for operators.
    pub operators: SocketAddr,
    /// Step-time model of every engine.
    pub step_time: StepTime,
    /// Limits of the daemon.
    pub limits: Limits,
    /// Memory for the bodies of callers' requests, in bytes.
    pub body_memory_bytes: u64,
    /// Identity of the daemon.
    pub identity: Identity,
}

impl Default for Options {
    fn default() -> Self {
        let ephemeral = SocketAddr::from(([127, 0, 0, 1], 0));
        Options {
            callers: ephemeral,
            operators: ephemeral,
            step_time: StepTime {
                base: Duration::from_millis(5),
                per_layer: Duration::from_micros(50),
            },
            limits: Limits::default(),
            body_memory_bytes: BODY_MEMORY_BYTES,
            identity: Identity::random(),
        }
    }
}

/// Why a standalone daemon did not start.
#[derive(Debug)]
pub enum StandaloneError {
    /// A stand-in could not listen.
    StandIn,
    /// The daemon did not start.
    Daemon,
    /// The declarations could not be published.
    Publish,
}

impl std::fmt::Display for StandaloneError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            StandaloneError::StandIn => "can't start an embedded stand-in",
            StandaloneError::Daemon => "can't start the daemon",
            StandaloneError::Publish => "can't publish the embedded declarations",
        })
    }
}

impl std::error::Error for StandaloneError {}

/// A daemon and its stand-ins.
pub struct Standalone {
    /// The daemon.
    pub daemon: Daemon,
    /// The log.
    pub log: LogServer,
    /// The live list.
    pub list: List,
    /// The engines by name.
    pub engines: Vec<(String, Engine)>,
    /// The service `orders`, whose calls must not be repeated.
    pub orders: Service,
    /// The service `lookup`, whose calls may be repeated.
    pub lookup: Service,
}

/// Starts the stand-ins, declares them in the configuration and starts a daemon that routes to them.
///
/// # Errors
/// [`StandaloneError`] with its cause.
pub async fn standalone(options: Options) -> Result<Standalone, Report<StandaloneError>> {
    let failed = StandaloneError::StandIn;
    let log = log_server::start(Listen::loopback(), memory::Options::default())
        .await
        .change_context(failed)?;
    let engines = start_engines(options.step_time).await?;
    let boxes = engines.iter().map(|(name, _)| box_of(name));
    let list = list::start(Listen::loopback(), boxes)
        .await
        .change_context(StandaloneError::StandIn)?;
    let orders = start_service().await?;
    let lookup = start_service().await?;
    let objects = declarations(&engines, &orders, &lookup);
    declare(&log, objects).await?;
    let settings = settings(&options, &log, &list);
    let daemon = start(settings, options.identity)
        .await
        .change_context(StandaloneError::Daemon)?;
    daemon.ready().await;
    Ok(Standalone {
        daemon,
        log,
        list,
        engines,
        orders,
        lookup,
    })
}

async fn start_engines(
    step_time: StepTime,
) -> Result<Vec<(String, Engine)>, Report<StandaloneError>> {
    let mut engines = Vec::new();
    let each = LAYERS / STAGES;
    for stage in 0..STAGES {
        for replica in 0..REPLICAS {
            let name = format!("engine-{stage}{}", char::from(b'a' + replica as u8));
            let options = engine::Options {
                slots: SLOTS,
                step_time,
                ..engine::Options::range(stage * each, (stage + 1) * each, LAYERS)
            };
            let engine = engine::start(Listen::loopback(), options)
                .await
                .change_context(StandaloneError::StandIn)?;
            engines.push((name, engine));
        }
    }
    Ok(engines)
}

async fn start_service() -> Result<Service, Report<StandaloneError>> {
    service::start(Listen::loopback())
        .await
        .change_context(StandaloneError::StandIn)
}

fn box_of(engine: &str) -> String {
    format!("box-of-{engine}")
}

fn declarations(engines: &[(String, Engine)], orders: &Service, lookup: &Service) -> Vec<Object> {
    let each = LAYERS / STAGES;
    let model = declare::Model {
        name: MODEL.to_owned(),
        layers: LAYERS,
    };
    let adapter = declare::Adapter {
        name: ADAPTER.to_owned(),
        model: MODEL.to_owned(),
    };
    let mut objects = vec![Object::Model(model), Object::Adapter(adapter)];
    for (at, (name, engine)) in engines.iter().enumerate() {
        let stage = at as u32 / REPLICAS;
        objects.push(Object::Engine(declare::Engine {
            name: name.clone(),
            box_name: box_of(name),
            domain: "hall-1".to_owned(),
            url: engine.url(),
            model: MODEL.to_owned(),
            layers: Layers {
                first: stage * each,
                end: (stage + 1) * each,
            },
            slots: SLOTS,
            checks_fence: false,
        }));
    }
    objects.push(declared_service("orders", orders, false));
    objects.push(declared_service("lookup", lookup, true));
    objects.push(Object::Account(declare::Account {
        name: "demo".to_owned(),
        key_hashes: vec![keys::hash(CALLER_KEY)],
        models: vec![MODEL.to_owned()],
        adapters: vec![ADAPTER.to_owned()],
        priority: 0,
        services: vec!["orders".to_owned(), "lookup".to_owned()],
        max_running: 4096,
    }));
    objects
}

fn declared_service(name: &str, service: &Service, repeatable: bool) -> Object {
    Object::Service(declare::Service {
        name: name.to_owned(),
        urls: vec![service.url()],
        repeatable,
        deduplicates: false,
    })
}

async fn declare(log: &LogServer, objects: Vec<Object>) -> Result<(), Report<StandaloneError>> {
    let operation = Operation {
        id: "embedded-declarations".to_owned(),
        actor: "standalone".to_owned(),
        edits: Config::default().edits(objects),
    };
    publish::publish(log.log(), &operation)
        .await
        .map(|_| ())
        .map_err(|_| Report::new(StandaloneError::Publish))
}

fn settings(options: &Options, log: &LogServer, list: &List) -> Settings {
    Settings {
        box_name: "entry-1".to_owned(),
        domain: "hall-1".to_owned(),
        callers: options.callers,
        operators: options.operators,
        peer: Some(SocketAddr::from(([127, 0, 0, 1], 0))),
        log: log.url(),
        list: list.url(),
        statsd: None,
        operator_keys: vec![Operator {
            name: "demo".to_owned(),
            role: Role::Admin,
            hash: keys::hash(OPERATOR_KEY),
        }],
        body_bytes: BODY_BYTES,
        body_memory_bytes: options.body_memory_bytes,
        request_timeout: REQUEST_TIMEOUT,
        stop_notice: Duration::ZERO,
        limits: options.limits.clone(),
    }
}
