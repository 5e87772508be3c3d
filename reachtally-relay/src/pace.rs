//! Detects slow engines by querying those of streams that run much slower than expected.
//!
//! A slow engine makes all engines of its path look slow, so only the engine itself knows its slowdown. The
//! results are sent to the other boxes with the load reports.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::fleet::{Engine, EngineKey};

use crate::relay::Relay;
use crate::store::{EngineReply, Orders};

/// Minimum time between two queries of an engine, since each costs the engine some time.
const MIN_QUERY_INTERVAL: Duration = Duration::from_millis(1000);
/// Maximum number of engines queried at once.
const MAX_QUERIES: usize = 16;
/// Slowdown factor from which a result is logged.
const SLOW: f64 = 1.3;

/// Queries engines that may be slow until the process exits.
pub async fn run<O: Orders>(relay: Rc<Relay>, orders: O) {
    let mut queried_at: HashMap<EngineKey, Instant> = HashMap::new();
    let mut slow = relay.slow_engines();
    loop {
        let mut keys = slow.recv().await;
        let now = relay.now();
        queried_at.retain(|_, at| now.since(*at) < MIN_QUERY_INTERVAL);
        keys.retain(|key| !queried_at.contains_key(key) && should_query(&relay, *key));
        keys.truncate(MAX_QUERIES);
        queried_at.extend(keys.iter().map(|key| (*key, now)));
        let queries = keys.into_iter().map(|key| query(&relay, &orders, key));
        futures::future::join_all(queries).await;
    }
}

/// Returns whether the slowdown of an engine is unknown and the engine may be queried.
fn should_query(relay: &Relay, key: EngineKey) -> bool {
    let fleet = relay.fleet.borrow();
    let is_known = |engine: &Engine| {
        engine.remote_slowdown.is_some() || engine.own_slowdown(relay.now()).is_some()
    };
    let is_limited = |engine: &Engine| engine.notice.limit().is_some();
    let is_eligible = |engine: &Engine| {
        !is_known(engine) && !is_limited(engine) && engine.accepts_requests(relay.now())
    };
    fleet.get(key).is_some_and(is_eligible)
}

async fn query<O: Orders>(relay: &Relay, orders: &O, key: EngineKey) {
    let Some(engine) = relay.fleet.borrow().get(key).cloned() else {
        return;
    };
    let asked_at = relay.now();
    let EngineReply { answer, statement } = orders.pace(&engine).await;
    relay.apply_statement(&engine.entry.run(), statement, asked_at);
    let Some(pace) = answer else {
        return;
    };
    if pace >= SLOW {
        log::info!(event = "target-slow", target = &*engine.entry.id, address:% = engine.entry.address, pace = pace; "target reports that it runs slower than expected");
    }
    let now = relay.now();
    if let Some(engine) = relay.fleet.borrow_mut().get_mut(key) {
        engine.record_slowdown(pace, now);
    }
}
