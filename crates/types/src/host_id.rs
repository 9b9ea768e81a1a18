use super::*;

text_id!(
    /// One entry host.
    HostId,
    "host"
);
