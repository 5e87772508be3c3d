//! Synchronization of the configuration with the store.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use reachtally_core::Instant;
use reachtally_core::forward::era::Position;
use tokio::time::sleep;

use super::dependency::Dependency;
use super::pause::{Backoff, INITIAL_DELAY};
use crate::relay::Relay;
use crate::startup::Milestone;
use crate::store::{Feed, Offset, Store, StoreError};

/// Minimum wait of a read of the configuration while the store is slow. What a read confirms is as old as the read takes, so the
/// wait is reduced by the latency of the store.
const MIN_CONFIG_WAIT: Duration = Duration::from_millis(50);

/// Keeps the configuration in sync with the store while this box reads the store itself.
pub async fn config<S: Store>(relay: Rc<Relay>, store: S) {
    let mut next: Option<Position> = None;
    let mut backoff = Backoff::new();
    let mut dependency = Dependency::new("configuration");
    let mut wait = relay.rhythm().config_wait;
    // Whether the last read failed, or this box has not read for some time. The next read then does not wait for a change: until
    // it returns, nothing is confirmed.
    let mut is_behind = true;
    loop {
        is_behind |= !relay.is_direct();
        relay.until_direct().await;
        let started_at = relay.now();
        let read = match next {
            None => store.config().await,
            Some(from) if is_behind => store.config_from(Offset(from.offset), Duration::ZERO).await,
            Some(from) => store.config_from(Offset(from.offset), wait).await,
        };
        if !is_behind && read.as_ref().is_ok_and(|feed| feed.items.is_empty()) {
            wait = next_wait(
                relay.now().since(started_at),
                wait,
                relay.rhythm().config_wait,
            );
        }
        let is_first = next.is_none();
        is_behind = read.is_err();
        let applied = read.and_then(|feed| apply_config(&relay, feed, next, started_at));
        relay
            .is_store_unreachable
            .set(applied.is_err() && relay.is_direct());
        match applied {
            Ok(position) => {
                if dependency.record_recovery(relay.now()) {
                    relay.suspicion.store_back.notify_one();
                }
                backoff.reset();
                next = Some(position);
                if is_first && relay.configuration.table().is_none() {
                    sleep(INITIAL_DELAY).await;
                }
            }
            // Here and where records are gone, the backoff restarts at its initial delay. The store answers again, so with the delay
            // that has grown during the outage, writes after a restore from a copy would be read a second later than after a plain
            // outage. Without any delay, a store whose epoch changes with each answer would be called in a busy loop.
            Err(StoreError::EraChanged) => {
                next = None;
                backoff.reset();
                backoff.wait(&relay).await;
            }
            Err(err) => {
                dependency.record_loss(&relay, &err);
                if err == StoreError::Gone {
                    backoff.reset();
                }
                if err.needs_newest() {
                    next = None;
                }
                backoff.wait(&relay).await;
            }
        }
    }
}

/// Returns the wait of the next read, after a read with the wait `wait` that returned no changes after `took`.
fn next_wait(took: Duration, wait: Duration, max: Duration) -> Duration {
    let latency = took.saturating_sub(wait);
    max.saturating_sub(latency).max(MIN_CONFIG_WAIT)
}

/// Applies the result of a read from `from` that started at `started_at`; returns the position of the next read.
fn apply_config(
    relay: &Relay,
    feed: Feed<Bytes>,
    from: Option<Position>,
    started_at: Instant,
) -> Result<Position, StoreError> {
    relay.reach(Milestone::Source);
    let next = relay.position_after(&feed, started_at)?;
    if from.is_some_and(|from| from.era != next.era) {
        return Err(StoreError::EraChanged);
    }
    for raw in &feed.items {
        relay.publish(raw).map_err(StoreError::Malformed)?;
    }
    if from.is_some() && !feed.items.is_empty() {
        relay.note_configured(next.era);
    }
    let is_newest = feed.is_complete && !relay.may_lack_configuration();
    if relay.configuration.table().is_some() && is_newest {
        relay.configuration.confirm(started_at);
        relay.reach(Milestone::Confirmation);
    }
    Ok(next)
}
