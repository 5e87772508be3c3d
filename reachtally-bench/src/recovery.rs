//! Measures the time from the failure of a stage to the next token, compared with restarting the whole chain.
//!
//! Runs the production core on a virtual clock. The baseline is the same core without kept inputs and standbys: it runs the prompt
//! and all tokens so far through every stage again, as a caller's retry would.

use std::time::Duration;

use bpaf::Bpaf;
use reachtally_core::effect::Change;
use reachtally_core::{Instant, Limits};
use reachtally_standin::engine::StepTime;
use reachtally_standin::fabric::Fabric;

use crate::report::{Goal, Report};
use crate::sim::{self, Fleet};

/// Longest allowed recovery, relative to the baseline.
const MAX_RECOVERY_SHARE: f64 = 0.2;
const STAGE_COUNTS: [u32; 3] = [3, 6, 8];
/// Slots per engine.
const SLOTS: u32 = 32;
/// Stages and requests in the measurement of the throughput cost of standbys.
const COST_STAGES: u32 = 3;
const COST_REQUESTS: [(&str, u32); 3] = [
    ("an eighth of the slots in use", SLOTS / 4),
    ("a quarter of the slots in use", SLOTS / 2),
    ("all slots in use", SLOTS * 2),
];
const LAYERS_EACH: u32 = 8;
const PROMPT_WORDS: u32 = 64;
const EXTRA_TOKENS: u32 = 100;

/// Command-line options of the experiment.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Tokens generated before the stage fails
    #[bpaf(argument("N"), fallback(500))]
    tokens: u32,
    /// Base time of an engine iteration in microseconds
    #[bpaf(argument("US"), fallback(8000))]
    base_us: u64,
    /// Microseconds per layer and position
    #[bpaf(argument("US"), fallback(60))]
    per_layer_us: u64,
}

/// Runs the experiment.
pub fn run(options: &Options) -> Result<Report, String> {
    let mut report = Report::default();
    for stages in STAGE_COUNTS {
        let restart = mean_recovery(options, stages, &restart_limits())?;
        let replay = mean_recovery(options, stages, &replay_limits())?;
        let standby = mean_recovery(options, stages, &standby_limits())?;
        let mut add = |what: &str, value: f64, unit: &'static str, goal: Goal| {
            report.add(&format!("{stages} stages: {what}"), value, unit, goal);
        };
        let ms = |time: Duration| time.as_secs_f64() * 1000.0;
        let share = |time: Duration| time.as_secs_f64() / restart.as_secs_f64();
        add(
            "by restart of the whole chain",
            ms(restart),
            "ms",
            Goal::None,
        );
        add(
            "by replay of the stage's inputs",
            ms(replay),
            "ms",
            Goal::None,
        );
        add("on a standby", ms(standby), "ms", Goal::None);
        add(
            "replay, share of the restart",
            share(replay),
            "",
            Goal::None,
        );
        add(
            "standby, share of the restart",
            share(standby),
            "",
            Goal::AtMost(MAX_RECOVERY_SHARE),
        );
    }
    for (load, requests) in COST_REQUESTS {
        let without = finish_time(options, requests, &replay_limits())?;
        let with = finish_time(options, requests, &standby_limits())?;
        let share = without.as_secs_f64() / with.as_secs_f64();
        let name = format!("tokens a second with standbys, share of that without, {load}");
        report.add(&name, share, "", Goal::None);
    }
    let shifts = shifts_when_slow(options)?;
    report.add(
        "shifts on a stage at half its speed",
        shifts as f64,
        "",
        Goal::AtMost(0.0),
    );
    Ok(report)
}

fn restart_limits() -> Limits {
    Limits {
        replay_bytes: 0,
        standby_positions: 0,
        ..Limits::default()
    }
}

fn replay_limits() -> Limits {
    Limits {
        replay_bytes: 256 << 20,
        standby_positions: 0,
        ..Limits::default()
    }
}

fn standby_limits() -> Limits {
    Limits {
        replay_bytes: 256 << 20,
        ..Limits::default()
    }
}

/// Returns the time until all of several concurrent requests have ended.
fn finish_time(options: &Options, requests: u32, limits: &Limits) -> Result<Duration, String> {
    let mut fabric = sim::fabric(1, fleet(options, COST_STAGES), limits);
    let ask = || sim::completion(PROMPT_WORDS, options.tokens);
    let keys: Vec<_> = (0..requests).map(|_| fabric.ask(0, ask())).collect();
    fabric.run_for(Duration::from_secs(600));
    let ended = keys
        .iter()
        .map(|key| fabric.nodes[0].answered[key].ended_at);
    let last = ended.collect::<Option<Vec<Instant>>>();
    let last = last.and_then(|ended| ended.into_iter().max());
    last.map(|at| at.elapsed())
        .ok_or_else(|| "a request did not end".to_owned())
}

fn fleet(options: &Options, stages: u32) -> Fleet {
    Fleet {
        stages,
        replicas: 2,
        layers_each: LAYERS_EACH,
        slots: SLOTS,
        step_time: StepTime {
            base: Duration::from_micros(options.base_us),
            per_layer: Duration::from_micros(options.per_layer_us),
        },
    }
}

/// Returns the recovery time, averaged over the stage that fails.
fn mean_recovery(options: &Options, stages: u32, limits: &Limits) -> Result<Duration, String> {
    let mut sum = Duration::ZERO;
    for stage in 0..stages {
        sum += recovery_time(options, stages, stage, limits)?;
    }
    Ok(sum / stages)
}

fn recovery_time(
    options: &Options,
    stages: u32,
    stage: u32,
    limits: &Limits,
) -> Result<Duration, String> {
    let mut fabric = sim::fabric(1, fleet(options, stages), limits);
    let total = options.tokens + EXTRA_TOKENS;
    let key = fabric.ask(0, sim::completion(PROMPT_WORDS, total));
    let reached = |fabric: &Fabric| fabric.nodes[0].answered[&key].tokens.len() as u32;
    while reached(&fabric) < options.tokens {
        if fabric.nodes[0].answered[&key].end.is_some() {
            return Err("the request ended before the stage failed".to_owned());
        }
        fabric.run_for(Duration::from_millis(1));
    }
    let failed_at = fabric.now;
    let serving = (0..2)
        .map(|replica| format!("http://e{stage}-{replica}"))
        .find(|url| fabric.engines[url].state.requests_held() > 0)
        .ok_or("no engine serves the stage")?;
    if let Some(engine) = fabric.engines.get_mut(&serving) {
        engine.dead = true;
    }
    let before = reached(&fabric) as usize;
    fabric.run_for(Duration::from_secs(60));
    let answered = &fabric.nodes[0].answered[&key];
    if answered.tokens.len() != total as usize {
        return Err(format!("the request was cut off: {:?}", answered.end));
    }
    Ok(answered.times[before].since(failed_at))
}

fn shifts_when_slow(options: &Options) -> Result<usize, String> {
    let mut fabric = sim::fabric(1, fleet(options, COST_STAGES), &Limits::default());
    let key = fabric.ask(0, sim::completion(PROMPT_WORDS, options.tokens));
    fabric.run_for(Duration::from_secs(5));
    for engine in fabric.engines.values_mut() {
        engine.slow = 2.0;
    }
    fabric.run_until(Instant::ZERO + Duration::from_secs(300));
    if fabric.nodes[0].answered[&key].tokens.len() != options.tokens as usize {
        return Err("the request was cut off".to_owned());
    }
    let shift = |change: &Change| matches!(change, Change::StageMoved { .. });
    let changes = fabric.nodes[0].changes.iter();
    Ok(changes.filter(|(_, change)| shift(change)).count())
}
