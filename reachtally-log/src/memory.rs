//! An in-memory log with retention, a rate limit for appends, and injectable faults: outages, lost
//! responses and delays.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use serde_json::Value;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::{AppendError, Log, Page, Record, Unavailable};

/// Limits of the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Maximum number of appends per second over all streams. Appends refused by this limit count as well.
    pub appends_per_s: u32,
    /// Maximum number of records retained per stream.
    pub keep_records: usize,
    /// Maximum number of records per page.
    pub page_records: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            appends_per_s: 300,
            keep_records: 100_000,
            page_records: 1000,
        }
    }
}

/// Faults that can be injected at run time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Faults {
    /// Appends are refused and reads fail.
    pub down: bool,
    /// Number of further appends that take effect but whose response is lost.
    pub lose_answers: u32,
    /// Delay before each append or read is processed.
    pub delay: Duration,
}

#[derive(Debug, Default)]
struct Stream {
    first: u64,
    records: VecDeque<Record>,
}

impl Stream {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

#[derive(Debug)]
struct State {
    returns: u64,
    options: Options,
    faults: Faults,
    streams: BTreeMap<String, Stream>,
    started: Instant,
    window_start: Instant,
    window_appends: u32,
}

/// An in-memory log. Clones share the same state.
#[derive(Debug, Clone)]
pub struct MemoryLog {
    state: Arc<Mutex<State>>,
    appended: Arc<Notify>,
}

impl MemoryLog {
    /// Creates an empty log.
    pub fn new(options: Options) -> Self {
        let now = Instant::now();
        let state = State {
            returns: 0,
            options,
            faults: Faults::default(),
            streams: BTreeMap::new(),
            started: now,
            window_start: now,
            window_appends: 0,
        };
        MemoryLog {
            state: Arc::new(Mutex::new(state)),
            appended: Arc::new(Notify::new()),
        }
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
        self.appended.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // A poisoned lock means that a holder panicked; the plain data it guards is still consistent.
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn try_append(&self, stream: &str, data: Value) -> Result<u64, AppendError> {
        let mut state = self.lock();
        if state.faults.down || !state.within_limit() {
            return Err(AppendError::Refused);
        }
        let offset = state.push(stream, data);
        drop(state);
        self.appended.notify_waiters();
        let mut state = self.lock();
        if state.faults.lose_answers > 0 {
            state.faults.lose_answers -= 1;
            return Err(AppendError::Lost);
        }
        Ok(offset)
    }

    /// Simulates a restore from an older copy that lacks the last `lost` records of `stream`.
    pub fn restore(&self, stream: &str, lost: usize) {
        let mut state = self.lock();
        state.returns += 1;
        if let Some(stream) = state.streams.get_mut(stream) {
            let remaining = stream.records.len().saturating_sub(lost);
            stream.records.truncate(remaining);
        }
        drop(state);
        self.appended.notify_waiters();
    }

    fn page(&self, stream: &str, from: u64) -> Result<Page, Unavailable> {
        let state = self.lock();
        if state.faults.down {
            return Err(Unavailable);
        }
        let Some(stream) = state.streams.get(stream) else {
            return Ok(Page {
                returns: state.returns,
                ..Page::default()
            });
        };
        let skip = from.saturating_sub(stream.first) as usize;
        let records = stream.records.iter().skip(skip);
        Ok(Page {
            first: stream.first,
            end: stream.end(),
            records: records.take(state.options.page_records).cloned().collect(),
            returns: state.returns,
        })
    }

    fn delay(&self) -> Duration {
        self.lock().faults.delay
    }
}

impl State {
    fn within_limit(&mut self) -> bool {
        let now = Instant::now();
        if now - self.window_start >= Duration::from_secs(1) {
            self.window_start = now;
            self.window_appends = 0;
        }
        self.window_appends += 1;
        self.window_appends <= self.options.appends_per_s
    }

    fn push(&mut self, stream: &str, data: Value) -> u64 {
        let at_ms = self.started.elapsed().as_millis() as u64;
        let keep = self.options.keep_records;
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let offset = stream.end();
        stream.records.push_back(Record {
            offset,
            at_ms,
            data,
        });
        if stream.records.len() > keep {
            stream.records.pop_front();
            stream.first += 1;
        }
        offset
    }
}

impl Log for MemoryLog {
    async fn append(&self, stream: &str, data: Value) -> Result<u64, AppendError> {
        tokio::time::sleep(self.delay()).await;
        self.try_append(stream, data)
    }

    async fn read(&self, stream: &str, from: u64, wait_ms: u64) -> Result<Page, Unavailable> {
        tokio::time::sleep(self.delay()).await;
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let appended = self.appended.notified();
            tokio::pin!(appended);
            appended.as_mut().enable();
            let page = self.page(stream, from)?;
            if !page.records.is_empty() || Instant::now() >= deadline {
                return Ok(page);
            }
            // Either a notification arrived or the wait timed out; the page is read again in both cases.
            tokio::time::timeout_at(deadline, appended).await.ok();
        }
    }
}
