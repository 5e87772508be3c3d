//! Targets whose entries are missing, and those that take no connections.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::relay::Relay;

/// Time between two looks at targets whose entries are missing: a small part of the time in which a
/// target that left must be left alone.
const MISSING_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two questions to a dead target. One that crashed restarts as another run, so only one
/// that was cut off comes back.
const AWAY_INTERVAL: Duration = Duration::from_millis(700);

/// Drop targets whose entries stay away, until the process ends.
pub async fn targets_missing(relay: Rc<Relay>) {
    loop {
        sleep(MISSING_INTERVAL).await;
        relay.drop_missing();
    }
}

/// Ask dead targets whether they are back, until the process ends. All are asked at once: each that is
/// cut off takes as long as a question may.
pub async fn targets_dead(relay: Rc<Relay>) {
    loop {
        sleep(AWAY_INTERVAL).await;
        let dead = relay.fleet.borrow().dead();
        futures::future::join_all(dead.into_iter().map(|key| relay.ask_dead(key))).await;
    }
}
