/// Demand for the engines of a model, summed over all hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ObservedDemand {
    /// Requests that are in flight at the engines.
    pub in_flight: u32,
    /// Prefill work sent to the engines since the holder began to count, in milliseconds of one
    /// engine.
    pub total_ms: f64,
    /// Prefill work that waits at the engines, in milliseconds of one engine.
    pub waiting_ms: f64,
}
