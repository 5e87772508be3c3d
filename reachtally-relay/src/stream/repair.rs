//! Repair of the path of a running stream: the first engine is ordered to use a new path if other engines of the chain are dead.
//!
//! Only new engines process the prompt again, no retry is consumed, and the stream continues within the same answer. So repairs
//! also work for streams that must not be resumed.

use std::pin::Pin;
use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::fleet::EngineKey;
use reachtally_core::forward::path::Path;
use reachtally_core::forward::select::{self, Choice, Requirements};

use crate::attempts::Attempts;
use crate::exchange::Recipient;
use crate::relay::Relay;
use crate::serve::Call;
use crate::store::{self, RepairAnswer, RepairFuture};
use crate::stream::chain::engine_names;
use crate::stream::send;

/// Timeout of an order. The stream stalls meanwhile, and resuming it on another chain afterwards takes as long again.
const ORDER_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum duration of a repair, which takes up to two orders.
pub(super) const MAX_DURATION: Duration = Duration::from_millis(350);
/// Maximum number of repairs of a stream on one chain.
const MAX_REPAIRS: u32 = 3;
/// Maximum number of repairs before the first event, since the request itself may crash the engines that process its prompt.
const MAX_REPAIRS_BEFORE_FIRST_EVENT: u32 = 1;

/// The answer of an engine to an order; `None` after a timeout.
pub(super) type Answer = Option<store::EngineReply<RepairAnswer>>;

/// A pending order with its timeout.
type Order = Pin<Box<tokio::time::Timeout<RepairFuture>>>;

/// A pending repair.
pub(super) struct Repair {
    path: Path,
    /// What the request needs of new engines.
    need: Requirements,
    choice: Choice,
    dead: Vec<EngineKey>,
    /// Excluded engines: dead ones, and the one that a refusal blamed.
    avoid: Vec<EngineKey>,
    is_retry: bool,
    ordered_at: Instant,
    order: Order,
}

/// A repair that the first engine has accepted.
pub(super) struct AcceptedRepair {
    /// The new path.
    pub choice: Choice,
    /// Prompt tokens that new engines process.
    pub read: f64,
}

/// The outcome of an order.
pub(super) enum Outcome {
    /// The stream continues over the new path.
    Repaired(AcceptedRepair),
    /// Another path was ordered.
    Retry(Repair),
    /// The path is unchanged, and these engines of it are dead.
    Failed(Vec<EngineKey>),
}

/// Whether the path of a stream with this many repairs and events may be repaired once more.
pub(super) fn may_repair(relay: &Relay, call: &Call, repairs: u32, events: u32) -> bool {
    let max = match events {
        0 => MAX_REPAIRS_BEFORE_FIRST_EVENT,
        _ => MAX_REPAIRS,
    };
    repairs < max && !relay.is_quarantined(call)
}

/// Waits for the answer to a pending order; never returns without one.
pub(super) async fn wait_for_answer(repair: &mut Option<Repair>) -> Answer {
    match repair {
        Some(repair) => repair.order.as_mut().await.ok(),
        None => std::future::pending().await,
    }
}

impl Repair {
    /// Orders a path without `dead` for a request of which the caller has received `events`. Returns `None` if there is no such path
    /// or the first engine accepts no orders.
    pub fn start(
        relay: &Relay,
        call: &Call,
        attempts: &Attempts,
        first: &Recipient,
        path: &Path,
        events: u64,
        dead: &[EngineKey],
    ) -> Option<Self> {
        let mut avoid = attempts.avoid.clone();
        avoid.extend_from_slice(dead);
        let need = remaining_need(call, events);
        let (choice, order) = order(relay, call, first, path, need, &avoid)?;
        Some(Repair {
            path: path.clone(),
            need,
            choice,
            dead: dead.to_vec(),
            avoid,
            is_retry: false,
            ordered_at: relay.now(),
            order,
        })
    }

    /// Handles the answer to the order. After a refusal that blames an engine, orders a path without that engine once.
    pub fn finish(
        mut self,
        relay: &Relay,
        call: &Call,
        first: &Recipient,
        answer: Answer,
        silent_for: Duration,
    ) -> Outcome {
        let answer = answer.map_or(RepairAnswer::Lost, |answer| {
            relay.apply_statement(&first.run, answer.statement, self.ordered_at);
            answer.answer
        });
        let id = &*call.head.id;
        let silent_ms = silent_for.as_millis() as u64;
        if answer == RepairAnswer::Begun {
            relay.count(|tally| tally.streams_repaired += 1);
            let targets = engine_names(relay, &self.choice.path.engines());
            log::info!(event = "repaired", id = id, engines = self.dead.len(), silent_ms = silent_ms, answer:? = answer, expected_ms = self.choice.first.as_millis() as u64, targets = &*targets; "the path of the stream was repaired");
            return Outcome::Repaired(AcceptedRepair {
                choice: self.choice,
                read: self.need.prompt,
            });
        }
        log::info!(event = "not-repaired", id = id, engines = self.dead.len(), silent_ms = silent_ms, answer:? = answer; "the path of the stream was not repaired");
        let Some(blamed) = self.blamed_engine(answer).filter(|_| !self.is_retry) else {
            return Outcome::Failed(self.dead);
        };
        relay.target_refused(blamed);
        self.avoid.push(blamed);
        match order(relay, call, first, &self.path, self.need, &self.avoid) {
            Some((choice, order)) => Outcome::Retry(Repair {
                choice,
                order,
                is_retry: true,
                ordered_at: relay.now(),
                ..self
            }),
            None => Outcome::Failed(self.dead),
        }
    }

    /// Returns the engine of the ordered path that the answer blames.
    fn blamed_engine(&self, answer: RepairAnswer) -> Option<EngineKey> {
        let RepairAnswer::Conflict(Some(address)) = answer else {
            return None;
        };
        let mut parts = self.choice.path.parts().iter();
        let part = parts.find(|part| part.address == address)?;
        Some(part.engine)
    }
}

/// Returns what a request needs of an engine that joins its path after `events`.
fn remaining_need(call: &Call, events: u64) -> Requirements {
    let need = send::need(call);
    let stride = call
        .service
        .model
        .as_ref()
        .map_or(1.0, |model| model.stride.max(1.0));
    let generated = (events as f64 * stride).min(call.head.max_answer_tokens);
    Requirements {
        prompt: need.prompt + generated,
        answer: (need.answer - generated).max(1.0),
        ..need
    }
}

/// Selects a path without `avoid` and orders it.
fn order(
    relay: &Relay,
    call: &Call,
    first: &Recipient,
    path: &Path,
    need: Requirements,
    avoid: &[EngineKey],
) -> Option<(Choice, Order)> {
    let repairs = relay.wire.repairs()?;
    let model = call.service.model.as_ref()?;
    let settings = relay.settings.borrow();
    let fleet = relay.fleet.borrow();
    let engine = fleet.get(first.key)?;
    if !engine.accepts_requests(relay.now()) {
        return None;
    }
    let cx = relay.circumstance(&settings, avoid, call.draw);
    let choice = select::repair(&fleet, &call.service_name, model, need, &cx, path, &[])?;
    let order = repairs.repair(first.address, &call.head.id, &choice.path);
    let order = tokio::time::timeout(ORDER_TIMEOUT, order);
    Some((choice, Box::pin(order)))
}
