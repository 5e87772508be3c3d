//! The configuration, the targets and the group from other boxes.
//!
//! The first few boxes of each failure domain stand by as readers: the first of them that works reads
//! the store, and the others ask it. Calls to the store then grow with the failure domains and not with
//! the boxes, and a box that the store turns away goes on with what a box that reaches it tells. Only
//! where no reader works does a box read the store itself.
//!
//! How old a confirmation is counts from when the question was *sent*, less the age that the answer
//! tells; so neither a slow answer nor a pause of this process makes it look newer than it is.

mod answer;
mod ask;

use std::time::Duration;

use reachtally_core::Instant;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::relay::Relay;

pub(crate) use answer::Pages;
pub use answer::serve;
pub use ask::ask;

/// How long a question waits for something new.
const ANSWER_WAIT: Duration = Duration::from_millis(350);
/// Time for an answer beside that wait; boxes are a millisecond apart.
const ANSWER_SLACK: Duration = Duration::from_millis(200);
/// A connection for questions.
type Link = Framed<TcpStream, LengthDelimitedCodec>;

/// Whether something that was read at `read` is at most `bound` old.
fn is_within(read: Option<Instant>, now: Instant, bound: Duration) -> bool {
    read.is_some_and(|at| now.since(at) <= bound)
}

/// Whether what this box holds is new enough for others.
fn is_sound(relay: &Relay) -> bool {
    let now = relay.now();
    let rhythm = relay.rhythm();
    let age = relay.configuration.age(now);
    age.is_some_and(|age| age <= rhythm.sound_age)
        && is_within(relay.targets_read.get(), now, rhythm.sound_targets_age)
}
