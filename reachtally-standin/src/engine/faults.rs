//! Faults that a test or an operator of the stand-in injects while it runs.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// One fault.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Close the port and every connection.
    Die,
    /// Answer nothing for so many milliseconds; what arrives meanwhile runs afterwards.
    PauseMs(u64),
    /// Take so many times longer for each iteration.
    Slow(f64),
    /// Run the steps of so many calls, then fail the call.
    LoseAnswers(u32),
    /// Give the results of so many calls twice.
    DoubleAnswers(u32),
    /// Refuse so many calls as not run.
    Refuse(u32),
}

/// The faults in effect.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Faults {
    /// Remaining pause.
    pub pause: Duration,
    /// Factor on each iteration's time.
    pub slow: f64,
    /// Answers still to lose.
    pub lose_answers: u32,
    /// Answers still to double.
    pub double_answers: u32,
    /// Calls still to refuse.
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
    /// Put a fault in effect; `Die` is the server's.
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

    /// Take one from a count of calls; `true` if the fault applies.
    pub fn take(count: &mut u32) -> bool {
        let applies = *count > 0;
        *count = count.saturating_sub(1);
        applies
    }
}
