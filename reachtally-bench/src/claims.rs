//! At-most-once requests: measures how many share an append to the log, and checks that none runs twice.
//!
//! Runs the production core of several daemons on a virtual clock, under lost answers, lost appends, pauses, partitions, restarts
//! and retries through other boxes.

use std::time::Duration;

use bpaf::Bpaf;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reachtally_core::Limits;
use reachtally_core::ids::RequestKey;
use reachtally_standin::engine::StepTime;
use reachtally_standin::fabric::{End, Fabric};

use crate::report::{Goal, Report};
use crate::sim::{self, Fleet};

/// Smallest allowed number of requests per append at saturation.
const MIN_REQUESTS_PER_APPEND: f64 = 100.0;
/// Number of daemons, that of one user today.
const DAEMONS: usize = 8;
/// Interval at which requests arrive at each daemon.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(10);
/// Time after the load within which every request ends.
const SETTLE_TIME: Duration = Duration::from_secs(60);
/// One of this many requests is a retry, which repeats a random earlier key.
const RETRY_ONE_IN: u32 = 4;
/// One fault is injected in this many ticks.
const FAULT_ONE_IN: u32 = 20;

/// Command-line options of the experiment.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Requests per second at each daemon, at saturation
    #[bpaf(argument("N"), fallback(3000))]
    rate: u32,
    /// Seconds of load
    #[bpaf(argument("N"), fallback(5))]
    seconds: u32,
    /// Seed of the faults
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
}

/// Runs the experiment.
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
    sim::fabric(DAEMONS, fleet, &Limits::default())
}

/// Returns the largest number of runs of any key.
fn max_runs(fabric: &Fabric) -> u32 {
    let services = fabric.services.values();
    services
        .flat_map(|service| service.runs.values().copied())
        .max()
        .unwrap_or(0)
}

fn saturate(options: &Options, report: &mut Report) {
    let mut fabric = fabric();
    let ticks = options.seconds * 1000 / ARRIVAL_INTERVAL.as_millis() as u32;
    let per_tick = options.rate * ARRIVAL_INTERVAL.as_millis() as u32 / 1000;
    let mut number = 0u64;
    let mut keys = Vec::new();
    for _ in 0..ticks {
        for daemon in 0..DAEMONS {
            for _ in 0..per_tick {
                number += 1;
                keys.push((daemon, fabric.ask(daemon, sim::order(&number.to_string()))));
            }
        }
        fabric.run_for(ARRIVAL_INTERVAL);
    }
    fabric.run_for(SETTLE_TIME);
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
        Goal::AtLeast(MIN_REQUESTS_PER_APPEND),
    );
    let runs = max_runs(&fabric);
    if runs != 1 || completed < keys.len() as f64 {
        let sent = keys.len();
        report.violations.push(format!(
            "{completed} of {sent} completed, a key ran {runs} times"
        ));
    }
}

/// Counts of faults, retries and outcomes.
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
    let mut pending: Vec<(u64, usize, RequestKey)> = Vec::new();
    let mut ended: Vec<(u64, End)> = Vec::new();
    let ticks = options.seconds * 1000 / ARRIVAL_INTERVAL.as_millis() as u32;
    let mut number = 0;
    for _ in 0..ticks {
        if rng.random_range(0..FAULT_ONE_IN) == 0 {
            tally.faults += 1;
            inject(&mut fabric, &mut rng, &mut pending, &mut ended);
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
            let request = fabric.ask(daemon, sim::order(&key.to_string()));
            pending.push((key, daemon, request));
        }
        fabric.run_for(ARRIVAL_INTERVAL);
    }
    fabric.reconnect_log();
    fabric.run_for(SETTLE_TIME);
    collect(&fabric, &mut pending, &mut ended, None);
    for (_, end) in &ended {
        match end {
            End::Answered(_) => tally.completed += 1,
            End::Recorded(_) => tally.recorded += 1,
            End::NotRun(_) => tally.not_run += 1,
            _ => tally.unknown += 1,
        }
    }
    check_runs(&fabric, &ended, report);
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
    let runs = f64::from(max_runs(&fabric));
    report.add(
        "under faults: most runs of a key",
        runs,
        "",
        Goal::AtMost(1.0),
    );
}

/// Moves the outcomes of finished requests to `ended`, of the daemon `of` or of all; unfinished ones are dropped.
fn collect(
    fabric: &Fabric,
    pending: &mut Vec<(u64, usize, RequestKey)>,
    ended: &mut Vec<(u64, End)>,
    of: Option<usize>,
) {
    pending.retain(|(number, daemon, request)| {
        if of.is_some_and(|of| of != *daemon) {
            return true;
        }
        if let Some(end) = fabric.nodes[*daemon].answered[request].end.clone() {
            ended.push((*number, end));
        }
        false
    });
}

fn inject(
    fabric: &mut Fabric,
    rng: &mut ChaCha8Rng,
    pending: &mut Vec<(u64, usize, RequestKey)>,
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
        4 => fabric.reconnect_log(),
        _ => {
            collect(fabric, pending, ended, Some(daemon));
            let incarnation = rng.random_range(1000..u64::MAX);
            fabric.restart(daemon, incarnation, &Limits::default());
        }
    }
}

/// Checks that no key ran more than once, and that each answered key ran exactly once.
fn check_runs(fabric: &Fabric, ended: &[(u64, End)], report: &mut Report) {
    let runs = max_runs(fabric);
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
            report.violations.push(format!(
                "key {number} was answered but did not run exactly once"
            ));
        }
    }
}
