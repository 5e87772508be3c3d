//! The bodies of requests: received into memory that is accounted for, and held until the last user of the bytes is done.
//!
//! Bytes count from their allocation until the last copy of the [`Bytes`] is dropped, so a body counts while its request waits, runs,
//! is sent again or is handed over. Who gives way is decided by [`reachtally_core::forward::bodies`].
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use reachtally_core::Instant;
use reachtally_core::forward::bodies::{Bodies, BodyId, BodyLimits, Growth, next_allocation};
use tokio::sync::Notify;

/// The buffer of a body that is being received.
#[derive(Debug)]
struct Buffer {
    data: Vec<u8>,
    /// Notified when the buffer has been dropped for others.
    evicted: Arc<Notify>,
}

#[derive(Debug, Default)]
struct State {
    bodies: Bodies,
    /// Buffers of the incomplete bodies. They are kept here so that evicting one frees its memory at once.
    buffers: BTreeMap<BodyId, Buffer>,
}

/// All bodies of a process. HTTP libraries require `Send` buffers, so it has a lock; it is held for no longer than a copy of received
/// bytes takes.
#[derive(Debug, Default)]
pub struct BodyPool(Mutex<State>);

/// The use of a [`BodyPool`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyUse {
    /// Bytes allocated for all bodies.
    pub bytes: u64,
    /// Number of bodies.
    pub count: usize,
    /// Number of bodies that are not complete.
    pub incomplete: usize,
}

/// There is no memory for a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoMemory;

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
}

impl State {
    /// Makes `bytes` the size of a body, and drops the buffers of those that give way.
    fn grow(
        &mut self,
        id: BodyId,
        bytes: u64,
        limits: BodyLimits,
        now: Instant,
    ) -> Result<(), NoMemory> {
        let Growth::Granted(evicted) = self.bodies.grow(id, bytes, limits, now) else {
            return Err(NoMemory);
        };
        for victim in evicted {
            if let Some(buffer) = self.buffers.remove(&victim) {
                buffer.evicted.notify_one();
            }
        }
        Ok(())
    }
}

/// A body that is being received.
#[derive(Debug)]
pub struct Receiving {
    charge: Charge,
    evicted: Arc<Notify>,
    /// Size that the body can have at most, in bytes.
    max: u64,
}

impl Receiving {
    /// Begins a body of at most `max` bytes.
    pub fn begin(pool: &Arc<BodyPool>, max: u64, now: Instant) -> Self {
        let evicted = Arc::new(Notify::new());
        let mut state = pool.lock();
        let id = state.bodies.begin(now);
        let buffer = Buffer {
            data: Vec::new(),
            evicted: evicted.clone(),
        };
        state.buffers.insert(id, buffer);
        let pool = pool.clone();
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
    pub fn received(&self) -> usize {
        let state = self.charge.pool.lock();
        let buffer = state.buffers.get(&self.charge.id);
        buffer.map_or(0, |buffer| buffer.data.len())
    }

    /// Appends bytes.
    ///
    /// # Errors
    /// [`NoMemory`] if there is no memory for them within `limits`, or if the body has given way.
    pub fn push(&mut self, bytes: &[u8], limits: BodyLimits, now: Instant) -> Result<(), NoMemory> {
        let id = self.charge.id;
        let mut state = self.charge.pool.lock();
        let data = &state.buffers.get(&id).ok_or(NoMemory)?.data;
        let needed = data.len() + bytes.len();
        if needed > data.capacity() {
            let size = next_allocation(data.capacity() as u64, needed as u64, self.max);
            state.grow(id, size, limits, now)?;
            let data = &mut state.buffers.get_mut(&id).ok_or(NoMemory)?.data;
            let size = usize::try_from(size).map_err(|_| NoMemory)?;
            data.reserve_exact(size - data.len());
        }
        let data = &mut state.buffers.get_mut(&id).ok_or(NoMemory)?.data;
        data.extend_from_slice(bytes);
        state.bodies.received(id, bytes.len() as u64, now);
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

/// Memory that counts as that of a body until it is dropped.
#[derive(Debug)]
pub struct Charge {
    pool: Arc<BodyPool>,
    id: BodyId,
}

impl Charge {
    /// Reserves memory for a body that another process holds complete. Incomplete bodies give way.
    ///
    /// # Errors
    /// [`NoMemory`] if there is none within `limits`.
    pub fn reserve(
        pool: &Arc<BodyPool>,
        bytes: u64,
        limits: BodyLimits,
        now: Instant,
    ) -> Result<Self, NoMemory> {
        let charge = Charge {
            pool: pool.clone(),
            id: pool.lock().bodies.begin_complete(now),
        };
        pool.lock().grow(charge.id, bytes, limits, now)?;
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
        let mut state = self.pool.lock();
        state.bodies.end(self.id);
        state.buffers.remove(&self.id);
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
