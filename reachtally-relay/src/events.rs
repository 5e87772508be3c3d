//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

/// Extracts complete events from a byte stream and drops those that the caller already has.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
    /// Id of the last event that was passed on.
    last: Option<u64>,
    /// Number of complete events so far.
    events: u64,
}

/// Error for an event longer than any that engines send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLong;

/// Maximum size of an event in bytes; engines send events of some hundred.
const MAX_EVENT_BYTES: usize = 256 * 1024;

impl Splitter {
    /// Creates a splitter that resumes after event `last`.
    pub fn after(last: Option<u64>) -> Self {
        Splitter {
            buf: BytesMut::new(),
            last,
            events: 0,
        }
    }

    /// Returns the number of complete events so far, including those that the caller already has.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns the id of the last event that was passed on, or that the caller had before.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Discards an incomplete event, since the bytes that follow come from another run.
    pub fn discard_partial(&mut self) {
        self.buf.clear();
    }

    /// Adds bytes; returns the events that are now complete and new to the caller.
    ///
    /// # Errors
    /// [`TooLong`] if an incomplete event exceeds the maximum size.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, TooLong> {
        self.buf.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(end) = event_end(&self.buf) {
            let event = self.buf.split_to(end);
            self.events += 1;
            let id = event_id(&event);
            let is_duplicate = id.zip(self.last).is_some_and(|(id, last)| id <= last);
            if is_duplicate {
                continue;
            }
            self.last = id.or(self.last);
            if out.is_empty() {
                out = event;
            } else {
                out.extend_from_slice(&event);
            }
        }
        if self.buf.len() > MAX_EVENT_BYTES {
            return Err(TooLong);
        }
        Ok(out.freeze())
    }
}

/// Returns the end of the first event, after its blank line.
fn event_end(buf: &[u8]) -> Option<usize> {
    buf.windows(2)
        .position(|pair| pair == b"\n\n")
        .map(|at| at + 2)
}

/// Parses the `id` field of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
