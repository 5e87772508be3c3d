//! Synchronization of the targets with the store.

use std::rc::Rc;
use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::era::{ENTRY_REWRITE_TIME, Position};
use reachtally_core::forward::fleet::EntrySource;
use tokio::time::sleep;

use super::dependency::Dependency;
use super::pause::Backoff;
use crate::relay::Relay;
use crate::store::{Offset, Store, StoreError, TargetChange};

/// Time after the recovery of the store during which missing entries may still reappear.
const RESTORE_WINDOW: Duration = Duration::from_millis(2500);
/// Consecutive failed reads after which only the configuration loop, whose reads fail too, probes the store. A single failure may
/// be a lost packet.
const MAX_FAILURES: u32 = 3;
/// Interval at which the recovery of the store is checked.
const OUTAGE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum gap between reads that is bridged by reading the changes. After a longer one, the complete list is cheaper than all
/// heartbeats since.
const MAX_INCREMENTAL_GAP: Duration = Duration::from_secs(3);
/// Interval at which a box checks whether it still waits for its turn to read the complete list.
const TURN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Keeps the targets in sync with the store while this box reads the store itself.
pub async fn targets<S: Store>(relay: Rc<Relay>, store: S) {
    let mut watcher = TargetWatcher::new();
    loop {
        if !relay.is_direct() {
            watcher.waits_since = None;
        }
        relay.until_direct().await;
        if relay.is_store_unreachable.get() && watcher.failures >= MAX_FAILURES {
            // The configuration loop detects the recovery of the store, which is the same moment for all boxes.
            watcher.waits_since = None;
            sleep(OUTAGE_POLL_INTERVAL).await;
            continue;
        }
        if watcher.waits_for_turn(&relay) {
            sleep(TURN_POLL_INTERVAL).await;
            continue;
        }
        let read = watcher.read(&relay, &store).await;
        match watcher.handle_read(&relay, read) {
            NextRead::Immediately => {}
            NextRead::AfterInterval => sleep(relay.rhythm().targets_interval).await,
            NextRead::AfterBackoff => watcher.backoff.wait(&relay).await,
        }
    }
}

/// When the next read takes place.
enum NextRead {
    Immediately,
    AfterInterval,
    AfterBackoff,
}

/// State of the synchronization.
struct TargetWatcher {
    /// Whether the next read gets the complete list instead of the changes.
    needs_list: bool,
    /// Since when this box has left the complete list to other boxes.
    waits_since: Option<Instant>,
    /// When the last successful read ended.
    read_at: Option<Instant>,
    /// When to read the complete list again, after a restore of the store from a copy.
    recheck_at: Option<Instant>,
    /// When the store recovered from the last outage.
    recovered_at: Option<Instant>,
    /// Consecutive failed reads.
    failures: u32,
    backoff: Backoff,
    dependency: Dependency,
}

impl TargetWatcher {
    fn new() -> Self {
        TargetWatcher {
            needs_list: false,
            waits_since: None,
            read_at: None,
            recheck_at: None,
            recovered_at: None,
            failures: 0,
            backoff: Backoff::new(),
            dependency: Dependency::new("targets"),
        }
    }

    /// Returns whether this box must leave the complete list to others for now. All boxes may need it at the same moment.
    fn waits_for_turn(&mut self, relay: &Relay) -> bool {
        let now = relay.now();
        if !(self.needs_list || self.is_list_cheaper(relay, now)) {
            self.waits_since = None;
            return false;
        }
        let since = *self.waits_since.get_or_insert(now);
        now.since(since) < relay.list_delay.get()
    }

    /// Returns whether the complete list is cheaper than the changes since the held targets. After a read of this box the changes are
    /// read in any case: a read that took long is old when it ends, and a list would take as long again.
    fn is_list_cheaper(&self, relay: &Relay, now: Instant) -> bool {
        let known_at = relay.targets_read.get().max(self.read_at);
        relay.targets_read.get().is_none()
            || known_at.is_none_or(|at| now.since(at) > MAX_INCREMENTAL_GAP)
    }

    async fn read<S: Store>(&mut self, relay: &Relay, store: &S) -> Result<Applied, StoreError> {
        self.failures += 1;
        let started_at = relay.now();
        self.needs_list |= self.is_list_cheaper(relay, started_at);
        self.needs_list |= self.recheck_at.take_if(|at| *at <= started_at).is_some();
        let may_be_lost = self.may_be_lost(relay, started_at);
        match self.needs_list {
            true => list_targets(relay, store, started_at, may_be_lost).await,
            false => read_targets(relay, store, started_at, may_be_lost).await,
        }
    }

    /// Whether a missing entry may have been lost by the store, because of a current or recent outage.
    fn may_be_lost(&self, relay: &Relay, now: Instant) -> bool {
        let is_recent = |at: Instant| now.since(at) < RESTORE_WINDOW;
        let was_restored = relay.eras.get().was_rolled_back_within(RESTORE_WINDOW, now);
        self.dependency.is_lost() || self.recovered_at.is_some_and(is_recent) || was_restored
    }

    fn handle_read(&mut self, relay: &Relay, read: Result<Applied, StoreError>) -> NextRead {
        let now = relay.now();
        match read {
            Ok(applied) => {
                self.succeeded(now);
                match applied {
                    Applied::Entries | Applied::Nothing => NextRead::AfterInterval,
                    Applied::Part => NextRead::Immediately,
                    Applied::Merged => {
                        self.recheck_at = Some(now + ENTRY_REWRITE_TIME);
                        NextRead::Immediately
                    }
                }
            }
            // The backoff restarts at its initial delay, as in the configuration loop.
            Err(StoreError::EraChanged) => {
                self.needs_list = true;
                self.backoff.reset();
                NextRead::AfterBackoff
            }
            Err(err) => {
                self.dependency.record_loss(relay, &err);
                if err == StoreError::Gone {
                    self.backoff.reset();
                }
                self.needs_list |= err.needs_newest();
                NextRead::AfterBackoff
            }
        }
    }

    fn succeeded(&mut self, now: Instant) {
        if self.dependency.record_recovery(now) {
            self.recovered_at = Some(now);
        }
        self.failures = 0;
        self.read_at = Some(now);
        self.needs_list = false;
        self.backoff.reset();
    }
}

/// Which part of a read was applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Applied {
    /// All entries.
    Entries,
    /// The changes up to a position before the end of the log.
    Part,
    /// Only entries that are newer than the known ones, since the store was restored from an older copy.
    Merged,
    /// Nothing: later changes are already known, or the answer held none.
    Nothing,
}

/// Reads and applies the complete list of targets; the read starts at `started_at`.
async fn list_targets<S: Store>(
    relay: &Relay,
    store: &S,
    started_at: Instant,
    may_be_lost: bool,
) -> Result<Applied, StoreError> {
    let feed = store.targets().await?;
    let known = relay.targets_end.get();
    let end = relay.position_after(&feed, started_at)?;
    // Another box may have sent later changes during this read.
    if end < known {
        return Ok(Applied::Nothing);
    }
    let count = feed.items.len();
    let mut entries = Vec::new();
    let mut malformed = Vec::new();
    for item in feed.items {
        match item {
            TargetChange::Updated(entry) if relay.fleet.borrow().was_removed(&entry.run()) => {}
            TargetChange::Updated(entry) => entries.push(entry),
            TargetChange::Malformed(entry) => {
                relay.remove_target(&entry.id);
                malformed.push(entry);
            }
            TargetChange::Gone(id) => relay.target_gone(&id, may_be_lost),
        }
    }
    relay.log_malformed_entries(&malformed);
    let is_restored = known.era != end.era && known != Position::default();
    match is_restored {
        true => relay.merge_targets(entries),
        false => relay.replace_targets(entries, may_be_lost),
    }
    relay.record_targets_read(started_at, end);
    let took = relay.now().since(started_at);
    log::info!(event = "targets-listed", entries = count, took_ms = took.as_millis() as u64; "read the complete list of targets from the store");
    Ok(match is_restored {
        true => Applied::Merged,
        false => Applied::Entries,
    })
}

/// Reads and applies the changes since the offset up to which the targets are known; the read starts at `started_at`.
async fn read_targets<S: Store>(
    relay: &Relay,
    store: &S,
    started_at: Instant,
    may_be_lost: bool,
) -> Result<Applied, StoreError> {
    let from = relay.targets_end.get();
    let feed = store.targets_from(Offset(from.offset)).await?;
    let end = relay.position_after(&feed, started_at)?;
    if end.era != from.era {
        return Err(StoreError::EraChanged);
    }
    if end < relay.targets_end.get() {
        return Ok(Applied::Nothing);
    }
    // Changes are applied in order: if a target was written and deleted, the later change counts.
    let mut written = Vec::new();
    let mut malformed = Vec::new();
    for change in feed.items {
        match change {
            TargetChange::Updated(entry) => written.push((entry, EntrySource::Written)),
            TargetChange::Gone(id) => {
                relay.update_targets(std::mem::take(&mut written));
                relay.target_gone(&id, may_be_lost);
            }
            TargetChange::Malformed(entry) => {
                relay.update_targets(std::mem::take(&mut written));
                relay.remove_target(&entry.id);
                malformed.push(entry);
            }
        }
    }
    relay.update_targets(written);
    relay.log_malformed_entries(&malformed);
    if !feed.is_complete {
        relay.record_targets_end(end);
        return Ok(match end > from {
            true => Applied::Part,
            false => Applied::Nothing,
        });
    }
    relay.record_targets_read(started_at, end);
    Ok(Applied::Entries)
}
