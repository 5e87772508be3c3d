//! How long an engine's iteration takes.

use std::time::Duration;

/// Step-time model of one kind of accelerator.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StepTime {
    /// Time of an iteration however small it is.
    pub base: Duration,
    /// Time for each layer of each position in the batch.
    pub per_layer: Duration,
}

impl StepTime {
    /// No time at all; steps are answered as they come.
    pub const NONE: StepTime = StepTime {
        base: Duration::ZERO,
        per_layer: Duration::ZERO,
    };

    /// Time of an iteration over `positions` positions and `layers` layers.
    pub fn of(self, positions: u32, layers: u32) -> Duration {
        self.base + self.per_layer * layers * positions
    }

    /// Whether iterations take any time.
    pub fn is_none(self) -> bool {
        self.base.is_zero() && self.per_layer.is_zero()
    }
}
