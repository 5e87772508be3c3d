//! Lines that wait to be written.

use std::collections::VecDeque;

/// Most bytes that wait: some thousand lines, a second of a box on which everything fails.
pub const QUEUE_BYTES: usize = 256 * 1024;

/// A bounded queue. What does not fit is dropped and counted, never waited for.
#[derive(Debug, Default)]
pub struct Queue {
    lines: VecDeque<Vec<u8>>,
    bytes: usize,
    dropped: u64,
}

impl Queue {
    /// Take a line in, or count it as dropped.
    pub fn push(&mut self, line: Vec<u8>) {
        if self.bytes + line.len() > QUEUE_BYTES {
            self.dropped += 1;
            return;
        }
        self.bytes += line.len();
        self.lines.push_back(line);
    }

    /// The next line to write. Once there is room again, the count of those dropped goes first.
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

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty() && self.dropped == 0
    }
}
