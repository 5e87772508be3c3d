//! Measures the graceful shutdown of a daemon with many open streams, and checks that no stream is cut.

use std::time::{Duration, Instant};

use bpaf::Bpaf;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use reqwest::Client;
use tokio::task::JoinSet;

use crate::report::{Goal, Report};
use crate::setup;
use crate::sse;

/// Longest allowed time from the end of the last stream to the exit of the process, in ms.
const MAX_LINGER_MS: f64 = 8000.0;

/// Command-line options of the experiment.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Streams open when the daemon receives SIGTERM
    #[bpaf(argument("N"), fallback(1000))]
    streams: u32,
    /// Tokens per stream
    #[bpaf(argument("N"), fallback(200))]
    tokens: u32,
}

/// Runs the experiment.
pub async fn run(options: Options) -> Result<Report, String> {
    let setup = setup::start(&setup::Options {
        stages: 3,
        replicas: 1,
        activation_bytes: 64,
        slots: 100_000,
        base_us: 5000,
        per_layer_us: 0,
        replay_mib: 16,
    })
    .await?;
    let mut streams = JoinSet::new();
    for _ in 0..options.streams {
        let (url, tokens) = (setup.callers.clone(), options.tokens);
        streams.spawn(async move { sse::stream(&Client::new(), &url, "a b c", tokens).await });
    }
    // By then every stream is admitted and none has ended: each token takes three iterations.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let signaled_at = Instant::now();
    let pid = Pid::from_raw(setup.daemon.id() as i32);
    kill(pid, Signal::SIGTERM).map_err(|err| err.to_string())?;
    let mut report = Report::default();
    let mut complete = 0u32;
    while let Some(result) = streams.join_next().await {
        match result.map_err(|err| err.to_string())? {
            Ok(result) if result.completed && result.tokens == options.tokens => complete += 1,
            other => report
                .violations
                .push(format!("a stream was cut off: {other:?}")),
        }
    }
    let streamed = signaled_at.elapsed();
    while setup.daemon.is_running() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let ended = signaled_at.elapsed();
    let ms = |time: Duration| time.as_secs_f64() * 1000.0;
    report.add(
        "streams open at the stop",
        f64::from(options.streams),
        "",
        Goal::None,
    );
    report.add(
        "streams whole",
        f64::from(complete),
        "",
        Goal::AtLeast(f64::from(options.streams)),
    );
    report.add("last stream ended after", ms(streamed), "ms", Goal::None);
    let linger = ms(ended - streamed);
    report.add(
        "process ended after that",
        linger,
        "ms",
        Goal::AtMost(MAX_LINGER_MS),
    );
    Ok(report)
}
