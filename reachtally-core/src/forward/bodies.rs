//! Memory for the request bodies that a box holds: how much of it there is, and which bodies give way when it is short.
//!
//! A client may stop short of the end of its body, or send it slowly, and keep its connection open. What it has sent takes memory
//! meanwhile. When another body needs that memory, the incomplete body that would hold the most for the longest gives way. It has
//! reached no target, so its request has not run. A complete body is never taken back: it may have been sent.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::forward::overload::{CONNECTION_BYTES, MIN_CONNECTIONS};
use crate::time::Instant;

/// Divisor of a box's memory that gives the memory for bodies which open connections can't take.
const GUARANTEED_DIVISOR: u64 = 8;
/// Divisor of a box's memory that gives the bound of all bodies while there are few connections.
const MAX_DIVISOR: u64 = 4;
/// Divisor of the memory for bodies that gives the part which only bodies of up to [`SMALL_BODY_BYTES`] may take.
const SMALL_DIVISOR: u64 = 4;
/// Size in bytes up to which a body is small. Requests of most callers are smaller.
pub const SMALL_BODY_BYTES: u64 = 16 * 1024;
/// First allocation for a body of unknown length, in bytes.
const MIN_ALLOCATION: u64 = 4 * 1024;

/// Interval over which the rate of a body is measured.
const RATE_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time over which it is measured, so that a body is not judged by its first packet.
const MIN_RATE_TIME: Duration = Duration::from_millis(250);
/// Rate in bytes per second that even a body which has stopped is credited with.
const MIN_RATE: f64 = 1024.0;

/// Returns the memory that callers may use, in bytes; the rest of `memory` is for the program and its tables.
pub fn caller_memory(memory: u64) -> u64 {
    memory / 4 * 3
}

/// Memory in use for callers beside their bodies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OtherUse {
    /// Number of open connections, at [`CONNECTION_BYTES`] each.
    pub connections: usize,
    /// Bytes of streams that were read ahead of their callers.
    pub read_ahead: usize,
}

impl OtherUse {
    /// Returns the bytes in use.
    pub fn bytes(self) -> u64 {
        (self.connections as u64).saturating_mul(CONNECTION_BYTES) + self.read_ahead as u64
    }
}

/// Bounds on the bytes of all bodies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyLimits {
    /// Bound for small bodies, which may use all of the memory for bodies.
    pub small: u64,
    /// Bound for larger ones, which leave a part to the small ones.
    pub large: u64,
}

impl BodyLimits {
    /// Returns the bounds of a box with `memory` bytes of which callers use `other` for something else.
    pub fn new(memory: u64, other: OtherUse) -> Self {
        let guaranteed = guaranteed(memory);
        let left = caller_memory(memory).saturating_sub(other.bytes());
        BodyLimits::of_total(left.clamp(guaranteed, memory / MAX_DIVISOR))
    }

    /// Returns the bounds for `bytes` of memory for bodies alone.
    pub fn of_total(bytes: u64) -> Self {
        BodyLimits {
            small: bytes,
            large: bytes - bytes / SMALL_DIVISOR,
        }
    }

    /// Returns the bound for a body of `bytes`.
    fn of(self, bytes: u64) -> u64 {
        match bytes <= SMALL_BODY_BYTES {
            true => self.small,
            false => self.large,
        }
    }
}

/// Returns the size in bytes of the largest body that a box with `memory` bytes can hold whatever its connections use.
pub fn max_body(memory: u64) -> u64 {
    BodyLimits::of_total(guaranteed(memory)).large
}

fn guaranteed(memory: u64) -> u64 {
    memory / GUARANTEED_DIVISOR
}

/// Returns the number of open connections of callers for which a box with `memory` bytes has room, given the bytes of bodies and of
/// data read ahead; at least [`MIN_CONNECTIONS`].
pub fn max_connections(memory: u64, bodies: u64, read_ahead: usize) -> usize {
    let taken = bodies.max(guaranteed(memory)) + read_ahead as u64;
    let left = caller_memory(memory).saturating_sub(taken);
    let connections = left / CONNECTION_BYTES;
    usize::try_from(connections).map_or(usize::MAX, |count| count.max(MIN_CONNECTIONS))
}

/// Returns the next size of an allocation of `allocated` bytes in which `needed` bytes must fit, for a body of at most `max` bytes.
/// It doubles, so that copying costs at most as much as receiving.
pub fn next_allocation(allocated: u64, needed: u64, max: u64) -> u64 {
    let doubled = allocated.saturating_mul(2).max(MIN_ALLOCATION).min(max);
    doubled.max(needed)
}

/// Identifies a body in [`Bodies`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyId(u64);

/// Rate at which the bytes of a body arrive, over the last one to two intervals.
#[derive(Debug, Clone, Copy)]
struct Rate {
    began: Instant,
    /// Start of the current interval.
    interval_began: Instant,
    bytes: u64,
    bytes_before: u64,
}

impl Rate {
    fn new(now: Instant) -> Self {
        Rate {
            began: now,
            interval_began: now,
            bytes: 0,
            bytes_before: 0,
        }
    }

    /// Advances to the interval of `now`.
    fn advance(&mut self, now: Instant) {
        let elapsed = now.since(self.interval_began);
        if elapsed < RATE_INTERVAL {
            return;
        }
        let is_next = elapsed < 2 * RATE_INTERVAL;
        self.bytes_before = if is_next { self.bytes } else { 0 };
        self.bytes = 0;
        self.interval_began = match is_next {
            true => self.interval_began + RATE_INTERVAL,
            false => now,
        };
    }

    /// Returns the rate in bytes per second.
    fn per_second(mut self, now: Instant) -> f64 {
        self.advance(now);
        let since = now.since(self.interval_began) + RATE_INTERVAL;
        let time = since.min(now.since(self.began)).max(MIN_RATE_TIME);
        (self.bytes + self.bytes_before) as f64 / time.as_secs_f64()
    }
}

/// A body, with the bytes that are allocated for it.
#[derive(Debug)]
struct Row {
    bytes: u64,
    /// `None` once the body is complete.
    rate: Option<Rate>,
}

/// Outcome of a request for memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Growth {
    /// The body may grow once these bodies have been dropped. They are not in the table any more.
    Granted(Vec<BodyId>),
    /// The body itself must give way.
    Refused,
}

/// The bodies that a box holds.
#[derive(Debug, Default)]
pub struct Bodies {
    rows: BTreeMap<BodyId, Row>,
    bytes: u64,
    next: u64,
}

impl Bodies {
    /// Adds a body without bytes.
    pub fn begin(&mut self, now: Instant) -> BodyId {
        let id = BodyId(self.next);
        self.next += 1;
        let row = Row {
            bytes: 0,
            rate: Some(Rate::new(now)),
        };
        self.rows.insert(id, row);
        id
    }

    /// Adds a body that another box has received whole. Incomplete bodies give way for it; see [`Bodies::grow`].
    pub fn begin_complete(&mut self, now: Instant) -> BodyId {
        let id = self.begin(now);
        self.complete(id, 0);
        id
    }

    /// Returns the bytes allocated for all bodies.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the number of bodies.
    pub fn count(&self) -> usize {
        self.rows.len()
    }

    /// Returns the number of bodies that are not complete.
    pub fn incomplete(&self) -> usize {
        self.rows.values().filter(|row| row.rate.is_some()).count()
    }

    /// Records bytes of a body that have arrived.
    pub fn received(&mut self, id: BodyId, bytes: u64, now: Instant) {
        let row = self.rows.get_mut(&id);
        if let Some(rate) = row.and_then(|row| row.rate.as_mut()) {
            rate.advance(now);
            rate.bytes += bytes;
        }
    }

    /// Decides whether the allocation of a body may become `bytes`, and which bodies give way for it. The body that is the last to
    /// give way can always complete if [`BodyLimits`] has room for it beside the complete ones.
    pub fn grow(&mut self, id: BodyId, bytes: u64, limits: BodyLimits, now: Instant) -> Growth {
        let Some(row) = self.rows.get(&id) else {
            return Growth::Refused;
        };
        let limit = limits.of(bytes);
        let mut total = self.bytes - row.bytes + bytes;
        let mut evicted = Vec::new();
        if total > limit {
            // Nothing gives way for a body that can't be held anyway.
            if self.complete_bytes(id) + bytes > limit {
                return Growth::Refused;
            }
            for (victim, held) in self.by_cost(id, bytes, now) {
                if total <= limit {
                    break;
                }
                if victim == id {
                    return Growth::Refused;
                }
                total -= held;
                evicted.push(victim);
            }
        }
        evicted.iter().for_each(|victim| self.end(*victim));
        self.set_bytes(id, bytes);
        Growth::Granted(evicted)
    }

    /// Records that a body is complete and takes `bytes`.
    pub fn complete(&mut self, id: BodyId, bytes: u64) {
        self.set_bytes(id, bytes);
        if let Some(row) = self.rows.get_mut(&id) {
            row.rate = None;
        }
    }

    /// Removes a body.
    pub fn end(&mut self, id: BodyId) {
        if let Some(row) = self.rows.remove(&id) {
            self.bytes -= row.bytes;
        }
    }

    fn set_bytes(&mut self, id: BodyId, bytes: u64) {
        if let Some(row) = self.rows.get_mut(&id) {
            self.bytes = self.bytes - row.bytes + bytes;
            row.bytes = bytes;
        }
    }

    /// Returns the bytes of the complete bodies other than `id`.
    fn complete_bytes(&self, id: BodyId) -> u64 {
        let complete = |(other, row): (&BodyId, &Row)| {
            (*other != id && row.rate.is_none()).then_some(row.bytes)
        };
        self.rows.iter().filter_map(complete).sum()
    }

    /// Returns the incomplete bodies and their bytes, the one that costs most first: its bytes, for as long as it takes to receive as
    /// many at its rate. `id` counts with `bytes`.
    fn by_cost(&self, id: BodyId, bytes: u64, now: Instant) -> Vec<(BodyId, u64)> {
        let cost = |(other, row): (&BodyId, &Row)| {
            let held = if *other == id { bytes } else { row.bytes };
            let rate = row.rate?.per_second(now) + MIN_RATE;
            Some((held as f64 / rate, *other, held))
        };
        let mut rows: Vec<(f64, BodyId, u64)> = self.rows.iter().filter_map(cost).collect();
        // Of equal bodies, the newest gives way.
        rows.sort_by(|one, other| other.0.total_cmp(&one.0).then(other.1.cmp(&one.1)));
        rows.into_iter().map(|(_, id, held)| (id, held)).collect()
    }
}
