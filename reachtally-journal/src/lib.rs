//! The decision log: one JSON line per decision, written to standard output.
//!
//! Records arrive through the `log` crate with key-value pairs. They are encoded immediately and queued for
//! a writer task, so a consumer that stops reading never blocks a request. The queue is bounded: when it is
//! full, lines are dropped and counted, and the count is written once there is room again.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod crowding;
mod explain;
mod line;
mod losses;
pub mod queue;
mod ranking;
mod startup;

use std::io::Write;
use std::os::fd::AsFd;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use log::kv::{self, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use serde_json::{Map, Value as Json};
use tokio::io::AsyncWriteExt;
use tokio::net::unix::pipe;
use tokio::sync::Notify;

use crate::queue::Queue;

pub use crowding::{BudgetDenials, Crowding, LateFirstEvents, Refusals, crowding};
pub use explain::{Error as ExplainError, explain};
pub use losses::{Losses, losses};
pub use startup::{Startups, startups};

/// How long a process waits on exit for its remaining lines to be written.
const FLUSH_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(100);

struct Journal {
    name: String,
    started: Instant,
    queue: Mutex<Queue>,
    line_queued: Notify,
}

static JOURNAL: OnceLock<Journal> = OnceLock::new();

/// Installs the logger of the process `name` and spawns its writer task. Must be called from within a Tokio
/// runtime that supports `spawn_local`.
pub fn start(name: &str) {
    let journal = JOURNAL.get_or_init(|| Journal {
        name: name.to_owned(),
        started: Instant::now(),
        queue: Mutex::default(),
        line_queued: Notify::new(),
    });
    if log::set_logger(journal).is_ok() {
        log::set_max_level(LevelFilter::Info);
        tokio::task::spawn_local(write(journal));
    }
}

/// Waits until all queued lines are written, but no longer than a short timeout.
pub async fn flush() {
    let Some(journal) = JOURNAL.get() else {
        return;
    };
    let empty = async {
        while !journal.lock().is_empty() {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    };
    if tokio::time::timeout(FLUSH_TIMEOUT, empty).await.is_err() {
        eprintln!("timed out while flushing the log; some lines were not written");
    }
}

impl Journal {
    fn lock(&self) -> std::sync::MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn encode(&self, record: &Record<'_>) -> Vec<u8> {
        let unix_time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let mut fields = Fields(Map::new());
        fields.insert("t", unix_time.as_millis() as u64);
        fields.insert("up", self.started.elapsed().as_millis() as u64);
        fields.insert("box", self.name.as_str());
        fields.insert("level", record.level().as_str());
        if record.key_values().visit(&mut fields).is_err() {
            fields.insert("lost-fields", true);
        }
        fields.insert("msg", record.args().to_string());
        let mut line = Json::Object(fields.0).to_string().into_bytes();
        line.push(b'\n');
        line
    }

    fn next(&self) -> Option<Vec<u8>> {
        self.lock().next(&self.name)
    }
}

struct Fields(Map<String, Json>);

impl Fields {
    fn insert(&mut self, name: &str, value: impl Into<Json>) {
        self.0.insert(name.to_owned(), value.into());
    }
}

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let json = match (value.to_u64(), value.to_i64(), value.to_bool()) {
            (Some(number), _, _) => Json::from(number),
            (_, Some(number), _) => Json::from(number),
            (_, _, Some(flag)) => Json::from(flag),
            _ => Json::from(value.to_string()),
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}

impl Log for Journal {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let line = self.encode(record);
        self.lock().push(line);
        self.line_queued.notify_one();
    }

    fn flush(&self) {}
}

/// Writes queued lines to standard output. Pipes are written without blocking; writes to a file never block
/// for long.
async fn write(journal: &'static Journal) {
    let stdout = std::io::stdout();
    let owned = stdout.as_fd().try_clone_to_owned();
    let mut pipe = owned
        .ok()
        .and_then(|fd| pipe::Sender::from_owned_fd(fd).ok());
    loop {
        while let Some(line) = journal.next() {
            let result = match &mut pipe {
                Some(pipe) => pipe.write_all(&line).await,
                None => stdout.lock().write_all(&line),
            };
            if result.is_err() {
                // The reader of standard output is gone, so the error can't be logged either.
                return;
            }
        }
        journal.line_queued.notified().await;
    }
}
