//! Loops for targets whose entries are missing, and for targets that do not accept connections.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::relay::Relay;

/// Interval at which targets with missing entries are checked; a fraction of the time within which a box must stop sending requests
/// to a target that left.
const MISSING_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which dead targets and unreachable failure domains are probed.
const DEAD_PROBE_INTERVAL: Duration = Duration::from_millis(700);

/// Removes targets whose entries stay missing, for the lifetime of the process.
pub async fn watch_missing_targets(relay: Rc<Relay>) {
    loop {
        sleep(MISSING_CHECK_INTERVAL).await;
        relay.remove_missing();
    }
}

/// Checks failure domains that may be unreachable, and probes dead targets and unreachable domains, for the lifetime of the
/// process.
pub async fn watch_dead_targets(relay: Rc<Relay>) {
    let probing = async {
        loop {
            sleep(DEAD_PROBE_INTERVAL).await;
            tokio::join!(relay.probe_dead_targets(), relay.probe_unreachable());
        }
    };
    let checking = async {
        loop {
            relay.domain_checks.suspected().await;
            relay.check_domains().await;
        }
    };
    tokio::join!(probing, checking);
}
