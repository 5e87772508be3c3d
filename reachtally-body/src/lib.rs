//! The bodies of requests: received into memory that is accounted for, and held until the last user of the bytes is done.
//!
//! Bytes count from their allocation until the last copy of the [`Bytes`] is dropped, so a body counts while its request waits, runs,
//! is sent again or is handed over.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use reachtally_core::Instant;
use reachtally_core::forward::bodies::{
    Bodies, BodyId, BodyLimits, Growth, OtherUse, next_allocation,
};
use tokio::sync::Notify;

use crate::relay::Relay;

/// The buffer of a body that is being received.
struct Buffer {
    data: Vec<u8>,
    /// Notified when the buffer has been dropped for others.
    evicted: Arc<Notify>,
}

#[derive(Default)]
struct State {
    bodies: Bodies,
    /// Buffers of the incomplete bodies. They are kept here so that evicting one frees its memory at once.
    buffers: BTreeMap<BodyId, Buffer>,
}

/// All bodies of the box. The lock is never contended: one thread uses the pool, but the HTTP library requires `Send` buffers.
#[derive(Default)]
pub(crate) struct BodyPool(Mutex<State>);

/// The use of a [`BodyPool`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BodyUse {
    /// Bytes allocated for all bodies.
    pub bytes: u64,
    /// Number of bodies.
    pub count: usize,
    /// Number of bodies that are not complete.
    pub incomplete: usize,
}

/// The box has no memory for a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NoMemory;

impl BodyPool {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how much is in use.
    pub fn usage(&self) -> BodyUse {
        let bodies = &self.lock().bodies;
        BodyUse {
            bytes: bodies.bytes(),
            count: bodies.count(),
            incomplete: bodies.incomplete(),
        }
    }

    /// Returns the bytes allocated for all bodies.
    pub fn bytes(&self) -> u64 {
        self.lock().bodies.bytes()
    }

    fn end(&self, id: BodyId) {
        let mut state = self.lock();
        state.bodies.end(id);
        state.buffers.remove(&id);
    }
}

impl State {
    /// Makes `bytes` the size of a body, and drops the buffers of those that give way. Returns their number.
    fn grow(
        &mut self,
        id: BodyId,
        bytes: u64,
        limits: BodyLimits,
        now: Instant,
    ) -> Result<u64, NoMemory> {
        let Growth::Granted(evicted) = self.bodies.grow(id, bytes, limits, now) else {
            return Err(NoMemory);
        };
        for victim in &evicted {
            if let Some(buffer) = self.buffers.remove(victim) {
                buffer.evicted.notify_one();
            }
        }
        Ok(evicted.len() as u64)
    }
}

impl Relay {
    /// Returns the bounds of the memory for bodies.
    pub(crate) fn body_limits(&self) -> BodyLimits {
        let other = OtherUse {
            connections: self.lifecycle.open(),
            read_ahead: self.read_ahead(),
        };
        BodyLimits::new(self.settings.borrow().memory, other)
    }

    fn grow_body(&self, id: BodyId, bytes: u64) -> Result<(), NoMemory> {
        let mut state = self.bodies.lock();
        let evicted = state.grow(id, bytes, self.body_limits(), self.now())?;
        self.count(|tally| tally.bodies_evicted += evicted);
        Ok(())
    }
}

/// A body that is being received.
pub(crate) struct Receiving {
    charge: Charge,
    evicted: Arc<Notify>,
    /// Size that the body can have at most, in bytes.
    max: usize,
}

impl Receiving {
    /// Begins a body of at most `max` bytes.
    pub fn begin(relay: &Relay, max: usize) -> Self {
        let evicted = Arc::new(Notify::new());
        let mut state = relay.bodies.lock();
        let id = state.bodies.begin(relay.now());
        let buffer = Buffer {
            data: Vec::new(),
            evicted: evicted.clone(),
        };
        state.buffers.insert(id, buffer);
        let pool = relay.bodies.clone();
        Receiving {
            charge: Charge { pool, id },
            evicted,
            max,
        }
    }

    /// Waits until the body has given way to others.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Returns the number of bytes received; 0 once the body has given way.
    pub fn len(&self) -> usize {
        let state = self.charge.pool.lock();
        let buffer = state.buffers.get(&self.charge.id);
        buffer.map_or(0, |buffer| buffer.data.len())
    }

    /// Appends bytes.
    ///
    /// # Errors
    /// [`NoMemory`] if there is no memory for them, or if the body has given way.
    pub fn push(&mut self, relay: &Relay, bytes: &[u8]) -> Result<(), NoMemory> {
        let id = self.charge.id;
        let mut state = self.charge.pool.lock();
        let data = &state.buffers.get(&id).ok_or(NoMemory)?.data;
        let needed = data.len() + bytes.len();
        if needed > data.capacity() {
            let size = next_allocation(data.capacity() as u64, needed as u64, self.max as u64);
            drop(state);
            relay.grow_body(id, size)?;
            state = self.charge.pool.lock();
            let data = &mut state.buffers.get_mut(&id).ok_or(NoMemory)?.data;
            let size = usize::try_from(size).map_err(|_| NoMemory)?;
            data.reserve_exact(size - data.len());
        }
        let data = &mut state.buffers.get_mut(&id).ok_or(NoMemory)?.data;
        data.extend_from_slice(bytes);
        let count = bytes.len() as u64;
        state.bodies.received(id, count, relay.now());
        Ok(())
    }

    /// Ends the body. Its bytes count until their last copy is dropped.
    ///
    /// # Errors
    /// [`NoMemory`] if the body has given way.
    pub fn complete(self) -> Result<Bytes, NoMemory> {
        let id = self.charge.id;
        let mut state = self.charge.pool.lock();
        let mut data = state.buffers.remove(&id).ok_or(NoMemory)?.data;
        data.shrink_to_fit();
        state.bodies.complete(id, data.capacity() as u64);
        drop(state);
        Ok(self.charge.hold(data))
    }
}

/// Memory that counts as that of a complete body until it is dropped.
pub(crate) struct Charge {
    pool: Arc<BodyPool>,
    id: BodyId,
}

impl Charge {
    /// Reserves memory for a body that another box holds complete. Incomplete bodies give way.
    ///
    /// # Errors
    /// [`NoMemory`] if there is none.
    pub fn reserve(relay: &Relay, bytes: u64) -> Result<Self, NoMemory> {
        let charge = Charge {
            pool: relay.bodies.clone(),
            id: relay.bodies.lock().bodies.begin_complete(relay.now()),
        };
        relay.grow_body(charge.id, bytes)?;
        Ok(charge)
    }

    /// Returns these bytes, which count until their last copy is dropped.
    pub fn hold(self, data: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        Bytes::from_owner(Held {
            data,
            _charge: self,
        })
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.pool.end(self.id);
    }
}

struct Held<T> {
    data: T,
    _charge: Charge,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Held<T> {
    fn as_ref(&self) -> &[u8] {
        self.data.as_ref()
    }
}
