//! Requests that are stopped, as the store keeps them.
//!
//! Boxes tell each other of such requests; the store is for the case that all of them start again at once. Without it each
//! request would cost engines anew.

use std::rc::Rc;

use super::dependency::Dependency;
use super::pause::Pause;
use crate::relay::Relay;
use crate::store::{Store, SuspectChange};

/// Requests dropped from the store by one box when it starts, of those whose time is over.
const MOST_DROPPED: usize = 64;

/// Take over once what is kept, if this box reads the store, and keep what this box finds from then on.
pub async fn suspects<S: Store>(relay: Rc<Relay>, store: S) {
    tokio::join!(take_over(&relay, &store), keep(&relay, &store));
}

async fn take_over<S: Store>(relay: &Relay, store: &S) {
    let mut pause = Pause::new();
    let mut dependency = Dependency::new("suspects");
    relay.until_direct().await;
    let kept = loop {
        match store.suspects().await {
            Ok(kept) => break kept,
            Err(err) => dependency.lost(relay, &err),
        }
        pause.wait(relay).await;
    };
    dependency.regained(relay.now());
    let (over, kept): (Vec<_>, Vec<_>) = kept.into_iter().partition(|told| told.life.is_zero());
    relay.take_over_suspects(&kept);
    let over = over.iter().take(MOST_DROPPED);
    let drops: Vec<SuspectChange> = over
        .map(|told| SuspectChange::Drop(told.fingerprint))
        .collect();
    if drops.is_empty() {
        return;
    }
    // The next box that starts does it otherwise.
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
