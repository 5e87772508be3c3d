//! Simulated fleets on a virtual clock, for experiments on the core.

use std::time::Duration;

use bytes::Bytes;
use reachtally_core::Limits;
use reachtally_core::declare::{Account, Engine, Layers, Model, Object, Service};
use reachtally_core::request::{Completion, NewRequest, ServiceCall, Work};
use reachtally_standin::engine::{Options, StepTime};
use reachtally_standin::fabric::{Fabric, FakeEngine, FakeService};

/// Name of the model.
pub const MODEL: &str = "m";
/// Name of the service whose calls must not be repeated.
pub const ORDERS: &str = "orders";
/// Time that callers wait for an answer.
const PATIENCE: Duration = Duration::from_secs(600);

/// A fleet of identical engines.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    /// Number of stages of the model.
    pub stages: u32,
    /// Engines per stage.
    pub replicas: u32,
    /// Layers per stage.
    pub layers_each: u32,
    /// Step-time model of the engines.
    pub step_time: StepTime,
    /// Slots per engine.
    pub slots: u32,
}

/// Creates daemons in front of a fleet of engines and of a service with one instance.
pub fn fabric(daemons: usize, fleet: Fleet, limits: &Limits) -> Fabric {
    let mut fabric = Fabric::new(daemons, limits);
    let layers = fleet.stages * fleet.layers_each;
    let mut objects = vec![
        Object::Model(Model {
            name: MODEL.to_owned(),
            layers,
        }),
        Object::Account(account()),
        Object::Service(Service {
            name: ORDERS.to_owned(),
            urls: vec!["http://orders".to_owned()],
            repeatable: false,
            deduplicates: false,
        }),
    ];
    fabric
        .services
        .insert("http://orders".to_owned(), FakeService::default());
    for stage in 0..fleet.stages {
        for replica in 0..fleet.replicas {
            objects.push(add_engine(&mut fabric, fleet, stage, replica));
        }
    }
    fabric.declare(objects);
    fabric
}

fn add_engine(fabric: &mut Fabric, fleet: Fleet, stage: u32, replica: u32) -> Object {
    let (first, end) = (stage * fleet.layers_each, (stage + 1) * fleet.layers_each);
    let options = Options {
        step_time: fleet.step_time,
        slots: fleet.slots,
        ..Options::range(first, end, fleet.stages * fleet.layers_each)
    };
    let url = format!("http://e{stage}-{replica}");
    fabric.engines.insert(url.clone(), FakeEngine::new(options));
    Object::Engine(Engine {
        name: format!("e{stage}-{replica}"),
        box_name: format!("t{stage}-{replica}"),
        domain: "d".to_owned(),
        url,
        model: MODEL.to_owned(),
        layers: Layers { first, end },
        slots: fleet.slots,
        checks_fence: false,
    })
}

fn account() -> Account {
    Account {
        name: "a".to_owned(),
        key_hashes: Vec::new(),
        models: vec![MODEL.to_owned()],
        adapters: Vec::new(),
        services: vec![ORDERS.to_owned()],
        max_running: 1 << 20,
        priority: 0,
    }
}

/// Returns a completion request with a prompt of `words` words.
pub fn completion(words: u32, max_tokens: u32) -> NewRequest {
    NewRequest {
        account: "a".to_owned(),
        work: Work::Completion(Completion {
            model: MODEL.to_owned(),
            prompt: "word ".repeat(words as usize),
            max_tokens,
        }),
        idempotency_key: None,
        request_timeout: PATIENCE,
    }
}

/// Returns an order with an idempotency key.
pub fn order(key: &str) -> NewRequest {
    NewRequest {
        account: "a".to_owned(),
        work: Work::Service(ServiceCall {
            service: ORDERS.to_owned(),
            method: "POST".to_owned(),
            path: "new".to_owned(),
            content_type: None,
            body: Bytes::from_static(b"ten pallets"),
        }),
        idempotency_key: Some(key.to_owned()),
        request_timeout: PATIENCE,
    }
}
