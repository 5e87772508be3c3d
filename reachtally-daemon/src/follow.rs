//! Following the platform: the configuration and claim streams, and the live list.

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

/// Time that one read waits for a new record.
const READ_WAIT_MS: u64 = 1000;
/// Wait after a read that failed.
const RETRY_WAIT: Duration = Duration::from_millis(200);
/// Time between two looks at the configuration stream by a daemon that is no reader.
const IDLE_INTERVAL: Duration = Duration::from_secs(30);
/// Time between two reads of the live list.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Whether the last read worked, so that only changes are logged.
struct Availability {
    what: &'static str,
    up: bool,
}

impl Availability {
    fn saw(&mut self, up: bool) {
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

fn tell(handle: &Handle, event: Event) -> bool {
    handle.send(Message::Event(event)).is_ok()
}

/// Feed the configuration stream to the actor until it is gone. A daemon that is no reader of its
/// failure domain looks at the log now and then only; it hears from its peers.
pub async fn config<L: Log>(log: L, handle: Handle, mut reader: watch::Receiver<bool>) {
    let mut seen = Availability {
        what: CONFIG_STREAM,
        up: true,
    };
    let mut next = start_from_snapshot(&log, &handle).await;
    loop {
        let close = *reader.borrow();
        let wait_ms = if close { READ_WAIT_MS } else { 0 };
        let page = log.read(CONFIG_STREAM, next, wait_ms).await;
        seen.saw(page.is_ok());
        let Ok(page) = page else {
            sleep(RETRY_WAIT).await;
            continue;
        };
        if page.first > next {
            warn!(next, first = page.first; "configuration records are gone; reading a snapshot");
            next = start_from_snapshot(&log, &handle).await.max(next);
            sleep(RETRY_WAIT).await;
            continue;
        }
        next = page.records.last().map_or(next, |record| record.offset + 1);
        let at_end = next >= page.end;
        if !tell(&handle, Event::ConfigRead(operations(page.records))) {
            return;
        }
        if at_end && !close {
            // Whichever comes first: the time, or the part of a reader.
            timeout(IDLE_INTERVAL, reader.changed()).await.ok();
        }
    }
}

/// Hand the last snapshot in the log to the actor; yields the offset to read on from.
async fn start_from_snapshot<L: Log>(log: &L, handle: &Handle) -> u64 {
    let Some(config) = last_snapshot(log).await else {
        return 0;
    };
    let next = config.next();
    tell(
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

/// Feed the stream of failure domains to the actor until it is gone.
pub async fn domains<L: Log>(log: L, handle: Handle) {
    let mut next = 0;
    loop {
        let Ok(page) = log.read(DOMAINS_STREAM, next, READ_WAIT_MS).await else {
            sleep(RETRY_WAIT).await;
            continue;
        };
        next = next_offset(&page, next);
        let records = readable::<DomainRecord>(page.records);
        if !tell(&handle, Event::DomainsRead(records)) {
            return;
        }
    }
}

/// The operations of configuration records.
pub fn operations(records: Vec<Record>) -> Vec<Read<Operation>> {
    records.into_iter().map(operation).collect()
}

/// A record that is no operation still takes its offset; it changes nothing.
fn operation(record: Record) -> Read<Operation> {
    let offset = record.offset;
    let operation = serde_json::from_value(record.data).unwrap_or_else(|err| {
        warn!(offset, error:% = err; "configuration record is no operation");
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

/// How much of the claim stream a daemon has read without a gap.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Coverage {
    next: u64,
    /// The log's time of the first record read, unless that was the stream's very first.
    since_ms: Option<u64>,
    newest_ms: u64,
    /// How often the log has come back from an older copy, as the last page told.
    returns: u64,
    /// Returns whose record was read, and when the log took it. Claims of before that may be gone.
    marked: Option<(u64, u64)>,
}

impl Coverage {
    /// Whether `page` does not continue what was read: records in between are gone.
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

    /// Whether every claim of the last `window` was read. A key claimed in a record that retention
    /// dropped earlier would look free.
    fn is_whole(&self, page: &Page, window: Duration) -> bool {
        let covered = |since_ms| self.newest_ms - since_ms >= window.as_millis() as u64;
        let marked_ms = self.marked.map(|(_, at_ms)| at_ms);
        self.is_at_end(page)
            && !self.lacks_mark()
            && self.since_ms.max(marked_ms).is_none_or(covered)
    }

    fn is_at_end(&self, page: &Page) -> bool {
        self.next >= page.end
    }

    /// Whether the log has come back from an older copy and no record says when.
    fn lacks_mark(&self) -> bool {
        self.returns > self.marked.map_or(0, |(returns, _)| returns)
    }

    /// Note the records that tell of returns.
    fn mark(&mut self, records: &[Read<ClaimRecord>]) {
        for read in records {
            for entry in &read.record.entries {
                if let Entry::Returned { returns } = *entry {
                    self.marked = self.marked.max(Some((returns, read.at_ms)));
                }
            }
        }
    }
}

/// Feed the claim stream to the actor until it is gone. Requests with a key are only taken while every
/// claim of the last `window` is known.
///
/// After a return of the log from an older copy that is so only once the window has passed since then: the daemon run `by`
/// appends when that was, unless another did.
pub async fn claims<L: Log>(log: L, handle: Handle, window: Duration, by: Incarnation) {
    let mut coverage = Coverage::default();
    let mut whole = false;
    // The first read waits for nothing, so that an empty stream is known at once.
    let mut wait_ms = 0;
    let mut seen = Availability {
        what: CLAIMS_STREAM,
        up: true,
    };
    loop {
        let page = log.read(CLAIMS_STREAM, coverage.next, wait_ms).await;
        seen.saw(page.is_ok());
        let Ok(mut page) = page else {
            sleep(RETRY_WAIT).await;
            continue;
        };
        if page.returns > coverage.returns {
            warn!(returns = page.returns, held = coverage.returns; "the log came back from an older copy; its claims are read anew");
            whole = false;
            tell(&handle, Event::ClaimLogRestored);
            coverage = Coverage {
                returns: page.returns,
                ..Coverage::default()
            };
            wait_ms = 0;
            continue;
        }
        wait_ms = READ_WAIT_MS;
        if coverage.has_gap(&page) {
            warn!(next = coverage.next, first = page.first; "claim records are gone");
            whole = false;
            tell(&handle, Event::ClaimsGap);
        }
        coverage.read(&page);
        let records = readable(std::mem::take(&mut page.records));
        coverage.mark(&records);
        if coverage.is_at_end(&page) && coverage.lacks_mark() {
            append_mark(&log, coverage.returns, by).await;
        }
        let now_whole = coverage.is_whole(&page, window);
        if !tell(&handle, Event::ClaimsRead(records)) {
            return;
        }
        if now_whole && !whole {
            whole = true;
            tell(&handle, Event::ClaimsCaughtUp);
        }
    }
}

/// Append when the log came back. A lost answer is no harm: the record is read, or appended once more.
async fn append_mark<L: Log>(log: &L, returns: u64, by: Incarnation) {
    let record = ClaimRecord {
        by,
        entries: vec![Entry::Returned { returns }],
    };
    let data = serde_json::to_value(record).expect("numbers and texts");
    if let Err(err) = log.append(CLAIMS_STREAM, data).await {
        warn!(returns, why:? = err; "the record of the log's return was not confirmed");
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

/// Feed the live list to the actor until it is gone. While the list does not answer, the last one
/// read stays in force.
pub async fn list<L: LiveList>(list: L, handle: Handle) {
    let mut seen = Availability {
        what: "list",
        up: true,
    };
    loop {
        let boxes = list.boxes().await;
        seen.saw(boxes.is_ok());
        if let Ok(boxes) = boxes
            && !tell(&handle, Event::LiveListRead(boxes))
        {
            return;
        }
        sleep(LIST_INTERVAL).await;
    }
}
