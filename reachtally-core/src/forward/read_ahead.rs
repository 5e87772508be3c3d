//! Bounds for reading streams ahead of their callers, and detection of callers that stopped
//! reading.
//!
//! An engine aborts an answer that is not read for some seconds, and its unsent data occupies the
//! engine's memory. A box therefore keeps reading while a caller is slow, up to a bound per stream
//! and a bound for all streams.

use std::time::Duration;

/// Maximum number of bytes read ahead for one stream: about 1,000 events, more than most answers
/// have, so that an engine that serves a slow caller finishes in its usual time.
pub const MAX_STREAM_BYTES: usize = 64 * 1024;
/// Divisor of a box's memory that gives the bound for all streams together. The rest holds tables,
/// requests and connections.
pub const MEMORY_DIVISOR: u64 = 8;
/// How long a caller may accept no data while some is waiting. A caller that is still connected
/// accepts data by the second retransmission of a lost packet (3 s); engines give up on their side
/// after some seconds too.
pub const SLOW_READER_TIMEOUT: Duration = Duration::from_secs(5);
/// Engines that abort unread answers wait longer than this, so a stream that was stalled for less
/// did not fail for that reason.
pub const ENGINE_STALL_TOLERANCE: Duration = Duration::from_secs(1);
/// Shorter pauses are caused by scheduling: a reading caller accepts each event within
/// milliseconds.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// Time without data from the engine after which a stream has caught up with it. Two packets of
/// queued data arrive in shorter succession.
const CAUGHT_UP_AFTER: Duration = Duration::from_millis(100);

/// Bytes read from engines that callers have not accepted yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BufferedBytes {
    /// Bytes of the stream.
    pub stream: usize,
    /// Bytes of all streams of the box.
    pub all: usize,
}

/// Returns the bound in bytes for all streams of a box with `memory` bytes.
pub fn max_buffered_bytes(memory: u64) -> usize {
    usize::try_from(memory / MEMORY_DIVISOR).unwrap_or(usize::MAX)
}

/// Whether to read more of a stream. A stream whose caller has accepted everything continues
/// whatever the others buffer, so that slow callers never stall others.
pub fn may_read(held: BufferedBytes, max_total: usize) -> bool {
    held.stream == 0 || (held.stream < MAX_STREAM_BYTES && held.all < max_total)
}

/// Tracks how a slow caller stalls the engine of its stream.
#[derive(Debug, Clone, Copy, Default)]
pub struct EngineStall {
    /// Longest pause since the stream last caught up with the engine.
    longest: Duration,
    /// Time spent waiting for the engine since the last pause.
    waited: Duration,
}

impl EngineStall {
    /// Records a pause in reading. Returns whether the engine may have noticed.
    pub fn paused(&mut self, time: Duration) -> bool {
        if time < MIN_PAUSE {
            return false;
        }
        self.longest = self.longest.max(time);
        self.waited = Duration::ZERO;
        true
    }

    /// Records time spent waiting for the engine. Enough of it shows that no part of the answer is
    /// unread.
    pub fn waited(&mut self, time: Duration) {
        self.waited += time;
        if self.waited >= CAUGHT_UP_AFTER {
            *self = EngineStall::default();
        }
    }

    /// Whether unread data may have accumulated.
    pub fn is_behind(&self) -> bool {
        !self.longest.is_zero()
    }

    /// Whether the engine may have given up because its answer was not read.
    pub fn is_unread(&self) -> bool {
        self.longest >= ENGINE_STALL_TOLERANCE
    }
}
