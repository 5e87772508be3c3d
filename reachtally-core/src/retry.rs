//! A retry budget, which limits retries to a fraction of the successful calls.

/// Number of retries earned per success.
const TOKENS_PER_SUCCESS: f64 = 0.1;
/// Maximum number of retries that can accumulate.
const MAX_TOKENS: f64 = 100.0;
/// Number of retries available after startup.
const INITIAL_TOKENS: f64 = 10.0;

/// A token bucket that is filled by successes and drained by retries, so that retries cannot
/// amplify an outage.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            tokens: INITIAL_TOKENS,
        }
    }
}

impl RetryBudget {
    /// Record a success.
    pub fn succeeded(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_SUCCESS).min(MAX_TOKENS);
    }

    /// Take one retry from the budget. Returns `false` if the budget is exhausted.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
