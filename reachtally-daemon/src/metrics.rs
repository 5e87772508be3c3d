//! Metrics: the core's counters as StatsD counts.

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use cadence::{Counted, MetricSink, NopMetricSink, StatsdClient, UdpMetricSink};
use reachtally_core::counters::Counters;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

/// Prefix of every metric.
const PREFIX: &str = "reachtally";
/// Time between two reports.
const INTERVAL: Duration = Duration::from_secs(1);

/// A client that sends to `statsd`, or nowhere.
///
/// # Errors
/// The system's, if no UDP socket can be had.
pub fn client(statsd: Option<SocketAddr>) -> std::io::Result<StatsdClient> {
    let Some(address) = statsd else {
        return Ok(StatsdClient::from_sink(PREFIX, NopMetricSink));
    };
    let socket = UdpSocket::bind(("0.0.0.0", 0))?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
    Ok(with_sink(sink))
}

/// A client over any sink.
pub fn with_sink<S>(sink: S) -> StatsdClient
where
    S: MetricSink + Sync + Send + std::panic::RefUnwindSafe + 'static,
{
    StatsdClient::from_sink(PREFIX, sink)
}

/// Report what each counter grew by, every second, until the actor is gone.
pub async fn report(client: StatsdClient, counters: watch::Receiver<Counters>) {
    let mut before = Counters::default();
    let mut tick = interval(INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while counters.has_changed().is_ok() {
        tick.tick().await;
        let now = *counters.borrow();
        send_growth(&client, &before, &now);
        before = now;
    }
}

/// Send the growth of each counter that grew.
pub fn send_growth(client: &StatsdClient, before: &Counters, now: &Counters) {
    for ((name, before), (_, now)) in before.each().zip(now.each()) {
        if now > before {
            // Metrics are sent at best effort; a full socket buffer loses one.
            client.count(name, now - before).ok();
        }
    }
}
