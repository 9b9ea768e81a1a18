use super::*;

/// A stream that a caller takes up, and what this host found of its software version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TakenUpStream {
    /// The request that takes the stream up.
    pub request: RequestId,
    /// The version; `None` if it was not found or the upstreams name none.
    pub software_version: Option<SoftwareVersion>,
    /// How the version was found.
    pub source: StreamSource,
    /// The stream.
    pub stream: StreamId,
    /// Time for which the request waited for the version.
    pub waited: Duration,
}
