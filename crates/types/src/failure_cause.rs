use super::*;

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FailureCause {
    /// The upstream refused the request because it was at capacity.
    Busy,
    /// No connection could be established.
    Connect,
    /// The upstream responded with a server error status.
    ErrorStatus,
    /// The upstream closed or reset the connection.
    Reset,
    /// The upstream sent nothing for longer than the timeout.
    Silent,
    /// The time limit for the response passed.
    TimedOut,
    /// The response ended before its end marker.
    Truncated,
    /// Another upstream now uses the address.
    WrongInstance,
}

impl FailureCause {
    /// Whether the failure counts against the health of the upstream. An upstream that is at
    /// capacity is healthy.
    pub const fn counts_against_health(self) -> bool {
        !matches!(self, Self::Busy | Self::TimedOut)
    }

    /// Whether all that is known is that a connection broke or no more data came over it.
    pub const fn is_connection_loss(self) -> bool {
        matches!(
            self,
            Self::Reset | Self::Silent | Self::TimedOut | Self::Truncated
        )
    }

    /// The cause as it is written in logs and reports.
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
