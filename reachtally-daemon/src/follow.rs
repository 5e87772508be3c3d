//! Following the platform: the configuration and claim streams, and the live list.

use std::time::Duration;

use log::{info, warn};
use reachtally_core::Event;
use reachtally_core::claim::ClaimRecord;
use reachtally_core::event::Read;
use reachtally_core::fold::Operation;
use reachtally_platform::{CLAIMS_STREAM, CONFIG_STREAM, LiveList, Log, Page, Record};
use serde::de::DeserializeOwned;
use tokio::time::sleep;

use crate::actor::{Handle, Message};

/// Time that one read waits for a new record.
const READ_WAIT_MS: u64 = 1000;
/// Wait after a read that failed.
const RETRY_WAIT: Duration = Duration::from_millis(200);
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

/// Feed the configuration stream to the actor until it is gone.
pub async fn config<L: Log>(log: L, handle: Handle) {
    let mut next = 0;
    let mut seen = Availability {
        what: CONFIG_STREAM,
        up: true,
    };
    loop {
        let page = log.read(CONFIG_STREAM, next, READ_WAIT_MS).await;
        seen.saw(page.is_ok());
        let Ok(page) = page else {
            sleep(RETRY_WAIT).await;
            continue;
        };
        next = page.records.last().map_or(next, |record| record.offset + 1);
        let records = page.records.into_iter().map(operation).collect();
        if !tell(&handle, Event::ConfigRead(records)) {
            return;
        }
    }
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

/// Feed the claim stream to the actor until it is gone.
pub async fn claims<L: Log>(log: L, handle: Handle) {
    let mut next = 0;
    let mut caught_up = false;
    let mut seen = Availability {
        what: CLAIMS_STREAM,
        up: true,
    };
    loop {
        let wait_ms = if caught_up { READ_WAIT_MS } else { 0 };
        let page = log.read(CLAIMS_STREAM, next, wait_ms).await;
        seen.saw(page.is_ok());
        let Ok(page) = page else {
            sleep(RETRY_WAIT).await;
            continue;
        };
        next = next_offset(&page, next);
        let at_end = next >= page.end;
        let records = readable::<ClaimRecord>(page.records);
        if !tell(&handle, Event::ClaimsRead(records)) {
            return;
        }
        if at_end && !caught_up {
            caught_up = true;
            tell(&handle, Event::ClaimsCaughtUp);
        }
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
                warn!(offset, error:% = err; "claim record is unreadable");
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
            && !tell(&handle, Event::ListRead(boxes))
        {
            return;
        }
        sleep(LIST_INTERVAL).await;
    }
}
