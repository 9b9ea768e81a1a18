use super::*;

/// Software versions of the upstreams that may run a request. What upstreams of different versions
/// write cannot be joined, so a stream stays with the version that began it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) enum VersionBound {
    #[default]
    Any,
    /// Only this version. Upstreams without a version are assumed to be alike.
    Only(Option<SoftwareVersion>),
}

impl VersionBound {
    /// Whether an upstream may run the request.
    pub(crate) fn admits(&self, state: &UpstreamState) -> bool {
        match self {
            Self::Any => true,
            Self::Only(version) => state.definition.software_version() == version.as_ref(),
        }
    }
}
