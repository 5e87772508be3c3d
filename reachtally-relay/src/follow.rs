//! Loops that keep the tables like the store: configuration, targets, and the group of boxes.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use reachtally_core::Instant;
use tokio::time::sleep;

use crate::relay::Relay;
use crate::store::{Feed, Store, StoreError, TargetChange};

/// Longest wait of one read of the configuration. A key that was taken away must stop working within
/// some seconds, so several reads must fit into that.
const CONFIG_WAIT: Duration = Duration::from_millis(1200);
/// Time between two reads of the targets' changes: a leaving target must get nothing after two
/// seconds or so, and waiting reads would return at every heartbeat of every target.
const TARGETS_INTERVAL: Duration = Duration::from_millis(600);
/// First and longest pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// How long after the store's return missing entries may still come back.
const LAPSE_WINDOW: Duration = Duration::from_millis(2500);
/// Part of the drain bound that is kept for requests which are on their way.
const DRAIN_MARGIN: Duration = Duration::from_millis(500);
/// How long a box stays in the group without a word.
pub const MEMBER_TTL: Duration = Duration::from_secs(3);
/// Time between two words to the group.
const JOIN_INTERVAL: Duration = Duration::from_secs(1);
/// Most joins between two counts of the boxes.
const JOINS_PER_CENSUS: u32 = 10;

/// A pause that grows with each failure in a row.
struct Pause(Duration);

impl Pause {
    fn new() -> Self {
        Pause(FIRST_PAUSE)
    }

    fn reset(&mut self) {
        self.0 = FIRST_PAUSE;
    }

    async fn wait(&mut self) {
        sleep(self.0).await;
        self.0 = (self.0 * 2).min(LONGEST_PAUSE);
    }
}

/// Logs a dependency's loss and return once each.
struct Dependency {
    name: &'static str,
    lost_at: Option<Instant>,
}

impl Dependency {
    fn new(name: &'static str) -> Self {
        Dependency {
            name,
            lost_at: None,
        }
    }

    fn lost(&mut self, now: Instant, why: &StoreError) {
        if self.lost_at.is_none() {
            log::warn!(event = "lost", dependency = self.name, why:% = why; "a dependency was lost");
            self.lost_at = Some(now);
        }
    }

    fn regained(&mut self, now: Instant) -> bool {
        let Some(at) = self.lost_at.take() else {
            return false;
        };
        log::info!(event = "regained", dependency = self.name, away_ms = now.since(at).as_millis() as u64; "a dependency is back");
        true
    }
}

/// Keep the configuration like the store's.
pub async fn config<S: Store>(relay: Rc<Relay>, store: S) {
    let mut next: Option<u64> = None;
    let mut pause = Pause::new();
    let mut dependency = Dependency::new("configuration");
    loop {
        let began = relay.now();
        let read = match next {
            None => store.config().await,
            Some(offset) => store.config_from(offset, CONFIG_WAIT).await,
        };
        match read {
            Ok(feed) => {
                dependency.regained(relay.now());
                pause.reset();
                let is_known = !feed.items.is_empty() || relay.config().is_some();
                for table in feed.items {
                    relay.apply(table);
                }
                if is_known {
                    relay.confirm(began);
                }
                if next.is_none() && !is_known {
                    sleep(FIRST_PAUSE).await;
                }
                next = Some(feed.next);
            }
            Err(err) => {
                dependency.lost(relay.now(), &err);
                if matches!(err, StoreError::Gone | StoreError::Malformed(_)) {
                    next = None;
                }
                pause.wait().await;
            }
        }
    }
}

/// Keep the targets like the store's.
pub async fn targets<S: Store>(relay: Rc<Relay>, store: S) {
    let mut next: Option<u64> = None;
    let mut pause = Pause::new();
    let mut dependency = Dependency::new("targets");
    let mut back_at: Option<Instant> = None;
    loop {
        let read = read_targets(&relay, &store, next, back_at).await;
        let now = relay.now();
        match read {
            Ok(offset) => {
                if dependency.regained(now) {
                    back_at = Some(now);
                }
                next = Some(offset);
                pause.reset();
            }
            Err(err) => {
                dependency.lost(now, &err);
                if matches!(err, StoreError::Gone | StoreError::Malformed(_)) {
                    next = None;
                }
                pause.wait().await;
                continue;
            }
        }
        drop_missing(&relay, now);
        sleep(TARGETS_INTERVAL).await;
    }
}

async fn read_targets<S: Store>(
    relay: &Relay,
    store: &S,
    next: Option<u64>,
    back_at: Option<Instant>,
) -> Result<u64, StoreError> {
    let Some(offset) = next else {
        let feed = store.targets().await?;
        return Ok(replace_all(relay, feed, back_at));
    };
    let feed = store.targets_from(offset).await?;
    let now = relay.now();
    for change in feed.items {
        match change {
            TargetChange::Wrote(entry) => wrote(relay, entry, now),
            TargetChange::Gone(id) => gone(relay, &id, now, back_at),
        }
    }
    Ok(feed.next)
}

fn replace_all(
    relay: &Relay,
    feed: Feed<reachtally_core::forward::fleet::Entry>,
    back_at: Option<Instant>,
) -> u64 {
    let now = relay.now();
    let known = relay.fleet.borrow().ids();
    let listed: Vec<_> = feed.items.iter().map(|entry| entry.id.clone()).collect();
    for entry in feed.items {
        wrote(relay, entry, now);
    }
    for id in known.iter().filter(|id| !listed.contains(id)) {
        gone(relay, id, now, back_at);
    }
    feed.next
}

fn wrote(relay: &Relay, entry: reachtally_core::forward::fleet::Entry, now: Instant) {
    let shown = entry.clone();
    let (_, changed) = relay.fleet.borrow_mut().upsert(entry, now);
    if changed {
        log::info!(event = "target", target = &*shown.id, address:% = shown.address, draining = shown.draining, layers:? = shown.layers; "a target's entry changed");
    }
}

/// A target's entry is gone: it has left, unless the store was away and took the entry with it.
fn gone(relay: &Relay, id: &str, now: Instant, back_at: Option<Instant>) {
    let may_lapse = back_at.is_some_and(|at| now.since(at) < LAPSE_WINDOW);
    log::info!(event = "target-gone", target = id, may_lapse = may_lapse; "a target's entry is gone");
    let mut fleet = relay.fleet.borrow_mut();
    match may_lapse {
        true => fleet.miss(id, now),
        false => drop(fleet.remove(id)),
    }
}

/// Drop targets whose entries did not come back.
fn drop_missing(relay: &Relay, now: Instant) {
    let patience = relay
        .settings
        .borrow()
        .drain_within
        .saturating_sub(DRAIN_MARGIN);
    let mut fleet = relay.fleet.borrow_mut();
    for id in fleet.missing(now, patience) {
        fleet.remove(&id);
    }
}

/// This box's place in the group.
#[derive(Debug, Default)]
pub struct Tenure {
    /// Until when it may act as the steward.
    pub steward_until: Cell<Option<Instant>>,
}

/// Taken off a tenure for clocks that run at different rates and orders under way.
const TENURE_MARGIN: Duration = Duration::from_millis(700);

impl Tenure {
    /// Whether this box is the steward.
    pub fn is_steward(&self, now: Instant) -> bool {
        self.steward_until.get().is_some_and(|until| now < until)
    }
}

/// Stay in the group of boxes, and count them.
pub async fn group<S: Store>(relay: Rc<Relay>, store: S, tenure: Rc<Tenure>) {
    let mut generation = 0;
    let mut joins = 0;
    let mut dependency = Dependency::new("group");
    while !relay.is_leaving() {
        let began = relay.now();
        match store.join(MEMBER_TTL, generation).await {
            Ok(membership) => {
                dependency.regained(relay.now());
                let was_steward = tenure.is_steward(began);
                let until = began + MEMBER_TTL.saturating_sub(TENURE_MARGIN);
                tenure
                    .steward_until
                    .set(membership.is_steward.then_some(until));
                if was_steward != membership.is_steward {
                    log::info!(event = "steward", is_steward = membership.is_steward, generation = membership.generation; "the steward's part changed hands");
                }
                joins += 1;
                if membership.generation != generation || joins >= JOINS_PER_CENSUS {
                    joins = 0;
                    count_boxes(&relay, &store).await;
                }
                generation = membership.generation;
            }
            Err(err) => dependency.lost(relay.now(), &err),
        }
        sleep(JOIN_INTERVAL).await;
    }
    tenure.steward_until.set(None);
}

async fn count_boxes<S: Store>(relay: &Relay, store: &S) {
    match store.members().await {
        Ok(members) => {
            let before = relay.members.replace(members).len();
            let boxes = relay.members.borrow().len();
            if before != boxes {
                log::info!(event = "boxes", boxes = boxes, before = before; "the number of boxes changed");
            }
        }
        Err(err) => log::info!(event = "census-failed", why:% = err; "the boxes were not counted"),
    }
}
