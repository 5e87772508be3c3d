//! Detects callers that stop reading their responses.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time::{Instant, Sleep};

/// Time between two checks of a caller that does not read.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Tracks for how long writes to a connection have been blocked.
#[derive(Debug, Default)]
pub(crate) struct BlockedWrite {
    blocked: Option<(Instant, Pin<Box<Sleep>>)>,
}

impl BlockedWrite {
    /// Records the result of a write. While writes are blocked, returns periodically for how long the caller has
    /// apparently not read.
    ///
    /// The write must come first: if this process was suspended, the caller may have read in the meantime.
    pub fn record<T>(&mut self, cx: &mut Context<'_>, written: &Poll<T>) -> Option<Duration> {
        if written.is_ready() {
            self.blocked = None;
            return None;
        }
        let begin = || (Instant::now(), Box::pin(tokio::time::sleep(CHECK_INTERVAL)));
        let (since, timer) = self.blocked.get_or_insert_with(begin);
        if timer.as_mut().poll(cx).is_pending() {
            return None;
        }
        timer.as_mut().reset(Instant::now() + CHECK_INTERVAL);
        // Register the waker for the next check.
        let _ = timer.as_mut().poll(cx);
        Some(since.elapsed())
    }
}
