//! Requests that may run once: how many share an append, and that none runs twice.
//!
//! The shipped core of several daemons on a virtual clock, under lost answers, lost appends, pauses,
//! cuts, deaths and retries through other boxes.

use std::time::Duration;

use bpaf::Bpaf;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reachtally_core::Limits;
use reachtally_core::ids::RequestKey;
use reachtally_standin::engine::StepTime;
use reachtally_standin::fabric::{End, Fabric};

use crate::report::{Goal, Report};
use crate::scene::{self, Fleet};

/// Least requests for each append at saturation.
const PER_APPEND_LEAST: f64 = 100.0;
/// Daemons of one user today.
const DAEMONS: usize = 8;
/// Time between two arrivals of the load at one daemon.
const TICK: Duration = Duration::from_millis(10);
/// Time after the load in which everything ends.
const SETTLE: Duration = Duration::from_secs(60);
/// One retry for so many requests, through another box and with the same key.
const RETRY_ONE_IN: u32 = 4;
/// One fault for so many ticks.
const FAULT_ONE_IN: u32 = 20;

/// What to measure.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Requests a second at each daemon, at saturation
    #[bpaf(argument("N"), fallback(3000))]
    rate: u32,
    /// Seconds of load
    #[bpaf(argument("N"), fallback(5))]
    seconds: u32,
    /// Seed of the faults
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
}

/// Run the experiment.
pub fn run(options: &Options) -> Result<Report, String> {
    let mut report = Report::default();
    saturate(options, &mut report);
    under_faults(options, &mut report);
    Ok(report)
}

fn fabric() -> Fabric {
    let fleet = Fleet {
        stages: 1,
        replicas: 1,
        layers_each: 1,
        step_time: StepTime::NONE,
        slots: 1,
    };
    scene::fabric(DAEMONS, fleet, &Limits::default())
}

/// The most that any key ran.
fn most_runs(fabric: &Fabric) -> u32 {
    let services = fabric.services.values();
    services
        .flat_map(|service| service.runs.values().copied())
        .max()
        .unwrap_or(0)
}

fn saturate(options: &Options, report: &mut Report) {
    let mut fabric = fabric();
    let ticks = options.seconds * 1000 / TICK.as_millis() as u32;
    let each = options.rate * TICK.as_millis() as u32 / 1000;
    let mut number = 0u64;
    let mut keys = Vec::new();
    for _ in 0..ticks {
        for daemon in 0..DAEMONS {
            for _ in 0..each {
                number += 1;
                keys.push((
                    daemon,
                    fabric.ask(daemon, scene::order(&number.to_string())),
                ));
            }
        }
        fabric.run_for(TICK);
    }
    fabric.run_for(SETTLE);
    let appends = fabric.log.claims.len() as f64;
    let done = |(daemon, key): &&(usize, RequestKey)| {
        matches!(
            fabric.nodes[*daemon].answered[key].end,
            Some(End::Answered(_))
        )
    };
    let completed = keys.iter().filter(done).count() as f64;
    let seconds = f64::from(options.seconds);
    report.add(
        "requests a second, all daemons",
        completed / seconds,
        "req/s",
        Goal::None,
    );
    report.add(
        "appends a second, all daemons",
        appends / seconds,
        "app/s",
        Goal::None,
    );
    let share = completed / appends;
    report.add(
        "requests for each append",
        share,
        "req",
        Goal::AtLeast(PER_APPEND_LEAST),
    );
    let runs = most_runs(&fabric);
    if runs != 1 || completed < keys.len() as f64 {
        let asked = keys.len();
        report.violations.push(format!(
            "{completed} of {asked} completed, a key ran {runs} times"
        ));
    }
}

/// Counts of what was injected and how requests ended.
#[derive(Default)]
struct Tally {
    faults: u32,
    retries: u32,
    completed: u32,
    recorded: u32,
    not_run: u32,
    unknown: u32,
}

fn under_faults(options: &Options, report: &mut Report) {
    let mut fabric = fabric();
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let mut tally = Tally::default();
    let mut asked: Vec<(u64, usize, RequestKey)> = Vec::new();
    let mut ended: Vec<(u64, End)> = Vec::new();
    let ticks = options.seconds * 1000 / TICK.as_millis() as u32;
    let mut number = 0;
    for _ in 0..ticks {
        if rng.random_range(0..FAULT_ONE_IN) == 0 {
            tally.faults += 1;
            inject(&mut fabric, &mut rng, &mut asked, &mut ended);
        }
        for daemon in 0..DAEMONS {
            let retry = number > 0 && rng.random_range(0..RETRY_ONE_IN) == 0;
            let key = if retry {
                tally.retries += 1;
                rng.random_range(1..=number)
            } else {
                number += 1;
                number
            };
            let row = fabric.ask(daemon, scene::order(&key.to_string()));
            asked.push((key, daemon, row));
        }
        fabric.run_for(TICK);
    }
    fabric.heal_log();
    fabric.run_for(SETTLE);
    collect(&fabric, &mut asked, &mut ended, None);
    for (_, end) in &ended {
        match end {
            End::Answered(_) => tally.completed += 1,
            End::Recorded(_) => tally.recorded += 1,
            End::NotRun(_) => tally.not_run += 1,
            _ => tally.unknown += 1,
        }
    }
    judge(&fabric, &ended, report);
    let counts = [
        ("under faults: faults injected", tally.faults),
        ("under faults: retries", tally.retries),
        ("under faults: answered", tally.completed),
        ("under faults: answered from the record", tally.recorded),
        ("under faults: not run", tally.not_run),
        ("under faults: unknown", tally.unknown),
    ];
    for (name, count) in counts {
        report.add(name, f64::from(count), "", Goal::None);
    }
    let runs = f64::from(most_runs(&fabric));
    report.add(
        "under faults: most runs of a key",
        runs,
        "",
        Goal::AtMost(1.0),
    );
}

/// Take the ends of requests, of one daemon whose run ends or of all.
fn collect(
    fabric: &Fabric,
    asked: &mut Vec<(u64, usize, RequestKey)>,
    ended: &mut Vec<(u64, End)>,
    of: Option<usize>,
) {
    asked.retain(|(number, daemon, row)| {
        if of.is_some_and(|of| of != *daemon) {
            return true;
        }
        if let Some(end) = fabric.nodes[*daemon].answered[row].end.clone() {
            ended.push((*number, end));
        }
        false
    });
}

fn inject(
    fabric: &mut Fabric,
    rng: &mut ChaCha8Rng,
    asked: &mut Vec<(u64, usize, RequestKey)>,
    ended: &mut Vec<(u64, End)>,
) {
    let daemon = rng.random_range(0..DAEMONS);
    match rng.random_range(0..6) {
        0 => fabric.log.lose_answers += 5,
        1 => fabric.log.lose_appends += 5,
        2 => fabric.pause(
            daemon,
            fabric.now + Duration::from_secs(rng.random_range(1..8)),
        ),
        3 => {
            fabric.log.cut.insert(daemon);
        }
        4 => fabric.heal_log(),
        _ => {
            collect(fabric, asked, ended, Some(daemon));
            let incarnation = rng.random_range(1000..u64::MAX);
            fabric.restart(daemon, incarnation, &Limits::default());
        }
    }
}

/// A key ran once at most, and one whose every answer was "not run" never ran.
fn judge(fabric: &Fabric, ended: &[(u64, End)], report: &mut Report) {
    let runs = most_runs(fabric);
    if runs > 1 {
        report.violations.push(format!("a key ran {runs} times"));
    }
    let runs_of = |number: u64| -> u32 {
        let services = fabric.services.values();
        let of = services.filter_map(|service| service.runs.get(&number.to_string()));
        of.sum()
    };
    for (number, end) in ended {
        if matches!(end, End::Answered(_) | End::Recorded(_)) && runs_of(*number) != 1 {
            report
                .violations
                .push(format!("key {number} was answered and ran not once"));
        }
    }
}
