use super::*;

/// What went wrong with an attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FailureCause {
    /// The upstream refused it for want of room.
    Busy,
    /// No connection could be made.
    Connect,
    /// The upstream answered with a server error.
    ErrorStatus,
    /// The upstream closed or reset the connection.
    Reset,
    /// The upstream was silent for too long.
    Silent,
    /// The time for the answer was over.
    TimedOut,
    /// The answer ended before its end mark.
    Truncated,
    /// Another upstream has the address now.
    WrongInstance,
}

impl FailureCause {
    /// Whether it says something about the upstream's health. A busy upstream
    /// is well.
    pub const fn counts_against_health(self) -> bool {
        !matches!(self, Self::Busy | Self::TimedOut)
    }

    /// Whether a connection that broke or fell silent is all that is known.
    pub const fn is_connection_loss(self) -> bool {
        matches!(
            self,
            Self::Reset | Self::Silent | Self::TimedOut | Self::Truncated
        )
    }

    /// The cause as it stands in logs and reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Connect => "connect",
            Self::ErrorStatus => "error-status",
            Self::Reset => "reset",
            Self::Silent => "silent",
            Self::TimedOut => "timed-out",
            Self::Truncated => "truncated",
            Self::WrongInstance => "wrong-instance",
        }
    }
}

impl Display for FailureCause {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
