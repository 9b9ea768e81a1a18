//! Software versions of streams that callers take up.
//!
//! Upstreams of several software versions may serve side by side, and a stream may go on only at
//! the version that began it. A caller mostly comes back to another host than the one that began
//! its stream, and that host may be gone. A host therefore reports the version of each stream to a
//! few hosts, its keepers, when it sends the request. They follow from the id of the stream, so the
//! host at which the caller takes the stream up can ask them.
//!
//! A stream whose version cannot be found is refused, unless all upstreams of its target have long
//! been of one version.

use super::*;

mod known_streams;
mod listed_versions;
mod stream_keepers;
mod stream_source;
mod taken_up_stream;
mod taking_up;
mod version_lookup;
mod version_reports;
mod waiting_for_version;

pub use {stream_source::StreamSource, taken_up_stream::TakenUpStream};

pub(crate) use {
    known_streams::KnownStreams, listed_versions::ListedVersions, stream_keepers::StreamKeepers,
    version_lookup::VersionLookup, version_reports::ASSUMED_ATTEMPT,
};

/// What this host knows about the software versions of streams.
#[derive(Debug, Default)]
pub(crate) struct Streams {
    pub(crate) keepers: StreamKeepers,
    pub(crate) known: KnownStreams,
    /// Time within which a caller may take up a stream after it was sent.
    pub(crate) lifetime: Duration,
    pub(crate) listed: ListedVersions,
    /// Streams whose version is being asked for.
    pub(crate) lookups: BTreeMap<StreamId, VersionLookup>,
}
