//! Persistence of quarantined requests in the store.
//!
//! Boxes exchange quarantined requests by gossip; the store covers a simultaneous restart of all boxes, after which each of these
//! requests would crash engines again.

use std::rc::Rc;

use reachtally_core::forward::quarantine::SuspectReport;

use super::dependency::Dependency;
use super::pause::Backoff;
use crate::relay::Relay;
use crate::store::{Store, SuspectChange};

/// Maximum number of expired requests that a box removes from the store at a time.
const MAX_REMOVED: usize = 64;

/// Loads the stored requests while this box reads the store, and persists the requests that it quarantines.
pub async fn suspects<S: Store>(relay: Rc<Relay>, store: S) {
    tokio::join!(load_stored(&relay, &store), persist_changes(&relay, &store));
}

/// Loads the stored requests at the start, and again after each outage of the store: a box that started during the outage may know
/// no other box to learn them from. On the very first start nothing is stored yet, so the load waits until this box reads the
/// store.
async fn load_stored<S: Store>(relay: &Relay, store: &S) {
    let is_first_start = relay.settings.borrow().is_first_start;
    if is_first_start {
        relay.until_direct().await;
    }
    loop {
        let stored = read_stored(relay, store).await;
        let (expired, stored): (Vec<SuspectReport>, Vec<SuspectReport>) = stored
            .into_iter()
            .partition(|suspect| suspect.life.is_zero());
        relay.load_suspects(&stored);
        remove_from_store(store, &expired).await;
        relay.suspicion.store_back.notified().await;
        relay.until_direct().await;
    }
}

/// Reads the stored requests, with retries until the store answers.
async fn read_stored<S: Store>(relay: &Relay, store: &S) -> Vec<SuspectReport> {
    let mut backoff = Backoff::new();
    let mut dependency = Dependency::new("suspects");
    loop {
        match store.suspects().await {
            Ok(stored) => {
                dependency.record_recovery(relay.now());
                return stored;
            }
            Err(err) => dependency.record_loss(relay, &err),
        }
        backoff.wait(relay).await;
    }
}

/// Removes expired requests from the store.
async fn remove_from_store<S: Store>(store: &S, expired: &[SuspectReport]) {
    let removals = expired.iter().take(MAX_REMOVED);
    let removals: Vec<SuspectChange> = removals
        .map(|suspect| SuspectChange::Drop(suspect.fingerprint))
        .collect();
    if removals.is_empty() {
        return;
    }
    // On a failure, the next box that reads them removes them.
    if let Err(err) = store.change_suspects(&removals).await {
        log::debug!(event = "suspects-not-dropped", why:% = err; "failed to remove expired requests from the store");
    }
}

async fn persist_changes<S: Store>(relay: &Relay, store: &S) {
    let mut backoff = Backoff::new();
    let mut dependency = Dependency::new("suspects-kept");
    loop {
        let changes = relay.unsaved_suspects().await;
        match store.change_suspects(&changes).await {
            Ok(()) => {
                relay.mark_suspects_saved(&changes);
                dependency.record_recovery(relay.now());
                backoff.reset();
            }
            Err(err) => {
                dependency.record_loss(relay, &err);
                backoff.wait(relay).await;
            }
        }
    }
}
