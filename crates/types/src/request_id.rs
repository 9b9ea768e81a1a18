use super::*;

quantity!(
    /// A request within one host.
    RequestId,
    u64,
    "request id"
);
