//! Restoring the KV of a lost stage: choice of the method, and the replay buffers.

use std::time::Duration;

use crate::latency::Latency;

/// A method of restoring the KV of a stage on its replacement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestoreMethod {
    /// Export the KV from an engine that still responds, and import it.
    Import,
    /// Continue on a standby, sending only the inputs it has not received.
    Standby,
    /// Send the stage its own inputs again. No other stage repeats any work.
    Replay,
    /// Prefill the whole chain with all positions so far.
    Prefill,
}

/// The parameters that the choice of the method depends on.
#[derive(Debug, Clone, Copy)]
pub struct RestoreCost<'a> {
    /// Number of positions to restore.
    pub positions: u32,
    /// Size of one activation in bytes, or 0 for the first stage, whose inputs are tokens.
    pub activation_len: u32,
    /// Bandwidth of the link to the replacement, in bytes per second.
    pub link_rate: f64,
    /// Step times of the replacement.
    pub replacement: &'a Latency,
    /// Step times of all stages after the failover, including the replacement.
    pub chain: &'a [&'a Latency],
}

impl RestoreCost<'_> {
    /// Time to send the stage its own inputs from position `covered` on.
    pub fn replay(&self, covered: u32) -> Duration {
        let positions = self.positions.saturating_sub(covered);
        let bytes = f64::from(positions) * f64::from(self.activation_len);
        let transfer = Duration::from_secs_f64(bytes / self.link_rate.max(1.0));
        transfer + self.replacement.expected(positions)
    }

    /// Time to export and import the KV of `layers` layers, with `kv_bytes` bytes per layer and
    /// position.
    pub fn import(&self, layers: u32, kv_bytes: u32) -> Duration {
        let bytes = f64::from(self.positions) * f64::from(layers) * f64::from(kv_bytes);
        // The KV is transferred twice: out of one engine and into the other.
        Duration::from_secs_f64(2.0 * bytes / self.link_rate.max(1.0))
    }

    /// Time to run all positions through every stage.
    fn prefill(&self) -> Duration {
        let stages = self.chain.iter();
        stages.map(|latency| latency.expected(self.positions)).sum()
    }

    /// Return the fastest available method. `covered` is the number of positions that need no
    /// restore.
    pub fn choose(&self, replay_possible: bool, covered: u32) -> RestoreMethod {
        if !replay_possible || self.replay(covered) > self.prefill() {
            RestoreMethod::Prefill
        } else if covered > 0 {
            RestoreMethod::Standby
        } else {
            RestoreMethod::Replay
        }
    }
}

/// The activations sent to a stage, retained at the entry box for replay.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplayBuffer {
    bytes: Vec<u8>,
    /// First retained position.
    first: u32,
    /// One past the last retained position.
    end: u32,
    dropped: bool,
}

impl ReplayBuffer {
    /// Append the activations of the next `positions` positions. Returns the number of bytes
    /// allocated.
    pub fn push(&mut self, activations: &[u8], positions: u32) -> usize {
        if self.dropped {
            return 0;
        }
        let before = self.bytes.capacity();
        let needed = self.bytes.len() + activations.len();
        if needed > before {
            // Grow by a quarter, since doubling would leave up to half of the memory unused.
            self.bytes.reserve_exact(activations.len() + needed / 4);
        }
        self.bytes.extend_from_slice(activations);
        self.end += positions;
        self.bytes.capacity() - before
    }

    /// Drop the positions below `first`. Returns the number of bytes freed.
    pub fn drop_below(&mut self, first: u32) -> usize {
        let first = first.clamp(self.first, self.end);
        let before = self.bytes.capacity();
        let cut = self.activation_len() as usize * (first - self.first) as usize;
        self.bytes.drain(..cut);
        self.bytes.shrink_to_fit();
        self.first = first;
        before - self.bytes.capacity()
    }

    /// Drop all positions and ignore any further ones. Returns the number of bytes freed.
    pub fn drop_all(&mut self) -> usize {
        let freed = self.reset();
        self.dropped = true;
        freed
    }

    /// Clear the buffer and start over. Returns the number of bytes freed.
    pub fn reset(&mut self) -> usize {
        let freed = self.bytes.capacity();
        *self = ReplayBuffer::default();
        freed
    }

    /// Return the activations of the positions `from..end`, if all of them are retained.
    pub fn span(&self, from: u32, end: u32) -> Option<&[u8]> {
        if self.dropped || from < self.first || self.end < end || end < from {
            return None;
        }
        let activation_len = self.activation_len() as usize;
        let (skip, take) = (from - self.first, end - from);
        let bytes = self.bytes.get(activation_len * skip as usize..)?;
        bytes.get(..activation_len * take as usize)
    }

    /// Size of one activation in bytes, or 0 if the buffer is empty.
    pub fn activation_len(&self) -> u32 {
        let positions = (self.end - self.first) as usize;
        self.bytes.len().checked_div(positions).unwrap_or(0) as u32
    }
}
