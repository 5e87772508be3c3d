//! Measures how evenly many boxes with partial knowledge spread requests, compared with a single box that knows every load.
//!
//! Runs the production path selection, load reports and collector totals on a virtual clock. Engines prefill prompts sequentially
//! and refuse requests that do not fit their KV; datagrams are delayed and sometimes lost. Engines and load stay the same while
//! the number of boxes grows.

pub mod engines;
mod play;

use bpaf::Bpaf;

use crate::report::{Goal, Report};
use play::Outcome;

/// Fleet sizes to simulate, in boxes; a single box knows every load.
const BOX_COUNTS: [usize; 6] = [1, 8, 64, 300, 1000, 2500];
/// Largest allowed number of requests at the busiest engine, relative to the mean.
const MAX_SPREAD: f64 = 1.5;
/// Largest allowed rate of late first events, relative to that of a single box.
const MAX_LATE_RATIO: f64 = 1.2;
/// Percentage of late first events that is always allowed, since a single box may have none.
const ALWAYS_ALLOWED_LATE_PERCENT: f64 = 0.5;
/// Largest allowed traffic of a box in messages and bytes, relative to that with 64 boxes.
const MAX_TRAFFIC_RATIO: f64 = 1.1;
/// Index of 64 boxes in [`BOX_COUNTS`].
const TRAFFIC_REFERENCE: usize = 2;

/// Command-line options of the experiment.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Requests per second of the whole fleet
    #[bpaf(argument("N"), fallback(350))]
    rate: u32,
    /// Simulated seconds
    #[bpaf(argument("S"), fallback(15))]
    seconds: u32,
    /// Seed of the random number generator
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
}

/// Runs the experiment.
pub fn run(options: &Options) -> Result<Report, String> {
    let mut report = Report::default();
    let outcomes: Vec<Outcome> = BOX_COUNTS
        .iter()
        .map(|boxes| play::simulate(*boxes, options))
        .collect();
    let max_late = (MAX_LATE_RATIO * outcomes[0].late_percent()).max(ALWAYS_ALLOWED_LATE_PERCENT);
    let reference = &outcomes[TRAFFIC_REFERENCE];
    let reference = (reference.messages_per_box(), reference.bytes_per_box());
    for (at, (boxes, outcome)) in BOX_COUNTS.iter().zip(&outcomes).enumerate() {
        let name = |what: &str| format!("{what}, {boxes} boxes");
        let bounded = |max: f64| match at > TRAFFIC_REFERENCE {
            true => Goal::AtMost(max),
            false => Goal::None,
        };
        let spread = Goal::AtMost(MAX_SPREAD);
        report.add(&name("busiest engine / mean"), outcome.spread(), "", spread);
        let late = Goal::AtMost(max_late);
        report.add(
            &name("late first events"),
            outcome.late_percent(),
            "%",
            late,
        );
        let refused = outcome.refused_percent();
        report.add(&name("sends refused"), refused, "%", Goal::None);
        let messages = bounded(MAX_TRAFFIC_RATIO * reference.0);
        report.add(
            &name("messages a box"),
            outcome.messages_per_box(),
            "1/s",
            messages,
        );
        let bytes = bounded(MAX_TRAFFIC_RATIO * reference.1);
        report.add(&name("bytes a box"), outcome.bytes_per_box(), "B/s", bytes);
        let collector = outcome.messages_per_collector();
        report.add(&name("messages a collector"), collector, "1/s", Goal::None);
    }
    Ok(report)
}
