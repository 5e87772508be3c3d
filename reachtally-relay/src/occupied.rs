//! Guards that count connections and requests while they live.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use reachtally_core::forward::fleet::EngineKey;

use crate::relay::Relay;

/// Counts a caller's connection until it is dropped.
pub struct OpenConnection(Rc<Relay>);

impl OpenConnection {
    /// Count a connection.
    pub fn new(relay: &Rc<Relay>) -> Self {
        relay.lifecycle.opened();
        OpenConnection(relay.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.lifecycle.closed();
    }
}

/// Counts a request on its engines until it is dropped.
pub struct Occupied {
    relay: Rc<Relay>,
    /// The service of its targets.
    service: Option<Arc<str>>,
    engines: Vec<EngineKey>,
    tokens: f64,
    /// Tokens that are not known to be read yet, and the engines that read them.
    reading: f64,
    readers: Vec<EngineKey>,
    was_refused: Cell<bool>,
}

impl Occupied {
    /// Count a request that holds `tokens` of KV on average on `engines`, which read a prompt of `prompt` tokens
    /// first.
    pub fn new(relay: &Rc<Relay>, engines: Vec<EngineKey>, tokens: f64, prompt: f64) -> Self {
        let mut fleet = relay.fleet.borrow_mut();
        fleet.begin(&engines, tokens);
        fleet.begin_reading(&engines, prompt);
        let first = engines.first().and_then(|key| fleet.get(*key));
        let service = first.map(|first| first.entry.service.clone());
        if let Some(service) = &service {
            relay.admission.sent(service, relay.now());
        }
        Occupied {
            relay: relay.clone(),
            readers: engines.clone(),
            service,
            engines,
            tokens,
            reading: prompt,
            was_refused: Cell::default(),
        }
    }

    /// Notes that an engine refused the request for want of room. It has run nowhere, so its end leaves no room for another.
    pub fn refused(&self) {
        self.was_refused.set(true);
        if let Some(service) = &self.service {
            self.relay.admission.refused(service, self.relay.now());
        }
    }

    /// Count the request on `engines` from now on; those that are new read `prompt` tokens first.
    pub fn move_to(&mut self, engines: Vec<EngineKey>, prompt: f64) {
        self.end_reading();
        let is_new = |key: &EngineKey| !self.engines.contains(key);
        self.readers = engines.iter().copied().filter(is_new).collect();
        // Each engine of a path counts its part of the prompt.
        self.reading = prompt * self.readers.len() as f64 / engines.len().max(1) as f64;
        let mut fleet = self.relay.fleet.borrow_mut();
        fleet.end(&self.engines, self.tokens);
        fleet.begin(&engines, self.tokens);
        fleet.begin_reading(&self.readers, self.reading);
        self.engines = engines;
    }

    /// The prompt was read.
    pub fn end_reading(&mut self) {
        let read = std::mem::take(&mut self.reading);
        if read > 0.0 {
            let mut fleet = self.relay.fleet.borrow_mut();
            fleet.end_reading(&self.readers, read);
        }
    }

    /// The engines.
    pub fn engines(&self) -> &[EngineKey] {
        &self.engines
    }
}

impl Drop for Occupied {
    fn drop(&mut self) {
        self.end_reading();
        let mut fleet = self.relay.fleet.borrow_mut();
        fleet.end(&self.engines, self.tokens);
        drop(fleet);
        match &self.service {
            Some(service) if self.was_refused.get() => self.relay.admission.wake(service),
            Some(service) => self.relay.admission.ended(service, self.relay.now()),
            None => {}
        }
    }
}
