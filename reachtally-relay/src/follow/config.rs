//! The configuration, as the store has it.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use reachtally_core::Instant;
use reachtally_core::forward::era::Position;
use tokio::time::sleep;

use super::dependency::Dependency;
use super::pause::{FIRST_PAUSE, Pause};
use crate::relay::Relay;
use crate::store::{Feed, Offset, Store, StoreError};

/// Shortest wait of a read of the configuration while the store is slow. What a read confirms is as old as the read is
/// long, so a slow answer leaves less time to wait.
const LEAST_CONFIG_WAIT: Duration = Duration::from_millis(50);

/// Keep the configuration like the store's, while this box reads the store itself.
pub async fn config<S: Store>(relay: Rc<Relay>, store: S) {
    let mut next: Option<Position> = None;
    let mut pause = Pause::new();
    let mut dependency = Dependency::new("configuration");
    let mut wait = relay.rhythm().config_wait;
    loop {
        relay.until_direct().await;
        let began = relay.now();
        let read = match next {
            None => store.config().await,
            Some(from) => store.config_from(Offset(from.offset), wait).await,
        };
        if read.as_ref().is_ok_and(|feed| feed.items.is_empty()) {
            wait = next_wait(relay.now().since(began), wait, relay.rhythm().config_wait);
        }
        let is_first = next.is_none();
        let taken = read.and_then(|feed| take_config(&relay, feed, next, began));
        relay.store_away.set(taken.is_err());
        match taken {
            Ok(position) => {
                if dependency.regained(relay.now()) {
                    relay.suspicion.store_back.notify_one();
                }
                pause.reset();
                next = Some(position);
                if is_first && relay.configuration.table().is_none() {
                    sleep(FIRST_PAUSE).await;
                }
            }
            // The shortest pause, here and where records are gone: the store answers again, but one whose era changes with each
            // answer must not be asked without end. With the pause that had grown while it was away, what was written after its
            // return from a copy would be read a second later than after an outage.
            Err(StoreError::EraChanged) => {
                next = None;
                pause.reset();
                pause.wait(&relay).await;
            }
            Err(err) => {
                dependency.lost(&relay, &err);
                if err == StoreError::Gone {
                    pause.reset();
                }
                if err.needs_newest() {
                    next = None;
                }
                pause.wait(&relay).await;
            }
        }
    }
}

/// How long the next read may wait after one that waited for `wait` in vain and `took` this long.
fn next_wait(took: Duration, wait: Duration, longest: Duration) -> Duration {
    let latency = took.saturating_sub(wait);
    longest.saturating_sub(latency).max(LEAST_CONFIG_WAIT)
}

/// Put in force what a read from `from` on, which began at `began`, yielded; yields where to read on.
fn take_config(
    relay: &Relay,
    feed: Feed<Bytes>,
    from: Option<Position>,
    began: Instant,
) -> Result<Position, StoreError> {
    let next = relay.position_after(&feed, began)?;
    if from.is_some_and(|from| from.era != next.era) {
        return Err(StoreError::EraChanged);
    }
    for raw in &feed.items {
        relay.publish(raw).map_err(StoreError::Malformed)?;
    }
    if from.is_some() && !feed.items.is_empty() {
        relay.note_configured(next.era);
    }
    if relay.configuration.table().is_some() && !relay.may_lack_configuration() {
        relay.configuration.confirm(began);
    }
    Ok(next)
}
