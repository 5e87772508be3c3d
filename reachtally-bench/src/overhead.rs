//! Measures the overhead of the router: time to the first token, processor time per step, and memory with many streams.
//!
//! The baseline calls the same engines directly, one stage after another, in the same run.

use std::time::{Duration, Instant};

use bpaf::Bpaf;
use hdrhistogram::Histogram;
use reachtally_core::ids::{Incarnation, RequestId};
use reachtally_core::step::{Batch, Input, Output, Release, Step};
use reachtally_target::Engines;
use reachtally_target::http::HttpTargets;
use reqwest::Client;
use tokio::task::JoinSet;

use crate::report::{Goal, Report};
use crate::setup::{self, KEY, OPERATOR_KEY, Setup};
use crate::sse;

/// Largest allowed increase of the median time to the first token, in ms.
const MAX_ADDED_MS: f64 = 0.5;
/// Smallest allowed number of stage steps per second and core.
const MIN_STEPS_PER_CORE: f64 = 30_000.0;
/// Largest allowed resident memory with the streams open, in MiB.
const MAX_RESIDENT_MIB: f64 = 96.0;
/// Number of stages of the chain.
const STAGES: u32 = 3;
/// Warm-up requests, which are not measured.
const WARM_UP_REQUESTS: u32 = 50;
const PROMPT: &str = "list the parts of the screw unit in hall two";

/// Command-line options of the experiment.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Requests in the measurement of the time to the first token
    #[bpaf(argument("N"), fallback(2000))]
    requests: u32,
    /// Concurrently open streams
    #[bpaf(argument("N"), fallback(1000))]
    streams: u32,
    /// Tokens per stream
    #[bpaf(argument("N"), fallback(300))]
    tokens: u32,
    /// Bytes per activation
    #[bpaf(argument("BYTES"), fallback(64))]
    activation_bytes: usize,
    /// Mebibytes of stage inputs that the daemon keeps for replay
    #[bpaf(argument("MIB"), fallback(16))]
    replay_mib: usize,
}

/// Runs the experiment.
pub async fn run(options: Options) -> Result<Report, String> {
    let setup = setup::start(&setup::Options {
        stages: STAGES,
        replicas: 1,
        activation_bytes: options.activation_bytes,
        slots: 100_000,
        base_us: 0,
        per_layer_us: 0,
        replay_mib: options.replay_mib,
    })
    .await?;
    let mut report = Report::default();
    measure_first_token(&setup, &options, &mut report).await?;
    measure_streams(&setup, &options, &mut report).await?;
    Ok(report)
}

async fn measure_first_token(
    setup: &Setup,
    options: &Options,
    report: &mut Report,
) -> Result<(), String> {
    let client = Client::new();
    let engines = HttpTargets::new().map_err(|err| err.to_string())?;
    let mut routed = histogram()?;
    let mut direct = histogram()?;
    let mut daemon_only = histogram()?;
    for number in 0..WARM_UP_REQUESTS + options.requests {
        let sent = Instant::now();
        direct_first_token(&engines, &setup.engines, u64::from(number)).await?;
        let direct_time = sent.elapsed();
        let result = sse::stream(&client, &setup.callers, PROMPT, 1).await?;
        if !result.completed {
            report
                .violations
                .push("a stream ended without its outcome".to_owned());
        }
        let sent = Instant::now();
        list_models(&client, &setup.callers).await?;
        let daemon_only_time = sent.elapsed();
        if number >= WARM_UP_REQUESTS {
            record(&mut daemon_only, daemon_only_time);
            record(&mut direct, direct_time);
            record(&mut routed, result.first_token);
        }
    }
    let ms = |histogram: &Histogram<u64>| histogram.value_at_quantile(0.5) as f64 / 1000.0;
    let name = "a call that the daemon answers itself, median";
    report.add(name, ms(&daemon_only), "ms", Goal::None);
    report.add(
        "first token, engines called directly, median",
        ms(&direct),
        "ms",
        Goal::None,
    );
    report.add("first token, routed, median", ms(&routed), "ms", Goal::None);
    let added = ms(&routed) - ms(&direct);
    report.add(
        "first token, added, median",
        added,
        "ms",
        Goal::AtMost(MAX_ADDED_MS),
    );
    Ok(())
}

/// Lists the models, a call that the daemon answers without an engine.
async fn list_models(client: &Client, callers: &str) -> Result<(), String> {
    let req = client.get(format!("{callers}/v1/models")).bearer_auth(KEY);
    let response = req.send().await.map_err(|err| err.to_string())?;
    let body = response.bytes().await;
    body.map(|_| ()).map_err(|err| err.to_string())
}

fn histogram() -> Result<Histogram<u64>, String> {
    Histogram::new(3).map_err(|err| err.to_string())
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    // Recording cannot fail, since the histogram has no upper bound.
    histogram.record(time.as_micros() as u64).ok();
}

/// Sends the prompt through every stage, like a caller without a router.
async fn direct_first_token(
    engines: &HttpTargets,
    urls: &[String],
    number: u64,
) -> Result<(), String> {
    let request = RequestId {
        incarnation: Incarnation(1),
        seq: number,
    };
    let mut input = Input::Tokens {
        text: PROMPT.to_owned(),
        tokens: Vec::new(),
    };
    let mut positions = 0;
    for url in urls {
        let step = Step {
            request,
            attempt: 1,
            from: 0,
            positions,
            restore_to: 0,
            outputs_from: 0,
            adapter: String::new(),
            priority: 0,
            input,
        };
        let batch = Batch {
            steps: vec![step],
            releases: vec![Release {
                request: RequestId {
                    seq: number.wrapping_sub(1),
                    ..request
                },
                attempt: 1,
            }],
        };
        let results = engines.steps(url, batch).await;
        let result = results.ok().and_then(|mut results| results.pop());
        let result = result.ok_or("an engine returned no result")?;
        positions = result.positions;
        match result.output {
            Ok(Output::Activations(bytes)) => input = Input::Activations(bytes),
            Ok(Output::Token { .. }) => return Ok(()),
            Err(refusal) => return Err(format!("an engine refused the step: {refusal:?}")),
        }
    }
    Err("the last stage returned no token".to_owned())
}

/// Measures processor time per step and memory with concurrent streams.
async fn measure_streams(
    setup: &Setup,
    options: &Options,
    report: &mut Report,
) -> Result<(), String> {
    let steps_before = read_counter(setup, "engine_steps").await?;
    let calls_before = read_counter(setup, "engine_calls").await?;
    let cpu_before = setup.daemon.cpu();
    let started = Instant::now();
    let mut callers = JoinSet::new();
    for _ in 0..options.streams {
        let (url, tokens) = (setup.callers.clone(), options.tokens);
        // Each stream has its own client and therefore its own connection.
        callers.spawn(async move { sse::stream(&Client::new(), &url, PROMPT, tokens).await });
    }
    let mut resident = 0;
    let mut tokens = 0;
    loop {
        let next = tokio::time::timeout(Duration::from_millis(50), callers.join_next()).await;
        resident = resident.max(setup.daemon.resident());
        match next {
            Err(_) => continue,
            Ok(None) => break,
            Ok(Some(result)) => {
                let result = result.map_err(|err| err.to_string())??;
                tokens += result.tokens;
                if !result.completed || result.tokens != options.tokens {
                    report
                        .violations
                        .push(format!("a stream was cut off: {result:?}"));
                }
            }
        }
    }
    let wall = started.elapsed().as_secs_f64();
    let cpu = (setup.daemon.cpu() - cpu_before).as_secs_f64();
    let steps = (read_counter(setup, "engine_steps").await? - steps_before) as f64;
    let calls = (read_counter(setup, "engine_calls").await? - calls_before) as f64;
    report.add("streams", f64::from(options.streams), "", Goal::None);
    report.add(
        "tokens a second",
        f64::from(tokens) / wall,
        "tokens/s",
        Goal::None,
    );
    report.add("cores used by the daemon", cpu / wall, "cores", Goal::None);
    report.add("steps in one call", steps / calls, "steps", Goal::None);
    report.add(
        "processor time a token",
        cpu / f64::from(tokens) * 1e6,
        "us",
        Goal::None,
    );
    let per_core = steps / cpu;
    report.add(
        "stage steps a core-second",
        per_core,
        "steps",
        Goal::AtLeast(MIN_STEPS_PER_CORE),
    );
    let mib = resident as f64 / f64::from(1 << 20);
    report.add(
        "resident, all streams open",
        mib,
        "MiB",
        Goal::AtMost(MAX_RESIDENT_MIB),
    );
    Ok(())
}

async fn read_counter(setup: &Setup, name: &str) -> Result<u64, String> {
    let url = format!("{}/v1/counters", setup.operators);
    let req = Client::new().get(url).bearer_auth(OPERATOR_KEY);
    let response = req.send().await.map_err(|err| err.to_string())?;
    let counters: std::collections::BTreeMap<String, u64> =
        response.json().await.map_err(|err| err.to_string())?;
    counters
        .get(name)
        .copied()
        .ok_or_else(|| format!("the daemon has no counter {name:?}"))
}
