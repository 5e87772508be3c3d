//! Requests that crash engines, at size: how many engines one costs, how soon all boxes know, and what telling costs.
//!
//! The shipped table and messages on a virtual clock. Boxes report to the first box of their failure domain, as they do to a
//! collector; datagrams take a moment and may be lost. An engine begins a request after a while and ends soon after.

mod play;

use bpaf::Bpaf;

use crate::report::{Goal, Report};
use play::{Play, Seen, Setting};

/// Numbers of boxes.
const BOXES: [usize; 4] = [8, 64, 295, 2500];
/// Most engines that one request may cost.
const MOST_ENDS: f64 = 3.0;
/// Longest time until all boxes know, in ms.
const KNOWN_WITHIN_MS: f64 = 1000.0;
/// Most innocent requests refused of 100,000.
const MOST_REFUSED: f64 = 1.0;

/// What is played.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Plays of each size, each with another seed
    #[bpaf(argument("N"), fallback(10))]
    plays: u64,
    /// Part of the datagrams that are lost
    #[bpaf(argument("PART"), fallback(0.02))]
    loss: f64,
}

/// Run the experiment.
pub fn run(options: &Options) -> Result<Report, String> {
    if !(0.0..1.0).contains(&options.loss) {
        return Err("the fraction of lost datagrams must be at least 0 and below 1".to_owned());
    }
    let mut report = Report::default();
    for boxes in BOXES {
        let mut sum = Seen::default();
        for seed in 0..options.plays {
            let setting = Setting {
                boxes,
                loss: options.loss,
                seed,
            };
            sum.add(&Play::new(setting).run());
        }
        add_figures(&mut report, boxes, &sum);
    }
    Ok(report)
}

fn add_figures(report: &mut Report, boxes: usize, seen: &Seen) {
    let name = |what: &str| format!("{what}, {boxes} boxes");
    let plays = seen.plays.max(1) as f64;
    let mean = |count: u64| count as f64 / plays;
    let ends = mean(seen.ends);
    report.add(&name("engines lost"), ends, "each", Goal::AtMost(MOST_ENDS));
    report.add(
        &name("engines lost at most"),
        seen.most_ends as f64,
        "each",
        Goal::None,
    );
    report.add(
        &name("sends late after the third end"),
        mean(seen.late_sends),
        "each",
        Goal::AtMost(0.0),
    );
    let known = seen.known_ms / plays;
    report.add(
        &name("until all boxes know"),
        known,
        "ms",
        Goal::AtMost(KNOWN_WITHIN_MS),
    );
    let innocents = seen.innocents.max(1) as f64;
    let refused = seen.innocents_refused as f64 / innocents * 100_000.0;
    report.add(
        &name("innocents refused"),
        refused,
        "of 100,000",
        Goal::AtMost(MOST_REFUSED),
    );
    report.add(
        &name("a box sends and gets"),
        seen.box_bytes / plays,
        "bytes/s",
        Goal::None,
    );
    report.add(
        &name("a collector sends and gets"),
        seen.collector_bytes / plays,
        "bytes/s",
        Goal::None,
    );
}
