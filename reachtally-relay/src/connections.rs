//! Connections to engines that are kept for a moment after a whole answer.
//!
//! Only requests that may run twice go over them: a connection may have been closed meanwhile, or a surplus
//! answer may come first.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use reachtally_core::Instant;

use crate::target::Connection;

/// How long a connection is kept: most streams find one then. Engines close theirs later.
const KEPT_FOR: Duration = Duration::from_secs(3);

struct Kept {
    connection: Connection,
    since: Instant,
}

/// The connections that are kept, oldest first.
#[derive(Default)]
pub struct Connections {
    kept: RefCell<Vec<Kept>>,
}

impl Connections {
    /// Keep a connection whose answer is over.
    pub fn keep(&self, connection: Connection, now: Instant) {
        let mut kept = self.kept.borrow_mut();
        kept.retain(|old| now.since(old.since) < KEPT_FOR);
        kept.push(Kept {
            connection,
            since: now,
        });
    }

    /// The connection to `address` that was of use last.
    pub fn take(&self, address: SocketAddr, now: Instant) -> Option<Connection> {
        let mut kept = self.kept.borrow_mut();
        kept.retain(|old| now.since(old.since) < KEPT_FOR);
        let is_usable =
            |old: &Kept| old.connection.address() == address && old.connection.is_ready();
        let found = kept.iter().rposition(is_usable)?;
        Some(kept.remove(found).connection)
    }
}
