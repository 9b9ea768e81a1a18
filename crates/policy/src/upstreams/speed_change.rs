use super::*;

/// A change of what an engine is believed to do, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct SpeedChange {
    /// How much faster than usual in its pool it is believed to work now.
    pub factor: f64,
    /// Factor before.
    pub factor_before: f64,
    /// Hosts whose votes count.
    pub hosts: usize,
    /// Prompt tokens that it is believed to read in a millisecond.
    pub read_tokens_per_ms: f64,
    /// Samples of this host's own.
    pub samples: usize,
    /// The engine.
    pub upstream: UpstreamId,
}
