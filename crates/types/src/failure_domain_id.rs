use super::*;

text_id!(
    /// Id of a failure domain: hosts and upstreams that fail or lose network connectivity together.
    FailureDomainId,
    "failure domain"
);
