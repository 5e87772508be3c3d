//! Open connections of a listener, and which of them gives way to a new one.
//!
//! A connection costs the box memory and a descriptor also while nothing happens on it. At a limit, those without a request in progress
//! give way, so that clients which only hold connections don't keep others out.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// What a connection without a request in progress waits for. Of two connections, the one with the lower value gives way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Wait {
    /// The first request, or the remainder of a head.
    Head,
    /// The next request.
    Next,
}

#[derive(Debug, Default)]
struct Row {
    /// What the connection waits for, and since when; `None` while it must not give way.
    wait: Cell<Option<(Wait, Instant)>>,
    evicted: Notify,
}

/// The open connections of a listener.
#[derive(Debug, Default)]
pub(crate) struct OpenConnections {
    rows: RefCell<BTreeMap<u64, Rc<Row>>>,
    next: Cell<u64>,
}

impl OpenConnections {
    /// Adds a connection that waits for its first request.
    pub fn add(self: &Rc<Self>) -> OpenConnection {
        let id = self.next.get();
        self.next.set(id + 1);
        let row = Rc::new(Row::default());
        row.wait.set(Some((Wait::Head, Instant::now())));
        self.rows.borrow_mut().insert(id, row.clone());
        OpenConnection {
            all: self.clone(),
            id,
            row,
        }
    }

    /// Returns the number of open connections that have not given way.
    pub fn len(&self) -> usize {
        self.rows.borrow().len()
    }

    /// Returns whether some connection has waited for at least `min_wait`.
    pub fn can_evict(&self, min_wait: Duration) -> bool {
        self.longest_waiting(min_wait).is_some()
    }

    /// Makes the connection give way that has waited longest, and for at least `min_wait`. Returns whether there is one.
    pub fn evict(&self, min_wait: Duration) -> bool {
        let found = self.longest_waiting(min_wait);
        let row = found.and_then(|id| self.rows.borrow_mut().remove(&id));
        if let Some(row) = &row {
            row.evicted.notify_one();
        }
        row.is_some()
    }

    fn longest_waiting(&self, min_wait: Duration) -> Option<u64> {
        let rows = self.rows.borrow();
        let waiting = rows.iter().filter_map(|(id, row)| {
            let (wait, since) = row.wait.get()?;
            (since.elapsed() >= min_wait).then_some((wait, since, *id))
        });
        waiting.min().map(|(_, _, id)| id)
    }
}

/// An open connection, until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    all: Rc<OpenConnections>,
    id: u64,
    row: Rc<Row>,
}

impl OpenConnection {
    /// Records what the connection waits for from now on; `None` if it must not give way.
    pub fn set_wait(&self, wait: Option<Wait>) {
        self.row.wait.set(wait.map(|wait| (wait, Instant::now())));
    }

    /// Waits until the connection has to give way.
    pub async fn evicted(&self) {
        self.row.evicted.notified().await;
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.all.rows.borrow_mut().remove(&self.id);
    }
}
