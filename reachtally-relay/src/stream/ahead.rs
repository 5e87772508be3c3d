//! Buffering of events that are read ahead of a caller: the queue between the task that reads from the engines and the body of the
//! answer.
//!
//! Bytes count as held until the connection has passed them to the operating system, including those buffered by the HTTP library.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use reachtally_core::Instant;
use reachtally_core::forward::read_ahead::{self, BufferedBytes};
use tokio::sync::{Notify, mpsc};

use crate::answer::BodyTruncated;
use crate::relay::Relay;

/// Bytes held for all streams of the box.
#[derive(Debug, Default)]
pub(crate) struct ReadAheadPool {
    held: AtomicUsize,
    /// Wakes a stream that waits for other streams to release bytes.
    released: Notify,
}

impl ReadAheadPool {
    /// Returns the number of bytes that callers have not consumed yet.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }
}

/// Bytes held for one stream.
#[derive(Debug)]
struct Usage {
    pool: Arc<ReadAheadPool>,
    held: AtomicUsize,
    consumed: Notify,
}

impl Usage {
    fn held(&self) -> BufferedBytes {
        BufferedBytes {
            stream: self.held.load(Ordering::Relaxed),
            all: self.pool.held(),
        }
    }

    fn add(&self, count: usize) {
        self.held.fetch_add(count, Ordering::Relaxed);
        self.pool.held.fetch_add(count, Ordering::Relaxed);
    }

    fn remove(&self, count: usize) {
        self.held.fetch_sub(count, Ordering::Relaxed);
        self.pool.held.fetch_sub(count, Ordering::Relaxed);
        self.consumed.notify_waiters();
        // Wakes one stream per released buffer. Waking all of them would make the cost of each event grow with the number of slow
        // callers.
        self.pool.released.notify_one();
    }
}

/// Events that count as held until they are dropped. The counters are atomic because the HTTP library requires `Send` buffers,
/// though a single thread uses them.
struct HeldEvents {
    events: Bytes,
    usage: Arc<Usage>,
}

impl AsRef<[u8]> for HeldEvents {
    fn as_ref(&self) -> &[u8] {
        &self.events
    }
}

impl Drop for HeldEvents {
    fn drop(&mut self) {
        self.usage.remove(self.events.len());
    }
}

/// An item of the queue to the body of an answer.
pub(super) enum Item {
    /// Complete events.
    Events(Bytes),
    /// The end of a complete stream.
    Complete,
    /// The end of a stream that is cut off.
    Cut(BodyTruncated),
}

/// Whether more of a stream may be read.
pub(super) enum Readiness {
    /// Immediately.
    Ready,
    /// After a pause that started at this time.
    AfterPause(Instant),
    /// Not before the deadline of the request.
    DeadlineExceeded,
}

/// The sending half of the queue.
pub(super) struct EventQueue {
    usage: Arc<Usage>,
    queue: mpsc::UnboundedSender<Item>,
}

/// Creates the queue of one stream.
pub(super) fn queue(relay: &Relay) -> (EventQueue, mpsc::UnboundedReceiver<Item>) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let usage = Usage {
        pool: relay.read_ahead.clone(),
        held: AtomicUsize::default(),
        consumed: Notify::new(),
    };
    let queue = EventQueue {
        usage: Arc::new(usage),
        queue: sender,
    };
    (queue, receiver)
}

impl EventQueue {
    /// Appends complete events.
    pub fn push(&self, events: Bytes) {
        self.usage.add(events.len());
        let held_events = HeldEvents {
            events,
            usage: self.usage.clone(),
        };
        self.send(Item::Events(Bytes::from_owner(held_events)));
    }

    /// Marks the stream as complete.
    pub fn complete(&self) {
        self.send(Item::Complete);
    }

    /// Cuts the stream off.
    pub fn cut(&self, why: BodyTruncated) {
        self.send(Item::Cut(why));
    }

    fn send(&self, item: Item) {
        // If the body was dropped, the caller is gone and this task is about to be aborted.
        let _ = self.queue.send(item);
    }

    /// Waits until more may be read, at most until `due`.
    pub async fn wait_for_capacity(&self, relay: &Relay, due: Instant) -> Readiness {
        let mut paused_at = None;
        loop {
            let consumed = self.usage.consumed.notified();
            let released = self.usage.pool.released.notified();
            let max = read_ahead::max_buffered_bytes(relay.settings.borrow().memory);
            let held = self.usage.held();
            if read_ahead::may_read(held, max) {
                let Some(paused_at) = paused_at else {
                    return Readiness::Ready;
                };
                // Passes the wake-up on, since there may be capacity for another stream too.
                self.usage.pool.released.notify_one();
                return Readiness::AfterPause(paused_at);
            }
            paused_at.get_or_insert(relay.now());
            let woken = async {
                tokio::select! {
                    () = consumed => {}
                    () = released, if held.stream < read_ahead::MAX_STREAM_BYTES => {}
                }
            };
            if relay.run_until(due, woken).await.is_none() {
                return Readiness::DeadlineExceeded;
            }
        }
    }

    /// Waits until the caller consumes something, unless it has consumed everything.
    pub async fn wait_until_consumed(&self) {
        let consumed = self.usage.consumed.notified();
        if self.usage.held().stream > 0 {
            consumed.await;
        }
    }
}
