use super::*;

quantity!(
    /// Id of a request, unique within one host.
    RequestId,
    u64,
    "request id"
);
