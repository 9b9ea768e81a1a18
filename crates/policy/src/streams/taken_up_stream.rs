use super::*;

/// A stream that a caller takes up, and what this host found of its software version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TakenUpStream {
    /// Number of hosts that answered the question for the version.
    pub answered: usize,
    /// Number of hosts that were asked for the version.
    pub asked: usize,
    /// Attempt whose report gave the version; `None` if no report was found.
    pub attempt: Option<u32>,
    /// Time since this host received its list of upstreams, or it was confirmed.
    pub list_age: Option<Duration>,
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
