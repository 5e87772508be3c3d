//! A pipeline of engines, services and accounts, with one or more daemons.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use reachtally_core::declare::{Account, Engine, Layers, Model, Object, Service};
use reachtally_core::effect::Change;
use reachtally_core::ids::{RequestId, RequestKey};
use reachtally_core::request::{Completion, NewRequest, ServiceCall, Work};
use reachtally_core::{Limits, World};
use reachtally_standin::engine::{Ledger, Options, StepTime, model};
use reachtally_standin::fabric::{Behaviour, End, Fabric, FakeEngine, FakeService};
use reachtally_standin::verify::{Accepted, verify};

pub const MODEL: &str = "m";
pub const LAYERS: u32 = 12;
pub const STAGES: u32 = 3;
pub const PROMPT: &str = "match the old supplier codes of three catalogues";
pub const ORDERS: &str = "orders";
pub const LOOKUP: &str = "lookup";
pub const SECOND: Duration = Duration::from_secs(1);
/// Step time of every engine.
pub const STEP: Duration = Duration::from_millis(10);

pub fn engine_url(stage: u32, replica: u32) -> String {
    format!("http://e{stage}{replica}")
}

pub fn service_url(name: &str, instance: u32) -> String {
    format!("http://{name}{instance}")
}

/// Three stages with two engines each, and two services with two instances each.
pub fn fabric(daemons: usize) -> Fabric {
    fabric_with(daemons, &Limits::default())
}

pub fn fabric_with(daemons: usize, limits: &Limits) -> Fabric {
    let mut fabric = Fabric::new(daemons, limits);
    let mut objects = vec![
        Object::Model(Model {
            name: MODEL.to_owned(),
            layers: LAYERS,
        }),
        Object::Account(account("a", 256)),
        Object::Account(account("small", 1)),
    ];
    for stage in 0..STAGES {
        for replica in 0..2 {
            objects.push(Object::Engine(add_engine(&mut fabric, stage, replica)));
        }
    }
    for (name, repeatable) in [(ORDERS, false), (LOOKUP, true)] {
        let urls: Vec<String> = (0..2).map(|instance| service_url(name, instance)).collect();
        for url in &urls {
            fabric.services.insert(url.clone(), FakeService::default());
        }
        objects.push(Object::Service(Service {
            name: name.to_owned(),
            urls,
            repeatable,
            deduplicates: false,
        }));
    }
    fabric.declare(objects);
    fabric.run_for(Duration::from_millis(1));
    fabric
}

fn add_engine(fabric: &mut Fabric, stage: u32, replica: u32) -> Engine {
    let each = LAYERS / STAGES;
    let layers = Layers {
        first: stage * each,
        end: (stage + 1) * each,
    };
    let options = Options {
        step_time: StepTime {
            base: STEP,
            per_layer: Duration::ZERO,
        },
        ..Options::range(layers.first, layers.end, LAYERS)
    };
    let url = engine_url(stage, replica);
    fabric.engines.insert(url.clone(), FakeEngine::new(options));
    Engine {
        name: format!("e{stage}{replica}"),
        box_name: format!("t{stage}{replica}"),
        domain: "d1".to_owned(),
        url,
        model: MODEL.to_owned(),
        layers,
        slots: 64,
        checks_fence: false,
    }
}

fn account(name: &str, max_running: u32) -> Account {
    Account {
        name: name.to_owned(),
        key_hashes: Vec::new(),
        models: vec![MODEL.to_owned()],
        adapters: Vec::new(),
        services: vec![ORDERS.to_owned(), LOOKUP.to_owned()],
        max_running,
        priority: 0,
    }
}

pub fn completion(max_tokens: u32) -> NewRequest {
    NewRequest {
        account: "a".to_owned(),
        work: Work::Completion(Completion {
            model: MODEL.to_owned(),
            prompt: PROMPT.to_owned(),
            max_tokens,
        }),
        idempotency_key: None,
        request_timeout: 60 * SECOND,
    }
}

pub fn call(service: &str, key: Option<&str>, body: &str) -> NewRequest {
    NewRequest {
        account: "a".to_owned(),
        work: Work::Service(ServiceCall {
            service: service.to_owned(),
            method: "POST".to_owned(),
            path: "new".to_owned(),
            content_type: None,
            body: Bytes::from(body.to_owned()),
        }),
        idempotency_key: key.map(str::to_owned),
        request_timeout: 60 * SECOND,
    }
}

/// URL of the engine that serves `stage` of the only request with KV there.
pub fn serving(fabric: &Fabric, stage: u32) -> String {
    let holds = |url: &String| fabric.engines[url].state.requests_held() > 0;
    let urls = [engine_url(stage, 0), engine_url(stage, 1)];
    urls.into_iter()
        .find(holds)
        .expect("the request holds KV there")
}

pub fn world(fabric: &Fabric) -> &World {
    &fabric.nodes[0].world
}

pub fn end(fabric: &Fabric, daemon: usize, key: RequestKey) -> Option<&End> {
    fabric.nodes[daemon].answered[&key].end.as_ref()
}

pub fn stage_moves(fabric: &Fabric) -> usize {
    let changes = fabric.nodes[0].changes.iter();
    let shift = |(_, change): &&(_, Change)| matches!(change, Change::StageMoved { .. });
    changes.filter(shift).count()
}

/// Number of runs of a key on all instances of the services.
pub fn runs(fabric: &Fabric, key: &str) -> u32 {
    let services = fabric.services.values();
    services.filter_map(|service| service.runs.get(key)).sum()
}

/// Asserts that the answer equals that of the model, and that the ledgers show every layer once per position, in
/// order.
#[track_caller]
pub fn assert_complete(fabric: &Fabric, key: RequestKey, tokens: u32) {
    let answered = &fabric.nodes[0].answered[&key];
    let Some(End::Completed {
        prompt_tokens,
        lineage,
    }) = &answered.end
    else {
        panic!("the request ended as {:?}", answered.end);
    };
    let expected: Vec<String> = model::reference(LAYERS, "", PROMPT, tokens)
        .into_iter()
        .map(|token| token.text)
        .collect();
    assert_eq!(answered.tokens, expected);
    let positions = prompt_tokens + tokens - 1;
    lineage
        .check(LAYERS, positions)
        .expect("each layer runs once per position");
    let world = world(fabric);
    let accepted: Vec<Accepted> = lineage
        .runs()
        .iter()
        .map(|run| Accepted {
            target: world.targets[run.target].name.clone(),
            layers: run.layers,
            from: run.from,
            end: run.end,
            attempt: run.attempt,
        })
        .collect();
    let ledgers: BTreeMap<String, Ledger> = fabric
        .engines
        .iter()
        .map(|(url, engine)| (url.replace("http://", ""), engine.state.ledger().clone()))
        .collect();
    let id = RequestId::new(world.incarnation, key);
    assert_eq!(verify(id, LAYERS, positions, &accepted, &ledgers), []);
}

/// Kills the engine at `url`.
pub fn kill(fabric: &mut Fabric, url: &str) {
    fabric.engines.get_mut(url).expect("declared").dead = true;
}

/// Restarts the engine at `url` without any state.
pub fn restart_empty(fabric: &mut Fabric, url: &str) {
    fabric
        .engines
        .get_mut(url)
        .expect("declared")
        .restart_empty();
}

/// Sets the behaviour of the next answers of the engine at `url`.
pub fn set_behaviours(fabric: &mut Fabric, url: &str, behaviours: &[Behaviour]) {
    fabric
        .engines
        .get_mut(url)
        .expect("declared")
        .set_behaviours(behaviours);
}

/// Returns the service instance at `url`.
pub fn service<'a>(fabric: &'a mut Fabric, url: &str) -> &'a mut FakeService {
    fabric.services.get_mut(url).expect("declared")
}
