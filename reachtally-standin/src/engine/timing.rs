//! The duration of an engine's iterations.

use std::time::Duration;

/// Linear step-time model of an accelerator.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StepTime {
    /// Fixed duration of an iteration, independent of the batch.
    pub base: Duration,
    /// Additional duration for each layer of each position in the batch.
    pub per_layer: Duration,
}

impl StepTime {
    /// Zero duration: iterations finish immediately.
    pub const NONE: StepTime = StepTime {
        base: Duration::ZERO,
        per_layer: Duration::ZERO,
    };

    /// Returns the duration of an iteration over `positions` positions and `layers` layers.
    pub fn of(self, positions: u32, layers: u32) -> Duration {
        self.base + self.per_layer * layers * positions
    }

    /// Returns whether iterations take no time.
    pub fn is_none(self) -> bool {
        self.base.is_zero() && self.per_layer.is_zero()
    }
}
