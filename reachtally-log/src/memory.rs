//! The log's behaviour in memory: offsets, retention, an append limit, outages, lost answers.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use serde_json::Value;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::{AppendError, Log, Page, Record, Unavailable};

/// How the log behaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Appends taken a second over all streams.
    pub appends_per_s: u32,
    /// Records kept in each stream.
    pub keep_records: usize,
    /// Most records in one page.
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

/// Faults that can be set while it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Faults {
    /// Neither appends nor reads are answered.
    pub down: bool,
    /// So many appends take effect but their answer is lost.
    pub lose_answers: u32,
    /// Delay of each answer.
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
struct Inner {
    returns: u64,
    options: Options,
    faults: Faults,
    streams: BTreeMap<String, Stream>,
    started: Instant,
    window_start: Instant,
    window_appends: u32,
}

/// A log in memory; clones share it.
#[derive(Debug, Clone)]
pub struct MemoryLog {
    inner: Arc<Mutex<Inner>>,
    grown: Arc<Notify>,
}

impl MemoryLog {
    /// An empty log.
    pub fn new(options: Options) -> Self {
        let now = Instant::now();
        let inner = Inner {
            returns: 0,
            options,
            faults: Faults::default(),
            streams: BTreeMap::new(),
            started: now,
            window_start: now,
            window_appends: 0,
        };
        MemoryLog {
            inner: Arc::new(Mutex::new(inner)),
            grown: Arc::new(Notify::new()),
        }
    }

    /// Change the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
        self.grown.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // A poisoned lock means that a holder panicked; the data is plain and still whole.
        self.inner
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn take(&self, stream: &str, data: Value) -> Result<u64, AppendError> {
        let mut inner = self.lock();
        if inner.faults.down || !inner.within_limit() {
            return Err(AppendError::Refused);
        }
        let offset = inner.push(stream, data);
        drop(inner);
        self.grown.notify_waiters();
        let mut inner = self.lock();
        if inner.faults.lose_answers > 0 {
            inner.faults.lose_answers -= 1;
            return Err(AppendError::Lost);
        }
        Ok(offset)
    }

    /// Come back from a copy that lacks the last `lost` records of a stream.
    pub fn restore(&self, stream: &str, lost: usize) {
        let mut inner = self.lock();
        inner.returns += 1;
        if let Some(stream) = inner.streams.get_mut(stream) {
            let left = stream.records.len().saturating_sub(lost);
            stream.records.truncate(left);
        }
        drop(inner);
        self.grown.notify_waiters();
    }

    fn page(&self, stream: &str, from: u64) -> Result<Page, Unavailable> {
        let inner = self.lock();
        if inner.faults.down {
            return Err(Unavailable);
        }
        let Some(stream) = inner.streams.get(stream) else {
            return Ok(Page {
                returns: inner.returns,
                ..Page::default()
            });
        };
        let skip = from.saturating_sub(stream.first) as usize;
        let records = stream.records.iter().skip(skip);
        Ok(Page {
            first: stream.first,
            end: stream.end(),
            records: records.take(inner.options.page_records).cloned().collect(),
            returns: inner.returns,
        })
    }

    fn delay(&self) -> Duration {
        self.lock().faults.delay
    }
}

impl Inner {
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
        self.take(stream, data)
    }

    async fn read(&self, stream: &str, from: u64, wait_ms: u64) -> Result<Page, Unavailable> {
        tokio::time::sleep(self.delay()).await;
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let grown = self.grown.notified();
            tokio::pin!(grown);
            grown.as_mut().enable();
            let page = self.page(stream, from)?;
            if !page.records.is_empty() || Instant::now() >= deadline {
                return Ok(page);
            }
            // Either the log grew or the wait is over; the page is read again in both cases.
            tokio::time::timeout_at(deadline, grown).await.ok();
        }
    }
}
