//! How far a box reads streams ahead of their callers, and when it gives up on a caller that does not read.
//!
//! An engine cuts off an answer that is left unread for some seconds, and what it has not sent takes its memory. A box
//! therefore reads on while a caller is slow, up to one bound for each stream and one for all of them.

use std::time::Duration;

/// Most bytes read ahead for one stream: some 1,000 events, which is more than most answers have, so an engine that serves
/// a slow caller is done in its usual time.
pub const STREAM_BYTES: usize = 64 * 1024;
/// Part of a box's memory for all streams together, as a divisor. The rest holds tables, requests and connections.
pub const MEMORY_PART: u64 = 8;
/// Time for which a caller may take nothing while data waits. A caller that is still there takes something within a lost
/// packet's second retransmission (3 s); engines give up on their side after some seconds too.
pub const CUT_AFTER: Duration = Duration::from_secs(5);
/// Engines that cut off unread answers wait for longer than this, so a stream that was held up for less did not break for
/// that reason.
pub const ENGINE_PATIENCE: Duration = Duration::from_secs(1);
/// Shorter pauses come from scheduling: a caller that reads takes each event within milliseconds.
const LEAST_PAUSE: Duration = Duration::from_millis(20);
/// Time without data from the engine that shows that a stream has caught up with it. Less passes between two packets of
/// data that had piled up.
const CAUGHT_UP_AFTER: Duration = Duration::from_millis(100);

/// Bytes read from engines that callers have not taken yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// Of the stream.
    pub stream: usize,
    /// Of all streams of the box.
    pub all: usize,
}

/// Returns the bound for all streams of a box with this much memory, in bytes.
pub fn all_bytes(memory: u64) -> usize {
    usize::try_from(memory / MEMORY_PART).unwrap_or(usize::MAX)
}

/// Whether more of a stream is read. A stream whose caller has taken everything goes on whatever the others hold, so slow
/// callers never hold up others.
pub fn may_read(held: Held, most_of_all: usize) -> bool {
    held.stream == 0 || (held.stream < STREAM_BYTES && held.all < most_of_all)
}

/// How a stream's engine has been held up by the caller.
#[derive(Debug, Clone, Copy, Default)]
pub struct HeldUp {
    /// Longest pause since the stream had last caught up with the engine.
    longest: Duration,
    /// Time spent waiting for the engine since the last pause.
    waited: Duration,
}

impl HeldUp {
    /// Reading stopped for this long. Returns whether the engine may have noticed.
    pub fn paused(&mut self, time: Duration) -> bool {
        if time < LEAST_PAUSE {
            return false;
        }
        self.longest = self.longest.max(time);
        self.waited = Duration::ZERO;
        true
    }

    /// The engine was waited for. Enough of it shows that nothing of its answer was left unread.
    pub fn waited(&mut self, time: Duration) {
        self.waited += time;
        if self.waited >= CAUGHT_UP_AFTER {
            *self = HeldUp::default();
        }
    }

    /// Whether data may have piled up that was not read yet.
    pub fn is_behind(&self) -> bool {
        !self.longest.is_zero()
    }

    /// Whether the engine may have given up because its answer was left unread.
    pub fn is_unread(&self) -> bool {
        self.longest >= ENGINE_PATIENCE
    }
}
