use super::*;

quantity!(
    /// A size in bytes.
    ByteSize,
    u64,
    "size in bytes"
);
