//! The steward: lets engines hold the layers that the core's placement asks for.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::cost::{LayerModel, Layers};
use reachtally_core::forward::fleet::{Engine, EngineKey};
use reachtally_core::forward::placement::{self, Host, Move};
use tokio::time::sleep;

use crate::group::Part;
use crate::relay::Relay;
use crate::store::{OrderAnswer, Orders, Told};

/// Time between two looks at the engines.
const TICK: Duration = Duration::from_millis(250);
/// The list of engines must not have grown for this long before a first plan, so that it is made for
/// all of them. Engines write their entries about every second.
const SETTLE: Duration = Duration::from_millis(900);
/// How long an order that was taken may stay without effect before it is given again: loads of a
/// whole card take some ten seconds, and several share the store of weights.
const ORDER_PATIENCE: Duration = Duration::from_secs(20);
/// How long an order without an answer is left alone. The engine's entry shows within two seconds
/// whether it was taken.
const LOST_PATIENCE: Duration = Duration::from_secs(4);

/// An order whose effect is awaited.
struct Pending {
    layers: Layers,
    until: Instant,
}

/// Look after placement while this box is the steward.
pub async fn run<O: Orders>(relay: Rc<Relay>, part: Part, orders: O) {
    let mut pending: HashMap<EngineKey, Pending> = HashMap::new();
    let mut known = 0;
    let mut grown_at = relay.now();
    loop {
        sleep(TICK).await;
        let now = relay.now();
        let count = relay.fleet.borrow().iter().count();
        if count > known {
            grown_at = now;
        }
        known = count;
        if part.borrow().permit(now).is_none() || now.since(grown_at) < SETTLE {
            continue;
        }
        settle_pending(&relay, &mut pending, now);
        for (model, service) in layered(&relay) {
            let hosts = hosts(&relay, &service, &model, &pending);
            let moves = placement::moves(&model, &hosts);
            give(&relay, &part, &orders, &mut pending, moves).await;
        }
    }
}

/// Services whose engines hold layers.
fn layered(relay: &Relay) -> Vec<(Arc<LayerModel>, Arc<str>)> {
    let Some(table) = relay.configuration.table() else {
        return Vec::new();
    };
    let services = table.services.iter();
    services
        .filter_map(|(name, service)| Some((service.model.clone()?, name.clone())))
        .collect()
}

/// Forget orders that had their effect, whose engine is gone, or that took too long.
fn settle_pending(relay: &Relay, pending: &mut HashMap<EngineKey, Pending>, now: Instant) {
    let fleet = relay.fleet.borrow();
    pending.retain(|key, order| {
        let holds = fleet
            .get(*key)
            .map(|engine| engine.entry.layers == order.layers);
        holds == Some(false) && now < order.until
    });
}

fn hosts(
    relay: &Relay,
    service: &str,
    model: &LayerModel,
    pending: &HashMap<EngineKey, Pending>,
) -> Vec<Host> {
    let fleet = relay.fleet.borrow();
    let usable = |engine: &Engine| {
        !engine.is_leaving() && engine.missing_since.is_none() && !engine.health.is_dead()
    };
    fleet
        .of_service(service)
        .filter(|(_, engine)| usable(engine))
        .filter_map(|(key, engine)| {
            let card = model.cards.get(&**engine.entry.card.as_ref()?)?;
            let ordered = pending.get(&key).map(|order| order.layers.clone());
            Some(Host {
                engine: key,
                id: engine.entry.id.clone(),
                domain: engine.entry.domain.clone(),
                card: *card,
                layers: ordered.unwrap_or_else(|| engine.entry.layers.clone()),
                running: f64::from(engine.running) + engine.remote_running,
            })
        })
        .collect()
}

async fn give<O: Orders>(
    relay: &Relay,
    part: &Part,
    orders: &O,
    pending: &mut HashMap<EngineKey, Pending>,
    moves: Vec<Move>,
) {
    let mut given = Vec::new();
    for placed in moves {
        let engine = relay.fleet.borrow().get(placed.engine).cloned();
        let Some(engine) = engine else {
            continue;
        };
        if pending.contains_key(&placed.engine) || !engine.accepts_requests(relay.now()) {
            continue;
        }
        let Some(permit) = part.borrow().permit(relay.now()) else {
            continue;
        };
        given.push(async move {
            let Told { answer, said } = orders.place(&engine, &placed, permit).await;
            relay.target_said(&engine.entry.run(), said);
            if answer == OrderAnswer::Superseded && part.borrow_mut().superseded(permit) {
                log::info!(event = "superseded", target = &*engine.entry.id, token:? = permit.token(); "another box is the steward by now");
            }
            relay.count(|tally| tally.orders_given += 1);
            log::info!(event = "order", target = &*engine.entry.id, layers:? = placed.layers, give_up:? = placed.give_up, held:? = engine.entry.layers, answer:? = answer; "an engine was ordered to hold layers");
            (placed, answer)
        });
    }
    for (placed, answer) in futures::future::join_all(given).await {
        let patience = match answer {
            OrderAnswer::Begun | OrderAnswer::Holds => ORDER_PATIENCE,
            OrderAnswer::Lost => LOST_PATIENCE,
            OrderAnswer::Conflict
            | OrderAnswer::Superseded
            | OrderAnswer::Occupied
            | OrderAnswer::Unwilling
            | OrderAnswer::Refused(_) => TICK * 4,
        };
        let order = Pending {
            layers: placed.layers,
            until: relay.now() + patience,
        };
        pending.insert(placed.engine, order);
    }
}
