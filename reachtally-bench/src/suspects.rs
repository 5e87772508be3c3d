//! Measures the quarantine of requests that crash engines, by fleet size: engines lost to one request, time until all boxes
//! quarantine it, and the traffic of the reports.
//!
//! Runs the production quarantine table and messages on a virtual clock. Boxes report to the first box of their failure domain, as
//! they do to a collector; datagrams are delayed and may be lost. An engine starts a request after some wait and crashes shortly
//! after.

mod play;

use bpaf::Bpaf;

use crate::report::{Goal, Report};
use play::{Parameters, Results, Simulation};

/// Fleet sizes to simulate, in boxes.
const BOX_COUNTS: [usize; 4] = [8, 64, 295, 2500];
/// Largest allowed number of engines that one request crashes.
const MAX_ENGINES_LOST: f64 = 3.0;
/// Longest allowed time until all boxes quarantine the request, in ms.
const MAX_PROPAGATION_MS: f64 = 1000.0;
/// Largest allowed number of innocent requests refused, of 100,000.
const MAX_INNOCENTS_REFUSED: f64 = 1.0;

/// Command-line options of the experiment.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Simulations of each fleet size, each with a different seed
    #[bpaf(argument("N"), fallback(10))]
    plays: u64,
    /// Fraction of the datagrams that are lost
    #[bpaf(argument("PART"), fallback(0.02))]
    loss: f64,
    /// Engines of a path, any of which crashes; the requests on them have begun on all
    #[bpaf(argument("N"), fallback(1))]
    path: u32,
}

/// Runs the experiment.
pub fn run(options: &Options) -> Result<Report, String> {
    if !(0.0..1.0).contains(&options.loss) {
        return Err("the fraction of lost datagrams must be at least 0 and below 1".to_owned());
    }
    if options.path == 0 {
        return Err("a path must have at least 1 engine".to_owned());
    }
    let mut report = Report::default();
    for boxes in BOX_COUNTS {
        let mut merged = Results::default();
        for seed in 0..options.plays {
            let parameters = Parameters {
                boxes,
                loss: options.loss,
                path: options.path,
                seed,
            };
            merged.add(&Simulation::new(parameters).run());
        }
        add_figures(&mut report, boxes, &merged);
    }
    Ok(report)
}

fn add_figures(report: &mut Report, boxes: usize, results: &Results) {
    let name = |what: &str| format!("{what}, {boxes} boxes");
    let plays = results.plays.max(1) as f64;
    let mean = |count: u64| count as f64 / plays;
    let engines_lost = mean(results.engines_lost);
    report.add(
        &name("engines lost"),
        engines_lost,
        "each",
        Goal::AtMost(MAX_ENGINES_LOST),
    );
    report.add(
        &name("engines lost at most"),
        results.max_engines_lost as f64,
        "each",
        Goal::None,
    );
    report.add(
        &name("sends late after the third end"),
        mean(results.late_sends),
        "each",
        Goal::AtMost(0.0),
    );
    let known = results.propagation_ms / plays;
    report.add(
        &name("until all boxes know"),
        known,
        "ms",
        Goal::AtMost(MAX_PROPAGATION_MS),
    );
    let innocents = results.innocents.max(1) as f64;
    let refused = results.innocents_refused as f64 / innocents * 100_000.0;
    report.add(
        &name("innocents refused"),
        refused,
        "of 100,000",
        Goal::AtMost(MAX_INNOCENTS_REFUSED),
    );
    report.add(
        &name("a box sends and gets"),
        results.box_bytes / plays,
        "bytes/s",
        Goal::None,
    );
    report.add(
        &name("a collector sends and gets"),
        results.collector_bytes / plays,
        "bytes/s",
        Goal::None,
    );
}
