use super::*;

/// A job of the controller for the platform thread.
#[derive(Debug)]
pub(crate) enum PlatformJob {
    /// Claim an idempotency key.
    Claim(ClaimRequest),
    /// Write the outcome of a claimed request.
    Settle(Settlement),
}
