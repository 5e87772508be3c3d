//! Loops that keep the tables like the store: configuration and targets.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use reachtally_core::Instant;
use reachtally_core::forward::era::{Position, REWRITTEN_WITHIN};
use reachtally_core::forward::fleet::Evidence;
use tokio::time::sleep;

use crate::relay::Relay;
use crate::store::{Feed, Offset, Store, StoreError, TargetChange};

/// Shortest wait of such a read while the store is slow. What a read confirms is as old as the read is
/// long, so a slow answer leaves less time to wait.
const LEAST_CONFIG_WAIT: Duration = Duration::from_millis(50);
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
                dependency.regained(relay.now());
                pause.reset();
                next = Some(position);
                if is_first && relay.configuration.table().is_none() {
                    sleep(FIRST_PAUSE).await;
                }
            }
            Err(StoreError::EraChanged) => next = None,
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
    let era = relay.era_of(feed.era, began)?;
    if from.is_some_and(|from| from.era != era) {
        return Err(StoreError::EraChanged);
    }
    for raw in &feed.items {
        relay.publish(raw).map_err(StoreError::Malformed)?;
    }
    if from.is_some() && !feed.items.is_empty() {
        relay.note_configured(era);
    }
    if relay.configuration.table().is_some() && !relay.may_lack_configuration() {
        relay.configuration.confirm(began);
    }
    Ok(Position {
        era,
        offset: feed.next.0,
    })
}

/// Keep the targets like the store's, while this box reads the store itself.
pub async fn targets<S: Store>(relay: Rc<Relay>, store: S) {
    let mut needs_list = true;
    let mut pause = Pause::new();
    let mut dependency = Dependency::new("targets");
    let mut back_at: Option<Instant> = None;
    // When the list is compared with the store's again, after its return from a copy.
    let mut check_at: Option<Instant> = None;
    let mut failures = 0;
    loop {
        relay.until_direct().await;
        if relay.store_away.get() && failures >= FAILURES_AWAY {
            // The reads of the configuration will show the store's return.
            sleep(AWAY_PAUSE).await;
            continue;
        }
        failures += 1;
        let began = relay.now();
        let is_long_ago = |at: Instant| began.since(at) > LONGEST_GAP;
        needs_list |= relay.targets_read.get().is_none_or(is_long_ago);
        let is_back = |at: Instant| began.since(at) < LAPSE_WINDOW;
        let may_lapse = dependency.is_lost() || back_at.is_some_and(is_back);
        needs_list |= check_at.take_if(|at| *at <= began).is_some();
        let read = match needs_list {
            true => list_targets(&relay, &store, began, may_lapse).await,
            false => read_targets(&relay, &store, began, may_lapse).await,
        };
        let now = relay.now();
        match read {
            Ok(read) => {
                if dependency.regained(now) {
                    back_at = Some(now);
                }
                failures = 0;
                needs_list = false;
                pause.reset();
                if read == Taken::Copy {
                    check_at = Some(now + REWRITTEN_WITHIN);
                    continue;
                }
            }
            Err(StoreError::EraChanged) => {
                needs_list = true;
                continue;
            }
            Err(err) => {
                dependency.lost(&relay, &err);
                needs_list |= matches!(err, StoreError::Gone | StoreError::Malformed(_));
                pause.wait(&relay).await;
                continue;
            }
        }
        sleep(relay.rhythm().targets_interval).await;
    }
}

/// What a read of the targets was good for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Taken {
    /// Its entries.
    Entries,
    /// Only what is not known better: the store came back from a copy that is older than what is held.
    Copy,
    /// Nothing, since later changes are known.
    Nothing,
}

/// Take over the store's list of targets by a read that began at `began`.
async fn list_targets<S: Store>(
    relay: &Relay,
    store: &S,
    began: Instant,
    may_lapse: bool,
) -> Result<Taken, StoreError> {
    let feed = store.targets().await?;
    let held = relay.targets_end.get();
    let end = Position {
        era: relay.era_of(feed.era, began)?,
        offset: feed.next.0,
    };
    // Another box may have told of later changes while this read was under way.
    if end < held {
        return Ok(Taken::Nothing);
    }
    let mut entries = Vec::new();
    let mut spoiled = Vec::new();
    for item in feed.items {
        match item {
            TargetChange::Wrote(entry) if relay.fleet.borrow().is_gone(&entry.run()) => {}
            TargetChange::Wrote(entry) => entries.push(entry),
            TargetChange::Spoiled(entry) => {
                relay.forget(&entry.id);
                spoiled.push(entry);
            }
            TargetChange::Gone(id) => relay.target_gone(&id, may_lapse),
        }
    }
    relay.note_spoiled(&spoiled);
    let is_copy = held.era != end.era && held != Position::default();
    match is_copy {
        true => relay.compare_targets(entries),
        false => relay.replace_targets(entries, may_lapse),
    }
    relay.targets_are_of(began, end);
    Ok(match is_copy {
        true => Taken::Copy,
        false => Taken::Entries,
    })
}

/// Take over the changes since the offset up to which the targets are known, by a read that began at
/// `began`.
async fn read_targets<S: Store>(
    relay: &Relay,
    store: &S,
    began: Instant,
    may_lapse: bool,
) -> Result<Taken, StoreError> {
    let from = relay.targets_end.get();
    let feed = store.targets_from(Offset(from.offset)).await?;
    let end = Position {
        era: relay.era_of(feed.era, began)?,
        offset: feed.next.0,
    };
    if end.era != from.era {
        return Err(StoreError::EraChanged);
    }
    if end < relay.targets_end.get() {
        return Ok(Taken::Nothing);
    }
    // Of what a target wrote and then dropped, or the other way round, the last counts.
    let mut wrote = Vec::new();
    let mut spoiled = Vec::new();
    for change in feed.items {
        match change {
            TargetChange::Wrote(entry) => wrote.push((entry, Evidence::Written)),
            TargetChange::Gone(id) => {
                relay.targets_shown(std::mem::take(&mut wrote));
                relay.target_gone(&id, may_lapse);
            }
            TargetChange::Spoiled(entry) => {
                relay.targets_shown(std::mem::take(&mut wrote));
                relay.forget(&entry.id);
                spoiled.push(entry);
            }
        }
    }
    relay.targets_shown(wrote);
    relay.note_spoiled(&spoiled);
    relay.targets_are_of(began, end);
    Ok(Taken::Entries)
}

/// Drop targets whose entries stay away, until the process ends.
pub async fn targets_missing(relay: Rc<Relay>) {
    loop {
        sleep(MISSING_INTERVAL).await;
        relay.drop_missing();
    }
}

/// Time between two looks at targets whose entries are missing: a small part of the time in which a
/// target that left must be left alone.
const MISSING_INTERVAL: Duration = Duration::from_millis(200);

/// Ask dead targets whether they are back, until the process ends. All are asked at once: each that is
/// cut off takes as long as a question may.
pub async fn targets_dead(relay: Rc<Relay>) {
    loop {
        sleep(AWAY_INTERVAL).await;
        let dead = relay.fleet.borrow().dead();
        futures::future::join_all(dead.into_iter().map(|key| relay.ask_dead(key))).await;
    }
}

/// Time between two questions to a dead target. One that crashed restarts as another run, so only one
/// that was cut off comes back.
const AWAY_INTERVAL: Duration = Duration::from_millis(700);
