//! How long a caller has taken nothing of what waits for it.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time::{Instant, Sleep};

/// Time between two looks at a caller that takes nothing.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// Time since a connection last took bytes, while some wait for it.
#[derive(Debug, Default)]
pub(crate) struct Unread {
    waiting: Option<(Instant, Pin<Box<Sleep>>)>,
}

impl Unread {
    /// Note what a write came to. Yields the time for which it seems that the caller has taken nothing, now and then.
    ///
    /// The write comes first: where this process was stopped for a while, the caller may have read meanwhile.
    pub fn note<T>(&mut self, cx: &mut Context<'_>, written: &Poll<T>) -> Option<Duration> {
        if written.is_ready() {
            self.waiting = None;
            return None;
        }
        let begin = || (Instant::now(), Box::pin(tokio::time::sleep(LOOK_EVERY)));
        let (since, timer) = self.waiting.get_or_insert_with(begin);
        if timer.as_mut().poll(cx).is_pending() {
            return None;
        }
        timer.as_mut().reset(Instant::now() + LOOK_EVERY);
        // Registers the waker.
        let _ = timer.as_mut().poll(cx);
        Some(since.elapsed())
    }
}
