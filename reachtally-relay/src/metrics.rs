//! Metrics page with counters, gauges and histograms in the OpenMetrics text format.

use std::rc::Rc;
use std::sync::atomic::AtomicU64;

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
use reachtally_core::forward::reach::{ServiceReach, service_reach};
use reachtally_core::forward::tally::Tally;
use tokio::net::TcpListener;

use crate::answer::{self, Body};
use crate::page;
use crate::relay::Relay;

/// Path of the metrics page.
pub const PATH: &str = "/metrics";
/// Prefix of all metric names.
const PREFIX: &str = "reachtally";
/// Histogram buckets for times: from 1 ms to 32 s, doubling.
const FIRST_BUCKET_S: f64 = 0.001;
const BUCKETS: u16 = 16;

/// Latency histograms and admission counters of requests.
#[derive(Debug)]
pub struct Times {
    /// Time to the first event of a stream.
    pub first_event: Histogram,
    /// Longest gap between two events of a stream.
    pub longest_gap: Histogram,
    /// Time to the end of a plain response.
    pub answer: Histogram,
    /// Time from taking the allowance of a retry until the retry is written to its target.
    pub allowance_age: Histogram,
    /// Time from writing a retry until the response shows that its target has read it.
    pub retry_read: Histogram,
    /// Time for which work that is ready waits in the run queue, over as many turns as an event of a stream takes.
    pub run_queue: Histogram,
    /// Admission counters of services with several ranks.
    pub by_rank: ByRank,
}

/// Rank of a request: 0 is the most urgent, `beyond` is beyond the share of its account.
pub type RankLabel = [(&'static str, String); 1];

/// Admission metrics by rank, for services with several ranks.
#[derive(Debug)]
pub struct ByRank {
    /// Requests that were subject to admission control.
    pub offered: Family<RankLabel, Counter>,
    /// Requests that were admitted, immediately or after waiting.
    pub admitted: Family<RankLabel, Counter>,
    /// Requests that waited in this box.
    pub queued: Family<RankLabel, Counter>,
    /// Requests that were refused.
    pub shed: Family<RankLabel, Counter>,
    /// Time that admitted requests had waited.
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

/// Returns a histogram of times in seconds.
fn seconds() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS))
}

impl Default for Times {
    fn default() -> Self {
        Times {
            first_event: seconds(),
            longest_gap: seconds(),
            answer: seconds(),
            allowance_age: seconds(),
            retry_read: seconds(),
            run_queue: seconds(),
            by_rank: ByRank::default(),
        }
    }
}

/// Snapshot of the counters.
#[derive(Debug)]
struct Snapshot(Tally);

impl Collector for Snapshot {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), std::fmt::Error> {
        for ((name, value), meaning) in self.0.each().zip(Tally::descriptions()) {
            let counter = ConstCounter::new(value);
            let meaning = meaning.trim().trim_end_matches('.');
            let metric = encoder.encode_descriptor(name, meaning, None, counter.metric_type())?;
            counter.encode(metric)?;
        }
        Ok(())
    }
}

/// Returns all metrics as text. Counters come first, since a scraper may read only part of the page and the
/// histograms take up most of it.
pub fn text(relay: &Relay) -> String {
    let mut text = String::new();
    if let Err(err) = encode(&mut text, relay) {
        log::warn!(event = "metrics-failed", why:% = err; "failed to encode the metrics");
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
    gauge(
        &mut registry,
        "boxes_believed",
        "Boxes among which this one shares the budget of second sends",
        i64::from(relay.boxes()),
    );
    gauge(
        &mut registry,
        "second_sends_pending",
        "Second sends that count until their targets have read them",
        relay.second_sends_pending(),
    );
    gauge(
        &mut registry,
        "configuration_version",
        "Version of the configuration in force, 0 without one",
        relay.configuration.version(),
    );
    let age = Gauge::<f64, AtomicU64>::default();
    let seconds = relay.configuration.age(relay.now());
    age.set(seconds.map_or(f64::INFINITY, |age| age.as_secs_f64()));
    registry.register(
        "configuration_age_seconds",
        "Time since the start of the read that last confirmed the configuration",
        age,
    );
    gauge(
        &mut registry,
        "reads_store",
        "Whether this box reads the store itself",
        i64::from(relay.is_direct()),
    );
    gauge(
        &mut registry,
        "suspects",
        "Requests remembered because targets ended under them",
        relay.suspects_known(),
    );
    gauge(
        &mut registry,
        "suspects_evicted",
        "Suspect requests forgotten for others before they expired",
        relay.suspects_evicted(),
    );
    gauge(
        &mut registry,
        "targets_limited",
        "Targets that state a rate limit for all boxes together",
        relay.limited_targets(),
    );
    gauge(
        &mut registry,
        "requests_waiting",
        "Requests that wait in this box for room",
        relay.requests_waiting(),
    );
    gauge(
        &mut registry,
        "accounts_beyond_share",
        "Client accounts above their share of a contended service, as told to this box",
        relay.accounts_beyond_share(),
    );
    gauge(
        &mut registry,
        "handed_over",
        "Requests of this box that run at other boxes",
        relay.handed_over(),
    );
    gauge(
        &mut registry,
        "taken_over",
        "Requests of other boxes that run at this one",
        relay.taken_over(),
    );
    resources(&mut registry, relay);
    let awaited = Family::<[(&'static str, &'static str); 1], Gauge>::default();
    let label = [("milestone", relay.startup.awaited_name())];
    awaited.get_or_create(&label).set(1);
    registry.register(
        "startup_awaits",
        "1 for the milestone that this box awaits since its start, 'none' once it has served a request",
        awaited,
    );
    registry.register(
        "service_targets",
        "Targets of a service that are not leaving, by service and state as seen by this box",
        service_targets(relay),
    );
    registry
}

/// Registers the use of each resource, and its limit if known.
fn resources(registry: &mut Registry, relay: &Relay) {
    let usage = relay.resources.usage();
    let settings = relay.settings.borrow();
    let resources = [
        ("processor", usage.busy, Some(1.0)),
        (
            "memory_bytes",
            usage.memory as f64,
            Some(settings.memory as f64),
        ),
        (
            "descriptors",
            usage.descriptors.into(),
            settings.max_descriptors.map(f64::from),
        ),
        (
            "sent_mbps",
            usage.sent_mbps,
            Some(settings.link_mbps.into()),
        ),
    ];
    let used = Family::<ResourceLabel, Gauge<f64, AtomicU64>>::default();
    let limits = Family::<ResourceLabel, Gauge<f64, AtomicU64>>::default();
    for (name, amount, limit) in resources {
        let label = [("resource", name)];
        used.get_or_create(&label).set(amount);
        if let Some(limit) = limit.filter(|limit| *limit > 0.0) {
            limits.get_or_create(&label).set(limit);
        }
    }
    registry.register("resource_used", "Resources in use by this process", used);
    registry.register("resource_limit", "Known limits of this process", limits);
    gauge(
        registry,
        "connections_open",
        "Open connections of callers",
        relay.lifecycle.open(),
    );
    let (bodies, limits) = (relay.bodies.usage(), relay.body_limits());
    let figures = [
        (
            "body_bytes",
            "Memory that bodies of requests take",
            bodies.bytes,
        ),
        (
            "body_bytes_limit",
            "Memory that they may take",
            limits.small,
        ),
        (
            "bodies",
            "Bodies of requests that are held",
            bodies.count as u64,
        ),
        (
            "bodies_incomplete",
            "Bodies of requests that are being received",
            bodies.incomplete as u64,
        ),
    ];
    for (name, meaning, value) in figures {
        gauge(registry, name, meaning, value);
    }
    gauge(
        registry,
        "read_ahead_bytes",
        "Data of streams that callers have not read yet",
        relay.read_ahead(),
    );
}

/// Name of a resource.
type ResourceLabel = [(&'static str, &'static str); 1];

/// Service and state of counted targets.
type ReachLabel = [(&'static str, String); 2];

/// Returns the reach of each configured service.
fn service_targets(relay: &Relay) -> Family<ReachLabel, Gauge> {
    let family = Family::<ReachLabel, Gauge>::default();
    let Some(table) = relay.configuration.table() else {
        return family;
    };
    let fleet = relay.fleet.borrow();
    for service in table.services.keys() {
        let ServiceReach {
            targets,
            unresponsive,
            unresponsive_elsewhere,
            unresponsive_here_only,
        } = service_reach(&fleet, service);
        let states = [
            ("known", targets),
            ("unresponsive", unresponsive),
            ("unresponsive_elsewhere", unresponsive_elsewhere),
            ("unresponsive_here_only", unresponsive_here_only),
        ];
        for (state, count) in states {
            let label = [
                ("service", service.to_string()),
                ("state", state.to_owned()),
            ];
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            family.get_or_create(&label).set(count);
        }
    }
    family
}

/// Registers a gauge with its current value, or the largest value of a gauge if it is beyond that.
fn gauge(
    registry: &mut Registry,
    name: &'static str,
    help: &'static str,
    value: impl TryInto<i64>,
) {
    let gauge = Gauge::<i64>::default();
    gauge.set(value.try_into().unwrap_or(i64::MAX));
    registry.register(name, help, gauge);
}

fn times(times: &Times) -> Registry {
    let mut registry = Registry::with_prefix(PREFIX);
    let histograms = [
        (
            "first_event_seconds",
            "Time to a stream's first event",
            &times.first_event,
        ),
        (
            "longest_gap_seconds",
            "Longest gap in a stream",
            &times.longest_gap,
        ),
        (
            "answer_seconds",
            "Time to the end of an answer",
            &times.answer,
        ),
        (
            "retry_allowance_age_seconds",
            "Time from taking the allowance of a retry until the retry is written",
            &times.allowance_age,
        ),
        (
            "retry_read_seconds",
            "Time from writing a retry until its target has read it",
            &times.retry_read,
        ),
        (
            "run_queue_seconds",
            "Time for which an event of a stream would have waited for the processor",
            &times.run_queue,
        ),
    ];
    for (name, meaning, histogram) in histograms {
        registry.register(name, meaning, histogram.clone());
    }
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

/// Serves the metrics page until the process exits.
pub async fn run(relay: Rc<Relay>, listener: TcpListener) {
    let respond = {
        let relay = relay.clone();
        move |req: &Request<Incoming>| respond(&relay, req)
    };
    page::serve(relay, listener, "metrics", respond).await;
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
