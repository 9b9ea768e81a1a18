use super::*;

quantity!(
    /// Fencing number of an order to an engine; it only rises.
    FencingNumber,
    u64,
    "fencing number"
);
