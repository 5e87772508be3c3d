//! Engines that turned slow: where a stream goes much slower than expected, its engines are asked.
//!
//! An engine that is slow makes all engines of its path look slow, so only itself can tell. What it
//! told goes to the other boxes with the load reports.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::fleet::{Engine, EngineKey};

use crate::relay::Relay;
use crate::store::{Orders, Told};

/// Least time between two questions to an engine. Each takes a little of its time.
const ASK_INTERVAL: Duration = Duration::from_millis(1000);
/// Most engines asked at a time.
const MOST_ASKED: usize = 16;
/// Factor from which an engine's answer is logged.
const SLOW: f64 = 1.3;

/// Ask suspected engines until the process ends.
pub async fn run<O: Orders>(relay: Rc<Relay>, orders: O) {
    let mut asked: HashMap<EngineKey, Instant> = HashMap::new();
    let mut slow = relay.slow_engines();
    loop {
        let mut keys = slow.recv().await;
        let now = relay.now();
        asked.retain(|_, at| now.since(*at) < ASK_INTERVAL);
        keys.retain(|key| !asked.contains_key(key) && is_unknown(&relay, *key));
        keys.truncate(MOST_ASKED);
        asked.extend(keys.iter().map(|key| (*key, now)));
        let asking = keys.into_iter().map(|key| ask(&relay, &orders, key));
        futures::future::join_all(asking).await;
    }
}

/// Whether nothing is known of an engine's pace yet, and it may be asked.
fn is_unknown(relay: &Relay, key: EngineKey) -> bool {
    let fleet = relay.fleet.borrow();
    let is_known =
        |engine: &Engine| engine.remote_pace.is_some() || engine.own_pace(relay.now()).is_some();
    let is_limited = |engine: &Engine| engine.notice.limit().is_some();
    let is_asked = |engine: &Engine| {
        !is_known(engine) && !is_limited(engine) && engine.accepts_requests(relay.now())
    };
    fleet.get(key).is_some_and(is_asked)
}

async fn ask<O: Orders>(relay: &Relay, orders: &O, key: EngineKey) {
    let Some(engine) = relay.fleet.borrow().get(key).cloned() else {
        return;
    };
    let Told { answer, said } = orders.pace(&engine).await;
    relay.target_said(&engine.entry.run(), said);
    let Some(pace) = answer else {
        return;
    };
    if pace >= SLOW {
        log::info!(event = "target-slow", target = &*engine.entry.id, address:% = engine.entry.address, pace = pace; "a target takes longer than it should");
    }
    let now = relay.now();
    if let Some(engine) = relay.fleet.borrow_mut().get_mut(key) {
        engine.told_pace(pace, now);
    }
}
