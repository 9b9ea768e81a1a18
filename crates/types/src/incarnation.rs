use super::*;

quantity!(
    /// Random number that a host generates at its start. It tells a restarted or replaced host from
    /// the earlier host with the same id.
    Incarnation,
    u64,
    "incarnation"
);
