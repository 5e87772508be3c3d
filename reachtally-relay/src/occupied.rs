//! Guards that count open connections and running requests until they are dropped.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use reachtally_core::forward::fleet::EngineKey;

use crate::relay::Relay;

/// Counts a caller's connection as open until it is dropped.
pub struct ConnectionGuard(Rc<Relay>);

impl ConnectionGuard {
    /// Counts a connection as open.
    pub fn new(relay: &Rc<Relay>) -> Self {
        relay.lifecycle.connection_opened();
        ConnectionGuard(relay.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.lifecycle.connection_closed();
    }
}

/// Counts a request as running on its engines until it is dropped.
pub struct RequestGuard {
    relay: Rc<Relay>,
    /// Service of the engines.
    service: Option<Arc<str>>,
    engines: Vec<EngineKey>,
    tokens: f64,
    /// Prompt tokens whose prefill is not known to be complete, and the engines that process them.
    pending_prompt: f64,
    prefilling_engines: Vec<EngineKey>,
    was_refused: Cell<bool>,
}

impl RequestGuard {
    /// Counts a request that occupies `tokens` of KV cache on average on `engines`, after the prefill of a prompt
    /// of `prompt` tokens.
    pub fn new(relay: &Rc<Relay>, engines: Vec<EngineKey>, tokens: f64, prompt: f64) -> Self {
        let mut fleet = relay.fleet.borrow_mut();
        fleet.begin(&engines, tokens);
        fleet.begin_prefill(&engines, prompt);
        let first = engines.first().and_then(|key| fleet.get(*key));
        let service = first.map(|first| first.entry.service.clone());
        if let Some(service) = &service {
            relay.admission.sent(service, relay.now());
        }
        RequestGuard {
            relay: relay.clone(),
            prefilling_engines: engines.clone(),
            service,
            engines,
            tokens,
            pending_prompt: prompt,
            was_refused: Cell::default(),
        }
    }

    /// Records that an engine refused the request for lack of capacity. The request has run nowhere, so its end
    /// frees no capacity for another.
    pub fn refused(&self) {
        self.was_refused.set(true);
        if let Some(service) = &self.service {
            self.relay.admission.refused(service, self.relay.now());
        }
    }

    /// Moves the request to `engines`, of which the new ones first prefill `prompt` tokens.
    pub fn move_to(&mut self, engines: Vec<EngineKey>, prompt: f64) {
        self.end_prefill();
        let is_new = |key: &EngineKey| !self.engines.contains(key);
        self.prefilling_engines = engines.iter().copied().filter(is_new).collect();
        // Each engine of a path counts its share of the prompt.
        self.pending_prompt =
            prompt * self.prefilling_engines.len() as f64 / engines.len().max(1) as f64;
        let mut fleet = self.relay.fleet.borrow_mut();
        fleet.end(&self.engines, self.tokens);
        fleet.begin(&engines, self.tokens);
        fleet.begin_prefill(&self.prefilling_engines, self.pending_prompt);
        self.engines = engines;
    }

    /// Records that the prefill is complete.
    pub fn end_prefill(&mut self) {
        let read = std::mem::take(&mut self.pending_prompt);
        if read > 0.0 {
            let mut fleet = self.relay.fleet.borrow_mut();
            fleet.end_prefill(&self.prefilling_engines, read);
        }
    }

    /// Returns the engines that the request runs on.
    pub fn engines(&self) -> &[EngineKey] {
        &self.engines
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.end_prefill();
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
