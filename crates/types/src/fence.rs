use super::*;

quantity!(
    /// Fencing number of an order to an engine; it only rises.
    Fence,
    u64,
    "fencing number"
);
