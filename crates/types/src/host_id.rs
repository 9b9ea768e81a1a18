use super::*;

text_id!(
    /// Id of a host, a machine that runs the router.
    HostId,
    "host"
);
