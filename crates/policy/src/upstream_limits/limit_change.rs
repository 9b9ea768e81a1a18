use super::*;

/// A change of the limit that an upstream names, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// Requests that it takes from all hosts together; `None` for any number.
    pub limit: Option<Rate>,
    /// Who saw it.
    pub source: NoticeSource,
    /// The upstream.
    pub upstream: UpstreamId,
}
