use super::*;

/// A change of the limit that an upstream names, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// Requests per second that the upstream accepts from all hosts together; `None` without a
    /// limit.
    pub limit: Option<Rate>,
    /// Where the limit comes from.
    pub source: NoticeSource,
    /// The upstream.
    pub upstream: UpstreamId,
}
