//! The latest time at which a box reads the store itself.

use std::time::Duration;

use reachtally_core::Instant;
use reachtally_core::forward::turns::turn;
use reachtally_core::ids::Incarnation;
use tokio::time::sleep;

use crate::relay::Relay;
use crate::share::ANSWER_TIMEOUT_MARGIN;
use crate::share::ask::FIRST_CONFIGURATION_TIMEOUT;
use crate::startup::Milestone;

/// Time over which the reads of boxes that are no store readers are spread. They lose their sources at the same moment.
const SPREAD: Duration = Duration::from_millis(300);
/// Number of different moments within that time.
const SPREAD_STEPS: u64 = 1024;
/// Window of the turns of boxes that start, whose first reads are large, while other boxes answer but lack data.
const FIRST_READ_TURNS: Duration = Duration::from_secs(4);
/// The same while no other box has answered.
const LONE_READ_TURNS: Duration = Duration::from_millis(1500);
/// Interval at which a box that starts, or whose reads are overdue, is checked again.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Lets this box read the store itself whenever no source has kept it current, for the lifetime of the process. Following a source
/// ends that once one does.
pub(super) async fn read_when_overdue(relay: &Relay, run: Incarnation) {
    loop {
        let remaining = due(relay, run).since(relay.now());
        if remaining.is_zero() {
            relay.set_direct(true);
        }
        // Only the first confirmation and the first targets bring the time forward.
        let pause = match relay.configuration.last_confirmation().is_some()
            && relay.targets_read.get().is_some()
        {
            true => remaining.max(CHECK_INTERVAL),
            false => CHECK_INTERVAL,
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
    let confirmed = relay.configuration.last_confirmation();
    let (Some(confirmed), Some(targets)) = (confirmed, relay.targets_read.get()) else {
        return first_due(relay, run);
    };
    let configuration = confirmed.began + rhythm.max_age;
    let due = configuration.min(targets + rhythm.max_targets_age);
    if relay.is_listed_reader(run) {
        return due;
    }
    // The first state of this box may be old already, from a source that is starting too and renews it soon.
    let first_state = relay
        .startup
        .reached(Milestone::Targets)
        .unwrap_or_default();
    due.max(Instant::ZERO + first_state + rhythm.max_targets_age) + spread(run)
}

/// Returns when a box that has no confirmed configuration or no targets yet must read the store itself. Its sources may be starting too.
fn first_due(relay: &Relay, run: Incarnation) -> Instant {
    let (grace_period, window) = match relay.has_peer_answered.get() {
        true => (FIRST_CONFIGURATION_TIMEOUT, FIRST_READ_TURNS),
        false => (ANSWER_TIMEOUT_MARGIN, LONE_READ_TURNS),
    };
    let delay = match relay.is_listed_reader(run) {
        true => Duration::ZERO,
        false => turn(run, window),
    };
    Instant::ZERO + grace_period + delay
}

/// Returns the delay of a box that is no store reader, between zero and [`SPREAD`].
fn spread(run: Incarnation) -> Duration {
    SPREAD.mul_f64((run.0 % SPREAD_STEPS) as f64 / SPREAD_STEPS as f64)
}
