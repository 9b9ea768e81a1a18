use super::*;

/// How an attempt to connect to an upstream over one path ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathOutcome {
    /// A connection was established.
    Connected,
    /// The other host does not forward connections to this upstream.
    Declined,
    /// No response came before the timeout or before another path connected.
    NoAnswer,
    /// The first address of the path, the upstream or the other host, refused or broke off the
    /// connection.
    Refused,
    /// The other host responded that it could not connect to the upstream.
    Unreached,
}

impl PathOutcome {
    /// The outcome as it is written in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Connected => "connected",
            Self::Declined => "declined",
            Self::NoAnswer => "no-answer",
            Self::Refused => "refused",
            Self::Unreached => "unreached",
        }
    }
}

impl Display for PathOutcome {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
