/// Retries allowed for each first attempt.
const RETRIES_PER_FIRST_ATTEMPT: f64 = 0.1;

/// Most retries that can be saved up.
const MAX_SAVED: f64 = 20.0;

/// A budget of retries for one host: a part of recent first attempts.
///
/// What goes wrong without it: when an upstream fails, every request is sent
/// two or three times, and the retries overload the upstreams that are left.
/// One would notice attempts growing while finished requests fall. With it,
/// retries add at most a tenth to the load.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MAX_SAVED }
    }
}

impl RetryBudget {
    pub(crate) fn note_first_attempt(&mut self) {
        self.saved = (self.saved + RETRIES_PER_FIRST_ATTEMPT).min(MAX_SAVED);
    }

    /// Takes one retry from the budget; false if none is left.
    pub(crate) fn take(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
