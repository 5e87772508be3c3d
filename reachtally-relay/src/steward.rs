//! The steward: orders engines to load the layers that the placement in `reachtally-core` assigns to them.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::cost::{LayerModel, Layers};
use reachtally_core::forward::fleet::{AbsenceReason, Engine, EngineKey};
use reachtally_core::forward::placement::{self, Host, Move, Presence};
use reachtally_core::forward::reach::service_reach;
use tokio::time::sleep;

use crate::group::StewardRole;
use crate::relay::Relay;
use crate::store::{EngineReply, OrderAnswer, Orders};

/// Time between two placement runs.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which the list of engines must not grow, and this box must not be cut off, before a placement run, so that the plan
/// covers all engines. Engines write their entries about every second.
const SETTLE_TIME: Duration = Duration::from_millis(900);
/// Time after which an accepted order without effect is repeated. Loading a whole card takes some ten
/// seconds, and several engines share the weight store.
const ORDER_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after which an order without a response is repeated. The engine's entry shows within two seconds
/// whether it was accepted.
const LOST_ORDER_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum number of absent engines that are logged with a plan.
const MAX_ABSENT_LOGGED: usize = 16;

/// An order that has not taken effect yet.
struct Pending {
    layers: Layers,
    until: Instant,
}

/// Runs placement while this box is the steward.
pub async fn run<O: Orders>(relay: Rc<Relay>, role: StewardRole, orders: O) {
    let mut pending: HashMap<EngineKey, Pending> = HashMap::new();
    let mut known_engines = 0;
    let mut unsettled_at = relay.now();
    loop {
        sleep(PLAN_INTERVAL).await;
        let now = relay.now();
        let count = relay.fleet.borrow().iter().count();
        if count > known_engines || relay.is_cut_off() {
            unsettled_at = now;
        }
        known_engines = count;
        if role.borrow().permit(now).is_none() || now.since(unsettled_at) < SETTLE_TIME {
            continue;
        }
        remove_settled(&relay, &mut pending, now);
        let services = layered_services(&relay);
        let reached = services
            .into_iter()
            .filter(|(_, service)| reaches_engines_in_use(&relay, service));
        for (model, service) in reached {
            let hosts = hosts(&relay, &service, &model, &pending);
            let moves = placement::moves(&model, &hosts);
            log_basis(&relay, &service, &model, &hosts, &moves);
            send_orders(&relay, &role, &orders, &mut pending, moves).await;
        }
    }
}

/// Returns whether this box reaches all engines of a service that other boxes use. Otherwise its own links are lost, and engines that
/// accept no connections from it must not be replaced.
fn reaches_engines_in_use(relay: &Relay, service: &str) -> bool {
    service_reach(&relay.fleet.borrow(), service).unresponsive_here_only == 0
}

/// Returns the services whose engines hold model layers.
fn layered_services(relay: &Relay) -> Vec<(Arc<LayerModel>, Arc<str>)> {
    let Some(table) = relay.configuration.table() else {
        return Vec::new();
    };
    let services = table.services.iter();
    services
        .filter_map(|(name, service)| Some((service.model.clone()?, name.clone())))
        .collect()
}

/// Removes orders that took effect, whose engine is gone, or that timed out.
fn remove_settled(relay: &Relay, pending: &mut HashMap<EngineKey, Pending>, now: Instant) {
    let fleet = relay.fleet.borrow();
    pending.retain(|key, order| {
        let holds = fleet
            .get(*key)
            .map(|engine| engine.entry.layers == order.layers);
        holds == Some(false) && now < order.until
    });
}

/// Returns how an engine takes part in the placement; `None` if it has ended.
fn presence(engine: &Engine, now: Instant) -> Option<Presence> {
    if engine.has_ended() {
        return None;
    }
    Some(match engine.absence().map(|absence| absence.reason) {
        None => Presence::Usable,
        Some(AbsenceReason::Leaving) => Presence::Departing,
        Some(_) if engine.is_silent_for_long(now) => Presence::Departing,
        Some(_) => Presence::Unconfirmed,
    })
}

fn hosts(
    relay: &Relay,
    service: &str,
    model: &LayerModel,
    pending: &HashMap<EngineKey, Pending>,
) -> Vec<Host> {
    let fleet = relay.fleet.borrow();
    let now = relay.now();
    fleet
        .of_service(service)
        .filter_map(|(key, engine)| {
            let presence = presence(engine, now)?;
            let card = model.cards.get(&**engine.entry.card.as_ref()?)?;
            let ordered = pending.get(&key).map(|order| order.layers.clone());
            Some(Host {
                engine: key,
                id: engine.entry.id.clone(),
                domain: engine.entry.domain.clone(),
                card: *card,
                layers: ordered.unwrap_or_else(|| engine.entry.layers.clone()),
                held: engine.entry.layers.clone(),
                presence,
                running: f64::from(engine.running) + engine.remote_running,
            })
        })
        .collect()
}

/// Logs the view of the engines that moves are based on: the layers without a usable engine, and why the other engines are not used.
fn log_basis(relay: &Relay, service: &str, model: &LayerModel, hosts: &[Host], moves: &[Move]) {
    if moves.is_empty() {
        return;
    }
    let usable: Vec<&Host> = hosts
        .iter()
        .filter(|host| host.presence == Presence::Usable)
        .collect();
    let is_held = |layer: &u32| usable.iter().any(|host| host.layers.contains(layer));
    let unheld = (0..model.layers).filter(|layer| !is_held(layer)).count();
    let fleet = relay.fleet.borrow();
    let absent = fleet.of_service(service).filter_map(|(_, engine)| {
        let absence = engine.absence()?;
        let (id, layers) = (&engine.entry.id, &engine.entry.layers);
        Some(format!("{id}={layers:?} {}", absence.describe(relay.now())))
    });
    let absent = absent.take(MAX_ABSENT_LOGGED).collect::<Vec<String>>();
    log::info!(event = "placement", service = service, engines = usable.len(), unheld_layers = unheld, moves = moves.len(), absent = &*absent.join(", "); "planned changes of the placement");
}

async fn send_orders<O: Orders>(
    relay: &Relay,
    role: &StewardRole,
    orders: &O,
    pending: &mut HashMap<EngineKey, Pending>,
    moves: Vec<Move>,
) {
    let mut sent = Vec::new();
    for placed in moves {
        let engine = relay.fleet.borrow().get(placed.engine).cloned();
        let Some(engine) = engine else {
            continue;
        };
        if pending.contains_key(&placed.engine) || !engine.accepts_requests(relay.now()) {
            continue;
        }
        let Some(permit) = role.borrow().permit(relay.now()) else {
            continue;
        };
        let sent_at = relay.now();
        sent.push(async move {
            let EngineReply { answer, statement } = orders.place(&engine, &placed, permit).await;
            relay.apply_statement(&engine.entry.run(), statement, sent_at);
            if answer == OrderAnswer::Superseded && role.borrow_mut().superseded(permit) {
                log::info!(event = "superseded", target = &*engine.entry.id, token:? = permit.token(); "another box has become the steward");
            }
            relay.count(|tally| tally.orders_given += 1);
            log::info!(event = "order", target = &*engine.entry.id, layers:? = placed.layers, give_up:? = placed.give_up, held:? = engine.entry.layers, answer:? = answer; "ordered an engine to load layers");
            (placed, answer)
        });
    }
    for (placed, answer) in futures::future::join_all(sent).await {
        let timeout = match answer {
            OrderAnswer::Begun | OrderAnswer::Holds => ORDER_TIMEOUT,
            OrderAnswer::Lost => LOST_ORDER_TIMEOUT,
            OrderAnswer::Conflict
            | OrderAnswer::Superseded
            | OrderAnswer::Occupied
            | OrderAnswer::Unwilling
            | OrderAnswer::Refused(_) => PLAN_INTERVAL * 4,
        };
        let order = Pending {
            layers: placed.layers,
            until: relay.now() + timeout,
        };
        pending.insert(placed.engine, order);
    }
}
