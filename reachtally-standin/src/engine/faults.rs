//! Faults that a test or an operator injects into a running stand-in.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A fault to inject.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Closes the port and every connection.
    Die,
    /// Delays processing by this many milliseconds; calls that arrive meanwhile run afterwards.
    PauseMs(u64),
    /// Multiplies the duration of each iteration by this factor.
    Slow(f64),
    /// Runs the steps of this many calls, then fails the calls.
    LoseAnswers(u32),
    /// Returns the results of this many calls twice.
    DoubleAnswers(u32),
    /// Rejects this many calls as not run.
    Refuse(u32),
}

/// The active faults.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Faults {
    /// Pause before the next iteration or call.
    pub pause: Duration,
    /// Factor applied to the duration of each iteration.
    pub slow: f64,
    /// Number of next responses to lose.
    pub lose_answers: u32,
    /// Number of next responses to duplicate.
    pub double_answers: u32,
    /// Number of next calls to reject.
    pub refuse: u32,
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            pause: Duration::ZERO,
            slow: 1.0,
            lose_answers: 0,
            double_answers: 0,
            refuse: 0,
        }
    }
}

impl Faults {
    /// Activates a fault. `Die` is handled by the server.
    pub fn set(&mut self, fault: Fault) {
        match fault {
            Fault::Die => {}
            Fault::PauseMs(ms) => self.pause = Duration::from_millis(ms),
            Fault::Slow(factor) => self.slow = factor.max(0.0),
            Fault::LoseAnswers(count) => self.lose_answers = count,
            Fault::DoubleAnswers(count) => self.double_answers = count,
            Fault::Refuse(count) => self.refuse = count,
        }
    }

    /// Decrements a count of affected calls and returns whether the fault applies to this call.
    pub fn consume(count: &mut u32) -> bool {
        let applies = *count > 0;
        *count = count.saturating_sub(1);
        applies
    }
}
