//! The latest time at which a box reads the store itself.

use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::ids::Incarnation;
use tokio::time::sleep;

use crate::relay::Relay;
use crate::share::ask::FIRST_CONFIGURATION_TIMEOUT;

/// Time over which the reads of boxes that are no store readers are spread. They lose their sources at the same moment.
const SPREAD: Duration = Duration::from_millis(300);
/// Number of different moments within that time.
const SPREAD_STEPS: u64 = 1024;
/// Interval at which a box that was never confirmed, or whose reads are overdue, is checked again.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Lets this box read the store itself whenever no source has kept it current, for the lifetime of the process. Following a source
/// ends that once one does.
pub(super) async fn read_when_overdue(relay: &Relay, run: Incarnation) {
    loop {
        let remaining = due(relay, run).since(relay.now());
        if remaining.is_zero() {
            relay.set_direct(true);
        }
        // Only the first confirmation brings the time forward.
        let pause = match relay.configuration.last_confirmation() {
            Some(_) => remaining.max(CHECK_INTERVAL),
            None => CHECK_INTERVAL,
        };
        sleep(pause).await;
    }
}

/// Returns whether no source has kept this box current, so that it must read the store itself.
pub(super) fn is_overdue(relay: &Relay, run: Incarnation) -> bool {
    due(relay, run) <= relay.now()
}

/// Returns when this box must read the store itself unless it learns of a later read before.
fn due(relay: &Relay, run: Incarnation) -> Instant {
    // No read confirms anything then, and readers pass a new configuration on all the same.
    if relay.may_lack_configuration() {
        return relay.now() + CHECK_INTERVAL;
    }
    let rhythm = relay.rhythm();
    let delay = match relay.is_listed_reader(run) {
        true => Duration::ZERO,
        false => spread(run),
    };
    let confirmed = relay.configuration.last_confirmation();
    let Some(confirmed) = confirmed else {
        return Instant::ZERO + FIRST_CONFIGURATION_TIMEOUT + delay;
    };
    let configuration = confirmed.began + rhythm.max_age;
    let targets = relay.targets_read.get();
    let due = targets.map_or(configuration, |read| {
        configuration.min(read + rhythm.max_targets_age)
    });
    due + delay
}

/// Returns the delay of a box that is no store reader, between zero and [`SPREAD`].
fn spread(run: Incarnation) -> Duration {
    SPREAD.mul_f64((run.0 % SPREAD_STEPS) as f64 / SPREAD_STEPS as f64)
}
