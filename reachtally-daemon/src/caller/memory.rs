//! Memory for the bodies of callers' requests.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use reachtally_core::Instant;
use reachtally_core::forward::bodies::{Bodies, BodyId, BodyLimits, Growth, next_allocation};
use tokio::sync::Notify;

/// The account of all bodies; see [`reachtally_core::forward::bodies`].
#[derive(Debug, Clone)]
pub struct BodyMemory {
    limits: BodyLimits,
    started: tokio::time::Instant,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    bodies: Bodies,
    /// Notified when a body has to give way.
    evicted: BTreeMap<BodyId, Arc<Notify>>,
}

/// There is no memory for a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoMemory;

impl BodyMemory {
    /// Creates an account of `bytes`.
    pub fn new(bytes: u64) -> Self {
        BodyMemory {
            limits: BodyLimits::of_total(bytes),
            started: tokio::time::Instant::now(),
            state: Arc::default(),
        }
    }

    /// Returns the bytes allocated for all bodies.
    pub fn bytes(&self) -> u64 {
        self.lock().bodies.bytes()
    }

    /// Begins a body of at most `max` bytes.
    pub fn begin(&self, max: u64) -> HeldBody {
        let evicted = Arc::new(Notify::new());
        let mut state = self.lock();
        let id = state.bodies.begin(self.now());
        state.evicted.insert(id, evicted.clone());
        drop(state);
        HeldBody {
            memory: self.clone(),
            id,
            max,
            evicted,
            bytes: Vec::new(),
        }
    }

    fn now(&self) -> Instant {
        Instant::from_elapsed(self.started.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A body and its bytes, which count until it is dropped.
#[derive(Debug)]
pub struct HeldBody {
    memory: BodyMemory,
    id: BodyId,
    max: u64,
    evicted: Arc<Notify>,
    bytes: Vec<u8>,
}

impl HeldBody {
    /// Returns the bytes received so far.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Moves the bytes out, which count until the body is dropped.
    pub fn take(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.bytes)
    }

    /// Waits until the body has to give way to others.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Appends bytes.
    ///
    /// # Errors
    /// [`NoMemory`] if there is none for them, or if the body has to give way.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), NoMemory> {
        let needed = self.bytes.len() + bytes.len();
        let capacity = self.bytes.capacity();
        let now = self.memory.now();
        let mut state = self.memory.lock();
        if needed > capacity {
            let size = next_allocation(capacity as u64, needed as u64, self.max);
            let growth = state.bodies.grow(self.id, size, self.memory.limits, now);
            let Growth::Granted(evicted) = growth else {
                return Err(NoMemory);
            };
            for victim in evicted {
                if let Some(victim) = state.evicted.remove(&victim) {
                    victim.notify_one();
                }
            }
            self.bytes.reserve_exact(size as usize - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
        state.bodies.received(self.id, bytes.len() as u64, now);
        Ok(())
    }

    /// Marks the body as complete, so that it does not give way any more.
    ///
    /// # Errors
    /// [`NoMemory`] if it had to give way before.
    pub fn complete(self) -> Result<Self, NoMemory> {
        let mut state = self.memory.lock();
        state.evicted.remove(&self.id).ok_or(NoMemory)?;
        state.bodies.complete(self.id, self.bytes.capacity() as u64);
        drop(state);
        Ok(self)
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.evicted.remove(&self.id);
        state.bodies.end(self.id);
    }
}
