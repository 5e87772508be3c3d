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
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// The pool of idle connections, oldest first.
#[derive(Default)]
pub struct Connections {
    idle: RefCell<Vec<IdleConnection>>,
}

impl Connections {
    /// Adds a connection whose last response is complete.
    pub fn keep(&self, connection: Connection, now: Instant) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|old| now.since(old.since) < IDLE_TIMEOUT);
        idle.push(IdleConnection {
            connection,
            since: now,
        });
    }

    /// Takes the most recently used connection to `address`, with the time at which it was added.
    pub fn take(&self, address: SocketAddr, now: Instant) -> Option<(Connection, Instant)> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|old| now.since(old.since) < IDLE_TIMEOUT);
        let is_usable =
            |old: &IdleConnection| old.connection.address() == address && old.connection.is_ready();
        let found = idle.iter().rposition(is_usable)?;
        let found = idle.remove(found);
        Some((found.connection, found.since))
    }
}
