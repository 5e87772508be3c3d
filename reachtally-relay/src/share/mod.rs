//! Distribution of the configuration, the targets and the group membership between boxes.
//!
//! The first few boxes of each failure domain are candidates for its store reader: the first working
//! one reads the store, and the other boxes long-poll it. The number of store calls then grows with the
//! number of failure domains rather than boxes, and a box that can't reach the store continues with
//! updates from a box that can. Any other box reads the store itself once what it holds is older than it gets with a working source:
//! the search for another source takes time, and must not use up the time within which a change must take effect. Boxes that have
//! just started, and boxes that need the complete list of targets, take turns, since all may do so at once.
//!
//! The age of a confirmation is the time since the request was *sent* plus the age that the answer
//! states, which is the age when the request *arrived*. So neither a slow answer nor a pause of a
//! process makes it appear newer than it is, and the wait for an update does not make it appear older.

mod answer;
mod ask;
mod overdue;

use std::time::Duration;

use reachtally_core::Instant;
use reachtally_protocol::news::Frames;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

use crate::relay::Relay;

pub(crate) use answer::PageCache;
pub use answer::serve;
pub use ask::ask;

/// Time for which a request waits for an update.
pub(crate) const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(350);
/// Minimum interval between two requests, so that a burst of configurations is not transferred one by one.
pub(crate) const REQUEST_INTERVAL: Duration = Duration::from_millis(60);
/// Time allowed for an answer in addition to that wait. The latency between boxes is about a millisecond.
const ANSWER_TIMEOUT_MARGIN: Duration = Duration::from_millis(200);
/// A connection for update requests.
type Link = Framed<TcpStream, Frames>;

/// Whether a read at `read` is at most `bound` old.
fn is_at_most(read: Option<Instant>, now: Instant, bound: Duration) -> bool {
    read.is_some_and(|at| now.since(at) <= bound)
}

/// Whether the state of this box is fresh enough to be sent to other boxes.
fn is_fresh(relay: &Relay) -> bool {
    let now = relay.now();
    let rhythm = relay.rhythm();
    let age = relay.configuration.age(now);
    age.is_some_and(|age| age <= rhythm.max_source_age)
        && is_at_most(relay.targets_read.get(), now, rhythm.max_source_targets_age)
}
