//! Export of the core's counters to StatsD.

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use cadence::{Counted, MetricSink, NopMetricSink, StatsdClient, UdpMetricSink};
use reachtally_core::counters::Counters;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

/// Prefix of every metric.
const PREFIX: &str = "reachtally";
/// Interval between reports.
const INTERVAL: Duration = Duration::from_secs(1);

/// Creates a client that sends to `statsd`, or discards metrics if there is no address.
///
/// # Errors
/// The I/O error if the UDP socket cannot be opened.
pub fn client(statsd: Option<SocketAddr>) -> std::io::Result<StatsdClient> {
    let Some(address) = statsd else {
        return Ok(StatsdClient::from_sink(PREFIX, NopMetricSink));
    };
    let socket = UdpSocket::bind(("0.0.0.0", 0))?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
    Ok(with_sink(sink))
}

/// Creates a client with the given sink.
pub fn with_sink<S>(sink: S) -> StatsdClient
where
    S: MetricSink + Sync + Send + std::panic::RefUnwindSafe + 'static,
{
    StatsdClient::from_sink(PREFIX, sink)
}

/// Reports the increment of each counter every second until the actor ends.
pub async fn report(client: StatsdClient, counters: watch::Receiver<Counters>) {
    let mut before = Counters::default();
    let mut tick = interval(INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while counters.has_changed().is_ok() {
        tick.tick().await;
        let now = *counters.borrow();
        send_increments(&client, &before, &now);
        before = now;
    }
}

/// Sends the increment of each counter that has increased.
pub fn send_increments(client: &StatsdClient, before: &Counters, now: &Counters) {
    for ((name, before), (_, now)) in before.each().zip(now.each()) {
        if now > before {
            // Metrics are best effort: a full socket buffer drops one.
            client.count(name, now - before).ok();
        }
    }
}
