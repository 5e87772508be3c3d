//! Tests of the in-memory log on a paused clock.

use std::time::Duration;

use reachtally_log::memory::{Faults, MemoryLog, Options};
use reachtally_log::{AppendError, Log, Unavailable};
use serde_json::{Value, json};
use tokio::time::{Instant, advance};

const STREAM: &str = "s";

fn log(options: Options) -> MemoryLog {
    MemoryLog::new(options)
}

async fn append(log: &MemoryLog, number: u64) -> Result<u64, AppendError> {
    log.append(STREAM, json!(number)).await
}

async fn contents(log: &MemoryLog) -> (u64, Vec<Value>) {
    let page = log.read(STREAM, 0, 0).await.expect("the read succeeds");
    (
        page.first,
        page.records.into_iter().map(|record| record.data).collect(),
    )
}

#[tokio::test(start_paused = true)]
async fn offsets_are_consecutive_and_old_records_are_dropped() {
    let log = log(Options {
        keep_records: 2,
        ..Options::default()
    });
    for number in 0..4 {
        assert_eq!(append(&log, number).await, Ok(number));
    }
    assert_eq!(contents(&log).await, (2, vec![json!(2), json!(3)]));
}

#[tokio::test(start_paused = true)]
async fn appends_beyond_the_limit_are_refused_until_the_next_second() {
    let log = log(Options {
        appends_per_s: 2,
        ..Options::default()
    });
    assert_eq!(append(&log, 0).await, Ok(0));
    assert_eq!(append(&log, 1).await, Ok(1));
    assert_eq!(append(&log, 2).await, Err(AppendError::Refused));
    advance(Duration::from_secs(1)).await;
    assert_eq!(append(&log, 3).await, Ok(2));
}

#[tokio::test(start_paused = true)]
async fn an_append_with_a_lost_response_keeps_its_record() {
    let log = log(Options::default());
    log.set_faults(Faults {
        lose_answers: 1,
        ..Faults::default()
    });
    assert_eq!(append(&log, 0).await, Err(AppendError::Lost));
    assert_eq!(append(&log, 1).await, Ok(1));
    assert_eq!(contents(&log).await.1, [json!(0), json!(1)]);
}

#[tokio::test(start_paused = true)]
async fn an_outage_fails_appends_and_reads() {
    let log = log(Options::default());
    log.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    assert_eq!(append(&log, 0).await, Err(AppendError::Refused));
    assert_eq!(log.read(STREAM, 0, 0).await, Err(Unavailable));
}

#[tokio::test(start_paused = true)]
async fn a_read_waits_until_the_first_record_or_its_timeout() {
    let log = log(Options::default());
    let started = Instant::now();
    let page = log.read(STREAM, 0, 500).await.expect("the read succeeds");
    assert!(page.records.is_empty());
    assert_eq!(started.elapsed(), Duration::from_millis(500));
    let waiting = tokio::spawn({
        let log = log.clone();
        async move { log.read(STREAM, 0, 10_000).await }
    });
    tokio::task::yield_now().await;
    append(&log, 7).await.expect("the append succeeds");
    let page = waiting.await.expect("no panic").expect("the read succeeds");
    assert_eq!(page.records.len(), 1);
}
