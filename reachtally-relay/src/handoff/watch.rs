//! Keeps track of services that this box can't serve, and of boxes that serve them.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::handoff::send::offer;
use crate::relay::Relay;

/// Interval of the checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of boxes that are asked about a service in one check.
const MAX_ASKED: usize = 3;

/// Checks which services this box can't serve and asks other boxes whether they do, for the lifetime of the process.
pub async fn watch(relay: Rc<Relay>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let unserved = relay.unserved_services();
        relay.handoffs.unserved.replace(unserved.clone());
        relay
            .handoffs
            .peers
            .borrow_mut()
            .remove_expired(relay.now());
        for service in &unserved {
            ask_boxes(&relay, service).await;
        }
    }
}

/// Asks some boxes whose state is unknown. An offer without a request is such a question.
async fn ask_boxes(relay: &Relay, service: &Arc<str>) {
    let unknown = {
        let peers = relay.handoffs.peers.borrow();
        let now = relay.now();
        let mut candidates = relay.candidates();
        candidates.retain(|candidate| peers.is_unknown(candidate.ip, service, now));
        candidates.sort_by_key(|candidate| !candidate.is_local);
        candidates
    };
    let offers = unknown.iter().take(MAX_ASKED);
    let offers = offers.map(|candidate| offer(relay, service, 0, candidate.ip));
    futures::future::join_all(offers).await;
}
