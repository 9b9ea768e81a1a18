use super::*;

/// An upstream that is newly known to be leaving, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeavingDetected {
    /// Where this host learned it.
    pub source: NoticeSource,
    /// The upstream.
    pub upstream: UpstreamId,
}
