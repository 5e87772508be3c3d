//! Events read ahead of a caller: the queue between the task that follows the engines and the body of the answer.
//!
//! Bytes count as held until the connection has handed them to the system, also where the HTTP library buffers them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use reachtally_core::Instant;
use reachtally_core::forward::read_ahead::{self, Held};
use tokio::sync::{Notify, mpsc};

use crate::relay::Relay;

/// What is held for all streams of the box.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    held: AtomicUsize,
    /// Wakes streams that wait for the others to hold less.
    room: Notify,
}

impl Pool {
    /// Bytes that callers have not taken yet.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }
}

/// What is held for one stream.
#[derive(Debug)]
struct Account {
    pool: Arc<Pool>,
    held: AtomicUsize,
    taken: Notify,
}

impl Account {
    fn held(&self) -> Held {
        Held {
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
        self.taken.notify_waiters();
        // One for each piece: to wake all of them would cost each event as much as there are slow callers.
        self.pool.room.notify_one();
    }
}

/// Events that count as held until they are dropped. The HTTP library moves buffers as `Send` values, so the counts are
/// atomic though one thread has them all.
struct Piece {
    events: Bytes,
    account: Arc<Account>,
}

impl AsRef<[u8]> for Piece {
    fn as_ref(&self) -> &[u8] {
        &self.events
    }
}

impl Drop for Piece {
    fn drop(&mut self) {
        self.account.remove(self.events.len());
    }
}

/// What the body of an answer gets.
pub(super) enum Item {
    /// Whole events.
    Events(Bytes),
    /// All events have come. A queue that ends without it is a stream that is cut.
    Whole,
}

/// Whether a stream may be read on.
pub(super) enum Room {
    /// At once.
    Now,
    /// After a pause that began then.
    Since(Instant),
    /// The final answer was due before.
    Late,
}

/// The end of the queue at the engines' side.
pub(super) struct Ahead {
    account: Arc<Account>,
    queue: mpsc::UnboundedSender<Item>,
}

/// A queue for one stream.
pub(super) fn queue(relay: &Relay) -> (Ahead, mpsc::UnboundedReceiver<Item>) {
    let (tx, rx) = mpsc::unbounded_channel();
    let account = Account {
        pool: relay.read_ahead.clone(),
        held: AtomicUsize::default(),
        taken: Notify::new(),
    };
    let ahead = Ahead {
        account: Arc::new(account),
        queue: tx,
    };
    (ahead, rx)
}

impl Ahead {
    /// Add events.
    pub fn push(&self, events: Bytes) {
        self.account.add(events.len());
        let piece = Piece {
            events,
            account: self.account.clone(),
        };
        self.send(Item::Events(Bytes::from_owner(piece)));
    }

    /// The stream is whole.
    pub fn end(&self) {
        self.send(Item::Whole);
    }

    fn send(&self, item: Item) {
        // Where the body is gone, so is the caller, and this side is about to be aborted.
        let _ = self.queue.send(item);
    }

    /// Wait until more may be read, at most until `due`.
    pub async fn room(&self, relay: &Relay, due: Instant) -> Room {
        let mut since = None;
        loop {
            let taken = self.account.taken.notified();
            let room = self.account.pool.room.notified();
            let most = read_ahead::all_bytes(relay.settings.borrow().memory);
            let held = self.account.held();
            if read_ahead::may_read(held, most) {
                let Some(since) = since else {
                    return Room::Now;
                };
                // There may be room for another stream, too.
                self.account.pool.room.notify_one();
                return Room::Since(since);
            }
            since.get_or_insert(relay.now());
            let woken = async {
                tokio::select! {
                    () = taken => {}
                    () = room, if held.stream < read_ahead::STREAM_BYTES => {}
                }
            };
            if relay.until_due(due, woken).await.is_none() {
                return Room::Late;
            }
        }
    }

    /// Wait until the caller takes something, unless it has taken everything.
    pub async fn until_taken(&self) {
        let taken = self.account.taken.notified();
        if self.account.held().stream > 0 {
            taken.await;
        }
    }
}
