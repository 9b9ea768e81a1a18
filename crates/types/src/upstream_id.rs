use super::*;

text_id!(
    /// One upstream: an engine or one replica of a plain service.
    UpstreamId,
    "upstream"
);
