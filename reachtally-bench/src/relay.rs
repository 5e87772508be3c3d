//! Measures the overhead of the relay of whole requests: time to the first event, processor time per event, and memory.
//!
//! The relay runs as a separate process, so that its processor time and memory can be measured. The engine in this process answers
//! immediately; the baseline calls it directly in the same run.

mod boxed;
mod engine;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use hdrhistogram::Histogram;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::process;
use crate::report::{Goal, Report};

pub use boxed::{BoxOptions, box_options, run_box};

/// Largest allowed increase of the median time to the first event, in ms.
const MAX_ADDED_MS: f64 = 0.5;
/// Largest allowed processor time per relayed event, in µs.
const MAX_EVENT_US: f64 = 15.0;
/// Largest allowed resident memory, idle and with the streams open, in MB.
const MAX_IDLE_MB: f64 = 20.0;
const MAX_OPEN_MB: f64 = 60.0;
/// Warm-up requests, which are not measured.
const WARM_UP_REQUESTS: u32 = 50;
/// Concurrent streams, and events per stream, in the measurement of processor time.
const BUSY_STREAMS: u32 = 100;
const BUSY_EVENTS: u32 = 400;
/// Time between two events of these streams.
const BUSY_GAP: Duration = Duration::from_millis(5);
/// Time between two events of streams that are only kept open.
const OPEN_GAP: Duration = Duration::from_millis(500);

/// Command-line options of the experiment.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Requests in the measurement of the time to the first event
    #[bpaf(argument("N"), fallback(1000))]
    requests: u32,
    /// Concurrently open streams
    #[bpaf(argument("N"), fallback(1000))]
    streams: u32,
    /// Let the relay write its log to an output that nobody reads
    logs: bool,
}

/// Runs the experiment.
pub async fn run(options: Options) -> Result<Report, String> {
    let engine = engine::start().await.map_err(|err| err.to_string())?;
    let (relay, address) = process::relay_box(engine, options.logs)?;
    let mut report = Report::default();
    let idle = relay.resident() as f64 / 1e6;
    report.add("resident, idle", idle, "MB", Goal::AtMost(MAX_IDLE_MB));
    let direct = measure_first_events(engine, options.requests).await?;
    let relayed = measure_first_events(address, options.requests).await?;
    let ms = |times: &Histogram<u64>, q| times.value_at_quantile(q) as f64 / 1000.0;
    report.add(
        "first event, direct, p50",
        ms(&direct, 0.5),
        "ms",
        Goal::None,
    );
    report.add(
        "first event, relayed, p50",
        ms(&relayed, 0.5),
        "ms",
        Goal::None,
    );
    let added = ms(&relayed, 0.5) - ms(&direct, 0.5);
    report.add(
        "first event, added, p50",
        added,
        "ms",
        Goal::AtMost(MAX_ADDED_MS),
    );
    report.add(
        "first event, relayed, p99",
        ms(&relayed, 0.99),
        "ms",
        Goal::None,
    );
    let before = relay.cpu();
    let complete = streams(address, BUSY_STREAMS, BUSY_EVENTS, BUSY_GAP).await?;
    let used = (relay.cpu() - before).as_secs_f64() * 1e6;
    let events = f64::from(BUSY_STREAMS * BUSY_EVENTS);
    report.add(
        "processor time, an event",
        used / events,
        "us",
        Goal::AtMost(MAX_EVENT_US),
    );
    if complete != BUSY_STREAMS {
        report.violations.push(format!(
            "{complete} of {BUSY_STREAMS} streams were received completely"
        ));
    }
    let streams = hold_open(address, options.streams).await?;
    let open = relay.resident() as f64 / 1e6;
    report.add(
        "resident, streams open",
        open,
        "MB",
        Goal::AtMost(MAX_OPEN_MB),
    );
    report.add("streams open", streams.len() as f64, "", Goal::None);
    Ok(report)
}

fn request(events: u32, gap: Duration) -> String {
    let gap_us = gap.as_micros();
    format!(
        "POST /stream/{events}/{gap_us} HTTP/1.1\r\nHost: bench.example\r\nX-Bench-Id: r1\r\n\
         Content-Length: 2\r\n\r\n{{}}"
    )
}

async fn open(address: SocketAddr, events: u32, gap: Duration) -> Result<TcpStream, String> {
    let mut stream = TcpStream::connect(address)
        .await
        .map_err(|err| err.to_string())?;
    stream.set_nodelay(true).map_err(|err| err.to_string())?;
    let text = request(events, gap);
    stream
        .write_all(text.as_bytes())
        .await
        .map_err(|err| err.to_string())?;
    Ok(stream)
}

/// Reads until `mark` arrives. Returns false if the stream ends before.
async fn read_until(stream: &mut TcpStream, mark: &str) -> Result<bool, String> {
    let mut read = Vec::new();
    let mut buf = [0; 8192];
    loop {
        let count = stream.read(&mut buf).await.map_err(|err| err.to_string())?;
        if count == 0 {
            return Ok(false);
        }
        read.extend_from_slice(&buf[..count]);
        if read
            .windows(mark.len())
            .any(|window| window == mark.as_bytes())
        {
            return Ok(true);
        }
        let tail = read.len().saturating_sub(mark.len());
        read.drain(..tail);
    }
}

/// Measures the time from connecting to the first event, in µs, over sequential requests.
async fn measure_first_events(
    address: SocketAddr,
    requests: u32,
) -> Result<Histogram<u64>, String> {
    let mut times = Histogram::new(3).map_err(|err| err.to_string())?;
    for number in 0..requests + WARM_UP_REQUESTS {
        let started = Instant::now();
        let mut stream = open(address, 1, Duration::ZERO).await?;
        if !read_until(&mut stream, "data: ").await? {
            return Err("a stream ended before its first event".to_owned());
        }
        if number >= WARM_UP_REQUESTS {
            times.saturating_record(started.elapsed().as_micros() as u64);
        }
    }
    Ok(times)
}

/// Runs concurrent streams and returns how many were received to their end.
async fn streams(
    address: SocketAddr,
    count: u32,
    events: u32,
    gap: Duration,
) -> Result<u32, String> {
    let mut running = JoinSet::new();
    for _ in 0..count {
        running.spawn(async move {
            let mut stream = open(address, events, gap).await?;
            read_until(&mut stream, "\r\n0\r\n\r\n").await
        });
    }
    let mut complete = 0;
    while let Some(ended) = running.join_next().await {
        let is_whole = ended.map_err(|err| err.to_string())??;
        complete += u32::from(is_whole);
    }
    Ok(complete)
}

/// Opens streams and waits for the first event of each.
async fn hold_open(address: SocketAddr, count: u32) -> Result<Vec<TcpStream>, String> {
    let mut streams = Vec::new();
    for _ in 0..count {
        let mut stream = open(address, 1_000, OPEN_GAP).await?;
        if !read_until(&mut stream, "data: ").await? {
            return Err("a stream ended before its first event".to_owned());
        }
        streams.push(stream);
    }
    Ok(streams)
}
