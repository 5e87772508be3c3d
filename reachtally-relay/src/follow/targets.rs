//! The targets, as the store lists them.

use std::rc::Rc;
use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::era::{Position, REWRITTEN_WITHIN};
use reachtally_core::forward::fleet::Evidence;
use tokio::time::sleep;

use super::dependency::Dependency;
use super::pause::Pause;
use crate::relay::Relay;
use crate::store::{Offset, Store, StoreError, TargetChange};

/// How long after the store's return missing entries may still come back.
const LAPSE_WINDOW: Duration = Duration::from_millis(2500);
/// Failed reads in a row after which the targets are left to the reads of the configuration, which fail
/// too. A single one may be a lost packet.
const FAILURES_AWAY: u32 = 3;
/// Time between two looks whether the store is back.
const AWAY_PAUSE: Duration = Duration::from_millis(100);
/// After a pause this long in reading, a new list is cheaper than the heartbeats since.
const LONGEST_GAP: Duration = Duration::from_secs(3);

/// Keep the targets like the store's, while this box reads the store itself.
pub async fn targets<S: Store>(relay: Rc<Relay>, store: S) {
    let mut following = Following::new();
    loop {
        relay.until_direct().await;
        if relay.store_away.get() && following.failures >= FAILURES_AWAY {
            // The reads of the configuration will show the store's return.
            sleep(AWAY_PAUSE).await;
            continue;
        }
        let read = following.read(&relay, &store).await;
        match following.judge(&relay, read) {
            Next::AtOnce => {}
            Next::InTime => sleep(relay.rhythm().targets_interval).await,
            Next::AfterPause => following.pause.wait(&relay).await,
        }
    }
}

/// When the targets are read next.
enum Next {
    AtOnce,
    InTime,
    AfterPause,
}

/// How far the targets are followed.
struct Following {
    /// Whether the whole list is read next, not what changed since.
    needs_list: bool,
    /// When the list is compared with the store's again, after its return from a copy.
    check_at: Option<Instant>,
    /// When the store was back after it had been away.
    back_at: Option<Instant>,
    /// Reads in a row that failed.
    failures: u32,
    pause: Pause,
    dependency: Dependency,
}

impl Following {
    fn new() -> Self {
        Following {
            needs_list: true,
            check_at: None,
            back_at: None,
            failures: 0,
            pause: Pause::new(),
            dependency: Dependency::new("targets"),
        }
    }

    async fn read<S: Store>(&mut self, relay: &Relay, store: &S) -> Result<Taken, StoreError> {
        self.failures += 1;
        let began = relay.now();
        let is_long_ago = |at: Instant| began.since(at) > LONGEST_GAP;
        self.needs_list |= relay.targets_read.get().is_none_or(is_long_ago);
        self.needs_list |= self.check_at.take_if(|at| *at <= began).is_some();
        let may_lapse = self.may_lapse(relay, began);
        match self.needs_list {
            true => list_targets(relay, store, began, may_lapse).await,
            false => read_targets(relay, store, began, may_lapse).await,
        }
    }

    /// Whether an entry that is gone may be so through the store's fault: it is away, or was until a moment ago.
    fn may_lapse(&self, relay: &Relay, now: Instant) -> bool {
        let is_back = |at: Instant| now.since(at) < LAPSE_WINDOW;
        let has_returned = relay.eras.get().is_back_since(LAPSE_WINDOW, now);
        self.dependency.is_lost() || self.back_at.is_some_and(is_back) || has_returned
    }

    fn judge(&mut self, relay: &Relay, read: Result<Taken, StoreError>) -> Next {
        let now = relay.now();
        match read {
            Ok(taken) => {
                self.succeeded(now);
                if taken != Taken::Copy {
                    return Next::InTime;
                }
                self.check_at = Some(now + REWRITTEN_WITHIN);
                Next::AtOnce
            }
            // The shortest pause, as for the configuration.
            Err(StoreError::EraChanged) => {
                self.needs_list = true;
                self.pause.reset();
                Next::AfterPause
            }
            Err(err) => {
                self.dependency.lost(relay, &err);
                if err == StoreError::Gone {
                    self.pause.reset();
                }
                self.needs_list |= err.needs_newest();
                Next::AfterPause
            }
        }
    }

    fn succeeded(&mut self, now: Instant) {
        if self.dependency.regained(now) {
            self.back_at = Some(now);
        }
        self.failures = 0;
        self.needs_list = false;
        self.pause.reset();
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
    let end = relay.position_after(&feed, began)?;
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
                relay.remove_target(&entry.id);
                spoiled.push(entry);
            }
            TargetChange::Gone(id) => relay.target_gone(&id, may_lapse),
        }
    }
    relay.log_malformed_entries(&spoiled);
    let is_copy = held.era != end.era && held != Position::default();
    match is_copy {
        true => relay.merge_targets(entries),
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
    let end = relay.position_after(&feed, began)?;
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
                relay.update_targets(std::mem::take(&mut wrote));
                relay.target_gone(&id, may_lapse);
            }
            TargetChange::Spoiled(entry) => {
                relay.update_targets(std::mem::take(&mut wrote));
                relay.remove_target(&entry.id);
                spoiled.push(entry);
            }
        }
    }
    relay.update_targets(wrote);
    relay.log_malformed_entries(&spoiled);
    relay.targets_are_of(began, end);
    Ok(Taken::Entries)
}
