//! Measures the capacity of layer placements, whole and after losses, against simple placements and an upper bound.
//!
//! Runs the production placement with its repairs from empty engines, in memory, and evaluates the result with the production
//! evaluator.

mod cuts;
mod fleets;

use std::time::Instant;

use bpaf::Bpaf;
use reachtally_core::forward::placement::Host;
use reachtally_core::forward::placement::evaluate::{Flows, capacity, chains, flows, served};

use crate::report::{Goal, Report};
use fleets::{FleetCase, OBJECTIVES};

/// Smallest allowed capacity of any fleet, relative to the better simple placement.
const MIN_OF_SIMPLE: f64 = 0.95;
/// Smallest allowed median capacity, relative to the upper bound.
const MIN_OF_BOUND: f64 = 0.95;
/// Smallest allowed median capacity of fleets with several card types, relative to the better simple placement.
const MIN_OF_SIMPLE_MIXED: f64 = 1.2;
/// Longest allowed planning time of any fleet, in ms.
const MAX_PLAN_MS: f64 = 1000.0;
/// Maximum number of losses that are evaluated for a fleet: the busiest engines, and an even sample of the others.
const MAX_LOSSES: usize = 24;

/// Command-line options of the experiment.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Number of random fleets
    #[bpaf(argument("N"), fallback(200))]
    fleets: u64,
    /// Seed of the first fleet
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Print a line for each fleet
    lines: bool,
}

/// Capacity of a placement, in requests per second.
struct Capacities {
    intact: f64,
    /// Worst and mean capacity after the loss of one engine.
    engine: (f64, f64),
    /// Worst and mean capacity after the loss of all engines of a chain.
    chain: (f64, f64),
}

/// Runs the experiment.
pub fn run(options: &Options) -> Result<Report, String> {
    let mut report = Report::default();
    for case in fleets::examples() {
        example(&case, &mut report);
    }
    let mut figures = Figures::default();
    for seed in options.seed..options.seed + options.fleets {
        figures.add(&fleets::random(seed), options.lines);
    }
    figures.report(&mut report);
    Ok(report)
}

fn example(case: &FleetCase, report: &mut Report) {
    let mut add = |what: &str, value: f64, unit| {
        report.add(&format!("{}: {what}", case.name), value, unit, Goal::None);
    };
    let (hosts, plan_ms) = timed(|| cuts::shipped(case));
    let (capacities, evaluation_ms) = timed(|| measure(case, &hosts));
    let demand_served = served(&case.model, &hosts, &case.demand, OBJECTIVES);
    add("bound", cuts::bound(case), "1/s");
    add("whole", capacities.intact, "1/s");
    add("one engine lost, at worst", capacities.engine.0, "1/s");
    add("one engine lost, mean", capacities.engine.1, "1/s");
    add("a chain lost, at worst", capacities.chain.0, "1/s");
    add("a chain lost, mean", capacities.chain.1, "1/s");
    add("asked and served", demand_served.combined, "1/s");
    add(
        "asked and served, domains cut off",
        demand_served.isolated,
        "1/s",
    );
    let simple = measure(case, &cuts::simple(case));
    add("better simple plan, whole", simple.intact, "1/s");
    add(
        "better simple plan, one engine lost, at worst",
        simple.engine.0,
        "1/s",
    );
    let firsts = hosts
        .iter()
        .filter(|host| host.layers.start == 0 && !host.layers.is_empty());
    let layers = firsts.map(|host| host.layers.len());
    add(
        "most layers of a first engine",
        layers.max().unwrap_or(0) as f64,
        "",
    );
    add("plan", plan_ms, "ms");
    add("evaluations", evaluation_ms, "ms");
}

fn timed<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let started = Instant::now();
    let done = work();
    (done, started.elapsed().as_secs_f64() * 1000.0)
}

fn measure(case: &FleetCase, hosts: &[Host]) -> Capacities {
    let flows = flows(&case.model, hosts, OBJECTIVES);
    let intact = flows.per_s;
    let without = |lost: &[usize]| {
        let left = hosts.iter().enumerate();
        let left: Vec<Host> = left
            .filter(|(number, _)| !lost.contains(number))
            .map(|(_, host)| host.clone())
            .collect();
        capacity(&case.model, &left, OBJECTIVES)
    };
    let engines: Vec<f64> = losses(&flows, hosts)
        .iter()
        .map(|one| without(&[*one]))
        .collect();
    let chains = chains(&case.model, hosts, OBJECTIVES);
    let step = chains.len().div_ceil(MAX_LOSSES).max(1);
    let chains: Vec<f64> = chains
        .iter()
        .step_by(step)
        .map(|chain| without(chain))
        .collect();
    Capacities {
        intact,
        engine: worst_and_mean(&engines, intact),
        chain: worst_and_mean(&chains, intact),
    }
}

/// Selects the engines whose loss is evaluated: those that serve most requests, and a sample of the others. Of identical engines
/// one is selected.
fn losses(flows: &Flows, hosts: &[Host]) -> Vec<usize> {
    let all = flows.busiest(hosts, hosts.len());
    let (first, others) = all.split_at(all.len().min(MAX_LOSSES / 2));
    let step = others.len().div_ceil(MAX_LOSSES / 2).max(1);
    first
        .iter()
        .chain(others.iter().step_by(step))
        .copied()
        .collect()
}

fn worst_and_mean(values: &[f64], intact: f64) -> (f64, f64) {
    if values.is_empty() {
        return (intact, intact);
    }
    let worst = values.iter().copied().fold(f64::INFINITY, f64::min);
    (worst, values.iter().sum::<f64>() / values.len() as f64)
}

/// Capacities of all random fleets, relative to other placements of the same fleet.
#[derive(Default)]
struct Figures {
    of_simple: Vec<f64>,
    of_simple_mixed: Vec<f64>,
    of_simple_lost: Vec<f64>,
    of_bound: Vec<f64>,
    plan_ms: f64,
    intact: f64,
    worst: f64,
}

impl Figures {
    fn add(&mut self, case: &FleetCase, is_verbose: bool) {
        let (hosts, plan_ms) = timed(|| cuts::shipped(case));
        let shipped = measure(case, &hosts);
        let simple = measure(case, &cuts::simple(case));
        let bound = cuts::bound(case);
        let ratio = |value: f64, other: f64| if other > 0.0 { value / other } else { 1.0 };
        let of_simple = ratio(shipped.intact, simple.intact);
        self.of_simple.push(of_simple);
        if case.model.cards.len() > 1 {
            self.of_simple_mixed.push(of_simple);
        }
        self.of_simple_lost
            .push(ratio(shipped.engine.0, simple.engine.0));
        self.of_bound.push(ratio(shipped.intact, bound));
        self.plan_ms = self.plan_ms.max(plan_ms);
        self.intact += shipped.intact;
        self.worst += shipped.engine.0;
        if is_verbose {
            println!(
                "{}, {} engines: whole {:.2}, one engine lost {:.2} at worst {:.2} mean, chain lost {:.2}; simple {:.2}, {:.2}; bound {bound:.2}; plan {plan_ms:.1} ms",
                case.name,
                case.hosts.len(),
                shipped.intact,
                shipped.engine.0,
                shipped.engine.1,
                shipped.chain.0,
                simple.intact,
                simple.engine.0,
            );
        }
    }

    fn report(mut self, report: &mut Report) {
        let fleets = self.of_simple.len().max(1) as f64;
        report.add("whole, mean", self.intact / fleets, "1/s", Goal::None);
        report.add(
            "one engine lost at worst, mean",
            self.worst / fleets,
            "1/s",
            Goal::None,
        );
        let goal = Goal::AtLeast(MIN_OF_SIMPLE);
        report.add(
            "of the better simple plan, least",
            minimum(&self.of_simple),
            "",
            goal,
        );
        let below = self
            .of_simple
            .iter()
            .filter(|part| **part < MIN_OF_SIMPLE)
            .count();
        report.add("fleets below it", below as f64, "", Goal::AtMost(0.0));
        let part = median(&mut self.of_simple);
        report.add("of the better simple plan, median", part, "", Goal::None);
        let part = median(&mut self.of_simple_mixed);
        let goal = Goal::AtLeast(MIN_OF_SIMPLE_MIXED);
        report.add(
            "of the better simple plan, mixed cards, median",
            part,
            "",
            goal,
        );
        let part = median(&mut self.of_simple_lost);
        report.add(
            "of the better simple plan, one engine lost at worst, median",
            part,
            "",
            Goal::None,
        );
        let part = median(&mut self.of_bound);
        report.add(
            "of the bound, median",
            part,
            "",
            Goal::AtLeast(MIN_OF_BOUND),
        );
        report.add(
            "longest plan",
            self.plan_ms,
            "ms",
            Goal::AtMost(MAX_PLAN_MS),
        );
    }
}

fn minimum(values: &[f64]) -> f64 {
    values.iter().copied().fold(f64::INFINITY, f64::min)
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
