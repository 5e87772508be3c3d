//! Intervals of store reads, and maximum ages of data from other boxes, derived from the configured bounds on
//! the propagation of changes.
//!
//! Each read is a call to the store. If a change may take four seconds to take effect instead of two, half as
//! many reads leave the same fraction of the bound as a margin.

use std::time::Duration;

use crate::relay::Settings;
use crate::share::{LONG_POLL_TIMEOUT, REQUEST_INTERVAL};

/// Minimum and maximum wait of a long-polling read of the configuration. The read returns immediately on a
/// change; a read that ends without one only shows that the reader still reaches the store.
const CONFIG_WAIT_RANGE: [Duration; 2] = [Duration::from_millis(500), Duration::from_millis(1000)];
/// Number of configuration waits within the time in which a change must take effect: two until other boxes
/// consider a reader's confirmation too old, one until the next reader has read, and one as a margin.
const CONFIG_WAITS_PER_APPLY_BOUND: u32 = 4;
/// Minimum and maximum time between two reads of target changes. Long polling would return at every heartbeat
/// of every target.
const TARGETS_INTERVAL_RANGE: [Duration; 2] =
    [Duration::from_millis(400), Duration::from_millis(800)];
/// Number of target reads within the time in which a leaving target must stop receiving requests.
const TARGETS_READS_PER_DRAIN_BOUND: u32 = 5;
/// Time allowed for a configuration read in addition to two waits.
const READ_SLACK: Duration = Duration::from_millis(200);
/// Time allowed for a failed read of the targets in addition to two intervals.
const TARGETS_SLACK: Duration = Duration::from_millis(700);
/// Time that an update from another box may take on its way, in addition to one long poll.
const UPDATE_SLACK: Duration = Duration::from_millis(40);
/// Part of the drain bound that is reserved for requests in flight and for propagation between boxes.
const DRAIN_SLACK: Duration = Duration::from_millis(1100);

/// Intervals of store reads, and maximum ages of data from other boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadIntervals {
    /// Maximum wait of one read of the configuration.
    pub config_wait: Duration,
    /// Time between two reads of target changes.
    pub targets_interval: Duration,
    /// Maximum age of the configuration of a box that serves as a source for others. A read confirms the
    /// configuration as of its start, so ages up to twice the wait are normal.
    pub max_source_age: Duration,
    /// Maximum age of the targets of a box that serves as a source for others.
    pub max_source_targets_age: Duration,
    /// Age of the configuration's confirmation above which a box reads the store itself, whatever other boxes answer: the highest
    /// age of a box that follows a working source.
    pub max_age: Duration,
    /// The same for the targets.
    pub max_targets_age: Duration,
    /// Time within which a missing entry may reappear.
    pub missing_grace_period: Duration,
}

impl ReadIntervals {
    /// Computes the intervals for the bounds in `settings`.
    pub fn of(settings: &Settings) -> Self {
        let [min, max] = CONFIG_WAIT_RANGE;
        let config_wait = (settings.apply_within / CONFIG_WAITS_PER_APPLY_BOUND).clamp(min, max);
        let [min, max] = TARGETS_INTERVAL_RANGE;
        let targets_interval =
            (settings.drain_within / TARGETS_READS_PER_DRAIN_BOUND).clamp(min, max);
        let max_update_time = LONG_POLL_TIMEOUT + REQUEST_INTERVAL + UPDATE_SLACK;
        ReadIntervals {
            max_age: 2 * config_wait + max_update_time,
            max_targets_age: 2 * targets_interval + TARGETS_SLACK,
            config_wait,
            targets_interval,
            max_source_age: 2 * config_wait + READ_SLACK,
            max_source_targets_age: 2 * targets_interval + TARGETS_SLACK,
            missing_grace_period: settings
                .drain_within
                .saturating_sub(DRAIN_SLACK + targets_interval),
        }
    }
}
