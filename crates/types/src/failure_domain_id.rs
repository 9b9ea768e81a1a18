use super::*;

text_id!(
    /// A failure domain: hosts and upstreams that fail or are cut off together.
    FailureDomainId,
    "failure domain"
);
