//! A daemon that is told to stop with many streams open: none is cut, and how long it takes.

use std::time::{Duration, Instant};

use bpaf::Bpaf;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use reqwest::Client;
use tokio::task::JoinSet;

use crate::report::{Goal, Report};
use crate::setup;
use crate::sse;

/// Most that the process may outlive its last stream.
const LINGER_MS_MOST: f64 = 8000.0;

/// What to measure.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Streams open when the daemon is told to stop
    #[bpaf(argument("N"), fallback(1000))]
    streams: u32,
    /// Tokens of each stream
    #[bpaf(argument("N"), fallback(200))]
    tokens: u32,
}

/// Run the experiment.
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
    // Every stream is admitted by then, and none has ended: each takes three iterations a token.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let told_at = Instant::now();
    let pid = Pid::from_raw(setup.daemon.id() as i32);
    kill(pid, Signal::SIGTERM).map_err(|err| err.to_string())?;
    let mut report = Report::default();
    let mut whole = 0u32;
    while let Some(seen) = streams.join_next().await {
        match seen.map_err(|err| err.to_string())? {
            Ok(seen) if seen.completed && seen.tokens == options.tokens => whole += 1,
            other => report
                .violations
                .push(format!("a stream was cut: {other:?}")),
        }
    }
    let streamed = told_at.elapsed();
    while setup.daemon.is_running() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let ended = told_at.elapsed();
    let ms = |time: Duration| time.as_secs_f64() * 1000.0;
    report.add(
        "streams open at the stop",
        f64::from(options.streams),
        "",
        Goal::None,
    );
    report.add(
        "streams whole",
        f64::from(whole),
        "",
        Goal::AtLeast(f64::from(options.streams)),
    );
    report.add("last stream ended after", ms(streamed), "ms", Goal::None);
    let linger = ms(ended - streamed);
    report.add(
        "process ended after that",
        linger,
        "ms",
        Goal::AtMost(LINGER_MS_MOST),
    );
    Ok(report)
}
