use super::*;

/// Prefill work that one host has put on the engines of a model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ModelWork {
    /// Requests in flight on these engines.
    pub in_flight: u32,
    /// The model.
    pub model: ModelId,
    /// Prefill time put on the engines since the start of this incarnation, in milliseconds of one
    /// engine.
    pub total_ms: u64,
    /// Part of that prefill time that belongs to requests without a first token yet, in
    /// milliseconds of one engine.
    pub waiting_ms: u32,
}
