use super::*;

quantity!(
    /// Random number drawn when a host starts, so that a replaced host is a new one.
    Incarnation,
    u64,
    "incarnation"
);
