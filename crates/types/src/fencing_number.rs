use super::*;

quantity!(
    /// Fencing number of a command to an engine; it only increases.
    FencingNumber,
    u64,
    "fencing number"
);
