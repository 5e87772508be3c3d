//! How well many boxes that each know only what they are told spread requests, against one box that knows
//! all.
//!
//! The shipped choice of paths, reports and sums of loads, on a virtual clock: engines that read prompts one
//! after the other and refuse what their KV does not hold, datagrams that are late and sometimes lost. The
//! fleet and its load stay the same while the number of boxes grows.

pub mod engines;
mod play;

use bpaf::Bpaf;

use crate::report::{Goal, Report};
use play::Outcome;

/// Numbers of boxes, the first of which knows all.
const BOXES: [usize; 6] = [1, 8, 64, 300, 1000, 2500];
/// Requests at the busiest engine, in those of the mean one.
const SPREAD_MOST: f64 = 1.5;
/// Late first events, in those of a single box.
const LATE_MOST: f64 = 1.2;
/// Late first events in a hundred that are always allowed, since a single box may have none.
const LATE_FLOOR: f64 = 0.5;
/// Growth of messages and bytes of a box from 64 boxes on.
const TRAFFIC_MOST: f64 = 1.1;
/// Where in [`BOXES`] 64 stands.
const FLAT_FROM: usize = 2;

/// What is played.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Requests a second of the whole fleet
    #[bpaf(argument("N"), fallback(350))]
    rate: u32,
    /// Seconds that are played
    #[bpaf(argument("S"), fallback(15))]
    seconds: u32,
    /// Seed of all chance
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
}

/// Run the experiment.
pub fn run(options: &Options) -> Result<Report, String> {
    let mut report = Report::default();
    let outcomes: Vec<Outcome> = BOXES
        .iter()
        .map(|boxes| play::play(*boxes, options))
        .collect();
    let late_most = (LATE_MOST * outcomes[0].late_percent()).max(LATE_FLOOR);
    let flat = &outcomes[FLAT_FROM];
    let flat = (flat.messages_each(), flat.bytes_each());
    for (at, (boxes, outcome)) in BOXES.iter().zip(&outcomes).enumerate() {
        let name = |what: &str| format!("{what}, {boxes} boxes");
        let bounded = |most: f64| match at > FLAT_FROM {
            true => Goal::AtMost(most),
            false => Goal::None,
        };
        let spread = Goal::AtMost(SPREAD_MOST);
        report.add(&name("busiest engine / mean"), outcome.spread(), "", spread);
        let late = Goal::AtMost(late_most);
        report.add(
            &name("late first events"),
            outcome.late_percent(),
            "%",
            late,
        );
        let refused = outcome.refused_percent();
        report.add(&name("sends refused"), refused, "%", Goal::None);
        let messages = bounded(TRAFFIC_MOST * flat.0);
        report.add(
            &name("messages a box"),
            outcome.messages_each(),
            "1/s",
            messages,
        );
        let bytes = bounded(TRAFFIC_MOST * flat.1);
        report.add(&name("bytes a box"), outcome.bytes_each(), "B/s", bytes);
        let collector = outcome.messages_of_collectors();
        report.add(&name("messages a collector"), collector, "1/s", Goal::None);
    }
    Ok(report)
}
