use super::*;

/// A change of the estimated speed of an engine; for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct SpeedChange {
    /// New speed as a multiple of the baseline speed.
    pub factor: f64,
    /// Previous speed as a multiple of the baseline speed.
    pub factor_before: f64,
    /// Number of other hosts whose votes count.
    pub hosts: usize,
    /// Estimated prefill rate, in prompt tokens per millisecond.
    pub read_tokens_per_ms: f64,
    /// Number of samples of this host.
    pub samples: usize,
    /// The engine.
    pub upstream: UpstreamId,
}
