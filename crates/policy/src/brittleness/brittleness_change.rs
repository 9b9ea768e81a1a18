use super::*;

/// A change of what an upstream says of its brittleness.
#[derive(Clone, Debug, PartialEq)]
pub struct BrittlenessChange {
    /// Rejections a second that it bears; `None` if it is not brittle any more.
    pub rejections: Option<Rate>,
    /// The upstream.
    pub upstream: UpstreamId,
}
