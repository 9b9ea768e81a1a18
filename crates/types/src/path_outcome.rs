use super::*;

/// How an attempt to open a path to an upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathOutcome {
    /// A connection was established.
    Connected,
    /// The other host takes no connection for this upstream.
    Declined,
    /// No answer came in time, or before another path was connected.
    NoAnswer,
    /// The address at the near end of the path refused the connection.
    Refused,
    /// The other host answered that it could not connect to the upstream.
    Unreached,
}

impl PathOutcome {
    /// The end as it stands in logs and metrics.
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
