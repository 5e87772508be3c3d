//! The decision log.

use reachtally_journal::queue::{QUEUE_BYTES, Queue};
use reachtally_journal::{ExplainError, explain, losses};

#[test]
fn a_full_queue_drops_and_counts_and_never_grows() {
    let mut queue = Queue::default();
    let line = vec![b'x'; 1000];
    let fits = QUEUE_BYTES / line.len();
    for _ in 0..fits + 37 {
        queue.push(line.clone());
    }
    let first = queue.next("box-1").expect("the count is told first");
    let first = String::from_utf8(first).expect("it is a text");
    assert_eq!(
        first,
        "{\"box\":\"box-1\",\"event\":\"dropped\",\"lines\":37}\n"
    );
    let mut written = 0;
    while queue.next("box-1").is_some() {
        written += 1;
    }
    assert_eq!(written, fits);
    queue.push(line.clone());
    assert_eq!(queue.next("box-1"), Some(line));
    assert!(queue.is_empty());
}

const LOG: [&str; 6] = [
    r#"{"t":2000,"box":"b1","event":"sent","id":"r1","msg":"it was sent","targets":"e1"}"#,
    r#"{"t":1900,"box":"b1","event":"target-dead","target":"e1","msg":"gone"}"#,
    r#"{"t":1950,"box":"b2","event":"target-dead","target":"e1","msg":"gone"}"#,
    "not a line of ours",
    r#"12.5 b1 {"t":2100,"box":"b1","event":"unknown","id":"r1","msg":"it is given up"}"#,
    r#"{"t":2050,"box":"b1","event":"sent","id":"r2","msg":"another's"}"#,
];

#[test]
fn one_request_is_followed_in_time_with_what_its_boxes_believed() {
    let text = explain(LOG, "r1").expect("it is there");
    let lines: Vec<&str> = text.lines().collect();
    let expected = [
        "     -100 ms  b1               target-dead    gone  [target=e1]",
        "*      +0 ms  b1               sent           it was sent  [targets=e1]",
        "*    +100 ms  b1               unknown        it is given up  []",
    ];
    assert_eq!(lines, expected);
}

#[test]
fn an_id_that_is_not_there_is_an_error_that_says_what_was_read() {
    let error = explain(LOG, "r9").expect_err("it is not there");
    let expected = ExplainError::NotFound {
        lines: 6,
        malformed: 1,
    };
    assert_eq!(error, expected);
    assert_eq!(
        error.to_string(),
        "no line of 6 names the request (1 were no JSON)"
    );
}

#[test]
fn requests_that_were_not_served_in_time_are_counted_by_their_end_and_first_trouble() {
    let log = [
        r#"{"t":1,"event":"no-path","id":"r1","lacks":"gap 1, unusable 0, full 2"}"#,
        r#"{"t":2,"event":"refused","id":"r1","why":"NoTarget"}"#,
        r#"{"t":5,"event":"broke","id":"r2"}"#,
        r#"{"t":4,"event":"stage-dead","id":"r2"}"#,
        r#"{"t":6,"event":"answered","id":"r2","late":true,"first_late":false}"#,
        r#"{"t":7,"event":"answered","id":"r3","late":true,"first_late":true}"#,
        r#"{"t":8,"event":"answered","id":"r4","late":false,"first_late":false}"#,
        r#"{"t":9,"event":"refused","id":"r5","why":"NoTarget"}"#,
        "not a line of ours",
    ];
    let text = losses(log).to_string();
    let lines: Vec<&str> = text.lines().collect();
    let expected = [
        "      1   25.0%  late between events, first an engine of the stream died",
        "      1   25.0%  late with the first event",
        "      1   25.0%  refused (NoTarget)",
        "      1   25.0%  refused (NoTarget), first no path (gap 1, unusable 0, full 2)",
        "      4  100.0%  requests that were not served in time",
    ];
    assert_eq!(lines, expected);
}
