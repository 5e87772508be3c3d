//! Counters and histograms as text, in the format that Prometheus reads.

use std::rc::Rc;

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use prometheus_client::collector::Collector;
use prometheus_client::encoding::text::{encode_eof, encode_registry};
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::{ConstCounter, Counter};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use reachtally_core::forward::tally::Tally;
use tokio::net::TcpListener;

use crate::answer::{self, Body};
use crate::page;
use crate::relay::Relay;

/// Where the metrics are.
pub const PATH: &str = "/metrics";
/// Prefix of every name.
const PREFIX: &str = "reachtally";
/// Buckets of times: from 1 ms, doubling, to 32 s.
const FIRST_BUCKET_S: f64 = 0.001;
const BUCKETS: u16 = 16;

/// Times of requests.
#[derive(Debug)]
pub struct Times {
    /// Until the first event of a stream.
    pub first_event: Histogram,
    /// The longest gap between two events of a stream.
    pub longest_gap: Histogram,
    /// Until the end of a whole answer.
    pub answer: Histogram,
    /// Requests of services with several ranks.
    pub by_rank: ByRank,
}

/// The rank of a request: 0 is the most urgent, `beyond` is beyond its account's share.
pub type RankLabel = [(&'static str, String); 1];

/// Requests by rank, for services with several.
#[derive(Debug)]
pub struct ByRank {
    /// That were decided on.
    pub offered: Family<RankLabel, Counter>,
    /// That were admitted, at once or later.
    pub admitted: Family<RankLabel, Counter>,
    /// That waited in this box.
    pub queued: Family<RankLabel, Counter>,
    /// That were refused.
    pub shed: Family<RankLabel, Counter>,
    /// Time that admitted ones had waited.
    pub wait: Family<RankLabel, Histogram, fn() -> Histogram>,
}

impl Default for ByRank {
    fn default() -> Self {
        ByRank {
            offered: Family::default(),
            admitted: Family::default(),
            queued: Family::default(),
            shed: Family::default(),
            wait: Family::new_with_constructor(seconds),
        }
    }
}

/// A histogram of times.
fn seconds() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS))
}

impl Default for Times {
    fn default() -> Self {
        Times {
            first_event: seconds(),
            longest_gap: seconds(),
            answer: seconds(),
            by_rank: ByRank::default(),
        }
    }
}

/// The counters at one moment.
#[derive(Debug)]
struct Snapshot(Tally);

impl Collector for Snapshot {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), std::fmt::Error> {
        for ((name, value), meaning) in self.0.each().zip(Tally::meanings()) {
            let counter = ConstCounter::new(value);
            let meaning = meaning.trim().trim_end_matches('.');
            let metric = encoder.encode_descriptor(name, meaning, None, counter.metric_type())?;
            counter.encode(metric)?;
        }
        Ok(())
    }
}

/// All metrics as text, counters first: the page may be collected only in part, and the histograms take most of it.
pub fn text(relay: &Relay) -> String {
    let mut text = String::new();
    if let Err(err) = encode(&mut text, relay) {
        log::warn!(event = "metrics-failed", why:% = err; "the metrics were not encoded");
    }
    text
}

fn encode(text: &mut String, relay: &Relay) -> std::fmt::Result {
    encode_registry(text, &counters(relay))?;
    encode_registry(text, &times(&relay.times))?;
    encode_eof(text)
}

fn counters(relay: &Relay) -> Registry {
    let mut registry = Registry::with_prefix(PREFIX);
    registry.register_collector(Box::new(Snapshot(relay.tally.get())));
    let boxes = Gauge::<i64>::default();
    boxes.set(i64::from(relay.boxes()));
    registry.register(
        "boxes_believed",
        "Boxes among which this one shares the budget of second sends",
        boxes,
    );
    let suspects = Gauge::<i64>::default();
    suspects.set(i64::try_from(relay.suspects_known()).unwrap_or(i64::MAX));
    registry.register(
        "suspects",
        "Requests remembered because targets ended under them",
        suspects,
    );
    let limited = Gauge::<i64>::default();
    limited.set(i64::try_from(relay.limited_targets()).unwrap_or(i64::MAX));
    registry.register(
        "targets_limited",
        "Targets that state a rate limit for all boxes together",
        limited,
    );
    let waiting = Gauge::<i64>::default();
    waiting.set(i64::try_from(relay.requests_waiting()).unwrap_or(i64::MAX));
    registry.register(
        "requests_waiting",
        "Requests that wait in this box for room",
        waiting,
    );
    let beyond = Gauge::<i64>::default();
    beyond.set(i64::try_from(relay.accounts_beyond_share()).unwrap_or(i64::MAX));
    registry.register(
        "accounts_beyond_share",
        "Client accounts above their share of a contended service, as told to this box",
        beyond,
    );
    registry
}

fn times(times: &Times) -> Registry {
    let mut registry = Registry::with_prefix(PREFIX);
    registry.register(
        "first_event_seconds",
        "Time to a stream's first event",
        times.first_event.clone(),
    );
    registry.register(
        "longest_gap_seconds",
        "Longest gap in a stream",
        times.longest_gap.clone(),
    );
    registry.register(
        "answer_seconds",
        "Time to the end of an answer",
        times.answer.clone(),
    );
    let by_rank = &times.by_rank;
    let counters = [
        (
            "admission_offered",
            "Requests of services with several ranks, by rank",
            &by_rank.offered,
        ),
        (
            "admission_admitted",
            "Those that were admitted",
            &by_rank.admitted,
        ),
        (
            "admission_queued",
            "Those that waited in this box",
            &by_rank.queued,
        ),
        ("admission_shed", "Those that were refused", &by_rank.shed),
    ];
    for (name, meaning, counter) in counters {
        registry.register(name, meaning, counter.clone());
    }
    registry.register(
        "admission_wait_seconds",
        "Time that admitted requests had waited, by rank",
        by_rank.wait.clone(),
    );
    registry
}

/// Serve the metrics until the process ends.
pub async fn run(relay: Rc<Relay>, listener: TcpListener) {
    let respond = move |req: &Request<Incoming>| respond(&relay, req);
    page::serve(listener, "metrics", respond).await;
}

fn respond(relay: &Relay, req: &Request<Incoming>) -> Response<Body> {
    if req.uri().path() != PATH {
        return answer::plain(StatusCode::NOT_FOUND, "no such page");
    }
    let mut response = Response::new(answer::whole(text(relay)));
    let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}
