//! Tasks that follow the platform's configuration, failure-domain and claim streams and its live list.

use std::time::Duration;

use log::{info, warn};
use reachtally_core::claim::{ClaimRecord, Entry};
use reachtally_core::event::Read;
use reachtally_core::fold::{Config, Operation};
use reachtally_core::lease::DomainRecord;
use reachtally_core::systems::gossip::PeerConfig;
use reachtally_core::{Event, Incarnation};
use reachtally_log::{
    CLAIMS_STREAM, CONFIG_STREAM, DOMAINS_STREAM, LiveList, Log, Page, Record, SNAPSHOTS_STREAM,
};
use serde::de::DeserializeOwned;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::actor::{Handle, Message};

/// Long-poll wait of a read for new records, in ms.
const READ_WAIT_MS: u64 = 1000;
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Interval at which a daemon that is not a reader polls the configuration stream.
const IDLE_INTERVAL: Duration = Duration::from_secs(30);
/// Interval between reads of the live list.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Tracks whether the last read succeeded, so that only changes are logged.
struct Availability {
    what: &'static str,
    up: bool,
}

impl Availability {
    fn update(&mut self, up: bool) {
        if up == self.up {
            return;
        }
        self.up = up;
        match up {
            true => info!(what = self.what; "platform answers again"),
            false => warn!(what = self.what; "platform does not answer"),
        }
    }
}

/// Sends an event to the actor; `false` if the actor has ended.
fn send_event(handle: &Handle, event: Event) -> bool {
    handle.send(Message::Event(event)).is_ok()
}

/// Feeds the configuration stream to the actor until the actor ends. A daemon that is not a reader of its
/// failure domain polls the log only occasionally and gets changes from its peers.
pub async fn config<L: Log>(log: L, handle: Handle, mut reader: watch::Receiver<bool>) {
    let mut availability = Availability {
        what: CONFIG_STREAM,
        up: true,
    };
    let mut next = start_from_snapshot(&log, &handle).await;
    loop {
        let is_reader = *reader.borrow();
        let wait_ms = if is_reader { READ_WAIT_MS } else { 0 };
        let page = log.read(CONFIG_STREAM, next, wait_ms).await;
        availability.update(page.is_ok());
        let Ok(page) = page else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        if page.first > next {
            warn!(next, first = page.first; "configuration records are no longer retained; reading a snapshot");
            next = start_from_snapshot(&log, &handle).await.max(next);
            sleep(RETRY_DELAY).await;
            continue;
        }
        next = page.records.last().map_or(next, |record| record.offset + 1);
        let at_end = next >= page.end;
        if !send_event(&handle, Event::ConfigRead(operations(page.records))) {
            return;
        }
        if at_end && !is_reader {
            // Ends early if this daemon becomes a reader.
            timeout(IDLE_INTERVAL, reader.changed()).await.ok();
        }
    }
}

/// Sends the last snapshot in the log to the actor and returns the offset to continue from.
async fn start_from_snapshot<L: Log>(log: &L, handle: &Handle) -> u64 {
    let Some(config) = last_snapshot(log).await else {
        return 0;
    };
    let next = config.next();
    send_event(
        handle,
        Event::PeerConfig(PeerConfig::Snapshot(Box::new(config))),
    );
    next
}

async fn last_snapshot<L: Log>(log: &L) -> Option<Config> {
    let end = log.read(SNAPSHOTS_STREAM, u64::MAX, 0).await.ok()?.end;
    let page = log
        .read(SNAPSHOTS_STREAM, end.checked_sub(1)?, 0)
        .await
        .ok()?;
    serde_json::from_value(page.records.into_iter().next_back()?.data).ok()
}

/// Feeds the stream of failure domains to the actor until the actor ends.
pub async fn domains<L: Log>(log: L, handle: Handle) {
    let mut next = 0;
    loop {
        let Ok(page) = log.read(DOMAINS_STREAM, next, READ_WAIT_MS).await else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        next = next_offset(&page, next);
        let records = readable::<DomainRecord>(page.records);
        if !send_event(&handle, Event::DomainsRead(records)) {
            return;
        }
    }
}

/// Decodes the operations of configuration records.
pub fn operations(records: Vec<Record>) -> Vec<Read<Operation>> {
    records.into_iter().map(operation).collect()
}

/// Decodes an operation. An invalid record becomes an operation without edits, since it still occupies
/// its offset.
fn operation(record: Record) -> Read<Operation> {
    let offset = record.offset;
    let operation = serde_json::from_value(record.data).unwrap_or_else(|err| {
        warn!(offset, error:% = err; "configuration record is not a valid operation");
        Operation {
            id: format!("unreadable-{offset}"),
            actor: String::new(),
            edits: Vec::new(),
        }
    });
    Read {
        offset,
        at_ms: record.at_ms,
        record: operation,
    }
}

/// The part of the claim stream that a daemon has read without a gap.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Coverage {
    next: u64,
    /// Log time of the first record after a gap; `None` if the stream was read from its first record.
    since_ms: Option<u64>,
    newest_ms: u64,
    /// How often the log has been restored from an older copy, according to the last page.
    restores: u64,
    /// Highest restore count for which a record was read, and the log time of that record. Claims made
    /// before that time may be lost.
    recorded_restore: Option<(u64, u64)>,
}

impl Coverage {
    /// Whether records between the last page and `page` were dropped.
    fn has_gap(&self, page: &Page) -> bool {
        page.first > self.next
    }

    fn read(&mut self, page: &Page) {
        let gap = self.has_gap(page);
        if let (true, Some(first)) = (gap, page.records.first()) {
            self.since_ms = Some(first.at_ms);
        }
        self.next = next_offset(page, self.next);
        self.newest_ms = page
            .records
            .last()
            .map_or(self.newest_ms, |last| last.at_ms);
    }

    /// Whether all claims of the last `window` have been read. A key claimed in a record that was dropped
    /// by retention before would appear unclaimed.
    fn is_complete(&self, page: &Page, window: Duration) -> bool {
        let covered = |since_ms| self.newest_ms - since_ms >= window.as_millis() as u64;
        let restored_ms = self.recorded_restore.map(|(_, at_ms)| at_ms);
        self.is_at_end(page)
            && !self.lacks_restore_record()
            && self.since_ms.max(restored_ms).is_none_or(covered)
    }

    fn is_at_end(&self, page: &Page) -> bool {
        self.next >= page.end
    }

    /// Whether the log was restored from an older copy and no record of it has been read.
    fn lacks_restore_record(&self) -> bool {
        self.restores > self.recorded_restore.map_or(0, |(restores, _)| restores)
    }

    /// Takes note of the restore records among `records`.
    fn note_restores(&mut self, records: &[Read<ClaimRecord>]) {
        for read in records {
            for entry in &read.record.entries {
                if let Entry::Returned { returns } = *entry {
                    self.recorded_restore = self.recorded_restore.max(Some((returns, read.at_ms)));
                }
            }
        }
    }
}

/// Feeds the claim stream to the actor until the actor ends. Requests with an idempotency key are only
/// accepted while all claims of the last `window` are known.
///
/// After the log was restored from an older copy, that is the case only once the window has passed since
/// the restore. The daemon run `by` appends a record that marks the time, unless another daemon has.
pub async fn claims<L: Log>(log: L, handle: Handle, window: Duration, by: Incarnation) {
    let mut coverage = Coverage::default();
    let mut complete = false;
    // The first read does not wait, so that an empty stream is detected immediately.
    let mut wait_ms = 0;
    let mut availability = Availability {
        what: CLAIMS_STREAM,
        up: true,
    };
    loop {
        let page = log.read(CLAIMS_STREAM, coverage.next, wait_ms).await;
        availability.update(page.is_ok());
        let Ok(mut page) = page else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        if page.returns > coverage.restores {
            warn!(returns = page.returns, held = coverage.restores; "the log came back from an older copy; its claims are read anew");
            complete = false;
            send_event(&handle, Event::ClaimLogRestored);
            coverage = Coverage {
                restores: page.returns,
                ..Coverage::default()
            };
            wait_ms = 0;
            continue;
        }
        wait_ms = READ_WAIT_MS;
        if coverage.has_gap(&page) {
            warn!(next = coverage.next, first = page.first; "claim records are no longer retained");
            complete = false;
            send_event(&handle, Event::ClaimsGap);
        }
        coverage.read(&page);
        let records = readable(std::mem::take(&mut page.records));
        coverage.note_restores(&records);
        if coverage.is_at_end(&page) && coverage.lacks_restore_record() {
            append_restore(&log, coverage.restores, by).await;
        }
        let now_complete = coverage.is_complete(&page, window);
        if !send_event(&handle, Event::ClaimsRead(records)) {
            return;
        }
        if now_complete && !complete {
            complete = true;
            send_event(&handle, Event::ClaimsCaughtUp);
        }
    }
}

/// Appends a record that marks the time of a restore. If the response is lost, the record is either read
/// back or appended again.
async fn append_restore<L: Log>(log: &L, returns: u64, by: Incarnation) {
    let record = ClaimRecord {
        by,
        entries: vec![Entry::Returned { returns }],
    };
    let data = serde_json::to_value(record).expect("strings and numbers always serialize");
    if let Err(err) = log.append(CLAIMS_STREAM, data).await {
        warn!(returns, why:? = err; "append of the restore record was not confirmed");
    }
}

fn next_offset(page: &Page, next: u64) -> u64 {
    let read = page.records.last().map(|record| record.offset + 1);
    read.unwrap_or(next.max(page.first))
}

fn readable<T: DeserializeOwned>(records: Vec<Record>) -> Vec<Read<T>> {
    let read = records.into_iter().filter_map(|record| {
        let offset = record.offset;
        match serde_json::from_value(record.data) {
            Ok(content) => Some(Read {
                offset,
                at_ms: record.at_ms,
                record: content,
            }),
            Err(err) => {
                warn!(offset, error:% = err; "record is unreadable");
                None
            }
        }
    });
    read.collect()
}

/// Feeds the live list to the actor until the actor ends. While the list is unavailable, the last one read
/// remains in effect.
pub async fn list<L: LiveList>(list: L, handle: Handle) {
    let mut availability = Availability {
        what: "list",
        up: true,
    };
    loop {
        let boxes = list.boxes().await;
        availability.update(boxes.is_ok());
        if let Ok(boxes) = boxes
            && !send_event(&handle, Event::LiveListRead(boxes))
        {
            return;
        }
        sleep(LIST_INTERVAL).await;
    }
}
