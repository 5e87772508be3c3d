//! How often the store is read, and how old what other boxes tell may be, from the bounds that changes must
//! keep.
//!
//! Each read is a call to the store. Where a change may take four seconds to be in force, half as many reads
//! keep the same part of the bound in hand as with two.

use std::time::Duration;

use crate::relay::Settings;

/// Shortest and longest wait of a read of the configuration. Such a read returns at once with a change; its
/// end only shows that the reader still reaches the store.
const CONFIG_WAITS: [Duration; 2] = [Duration::from_millis(500), Duration::from_millis(1000)];
/// Waits of the configuration within the time in which a change must be in force: two until others find a
/// reader's confirmation too old, one until the next reader has read, one to spare.
const CONFIG_WAITS_WITHIN: u32 = 4;
/// Shortest and longest time between two reads of the targets' changes. Waiting reads would return at every
/// heartbeat of every target.
const TARGETS_INTERVALS: [Duration; 2] = [Duration::from_millis(400), Duration::from_millis(800)];
/// Reads of the targets within the time in which a leaving target must get nothing.
const TARGETS_READS_WITHIN: u32 = 5;
/// Beside two waits, the time that a read takes.
const READ_SLACK: Duration = Duration::from_millis(200);
/// Beside two intervals, the time that a failed read of the targets takes.
const TARGETS_SLACK: Duration = Duration::from_millis(700);
/// Kept of the drain bound for requests on their way and for the time from box to box.
const DRAIN_SLACK: Duration = Duration::from_millis(1100);

/// Times of reading and telling on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rhythm {
    /// Longest wait of one read of the configuration.
    pub config_wait: Duration,
    /// Time between two reads of the targets' changes.
    pub targets_interval: Duration,
    /// A box whose confirmation of the configuration is older than this is no good source. Each read confirms
    /// as of its beginning, so ages up to twice its wait are usual.
    pub sound_age: Duration,
    /// The same for its targets.
    pub sound_targets_age: Duration,
    /// Time for which a missing entry may come back.
    pub missing_patience: Duration,
}

impl Rhythm {
    /// The times for these bounds.
    pub fn of(settings: &Settings) -> Self {
        let [least, most] = CONFIG_WAITS;
        let config_wait = (settings.apply_within / CONFIG_WAITS_WITHIN).clamp(least, most);
        let [least, most] = TARGETS_INTERVALS;
        let targets_interval = (settings.drain_within / TARGETS_READS_WITHIN).clamp(least, most);
        Rhythm {
            config_wait,
            targets_interval,
            sound_age: 2 * config_wait + READ_SLACK,
            sound_targets_age: 2 * targets_interval + TARGETS_SLACK,
            missing_patience: settings
                .drain_within
                .saturating_sub(DRAIN_SLACK + targets_interval),
        }
    }
}
