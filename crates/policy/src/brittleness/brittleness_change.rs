use super::*;

/// A change of the number of rejections that an upstream says it can handle.
#[derive(Clone, Debug, PartialEq)]
pub struct BrittlenessChange {
    /// Rejections per second that the upstream can handle; `None` if it is no longer brittle.
    pub rejection_limit: Option<Rate>,
    /// The upstream.
    pub upstream: UpstreamId,
}
