//! What plans of layers serve, whole and after losses, against simple plans and a bound.
//!
//! The shipped plan with its repairs, from empty engines; judged by the shipped evaluator, in memory.

mod cuts;
mod fleets;

use std::time::Instant;

use bpaf::Bpaf;
use reachtally_core::forward::placement::Host;
use reachtally_core::forward::placement::evaluate::{Flows, capacity, chains, flows, served};

use crate::report::{Goal, Report};
use fleets::{AIM, Case};

/// Least part of the better simple plan that every fleet serves.
const SIMPLE_LEAST: f64 = 0.95;
/// Least part of the bound at the median.
const BOUND_LEAST: f64 = 0.95;
/// Least gain over the better simple plan at the median, with more than one kind of card.
const MIXED_LEAST: f64 = 1.2;
/// Longest plan of the largest fleet, in ms.
const PLAN_MS_MOST: f64 = 1000.0;
/// Most losses that are tried for a fleet: the engines with most of a path's work, and others at equal distances.
const LOSSES: usize = 24;

/// What is judged.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Random fleets
    #[bpaf(argument("N"), fallback(200))]
    fleets: u64,
    /// Seed of the first fleet
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Print a line for each fleet
    lines: bool,
}

/// What a plan serves, in requests a second.
struct Judged {
    whole: f64,
    /// After the loss of one engine: at worst and at the mean.
    engine: (f64, f64),
    /// After the loss of all engines of a chain.
    chain: (f64, f64),
}

/// Run the experiment.
pub fn run(options: &Options) -> Result<Report, String> {
    let mut report = Report::default();
    for case in fleets::examples() {
        example(&case, &mut report);
    }
    let mut figures = Figures::default();
    for seed in options.seed..options.seed + options.fleets {
        figures.add(&fleets::drawn(seed), options.lines);
    }
    figures.report(&mut report);
    Ok(report)
}

fn example(case: &Case, report: &mut Report) {
    let mut add = |what: &str, value: f64, unit| {
        report.add(&format!("{}: {what}", case.name), value, unit, Goal::None);
    };
    let (hosts, plan_ms) = timed(|| cuts::shipped(case));
    let (judged, judge_ms) = timed(|| judge(case, &hosts));
    let asked = served(&case.model, &hosts, &case.demand, AIM);
    add("bound", cuts::bound(case), "1/s");
    add("whole", judged.whole, "1/s");
    add("one engine lost, at worst", judged.engine.0, "1/s");
    add("one engine lost, mean", judged.engine.1, "1/s");
    add("a chain lost, at worst", judged.chain.0, "1/s");
    add("a chain lost, mean", judged.chain.1, "1/s");
    add("asked and served", asked.combined, "1/s");
    add("asked and served, domains cut off", asked.isolated, "1/s");
    let simple = judge(case, &cuts::simple(case));
    add("better simple plan, whole", simple.whole, "1/s");
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
    add("evaluations", judge_ms, "ms");
}

fn timed<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let began = Instant::now();
    let done = work();
    (done, began.elapsed().as_secs_f64() * 1000.0)
}

fn judge(case: &Case, hosts: &[Host]) -> Judged {
    let flows = flows(&case.model, hosts, AIM);
    let whole = flows.per_s;
    let without = |lost: &[usize]| {
        let left = hosts.iter().enumerate();
        let left: Vec<Host> = left
            .filter(|(number, _)| !lost.contains(number))
            .map(|(_, host)| host.clone())
            .collect();
        capacity(&case.model, &left, AIM)
    };
    let engines: Vec<f64> = losses(&flows, hosts)
        .iter()
        .map(|one| without(&[*one]))
        .collect();
    let chains = chains(&case.model, hosts, AIM);
    let step = chains.len().div_ceil(LOSSES).max(1);
    let chains: Vec<f64> = chains
        .iter()
        .step_by(step)
        .map(|chain| without(chain))
        .collect();
    Judged {
        whole,
        engine: worst_and_mean(&engines, whole),
        chain: worst_and_mean(&chains, whole),
    }
}

/// The engines whose loss is tried, one of those that are alike: those that most requests pass, and others.
fn losses(flows: &Flows, hosts: &[Host]) -> Vec<usize> {
    let all = flows.busiest(hosts, hosts.len());
    let (first, rest) = all.split_at(all.len().min(LOSSES / 2));
    let step = rest.len().div_ceil(LOSSES / 2).max(1);
    first
        .iter()
        .chain(rest.iter().step_by(step))
        .copied()
        .collect()
}

fn worst_and_mean(values: &[f64], whole: f64) -> (f64, f64) {
    if values.is_empty() {
        return (whole, whole);
    }
    let worst = values.iter().copied().fold(f64::INFINITY, f64::min);
    (worst, values.iter().sum::<f64>() / values.len() as f64)
}

/// Figures of all random fleets, relative to others' of the same fleet.
#[derive(Default)]
struct Figures {
    of_simple: Vec<f64>,
    of_simple_mixed: Vec<f64>,
    of_simple_lost: Vec<f64>,
    of_bound: Vec<f64>,
    plan_ms: f64,
    whole: f64,
    worst: f64,
}

impl Figures {
    fn add(&mut self, case: &Case, prints: bool) {
        let (hosts, plan_ms) = timed(|| cuts::shipped(case));
        let shipped = judge(case, &hosts);
        let simple = judge(case, &cuts::simple(case));
        let bound = cuts::bound(case);
        let of = |value: f64, other: f64| if other > 0.0 { value / other } else { 1.0 };
        let of_simple = of(shipped.whole, simple.whole);
        self.of_simple.push(of_simple);
        if case.model.cards.len() > 1 {
            self.of_simple_mixed.push(of_simple);
        }
        self.of_simple_lost
            .push(of(shipped.engine.0, simple.engine.0));
        self.of_bound.push(of(shipped.whole, bound));
        self.plan_ms = self.plan_ms.max(plan_ms);
        self.whole += shipped.whole;
        self.worst += shipped.engine.0;
        if prints {
            println!(
                "{}, {} engines: whole {:.2}, one engine lost {:.2} at worst {:.2} mean, chain lost {:.2}; simple {:.2}, {:.2}; bound {bound:.2}; plan {plan_ms:.1} ms",
                case.name,
                case.hosts.len(),
                shipped.whole,
                shipped.engine.0,
                shipped.engine.1,
                shipped.chain.0,
                simple.whole,
                simple.engine.0,
            );
        }
    }

    fn report(mut self, report: &mut Report) {
        let fleets = self.of_simple.len().max(1) as f64;
        report.add("whole, mean", self.whole / fleets, "1/s", Goal::None);
        report.add(
            "one engine lost at worst, mean",
            self.worst / fleets,
            "1/s",
            Goal::None,
        );
        let goal = Goal::AtLeast(SIMPLE_LEAST);
        report.add(
            "of the better simple plan, least",
            least(&self.of_simple),
            "",
            goal,
        );
        let below = self
            .of_simple
            .iter()
            .filter(|part| **part < SIMPLE_LEAST)
            .count();
        report.add("fleets below it", below as f64, "", Goal::AtMost(0.0));
        let part = median(&mut self.of_simple);
        report.add("of the better simple plan, median", part, "", Goal::None);
        let part = median(&mut self.of_simple_mixed);
        let goal = Goal::AtLeast(MIXED_LEAST);
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
        report.add("of the bound, median", part, "", Goal::AtLeast(BOUND_LEAST));
        report.add(
            "longest plan",
            self.plan_ms,
            "ms",
            Goal::AtMost(PLAN_MS_MOST),
        );
    }
}

fn least(values: &[f64]) -> f64 {
    values.iter().copied().fold(f64::INFINITY, f64::min)
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
