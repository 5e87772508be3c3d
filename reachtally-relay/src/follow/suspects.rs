//! Requests that are stopped, as the store keeps them.
//!
//! Boxes tell each other of such requests; the store is for the case that all of them start again at once. Without it each
//! request would cost engines anew.

use std::rc::Rc;

use reachtally_core::forward::quarantine::Told;

use super::dependency::Dependency;
use super::pause::Pause;
use crate::relay::Relay;
use crate::store::{Store, SuspectChange};

/// Requests that one box drops from the store at a time, of those whose time is over.
const MOST_DROPPED: usize = 64;

/// Take over what is kept, while this box reads the store, and keep what this box finds.
pub async fn suspects<S: Store>(relay: Rc<Relay>, store: S) {
    tokio::join!(take_over(&relay, &store), keep(&relay, &store));
}

/// Read what is kept at the start, unless nothing can be kept yet, and again when the store was away: a box that started meanwhile may
/// know no other box that could tell it.
async fn take_over<S: Store>(relay: &Relay, store: &S) {
    let is_first_start = relay.settings.borrow().is_first_start;
    if is_first_start {
        relay.until_direct().await;
    }
    loop {
        let kept = read(relay, store).await;
        let (over, kept): (Vec<Told>, Vec<Told>) =
            kept.into_iter().partition(|told| told.life.is_zero());
        relay.take_over_suspects(&kept);
        drop_from_store(store, &over).await;
        relay.suspicion.store_back.notified().await;
        relay.until_direct().await;
    }
}

/// Read until the store answers.
async fn read<S: Store>(relay: &Relay, store: &S) -> Vec<Told> {
    let mut pause = Pause::new();
    let mut dependency = Dependency::new("suspects");
    loop {
        match store.suspects().await {
            Ok(kept) => {
                dependency.regained(relay.now());
                return kept;
            }
            Err(err) => dependency.lost(relay, &err),
        }
        pause.wait(relay).await;
    }
}

/// Drop requests whose time is over.
async fn drop_from_store<S: Store>(store: &S, over: &[Told]) {
    let drops = over.iter().take(MOST_DROPPED);
    let drops: Vec<SuspectChange> = drops
        .map(|told| SuspectChange::Drop(told.fingerprint))
        .collect();
    if drops.is_empty() {
        return;
    }
    // The next box that reads them does it otherwise.
    if let Err(err) = store.change_suspects(&drops).await {
        log::debug!(event = "suspects-not-dropped", why:% = err; "requests whose time is over stay in the store");
    }
}

async fn keep<S: Store>(relay: &Relay, store: &S) {
    let mut pause = Pause::new();
    let mut dependency = Dependency::new("suspects-kept");
    loop {
        let changes = relay.unkept_suspects().await;
        match store.change_suspects(&changes).await {
            Ok(()) => {
                relay.suspects_kept(&changes);
                dependency.regained(relay.now());
                pause.reset();
            }
            Err(err) => {
                dependency.lost(relay, &err);
                pause.wait(relay).await;
            }
        }
    }
}
