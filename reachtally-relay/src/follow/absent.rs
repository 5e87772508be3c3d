//! Targets whose entries are missing, and those that take no connections.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::relay::Relay;

/// Time between two looks at targets whose entries are missing: a small part of the time in which a
/// target that left must be left alone.
const MISSING_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two looks at dead targets and unreachable failure domains.
const AWAY_INTERVAL: Duration = Duration::from_millis(700);

/// Drop targets whose entries stay away, until the process ends.
pub async fn targets_missing(relay: Rc<Relay>) {
    loop {
        sleep(MISSING_INTERVAL).await;
        relay.remove_missing();
    }
}

/// Checks failure domains that may be unreachable, and probes dead targets and unreachable domains, until the process ends.
pub async fn targets_dead(relay: Rc<Relay>) {
    let probing = async {
        loop {
            sleep(AWAY_INTERVAL).await;
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
