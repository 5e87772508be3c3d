//! Pool of idle connections to engines, for reuse shortly after a complete response.
//!
//! Only repeatable requests use them: a pooled connection may have been closed in the meantime, or may
//! deliver a surplus response first.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use reachtally_core::Instant;

use crate::target::Connection;

/// Time for which an idle connection is kept. With it, most streams find one; engines close idle connections
/// later.
const KEPT_FOR: Duration = Duration::from_secs(3);

struct Kept {
    connection: Connection,
    since: Instant,
}

/// The pool of idle connections, oldest first.
#[derive(Default)]
pub struct Connections {
    kept: RefCell<Vec<Kept>>,
}

impl Connections {
    /// Adds a connection whose last response is complete.
    pub fn keep(&self, connection: Connection, now: Instant) {
        let mut kept = self.kept.borrow_mut();
        kept.retain(|old| now.since(old.since) < KEPT_FOR);
        kept.push(Kept {
            connection,
            since: now,
        });
    }

    /// Takes the most recently used connection to `address`.
    pub fn take(&self, address: SocketAddr, now: Instant) -> Option<Connection> {
        let mut kept = self.kept.borrow_mut();
        kept.retain(|old| now.since(old.since) < KEPT_FOR);
        let is_usable =
            |old: &Kept| old.connection.address() == address && old.connection.is_ready();
        let found = kept.iter().rposition(is_usable)?;
        Some(kept.remove(found).connection)
    }
}
