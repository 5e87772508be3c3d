//! Requests of several ranks and accounts that want more than the engines can answer in time.
//!
//! The shipped choice, reports and admission on a virtual clock, beside no admission and probabilities that collectors compute. Boxes
//! learn of each other by datagrams, of which some are lost; engines queue and refuse as theirs do.
//!
//! Demand and use are in parts of the capacity: what one box that knows all gets answered in time if it sends whatever fits.

mod engines;
mod play;
mod scenario;
mod seen;
#[cfg(test)]
mod tests;
mod ways;

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use bpaf::Bpaf;

use crate::report::{Goal, Report};
use engines::{Engines, Layout};
use play::{Play, Setting, Shares};
use scenario::{HOT, RANKS, Scenario};
use seen::Seen;
use ways::Way;

/// Numbers of boxes.
const BOXES: [usize; 4] = [8, 64, 295, 2500];
/// Chains of engines in a failure domain, for few boxes and for more.
const CHAINS_FEW: usize = 4;
const CHAINS: usize = 8;
/// Boxes from which there are more chains.
const MORE_FROM: usize = 64;
/// Demand at which the capacity is measured, in that of whole chains: more than the engines run in any case.
const MEASURED_AT: f64 = 2.0;
/// Plays at the same time.
const THREADS: usize = 4;
/// Most that a rank's share may be below that of a less urgent one.
const INVERSION_MOST: f64 = 0.02;
/// Least share of the most urgent rank while its demand fits.
const FIRST_LEAST: f64 = 0.98;
/// Least use of the capacity where demand exceeds it.
const USED_LEAST: f64 = 0.95;
/// Most refusals while capacity is free, for each request.
const FREE_MOST: f64 = 0.001;
/// Most time until steady after a step, in s.
const STEADY_MOST: f64 = 2.0;
/// Least share that the others keep while an account floods, in their share without it.
const KEPT_LEAST: f64 = 0.97;
/// Least share of any account, in that of all.
const ACCOUNT_LEAST: f64 = 0.25;

/// What is played.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Largest number of boxes
    #[bpaf(argument("N"), fallback(64))]
    most_boxes: usize,
    /// Only this number of boxes
    #[bpaf(argument("N"), optional)]
    boxes: Option<usize>,
    /// Only scenarios whose name contains this
    #[bpaf(argument("NAME"), optional)]
    only: Option<String>,
    /// Only the shipped way, without the others beside it
    shipped: bool,
    /// An account's most urgent requests are those within its share, in place of the same part of each rank
    urgent_first: bool,
    /// Second sends that the shared budget allows for each request
    #[bpaf(argument("RATIO"), fallback(0.1))]
    second_sends: f64,
    /// Seed of all draws
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
}

/// Run the experiment.
pub fn run(options: &Options) -> Result<Report, String> {
    let listed = BOXES
        .into_iter()
        .filter(|boxes| *boxes <= options.most_boxes);
    let sizes = options.boxes.map_or(listed.collect(), |boxes| vec![boxes]);
    if sizes.contains(&0) {
        return Err("there is at least one box".to_owned());
    }
    let is_wanted = |scenario: &Scenario| {
        let only = options.only.as_ref();
        only.is_none_or(|only| scenario.to_string().contains(only))
    };
    let scenarios: Vec<Scenario> = Scenario::ALL.into_iter().filter(is_wanted).collect();
    let mut report = Report::default();
    let mut settings = Vec::new();
    for boxes in sizes {
        let capacity = |layout| measured(&mut report, layout, boxes, options);
        let [mixed, two_fast] = [Layout::Mixed, Layout::TwoFast].map(capacity);
        for scenario in &scenarios {
            let ways = Way::ALL.into_iter();
            settings.extend(
                ways.filter(|way| !options.shipped || *way == Way::Reserve)
                    .map(|way| Setting {
                        scenario: *scenario,
                        way,
                        boxes,
                        chains: chains(boxes),
                        capacity: match scenario.layout() {
                            Layout::Mixed => mixed,
                            Layout::TwoFast => two_fast,
                        },
                        shares: match options.urgent_first {
                            true => Shares::UrgentFirst,
                            false => Shares::Even,
                        },
                        second_sends: options.second_sends,
                        seed: options.seed,
                    }),
            );
        }
    }
    let plays: Vec<(Setting, Seen)> = settings.iter().copied().zip(play_all(&settings)).collect();
    for (setting, seen) in &plays {
        eprintln!("{}", line(setting, seen));
        add_figures(&mut report, setting, seen);
        let is_without = |other: &&(Setting, Seen)| {
            let (other, _) = other;
            let is_alike = (other.boxes, other.way) == (setting.boxes, setting.way);
            is_alike && other.scenario == Scenario::NoFlood
        };
        if setting.scenario == Scenario::HotAccount
            && let Some((_, without)) = plays.iter().find(is_without)
        {
            let kept = seen.others().share() / without.others().share().max(f64::MIN_POSITIVE);
            let goal = goal(setting, Goal::AtLeast(KEPT_LEAST));
            report.add(&name(setting, "share that the others keep"), kept, "", goal);
        }
    }
    Ok(report)
}

fn chains(boxes: usize) -> usize {
    match boxes < MORE_FROM {
        true => CHAINS_FEW,
        false => CHAINS,
    }
}

/// The capacity, in requests a second.
fn measured(report: &mut Report, layout: Layout, boxes: usize, options: &Options) -> f64 {
    let chains = chains(boxes);
    let whole = Engines::new(&engines::model(), &engines::entries(layout, chains)).capacity();
    let setting = Setting {
        scenario: match layout {
            Layout::Mixed => Scenario::Demand(MEASURED_AT),
            Layout::TwoFast => Scenario::TwoFast,
        },
        way: Way::Fits,
        boxes: 1,
        chains,
        capacity: whole,
        shares: Shares::Even,
        second_sends: options.second_sends,
        seed: options.seed,
    };
    let part = Play::new(setting).run().goodput;
    let name = format!("capacity, {layout:?}, {boxes} boxes");
    report.add(&name, whole * part, "1/s", Goal::None);
    report.add(&format!("{name}, of whole chains"), part, "", Goal::None);
    whole * part
}

/// Plays all, several at the same time.
fn play_all(settings: &[Setting]) -> Vec<Seen> {
    let next = AtomicUsize::new(0);
    let seen = Mutex::new(vec![Seen::default(); settings.len()]);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let Some(setting) = settings.get(number) else {
                        return;
                    };
                    let played = Play::new(*setting).run();
                    seen.lock().expect("no play panics with the lock")[number] = played;
                }
            });
        }
    });
    seen.into_inner().expect("no play panics with the lock")
}

fn name(setting: &Setting, what: &str) -> String {
    let Setting {
        scenario,
        way,
        boxes,
        ..
    } = setting;
    format!("{what}, {scenario}, {way}, {boxes} boxes")
}

/// Goals hold for the shipped way.
fn goal(setting: &Setting, goal: Goal) -> Goal {
    match setting.way {
        Way::Reserve => goal,
        _ => Goal::None,
    }
}

/// A play in one line.
fn line(setting: &Setting, seen: &Seen) -> String {
    let share = [0, 1, 2].map(|rank| format!("{:.3}", seen.rank(rank).share()));
    let late = [0, 1, 2].map(|rank| format!("{:.3}", seen.rank(rank).late_part()));
    format!(
        "{}: in time {}, late {}, used {:.3}, room {:.3}, refused free {:.4}, sends refused {:.3}, hot {:.3}, others {:.3}",
        name(setting, "play"),
        share.join(" "),
        late.join(" "),
        seen.goodput,
        seen.room_used,
        seen.free_part(),
        seen.sends_refused_part(),
        seen.account(HOT).share(),
        seen.others().share(),
    )
}

fn add_figures(report: &mut Report, setting: &Setting, seen: &Seen) {
    let scenario = setting.scenario;
    let mut add = |what: &str, value, unit, bound| {
        report.add(&name(setting, what), value, unit, goal(setting, bound));
    };
    let bounded = |is_bounded, bound| if is_bounded { bound } else { Goal::None };
    for rank in 0..RANKS {
        let counts = seen.rank(rank);
        let is_bounded = rank == 0 && scenario.first_rank_fits();
        let bound = bounded(is_bounded, Goal::AtLeast(FIRST_LEAST));
        add(&format!("in time, rank {rank}"), counts.share(), "", bound);
        add(
            &format!("late, rank {rank}"),
            counts.late_part(),
            "",
            Goal::None,
        );
        let refused = counts.refused_part();
        add(&format!("refused, rank {rank}"), refused, "", Goal::None);
    }
    let inversion = Goal::AtMost(INVERSION_MOST);
    add(
        "rank below a less urgent one",
        seen.inversion(),
        "",
        inversion,
    );
    for (who, counts) in [
        ("hot account", seen.account(HOT)),
        ("others", seen.others()),
    ] {
        add(&format!("in time, {who}"), counts.share(), "", Goal::None);
        let refused = counts.refused_part();
        add(&format!("refused, {who}"), refused, "", Goal::None);
    }
    let least = Goal::AtLeast(ACCOUNT_LEAST);
    add("least account / all", seen.least_account(), "", least);
    let used = bounded(scenario.exceeds(), Goal::AtLeast(USED_LEAST));
    add("capacity used in time", seen.goodput, "", used);
    add("room used", seen.room_used, "", Goal::None);
    let free = Goal::AtMost(FREE_MOST);
    add(
        "refusals while capacity is free",
        seen.free_part(),
        "",
        free,
    );
    if scenario.has_step() {
        let steady = seen.steady_after(scenario.changes_at());
        add("until steady", steady, "s", Goal::AtMost(STEADY_MOST));
    }
    add("busiest engine / mean", seen.busiest, "", Goal::None);
    add("sends refused", seen.sends_refused_part(), "", Goal::None);
    for (who, (bytes, messages)) in [
        ("a box", seen.box_traffic),
        ("a collector", seen.collector_traffic),
    ] {
        add(&format!("bytes, {who}"), bytes, "B/s", Goal::None);
        add(&format!("messages, {who}"), messages, "1/s", Goal::None);
    }
}
