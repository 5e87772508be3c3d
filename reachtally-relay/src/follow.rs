//! Loops that keep the tables like the store: configuration and targets.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use reachtally_core::Instant;
use tokio::time::sleep;

use crate::relay::Relay;
use crate::store::{Feed, Store, StoreError, TargetChange};

/// Longest wait of one read of the configuration. Other boxes rely on this one's reads, and must notice
/// within a second or so that they fail: a change must be in force everywhere within two.
const CONFIG_WAIT: Duration = Duration::from_millis(500);
/// Time between two reads of the targets' changes: a leaving target must get nothing after two
/// seconds or so, and waiting reads would return at every heartbeat of every target.
const TARGETS_INTERVAL: Duration = Duration::from_millis(400);
/// First and longest pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause of a box beside the reader of its failure domain, which learns from that one of the
/// store's return.
const LONGEST_PAUSE_BESIDE: Duration = Duration::from_millis(2500);
/// How long after the store's return missing entries may still come back.
const LAPSE_WINDOW: Duration = Duration::from_millis(2500);
/// Failed reads in a row after which the targets are left to the reads of the configuration, which fail
/// too. A single one may be a lost packet.
const FAILURES_AWAY: u32 = 3;
/// Time between two looks whether the store is back.
const AWAY_PAUSE: Duration = Duration::from_millis(100);
/// After a pause this long in reading, a new list is cheaper than the heartbeats since.
const LONGEST_GAP: Duration = Duration::from_secs(3);

/// A pause that grows with each failure in a row.
struct Pause(Duration);

impl Pause {
    fn new() -> Self {
        Pause(FIRST_PAUSE)
    }

    fn reset(&mut self) {
        self.0 = FIRST_PAUSE;
    }

    async fn wait(&mut self, relay: &Relay) {
        sleep(self.0).await;
        let longest = match relay.is_reader.get() {
            true => LONGEST_PAUSE,
            false => LONGEST_PAUSE_BESIDE,
        };
        self.0 = (self.0 * 2).min(longest);
    }
}

/// Logs a dependency's loss and return once each.
pub(crate) struct Dependency {
    name: &'static str,
    lost_at: Option<Instant>,
}

impl Dependency {
    pub(crate) fn new(name: &'static str) -> Self {
        Dependency {
            name,
            lost_at: None,
        }
    }

    pub(crate) fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    pub(crate) fn lost(&mut self, relay: &Relay, why: &StoreError) {
        relay.count(|tally| tally.store_reads_failed += 1);
        let now = relay.now();
        if self.lost_at.is_none() {
            log::warn!(event = "lost-dependency", dependency = self.name, why:% = why; "a dependency was lost");
            self.lost_at = Some(now);
        }
    }

    pub(crate) fn regained(&mut self, now: Instant) -> bool {
        let Some(at) = self.lost_at.take() else {
            return false;
        };
        log::info!(event = "regained", dependency = self.name, away_ms = now.since(at).as_millis() as u64; "a dependency is back");
        true
    }
}

/// Keep the configuration like the store's, while this box reads the store itself.
pub async fn config<S: Store>(relay: Rc<Relay>, store: S) {
    let mut next: Option<u64> = None;
    let mut pause = Pause::new();
    let mut dependency = Dependency::new("configuration");
    loop {
        relay.until_direct().await;
        let began = relay.now();
        let read = match next {
            None => store.config().await,
            Some(offset) => store.config_from(offset, CONFIG_WAIT).await,
        };
        let is_first = next.is_none();
        let taken = read.and_then(|feed| take_config(&relay, feed, began));
        relay.store_away.set(taken.is_err());
        match taken {
            Ok(offset) => {
                dependency.regained(relay.now());
                pause.reset();
                next = Some(offset);
                if is_first && relay.config().is_none() {
                    sleep(FIRST_PAUSE).await;
                }
            }
            Err(err) => {
                dependency.lost(&relay, &err);
                if matches!(err, StoreError::Gone | StoreError::Malformed(_)) {
                    next = None;
                }
                pause.wait(&relay).await;
            }
        }
    }
}

/// Put in force what a read that began at `began` yielded; yields where to read on.
fn take_config(relay: &Relay, feed: Feed<Bytes>, began: Instant) -> Result<u64, StoreError> {
    for raw in &feed.items {
        relay.publish(raw).map_err(StoreError::Malformed)?;
    }
    if relay.config().is_some() {
        relay.confirm(began);
    }
    Ok(feed.next)
}

/// Keep the targets like the store's, while this box reads the store itself.
pub async fn targets<S: Store>(relay: Rc<Relay>, store: S) {
    let mut next: Option<u64> = None;
    let mut pause = Pause::new();
    let mut dependency = Dependency::new("targets");
    let mut back_at: Option<Instant> = None;
    let mut read_at = relay.now();
    let mut failures = 0;
    loop {
        relay.until_direct().await;
        if relay.store_away.get() && failures >= FAILURES_AWAY {
            // The reads of the configuration will show the store's return.
            sleep(AWAY_PAUSE).await;
            continue;
        }
        failures += 1;
        if relay.now().since(read_at) > LONGEST_GAP {
            next = None;
        }
        let is_back = |at: Instant| relay.now().since(at) < LAPSE_WINDOW;
        let may_lapse = dependency.is_lost() || back_at.is_some_and(is_back);
        let began = relay.now();
        let read = read_targets(&relay, &store, next, may_lapse).await;
        let now = relay.now();
        match read {
            Ok(offset) => {
                if dependency.regained(now) {
                    back_at = Some(now);
                }
                relay.targets_are_of(began);
                failures = 0;
                next = Some(offset);
                read_at = now;
                pause.reset();
            }
            Err(err) => {
                dependency.lost(&relay, &err);
                if matches!(err, StoreError::Gone | StoreError::Malformed(_)) {
                    next = None;
                }
                pause.wait(&relay).await;
                continue;
            }
        }
        sleep(TARGETS_INTERVAL).await;
    }
}

async fn read_targets<S: Store>(
    relay: &Relay,
    store: &S,
    next: Option<u64>,
    may_lapse: bool,
) -> Result<u64, StoreError> {
    let Some(offset) = next else {
        let feed = store.targets().await?;
        relay.replace_targets(feed.items, may_lapse);
        return Ok(feed.next);
    };
    let feed = store.targets_from(offset).await?;
    for change in feed.items {
        match change {
            TargetChange::Wrote(entry) => relay.target_wrote(entry),
            TargetChange::Gone(id) => relay.target_gone(&id, may_lapse),
        }
    }
    Ok(feed.next)
}

/// Look after targets that are dead or missing: ask the first whether they are back, and drop the
/// others when they stay away.
pub async fn targets_away(relay: Rc<Relay>) {
    loop {
        sleep(AWAY_INTERVAL).await;
        relay.drop_missing();
        let dead = relay.fleet.borrow().dead();
        for key in dead {
            relay.ask_dead(key).await;
        }
    }
}

/// Time between two looks at targets that are away. A dead one restarts as another run, so only one
/// that was cut off comes back.
const AWAY_INTERVAL: Duration = Duration::from_millis(700);
