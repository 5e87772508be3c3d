//! Export of counters to StatsD.

use cadence::SpyMetricSink;
use reachtally_core::counters::Counters;
use reachtally_daemon::metrics::{send_increments, with_sink};

#[test]
fn only_what_grew_is_sent() {
    let (rx, sink) = SpyMetricSink::new();
    let client = with_sink(sink);
    let before = Counters {
        tokens_delivered: 5,
        ..Counters::default()
    };
    let now = Counters {
        tokens_delivered: 12,
        stages_shifted: 1,
        ..Counters::default()
    };
    send_increments(&client, &before, &now);
    let sent: Vec<String> = rx
        .try_iter()
        .map(|bytes| String::from_utf8(bytes).expect("StatsD is text"))
        .collect();
    assert_eq!(
        sent,
        [
            "reachtally.tokens_delivered:7|c",
            "reachtally.stages_shifted:1|c"
        ]
    );
}
