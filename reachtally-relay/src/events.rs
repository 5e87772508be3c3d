//! Splits a stream of server-sent events, so that only whole events are passed on.

use bytes::{Bytes, BytesMut};

/// Whole events as they came, without those that the caller already has.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
    /// Id of the last event passed on.
    last: Option<u64>,
}

/// An event is longer than any that engines send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLong;

/// Most bytes of one event; engines send some hundred.
const LONGEST_EVENT: usize = 256 * 1024;

impl Splitter {
    /// Go on after the event `last`.
    pub fn after(last: Option<u64>) -> Self {
        Splitter {
            buf: BytesMut::new(),
            last,
        }
    }

    /// Id of the last event passed on, or the one that the caller had before.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether part of an event waits for its rest.
    pub fn has_part(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Drop a part of an event; what follows comes from another run.
    pub fn restart(&mut self) {
        self.buf.clear();
    }

    /// Take in bytes; yields the events that are whole now and new to the caller.
    ///
    /// # Errors
    /// [`TooLong`] if an event does not end.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, TooLong> {
        self.buf.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(end) = event_end(&self.buf) {
            let event = self.buf.split_to(end);
            let id = event_id(&event);
            let is_known = id.zip(self.last).is_some_and(|(id, last)| id <= last);
            if is_known {
                continue;
            }
            self.last = id.or(self.last);
            if out.is_empty() {
                out = event;
            } else {
                out.extend_from_slice(&event);
            }
        }
        if self.buf.len() > LONGEST_EVENT {
            return Err(TooLong);
        }
        Ok(out.freeze())
    }
}

/// Where the first event ends, past its blank line.
fn event_end(buf: &[u8]) -> Option<usize> {
    buf.windows(2)
        .position(|pair| pair == b"\n\n")
        .map(|at| at + 2)
}

/// The `id` field of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
