//! What a run of a target asks of this box in its answers.

use crate::time::Instant;

/// What a run asked of this box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Notice {
    /// Until when it wants nothing from this box.
    rest_until: Option<Instant>,
}

impl Notice {
    /// The run wants nothing from this box until then. A shorter time that it asks for later takes nothing back.
    pub fn rest(&mut self, until: Instant) {
        self.rest_until = self.rest_until.max(Some(until));
    }

    /// Until when the run wants nothing from this box, if that is not over.
    pub fn rests_until(&self, now: Instant) -> Option<Instant> {
        self.rest_until.filter(|until| now < *until)
    }
}
