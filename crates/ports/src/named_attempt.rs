/// The attempt that a response names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NamedAttempt {
    /// The response names none.
    Missing,
    /// The response names the attempt of another request.
    Other,
    /// The response names the attempt of the request.
    Own,
}

impl NamedAttempt {
    /// The text that is written in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::Other => "other",
            Self::Own => "own",
        }
    }
}
