//! Compares admission policies for requests of several ranks and accounts whose demand exceeds the engines' capacity.
//!
//! Runs the production path selection, load reports and admission on a virtual clock, and compares them with no admission and with
//! admission probabilities computed by collectors. Boxes exchange loads over lossy datagrams; engines queue and refuse requests as
//! production engines do.
//!
//! Demand and utilization are fractions of the capacity: the rate that a single box with complete knowledge gets answered in time
//! when it sends every request that fits.

mod engines;
mod results;
mod scenario;
mod simulation;
#[cfg(test)]
mod tests;
mod ways;

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use bpaf::Bpaf;

use crate::report::{Goal, Report};
use engines::{Engines, Layout};
use results::Results;
use scenario::{HOT_ACCOUNT, RANKS, Scenario};
use simulation::{Parameters, ShareSplit, Simulation};
use ways::Policy;

/// Fleet sizes to simulate, in boxes.
const BOX_COUNTS: [usize; 4] = [8, 64, 295, 2500];
/// Chains of engines per failure domain, below and from `MANY_BOXES` boxes.
const CHAINS_SMALL_FLEET: usize = 4;
const CHAINS: usize = 8;
/// Number of boxes from which a failure domain has `CHAINS` chains.
const MANY_BOXES: usize = 64;
/// Demand at which the capacity is measured, as a multiple of the capacity of whole chains; it always saturates the engines.
const SATURATING_DEMAND: f64 = 2.0;
/// Simulations that run concurrently.
const THREADS: usize = 4;
/// Largest allowed deficit of a rank's in-time share against that of a less urgent rank.
const MAX_INVERSION: f64 = 0.02;
/// Smallest allowed in-time share of the most urgent rank while its demand fits the capacity.
const MIN_FIRST_RANK_SHARE: f64 = 0.98;
/// Smallest allowed utilization of the capacity under overload.
const MIN_UTILIZATION: f64 = 0.95;
/// Largest allowed number of refusals per request while capacity is free.
const MAX_FREE_REFUSALS: f64 = 0.001;
/// Longest allowed settling time after a step, in s.
const MAX_SETTLING_S: f64 = 2.0;
/// Smallest allowed share of the other accounts while one floods, relative to their share without the flood.
const MIN_KEPT_SHARE: f64 = 0.97;
/// Smallest allowed share of any account, relative to the share of all accounts.
const MIN_ACCOUNT_SHARE: f64 = 0.25;

/// Command-line options of the experiment.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Largest number of boxes to simulate
    #[bpaf(argument("N"), fallback(64))]
    most_boxes: usize,
    /// Simulate only this number of boxes
    #[bpaf(argument("N"), optional)]
    boxes: Option<usize>,
    /// Simulate only scenarios whose name contains this
    #[bpaf(argument("NAME"), optional)]
    only: Option<String>,
    /// Only the shipped admission policy
    shipped: bool,
    /// Fill an account's share with its most urgent requests, rather than with the same fraction of each rank
    urgent_first: bool,
    /// Repeated sends that the shared budget allows per request
    #[bpaf(argument("RATIO"), fallback(0.1))]
    second_sends: f64,
    /// Seed of the random number generator
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
}

/// Runs the experiment.
pub fn run(options: &Options) -> Result<Report, String> {
    let listed = BOX_COUNTS
        .into_iter()
        .filter(|boxes| *boxes <= options.most_boxes);
    let sizes = options.boxes.map_or(listed.collect(), |boxes| vec![boxes]);
    if sizes.contains(&0) {
        return Err("the number of boxes must be at least 1".to_owned());
    }
    let is_wanted = |scenario: &Scenario| {
        let only = options.only.as_ref();
        only.is_none_or(|only| scenario.to_string().contains(only))
    };
    let scenarios: Vec<Scenario> = Scenario::ALL.into_iter().filter(is_wanted).collect();
    let mut report = Report::default();
    let mut parameter_sets = Vec::new();
    for boxes in sizes {
        let capacity = |layout| measure_capacity(&mut report, layout, boxes, options);
        let [mixed, two_fast] = [Layout::Mixed, Layout::TwoFast].map(capacity);
        for scenario in &scenarios {
            let policies = Policy::ALL.into_iter();
            parameter_sets.extend(
                policies
                    .filter(|policy| !options.shipped || *policy == Policy::Reserve)
                    .map(|policy| Parameters {
                        scenario: *scenario,
                        policy,
                        boxes,
                        chains: chains(boxes),
                        capacity: match scenario.layout() {
                            Layout::Mixed => mixed,
                            Layout::TwoFast => two_fast,
                        },
                        shares: match options.urgent_first {
                            true => ShareSplit::UrgentFirst,
                            false => ShareSplit::Even,
                        },
                        second_sends: options.second_sends,
                        seed: options.seed,
                    }),
            );
        }
    }
    let runs: Vec<(Parameters, Results)> = parameter_sets
        .iter()
        .copied()
        .zip(run_all(&parameter_sets))
        .collect();
    for (parameters, results) in &runs {
        eprintln!("{}", summary_line(parameters, results));
        add_figures(&mut report, parameters, results);
        let is_baseline = |other: &&(Parameters, Results)| {
            let (other, _) = other;
            let is_alike = (other.boxes, other.policy) == (parameters.boxes, parameters.policy);
            is_alike && other.scenario == Scenario::NoFlood
        };
        if parameters.scenario == Scenario::HotAccount
            && let Some((_, baseline)) = runs.iter().find(is_baseline)
        {
            let kept = results.others().share() / baseline.others().share().max(f64::MIN_POSITIVE);
            let goal = goal(parameters, Goal::AtLeast(MIN_KEPT_SHARE));
            report.add(
                &figure_name(parameters, "share that the others keep"),
                kept,
                "",
                goal,
            );
        }
    }
    Ok(report)
}

fn chains(boxes: usize) -> usize {
    match boxes < MANY_BOXES {
        true => CHAINS_SMALL_FLEET,
        false => CHAINS,
    }
}

/// Measures the capacity of a layout, in requests per second.
fn measure_capacity(report: &mut Report, layout: Layout, boxes: usize, options: &Options) -> f64 {
    let chains = chains(boxes);
    let whole_chains =
        Engines::new(&engines::model(), &engines::entries(layout, chains)).capacity();
    let parameters = Parameters {
        scenario: match layout {
            Layout::Mixed => Scenario::Demand(SATURATING_DEMAND),
            Layout::TwoFast => Scenario::TwoFast,
        },
        policy: Policy::Fits,
        boxes: 1,
        chains,
        capacity: whole_chains,
        shares: ShareSplit::Even,
        second_sends: options.second_sends,
        seed: options.seed,
    };
    let goodput = Simulation::new(parameters).run().goodput;
    let name = format!("capacity, {layout:?}, {boxes} boxes");
    report.add(&name, whole_chains * goodput, "1/s", Goal::None);
    report.add(&format!("{name}, of whole chains"), goodput, "", Goal::None);
    whole_chains * goodput
}

/// Runs all simulations on `THREADS` threads; results are in the order of `parameter_sets`.
fn run_all(parameter_sets: &[Parameters]) -> Vec<Results> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(vec![Results::default(); parameter_sets.len()]);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let Some(parameters) = parameter_sets.get(number) else {
                        return;
                    };
                    let result = Simulation::new(*parameters).run();
                    results
                        .lock()
                        .expect("no simulation panics while holding the lock")[number] = result;
                }
            });
        }
    });
    results
        .into_inner()
        .expect("no simulation panics while holding the lock")
}

fn figure_name(parameters: &Parameters, what: &str) -> String {
    let Parameters {
        scenario,
        policy,
        boxes,
        ..
    } = parameters;
    format!("{what}, {scenario}, {policy}, {boxes} boxes")
}

/// Applies a goal to the shipped policy only.
fn goal(parameters: &Parameters, goal: Goal) -> Goal {
    match parameters.policy {
        Policy::Reserve => goal,
        _ => Goal::None,
    }
}

/// Summarizes a simulation in one line.
fn summary_line(parameters: &Parameters, results: &Results) -> String {
    let share = [0, 1, 2].map(|rank| format!("{:.3}", results.rank(rank).share()));
    let late = [0, 1, 2].map(|rank| format!("{:.3}", results.rank(rank).late_fraction()));
    format!(
        "{}: in time {}, late {}, used {:.3}, room {:.3}, refused free {:.4}, sends refused {:.3}, hot {:.3}, others {:.3}",
        figure_name(parameters, "play"),
        share.join(" "),
        late.join(" "),
        results.goodput,
        results.mean_utilization,
        results.free_refusal_ratio(),
        results.sends_refused_fraction(),
        results.account(HOT_ACCOUNT).share(),
        results.others().share(),
    )
}

fn add_figures(report: &mut Report, parameters: &Parameters, results: &Results) {
    let scenario = parameters.scenario;
    let mut add = |what: &str, value, unit, bound| {
        report.add(
            &figure_name(parameters, what),
            value,
            unit,
            goal(parameters, bound),
        );
    };
    let bounded = |is_bounded, bound| if is_bounded { bound } else { Goal::None };
    for rank in 0..RANKS {
        let counts = results.rank(rank);
        let is_bounded = rank == 0 && scenario.first_rank_fits();
        let bound = bounded(is_bounded, Goal::AtLeast(MIN_FIRST_RANK_SHARE));
        add(&format!("in time, rank {rank}"), counts.share(), "", bound);
        add(
            &format!("late, rank {rank}"),
            counts.late_fraction(),
            "",
            Goal::None,
        );
        let refused = counts.refused_fraction();
        add(&format!("refused, rank {rank}"), refused, "", Goal::None);
    }
    let inversion = Goal::AtMost(MAX_INVERSION);
    add(
        "rank below a less urgent one",
        results.inversion(),
        "",
        inversion,
    );
    for (who, counts) in [
        ("hot account", results.account(HOT_ACCOUNT)),
        ("others", results.others()),
    ] {
        add(&format!("in time, {who}"), counts.share(), "", Goal::None);
        let refused = counts.refused_fraction();
        add(&format!("refused, {who}"), refused, "", Goal::None);
    }
    let least = Goal::AtLeast(MIN_ACCOUNT_SHARE);
    add(
        "least account / all",
        results.min_account_ratio(),
        "",
        least,
    );
    let used = bounded(scenario.is_overload(), Goal::AtLeast(MIN_UTILIZATION));
    add("capacity used in time", results.goodput, "", used);
    add("room used", results.mean_utilization, "", Goal::None);
    let free = Goal::AtMost(MAX_FREE_REFUSALS);
    add(
        "refusals while capacity is free",
        results.free_refusal_ratio(),
        "",
        free,
    );
    if scenario.has_lasting_change() {
        let steady = results.settling_time(scenario.changed_at());
        add("until steady", steady, "s", Goal::AtMost(MAX_SETTLING_S));
    }
    add(
        "busiest engine / mean",
        results.max_load_ratio,
        "",
        Goal::None,
    );
    add(
        "sends refused",
        results.sends_refused_fraction(),
        "",
        Goal::None,
    );
    for (who, (bytes, messages)) in [
        ("a box", results.box_traffic),
        ("a collector", results.collector_traffic),
    ] {
        add(&format!("bytes, {who}"), bytes, "B/s", Goal::None);
        add(&format!("messages, {who}"), messages, "1/s", Goal::None);
    }
}
