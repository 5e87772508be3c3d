//! Following the claim stream when the log's retention is shorter than the claim window.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use reachtally_core::claim::ClaimRecord;
use reachtally_core::{Event, Incarnation};
use reachtally_daemon::actor::Message;
use reachtally_daemon::follow;
use reachtally_log::memory::{MemoryLog, Options};
use reachtally_log::{AppendError, CLAIMS_STREAM, Log, Page, Unavailable};
use serde_json::Value;
use tokio::sync::mpsc;
use tokio::time::sleep;

const WINDOW: Duration = Duration::from_secs(10);
const RUN: Incarnation = Incarnation(1);

fn log(keep_records: usize) -> MemoryLog {
    MemoryLog::new(Options {
        keep_records,
        ..Options::default()
    })
}

async fn append(log: &MemoryLog) {
    let record = ClaimRecord {
        by: RUN,
        entries: Vec::new(),
    };
    let data = serde_json::to_value(record).expect("it serializes");
    log.append(CLAIMS_STREAM, data)
        .await
        .expect("the log takes it");
}

/// Drains the events and returns the last reported claim coverage: `true` if complete, `None` if no
/// event reported it.
fn last_completeness(rx: &mut mpsc::UnboundedReceiver<Message>) -> Option<bool> {
    let mut complete = None;
    while let Ok(message) = rx.try_recv() {
        match message {
            Message::Event(Event::ClaimsCaughtUp) => complete = Some(true),
            Message::Event(Event::ClaimsGap | Event::ClaimLogRestored) => complete = Some(false),
            _ => {}
        }
    }
    complete
}

#[tokio::test(start_paused = true)]
async fn a_stream_read_from_its_first_record_is_whole() {
    let log = log(1000);
    append(&log).await;
    let (tx, mut rx) = mpsc::unbounded_channel();
    tokio::spawn(follow::claims(log, tx, WINDOW, RUN));
    sleep(Duration::from_secs(1)).await;
    assert_eq!(last_completeness(&mut rx), Some(true));
}

#[tokio::test(start_paused = true)]
async fn claims_that_retention_dropped_too_early_are_waited_for() {
    let log = log(3);
    for _ in 0..10 {
        append(&log).await;
    }
    let (tx, mut rx) = mpsc::unbounded_channel();
    tokio::spawn(follow::claims(log.clone(), tx, WINDOW, RUN));
    sleep(Duration::from_secs(1)).await;
    assert_eq!(last_completeness(&mut rx), Some(false));
    sleep(WINDOW / 2).await;
    append(&log).await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(last_completeness(&mut rx), None);
    sleep(WINDOW).await;
    append(&log).await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(last_completeness(&mut rx), Some(true));
}

/// A log whose reads can be made to fail.
#[derive(Clone)]
struct CutLog {
    log: MemoryLog,
    cut: Arc<AtomicBool>,
}

impl Log for CutLog {
    async fn append(&self, stream: &str, data: Value) -> Result<u64, AppendError> {
        self.log.append(stream, data).await
    }

    async fn read(&self, stream: &str, from: u64, wait_ms: u64) -> Result<Page, Unavailable> {
        if self.cut.load(Ordering::SeqCst) {
            return Err(Unavailable);
        }
        self.log.read(stream, from, wait_ms).await
    }
}

#[tokio::test(start_paused = true)]
async fn a_cut_longer_than_the_retention_leaves_a_gap() {
    let reached = CutLog {
        log: log(3),
        cut: Arc::default(),
    };
    append(&reached.log).await;
    let (tx, mut rx) = mpsc::unbounded_channel();
    tokio::spawn(follow::claims(reached.clone(), tx, WINDOW, RUN));
    sleep(Duration::from_secs(1)).await;
    assert_eq!(last_completeness(&mut rx), Some(true));
    reached.cut.store(true, Ordering::SeqCst);
    // The long poll in progress ends within one second.
    sleep(Duration::from_secs(2)).await;
    for _ in 0..8 {
        append(&reached.log).await;
    }
    reached.cut.store(false, Ordering::SeqCst);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(last_completeness(&mut rx), Some(false));
}

/// A restore loses the claims made after the copy, so keys must not be accepted until the window has
/// passed since the restore.
#[tokio::test(start_paused = true)]
async fn after_a_return_from_a_copy_the_window_passes_before_keys_are_taken_again() {
    let log = log(1000);
    append(&log).await;
    append(&log).await;
    let (tx, mut rx) = mpsc::unbounded_channel();
    tokio::spawn(follow::claims(log.clone(), tx, WINDOW, RUN));
    sleep(Duration::from_secs(1)).await;
    assert_eq!(last_completeness(&mut rx), Some(true));
    log.restore(CLAIMS_STREAM, 1);
    sleep(Duration::from_secs(2)).await;
    assert_eq!(last_completeness(&mut rx), Some(false));
    // A daemon that starts now learns of the restore from the record that the first daemon appended.
    let (tx, mut fresh) = mpsc::unbounded_channel();
    tokio::spawn(follow::claims(log.clone(), tx, WINDOW, Incarnation(2)));
    sleep(WINDOW / 2).await;
    append(&log).await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(
        (last_completeness(&mut rx), last_completeness(&mut fresh)),
        (None, Some(false))
    );
    sleep(WINDOW).await;
    append(&log).await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(
        (last_completeness(&mut rx), last_completeness(&mut fresh)),
        (Some(true), Some(true))
    );
}

/// All daemons start after the restore, so none of them observed it.
#[tokio::test(start_paused = true)]
async fn a_daemon_that_starts_after_a_return_that_nobody_saw_waits_too() {
    let log = log(1000);
    append(&log).await;
    append(&log).await;
    log.restore(CLAIMS_STREAM, 1);
    let (tx, mut rx) = mpsc::unbounded_channel();
    tokio::spawn(follow::claims(log.clone(), tx, WINDOW, RUN));
    sleep(WINDOW / 2).await;
    assert_eq!(last_completeness(&mut rx), Some(false));
    sleep(WINDOW).await;
    append(&log).await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(last_completeness(&mut rx), Some(true));
}
