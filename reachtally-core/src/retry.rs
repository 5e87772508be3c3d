//! The budget that bounds retries to a fraction of what succeeds.

/// Retries allowed for each success.
const TOKENS_PER_SUCCESS: f64 = 0.1;
/// Retries that may be saved up.
const MAX_TOKENS: f64 = 100.0;
/// Retries a new daemon starts with.
const INITIAL_TOKENS: f64 = 10.0;

/// A token bucket that successes fill and retries empty, so that retries can't multiply a failure.
#[derive(Debug, Clone)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget {
            tokens: INITIAL_TOKENS,
        }
    }
}

impl Budget {
    /// Count a success.
    pub fn succeeded(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_SUCCESS).min(MAX_TOKENS);
    }

    /// Take one retry; `false` if the budget is spent.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
