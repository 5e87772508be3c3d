//! Detects that a box is sent more work than its processor can carry, and decides which connections it takes then.
//!
//! Work that is ready to run waits in one queue. A burst fills that queue for a moment. If the queue does not become short again, more
//! work arrives than is done, and whatever else is accepted only delays what has been accepted before. So the shortest delay of a
//! while decides, not the longest or the mean, as in the CoDel discipline (RFC 8289). This holds for a processor of any speed, and
//! for one that the process gets for a part of the time only.

use std::time::Duration;

use crate::time::Instant;

/// Delay of an event of a stream in the run queue up to which a box keeps up. Events may take 120 ms from an engine to the caller at
/// the tightest bound that the platform states; a third of it leaves room for the network and for variation.
pub const MAX_QUEUE_DELAY: Duration = Duration::from_millis(40);
/// Time for which all delays must be above [`MAX_QUEUE_DELAY`] until the queue counts as standing: longer than it takes to handle a
/// burst of new connections.
pub const STANDING_TIME: Duration = Duration::from_millis(100);
/// Time after the queue was standing in which a single delay above [`MAX_QUEUE_DELAY`] shows that it is standing again.
const RELAPSE_TIME: Duration = Duration::from_secs(1);
/// Time after which a queue that stands although no new connections are taken shows that open ones bring too much work.
pub const LONG_STANDING_TIME: Duration = Duration::from_millis(500);
/// Age at which a delay says nothing about the queue any more.
const MAX_DELAY_AGE: Duration = Duration::from_secs(2);
/// Time between two connections that are taken while the queue is standing. So new callers are served too while open connections
/// bring more work than can be carried, and callers see that the box takes connections.
pub const MIN_ACCEPT_INTERVAL: Duration = Duration::from_millis(200);

/// Memory that an open connection takes at most times: its buffers, its request, and the connection to a target.
pub const CONNECTION_BYTES: u64 = 96 * 1024;
/// Number of open connections that are taken whatever the memory is, so that a box with very little serves somebody.
pub const MIN_CONNECTIONS: usize = 16;
/// Number of connections of other boxes that each port between boxes takes whatever the number of descriptors is.
const MIN_PEER_CONNECTIONS: u32 = 16;

/// Returns the number of descriptors up to which connections of callers are taken, of `limit`. The rest is for connections to targets,
/// to the store and between boxes.
pub fn max_caller_descriptors(limit: u32) -> u32 {
    limit / 4 * 3
}

/// Returns the number of connections of other boxes that each port between boxes may have, of `limit` descriptors.
pub fn max_peer_connections(limit: u32) -> usize {
    (limit / 8).max(MIN_PEER_CONNECTIONS) as usize
}

/// State of the run queue, as far as the delays recorded so far show.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunQueue {
    /// Since when all delays have been above [`MAX_QUEUE_DELAY`].
    above_since: Option<Instant>,
    /// When the queue was standing last.
    stood_at: Option<Instant>,
    /// Time of the last delay.
    recorded_at: Instant,
    /// When a connection was taken last.
    accepted_at: Option<Instant>,
}

impl RunQueue {
    /// Records a delay that ended at `now`.
    pub fn record(&mut self, delay: Duration, now: Instant) {
        if self.is_outdated(now) {
            self.above_since = None;
        }
        self.recorded_at = now;
        if delay <= MAX_QUEUE_DELAY {
            self.above_since = None;
            return;
        }
        let since = *self.above_since.get_or_insert(now);
        let has_relapsed = self.stood_at.is_some_and(|at| now.since(at) < RELAPSE_TIME);
        if has_relapsed || now.since(since) >= STANDING_TIME {
            self.stood_at = Some(now);
        }
    }

    /// Returns whether the queue is standing: more work arrives than the box carries.
    pub fn is_standing(&self, now: Instant) -> bool {
        let is_standing = self.above_since.is_some() && self.stood_at == Some(self.recorded_at);
        is_standing && !self.is_outdated(now)
    }

    /// Returns whether the queue has been standing for [`LONG_STANDING_TIME`].
    pub fn is_long_standing(&self, now: Instant) -> bool {
        let since = self.above_since;
        self.is_standing(now) && since.is_some_and(|since| now.since(since) >= LONG_STANDING_TIME)
    }

    /// Decides whether to take a new connection, and counts it if so.
    pub fn take_connection(&mut self, now: Instant) -> bool {
        let is_due = self
            .accepted_at
            .is_none_or(|at| now.since(at) >= MIN_ACCEPT_INTERVAL);
        let is_taken = is_due || !self.is_standing(now);
        if is_taken {
            self.accepted_at = Some(now);
        }
        is_taken
    }

    fn is_outdated(&self, now: Instant) -> bool {
        now.since(self.recorded_at) >= MAX_DELAY_AGE
    }
}
