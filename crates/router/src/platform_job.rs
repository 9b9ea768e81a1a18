use super::*;

/// What the controller asks of the platform's thread.
#[derive(Debug)]
pub(crate) enum PlatformJob {
    /// Claim an idempotency key.
    Claim(ClaimRequest),
    /// Write how a claimed request ended.
    Settle(Settlement),
}
