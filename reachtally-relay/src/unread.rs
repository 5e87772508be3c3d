//! How long a caller has taken nothing of what waits for it.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use reachtally_core::forward::read_ahead::CUT_AFTER;
use tokio::time::{Instant, Sleep};

/// Time since a connection last took bytes, while some wait for it.
#[derive(Debug, Default)]
pub(crate) struct Unread {
    waiting: Option<(Instant, Pin<Box<Sleep>>)>,
}

impl Unread {
    /// Note what a write came to. Yields the time for which the caller has taken nothing, once that is too long.
    ///
    /// The write comes first: where this process was stopped for a while, the caller may have read meanwhile.
    pub fn note<T>(&mut self, cx: &mut Context<'_>, written: &Poll<T>) -> Option<Duration> {
        if written.is_ready() {
            self.waiting = None;
            return None;
        }
        let begin = || (Instant::now(), Box::pin(tokio::time::sleep(CUT_AFTER)));
        let (since, timer) = self.waiting.get_or_insert_with(begin);
        let is_over = timer.as_mut().poll(cx).is_ready();
        is_over.then(|| since.elapsed())
    }
}
