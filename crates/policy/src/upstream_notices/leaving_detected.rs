use super::*;

/// An upstream that is newly known to leave, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeavingDetected {
    /// Who received it.
    pub source: NoticeSource,
    /// The upstream.
    pub upstream: UpstreamId,
}
