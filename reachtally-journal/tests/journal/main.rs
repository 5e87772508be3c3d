//! Tests of the decision log and of the reports made from it.

use reachtally_journal::queue::{QUEUE_BYTES, Queue};
use reachtally_journal::{ExplainError, crowding, explain, losses, startups};

#[test]
fn a_full_queue_stays_bounded_and_counts_dropped_lines() {
    let mut queue = Queue::default();
    let line = vec![b'x'; 1000];
    let fits = QUEUE_BYTES / line.len();
    for _ in 0..fits + 37 {
        queue.push(line.clone());
    }
    let first = queue.next("box-1").expect("the drop count comes first");
    let first = String::from_utf8(first).expect("valid UTF-8");
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
fn explain_shows_a_request_in_order_with_state_events_of_its_boxes() {
    let text = explain(LOG, "r1").expect("the request is in the log");
    let lines: Vec<&str> = text.lines().collect();
    let expected = [
        "     -100 ms  b1               target-dead    gone  [target=e1]",
        "*      +0 ms  b1               sent           it was sent  [targets=e1]",
        "*    +100 ms  b1               unknown        it is given up  []",
    ];
    assert_eq!(lines, expected);
}

#[test]
fn explain_reports_an_unknown_id_with_the_lines_read() {
    let error = explain(LOG, "r9").expect_err("the request is not in the log");
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
fn losses_are_counted_by_outcome_and_first_incident() {
    let log = [
        r#"{"t":1,"event":"no-path","id":"r1","lacks":"gap 1, unusable 0, full 2"}"#,
        r#"{"t":2,"event":"refused","id":"r1","why":"NoTarget"}"#,
        r#"{"t":5,"event":"broke","id":"r2"}"#,
        r#"{"t":4,"event":"stage-dead","id":"r2"}"#,
        r#"{"t":6,"event":"answered","id":"r2","late":true,"first_late":false}"#,
        r#"{"t":7,"event":"answered","id":"r3","late":true,"first_late":true}"#,
        r#"{"t":8,"event":"answered","id":"r4","late":false,"first_late":false}"#,
        r#"{"t":9,"event":"refused","id":"r5","why":"NoTarget"}"#,
        r#"{"t":9,"event":"slow-reader","id":"r6","why":"it takes nothing"}"#,
        "not a line of ours",
    ];
    let text = losses(log).to_string();
    let lines: Vec<&str> = text.lines().collect();
    let expected = [
        "      1   20.0%  cut off as a slow reader (it takes nothing)",
        "      1   20.0%  late between events, first an engine of the stream died",
        "      1   20.0%  late with the first event",
        "      1   20.0%  refused (NoTarget)",
        "      1   20.0%  refused (NoTarget), first no path (gap 1, unusable 0, full 2)",
        "      5  100.0%  requests that were not served in time",
    ];
    assert_eq!(lines, expected);
}

#[test]
fn losses_to_rate_limits_are_counted_as_such() {
    let log = [
        r#"{"t":1,"event":"no-permit","id":"r1"}"#,
        r#"{"t":1,"event":"no-path","id":"r1","lacks":"limited 1"}"#,
        r#"{"t":2,"event":"refused","id":"r1","why":"NoTarget"}"#,
    ];
    let text = losses(log).to_string();
    let first = text.lines().next();
    let expected = "      1  100.0%  refused (NoTarget), first rate limits of targets";
    assert_eq!(first, Some(expected));
}

#[test]
fn losses_after_a_path_repair_are_counted_as_such() {
    let log = [
        r#"{"t":1,"event":"repaired","id":"r1"}"#,
        r#"{"t":2,"event":"answered","id":"r1","late":true}"#,
    ];
    let text = losses(log).to_string();
    let expected =
        "      1  100.0%  late between events, first the path of the stream was repaired";
    assert_eq!(text.lines().next(), Some(expected));
}

#[test]
fn losses_to_admission_are_counted_by_rank() {
    let log = [
        r#"{"t":1,"event":"admission","id":"r1","rank":2,"verdict":"refused"}"#,
        r#"{"t":2,"event":"refused","id":"r1","why":"Shed"}"#,
        r#"{"t":3,"event":"admission","id":"r2","rank":0,"verdict":"admitted"}"#,
        r#"{"t":4,"event":"answered","id":"r2","late":true,"first_late":true}"#,
    ];
    let text = losses(log).to_string();
    let lines: Vec<&str> = text.lines().take(2).collect();
    let expected = [
        "      1   50.0%  late with the first event, first waited for room in the box",
        "      1   50.0%  refused (Shed), first not admitted (rank 2)",
    ];
    assert_eq!(lines, expected);
}

#[test]
fn crowding_lists_overloaded_engines_with_their_estimated_load() {
    let late = |expected, took, targets| {
        format!(
            r#"{{"t":1,"event":"answered","id":"r","late":true,"first_late":true,"expected_first_ms":{expected},"first_ms":{took},"targets":"{targets}"}}"#
        )
    };
    let refused = |target, local_tokens, remote_tokens| {
        format!(
            r#"{{"t":2,"event":"target-refused","target":"{target}","layers":"0..28","tokens":{local_tokens},"tokens_elsewhere":{remote_tokens}}}"#
        )
    };
    let log = [
        late(70, 900, "e1,e2"),
        late(80, 1500, "e1,e3"),
        late(90, 700, "e1,e2"),
        late(40, 600, "e4"),
        r#"{"t":1,"event":"answered","id":"r","late":false,"first_late":false,"first_ms":9,"targets":"e9"}"#.to_owned(),
        refused("e2", 2_000, 40_000),
        refused("e2", 0, 50_000),
        refused("e5", 9, 1),
        r#"{"t":3,"event":"budget","id":"r","boxes":295}"#.to_owned(),
        r#"{"t":3,"event":"budget","id":"r","boxes":295}"#.to_owned(),
        r#"{"t":3,"event":"budget","id":"r","boxes":64}"#.to_owned(),
        "not a line of ours".to_owned(),
    ];
    let text = crowding(log.iter().map(String::as_str)).to_string();
    let lines: Vec<&str> = text.lines().collect();
    let expected = [
        "4 late first events, by the first engine",
        "      3   75.0%  e1  expected 80 ms, took 900 ms",
        "      1   25.0%  e4  expected 40 ms, took 600 ms",
        "3 sends refused for want of room, by engine",
        "      2   66.7%  e2  layers 0..28, believed to hold 50000 tokens",
        "      1   33.3%  e5  layers 0..28, believed to hold 10 tokens",
        "3 second sends denied, by the boxes counted",
        "      1  64 boxes",
        "      2  295 boxes",
    ];
    assert_eq!(lines, expected);
}

#[test]
fn crowding_counts_lines_without_numbers() {
    let text = crowding(["{}", r#"{"t":1,"event":"target-refused","target":"e1"}"#]).to_string();
    let lines: Vec<&str> = text.lines().collect();
    let expected = [
        "0 late first events, by the first engine",
        "1 sends refused for want of room, by engine",
        "      1  100.0%  e1  layers , believed to hold - tokens",
        "0 second sends denied, by the boxes counted",
    ];
    assert_eq!(lines, expected);
}

#[test]
fn startup_counts_the_boxes_that_await_each_milestone() {
    let log = [
        r#"{"t":1000,"box":"b1","event":"start"}"#,
        r#"{"t":1010,"box":"b1","event":"startup","reached":"targets"}"#,
        r#"{"t":9000,"box":"b1","event":"start"}"#,
        r#"{"t":9500,"box":"b2","event":"start"}"#,
        r#"{"t":9100,"box":"b1","event":"startup","reached":"source"}"#,
        r#"{"t":9300,"box":"b1","event":"startup","reached":"targets"}"#,
        r#"{"t":9700,"box":"b2","event":"startup","reached":"source"}"#,
        r#"{"t":9800,"box":"b2","event":"startup","reached":"configuration"}"#,
        "not a line of ours",
    ];
    let text = startups(log).to_string();
    let lines: Vec<&str> = text.lines().map(str::trim_end).collect();
    let expected = [
        "reached        boxes  median ms  longest ms  box",
        "source           2/2        200         200  b2",
        "configuration    1/2        300         300  b2",
        "targets          1/2        300         300  b1",
        "confirmation     0/2",
        "readiness        0/2",
        "request          0/2",
        "boxes that await, by ms since the first start",
        "     ms         source  configuration        targets   confirmation      readiness        request           none",
        "      0              1              0              0              0              0              0              0",
        "   1000              0              1              1              0              0              0              0",
    ];
    assert_eq!(lines, expected);
}
