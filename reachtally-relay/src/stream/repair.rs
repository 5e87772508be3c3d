//! Repair of the path of a running stream, which its first engine is asked for when others of its engines are dead.
//!
//! Only new engines read the prompt again, no retry is taken, and the stream goes on within the same answer. So this also serves
//! streams that may not be resumed.

use std::pin::Pin;
use std::time::Duration;

use reachtally_core::forward::fleet::EngineKey;
use reachtally_core::forward::path::Path;
use reachtally_core::forward::select::{self, Choice, Need};

use crate::attempts::Attempts;
use crate::exchange::Recipient;
use crate::relay::Relay;
use crate::serve::Call;
use crate::store::{self, RepairAnswer, Repairing};
use crate::stream::chain::engine_names;
use crate::stream::send;

/// Time for an engine's answer to an order. A stream stands still meanwhile, and resuming it elsewhere takes as long again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest time that a repair takes: two orders.
pub(super) const LONGEST: Duration = Duration::from_millis(350);
/// Most repairs of a stream on one chain.
const MOST_REPAIRS: u32 = 3;
/// Most repairs before the first event: a request may be what ends the engines that read it.
const MOST_REPAIRS_UNREAD: u32 = 1;

/// What an engine answered; `None` if it did not in time.
pub(super) type Told = Option<store::Told<RepairAnswer>>;

/// An order with the time for its answer.
type Order = Pin<Box<tokio::time::Timeout<Repairing>>>;

/// An order under way.
pub(super) struct Repair {
    path: Path,
    /// Tokens that new engines read.
    need: Need,
    choice: Choice,
    dead: Vec<EngineKey>,
    /// Engines that must not take part: dead ones, and the one that a refusal named.
    avoid: Vec<EngineKey>,
    is_second: bool,
    order: Order,
}

/// A repair that the first engine has begun.
pub(super) struct Done {
    /// The new path.
    pub choice: Choice,
    /// Tokens that new engines read.
    pub read: f64,
}

/// How an order went.
pub(super) enum Outcome {
    /// The stream goes on over the new path.
    Repaired(Done),
    /// Another path was ordered.
    Again(Repair),
    /// The path stays, and these engines of it are dead.
    Failed(Vec<EngineKey>),
}

/// Whether the path of a stream with so many repairs and events may be repaired once more.
pub(super) fn may_repair(relay: &Relay, call: &Call, repairs: u32, events: u32) -> bool {
    let most = match events {
        0 => MOST_REPAIRS_UNREAD,
        _ => MOST_REPAIRS,
    };
    repairs < most && !relay.is_quarantined(call)
}

/// Wait for the answer to an order under way; for ever without one.
pub(super) async fn answered(repair: &mut Option<Repair>) -> Told {
    match repair {
        Some(repair) => repair.order.as_mut().await.ok(),
        None => std::future::pending().await,
    }
}

impl Repair {
    /// Order a path without `dead` for a request of which the caller has `events`; `None` without such a path, or if the first engine
    /// takes no orders.
    pub fn begin(
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
        let need = need_after(call, events);
        let (choice, order) = order(relay, call, first, path, need, &avoid)?;
        Some(Repair {
            path: path.clone(),
            need,
            choice,
            dead: dead.to_vec(),
            avoid,
            is_second: false,
            order,
        })
    }

    /// What becomes of the order. After a refusal that names an engine, a path without that is ordered once.
    pub fn judge(
        mut self,
        relay: &Relay,
        call: &Call,
        first: &Recipient,
        told: Told,
        silent_for: Duration,
    ) -> Outcome {
        let answer = told.map_or(RepairAnswer::Lost, |told| {
            relay.target_said(&first.run, told.said);
            told.answer
        });
        let id = &*call.head.id;
        let silent_ms = silent_for.as_millis() as u64;
        if answer == RepairAnswer::Begun {
            relay.count(|tally| tally.streams_repaired += 1);
            let targets = engine_names(relay, &self.choice.path.engines());
            log::info!(event = "repaired", id = id, engines = self.dead.len(), silent_ms = silent_ms, answer:? = answer, expected_ms = self.choice.first.as_millis() as u64, targets = &*targets; "the path of the stream was repaired");
            return Outcome::Repaired(Done {
                choice: self.choice,
                read: self.need.prompt,
            });
        }
        log::info!(event = "not-repaired", id = id, engines = self.dead.len(), silent_ms = silent_ms, answer:? = answer; "the path of the stream was not repaired");
        let Some(named) = self.named(answer).filter(|_| !self.is_second) else {
            return Outcome::Failed(self.dead);
        };
        relay.target_refused(named);
        self.avoid.push(named);
        match order(relay, call, first, &self.path, self.need, &self.avoid) {
            Some((choice, order)) => Outcome::Again(Repair {
                choice,
                order,
                is_second: true,
                ..self
            }),
            None => Outcome::Failed(self.dead),
        }
    }

    /// The engine of the path ordered that an answer blames.
    fn named(&self, answer: RepairAnswer) -> Option<EngineKey> {
        let RepairAnswer::Conflict(Some(address)) = answer else {
            return None;
        };
        let mut parts = self.choice.path.parts().iter();
        let part = parts.find(|part| part.address == address)?;
        Some(part.engine)
    }
}

/// What a request needs of an engine that joins it after `events`.
fn need_after(call: &Call, events: u64) -> Need {
    let need = send::need(call);
    let stride = call
        .service
        .model
        .as_ref()
        .map_or(1.0, |model| model.stride.max(1.0));
    let generated = (events as f64 * stride).min(call.head.most_answer_tokens);
    Need {
        prompt: need.prompt + generated,
        answer: (need.answer - generated).max(1.0),
        ..need
    }
}

/// Choose a path without `avoid` and order it, within the time for an answer.
fn order(
    relay: &Relay,
    call: &Call,
    first: &Recipient,
    path: &Path,
    need: Need,
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
    let order = tokio::time::timeout(ANSWER_TIMEOUT, order);
    Some((choice, Box::pin(order)))
}
