//! The bounded queue of lines to be written.

use std::collections::VecDeque;

/// Capacity in bytes: about a thousand lines, which is one second of output of a box on which every
/// request fails.
pub const QUEUE_BYTES: usize = 256 * 1024;

/// A bounded queue of encoded lines. A line that does not fit is dropped and counted; `push` never blocks.
#[derive(Debug, Default)]
pub struct Queue {
    lines: VecDeque<Vec<u8>>,
    bytes: usize,
    dropped: u64,
}

impl Queue {
    /// Appends a line, or counts it as dropped if the queue is full.
    pub fn push(&mut self, line: Vec<u8>) {
        if self.bytes + line.len() > QUEUE_BYTES {
            self.dropped += 1;
            return;
        }
        self.bytes += line.len();
        self.lines.push_back(line);
    }

    /// Removes and returns the next line to write. If lines were dropped, their count is returned first, as a
    /// line of the box `name`.
    pub fn next(&mut self, name: &str) -> Option<Vec<u8>> {
        if self.dropped > 0 {
            let dropped = std::mem::take(&mut self.dropped);
            let line = format!("{{\"box\":{name:?},\"event\":\"dropped\",\"lines\":{dropped}}}\n");
            return Some(line.into_bytes());
        }
        let line = self.lines.pop_front()?;
        self.bytes -= line.len();
        Some(line)
    }

    /// Returns whether there is nothing to write, neither lines nor a count of dropped ones.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty() && self.dropped == 0
    }
}
