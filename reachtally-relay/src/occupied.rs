//! Guards that count connections and requests while they live.

use std::rc::Rc;

use reachtally_core::forward::fleet::EngineKey;

use crate::relay::Relay;

/// Counts a caller's connection until it is dropped.
pub struct OpenConnection(Rc<Relay>);

impl OpenConnection {
    /// Count a connection.
    pub fn new(relay: &Rc<Relay>) -> Self {
        relay.open.set(relay.open.get() + 1);
        OpenConnection(relay.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// Counts a request on its engines until it is dropped.
pub struct Occupied {
    relay: Rc<Relay>,
    engines: Vec<EngineKey>,
    tokens: f64,
}

impl Occupied {
    /// Count a request that holds `tokens` of KV on average on `engines`.
    pub fn new(relay: &Rc<Relay>, engines: Vec<EngineKey>, tokens: f64) -> Self {
        relay.fleet.borrow_mut().begin(&engines, tokens);
        Occupied {
            relay: relay.clone(),
            engines,
            tokens,
        }
    }

    /// The engines.
    pub fn engines(&self) -> &[EngineKey] {
        &self.engines
    }
}

impl Drop for Occupied {
    fn drop(&mut self) {
        self.relay
            .fleet
            .borrow_mut()
            .end(&self.engines, self.tokens);
    }
}
