use super::*;

/// How a host found the software version of a stream that a caller takes up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamSource {
    /// Another host knew it.
    Asked,
    /// This host knew it.
    Known,
    /// All upstreams of the target have long been of one version.
    SoleVersion,
    /// The version was not found.
    Unknown,
}

impl StreamSource {
    /// Label in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Asked => "asked",
            Self::Known => "known",
            Self::SoleVersion => "sole-version",
            Self::Unknown => "unknown",
        }
    }
}

impl Display for StreamSource {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
