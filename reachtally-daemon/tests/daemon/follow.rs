//! Following the claim stream where the log keeps less than the claim window.

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

/// The last word on whether the claims are whole, if there was one.
fn last_word(rx: &mut mpsc::UnboundedReceiver<Message>) -> Option<bool> {
    let mut word = None;
    while let Ok(message) = rx.try_recv() {
        match message {
            Message::Event(Event::ClaimsCaughtUp) => word = Some(true),
            Message::Event(Event::ClaimsGap | Event::ClaimLogRestored) => word = Some(false),
            _ => {}
        }
    }
    word
}

#[tokio::test(start_paused = true)]
async fn a_stream_read_from_its_first_record_is_whole() {
    let log = log(1000);
    append(&log).await;
    let (tx, mut rx) = mpsc::unbounded_channel();
    tokio::spawn(follow::claims(log, tx, WINDOW, RUN));
    sleep(Duration::from_secs(1)).await;
    assert_eq!(last_word(&mut rx), Some(true));
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
    assert_eq!(last_word(&mut rx), Some(false));
    sleep(WINDOW / 2).await;
    append(&log).await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(last_word(&mut rx), None);
    sleep(WINDOW).await;
    append(&log).await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(last_word(&mut rx), Some(true));
}

/// A log that a daemon can be cut off from.
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
    assert_eq!(last_word(&mut rx), Some(true));
    reached.cut.store(true, Ordering::SeqCst);
    // The read that waits already ends within its second.
    sleep(Duration::from_secs(2)).await;
    for _ in 0..8 {
        append(&reached.log).await;
    }
    reached.cut.store(false, Ordering::SeqCst);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(last_word(&mut rx), Some(false));
}

/// Claims of the lost seconds are unknown to all, so that no key is taken until they are as old as the window.
#[tokio::test(start_paused = true)]
async fn after_a_return_from_a_copy_the_window_passes_before_keys_are_taken_again() {
    let log = log(1000);
    append(&log).await;
    append(&log).await;
    let (tx, mut rx) = mpsc::unbounded_channel();
    tokio::spawn(follow::claims(log.clone(), tx, WINDOW, RUN));
    sleep(Duration::from_secs(1)).await;
    assert_eq!(last_word(&mut rx), Some(true));
    log.restore(CLAIMS_STREAM, 1);
    sleep(Duration::from_secs(2)).await;
    assert_eq!(last_word(&mut rx), Some(false));
    // A daemon that starts now is told by the record that the first one left.
    let (tx, mut fresh) = mpsc::unbounded_channel();
    tokio::spawn(follow::claims(log.clone(), tx, WINDOW, Incarnation(2)));
    sleep(WINDOW / 2).await;
    append(&log).await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(
        (last_word(&mut rx), last_word(&mut fresh)),
        (None, Some(false))
    );
    sleep(WINDOW).await;
    append(&log).await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(
        (last_word(&mut rx), last_word(&mut fresh)),
        (Some(true), Some(true))
    );
}

/// All daemons start after the return: nobody saw it.
#[tokio::test(start_paused = true)]
async fn a_daemon_that_starts_after_a_return_that_nobody_saw_waits_too() {
    let log = log(1000);
    append(&log).await;
    append(&log).await;
    log.restore(CLAIMS_STREAM, 1);
    let (tx, mut rx) = mpsc::unbounded_channel();
    tokio::spawn(follow::claims(log.clone(), tx, WINDOW, RUN));
    sleep(WINDOW / 2).await;
    assert_eq!(last_word(&mut rx), Some(false));
    sleep(WINDOW).await;
    append(&log).await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(last_word(&mut rx), Some(true));
}
