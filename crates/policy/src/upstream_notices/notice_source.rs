use super::*;

/// Where this host learned of an upstream's notice.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NoticeSource {
    /// The installation's directory.
    Directory,
    /// Another host.
    Host(HostId),
    /// A response to this host.
    Own,
}

impl NoticeSource {
    /// The kind of source, as the label in metrics.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Directory => "directory",
            Self::Host(_) => "advertised",
            Self::Own => "own",
        }
    }

    /// The other host, if it is the source.
    pub const fn host(&self) -> Option<&HostId> {
        match self {
            Self::Host(host) => Some(host),
            Self::Directory | Self::Own => None,
        }
    }

    /// Whether this host learned it from the upstream itself or from the directory.
    pub(crate) const fn is_first_hand(&self) -> bool {
        !matches!(self, Self::Host(_))
    }
}
