use super::*;

/// Why computed tokens were wasted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WasteCause {
    /// The response was interrupted and could not be resumed.
    CutOff,
    /// The caller disconnected before the response was complete.
    Discarded,
    /// The request was run again from the start.
    Repeated,
}

impl WasteCause {
    /// All causes.
    pub const ALL: [Self; 3] = [Self::CutOff, Self::Discarded, Self::Repeated];

    /// Name of the cause in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::CutOff => "cut-off",
            Self::Discarded => "discarded",
            Self::Repeated => "repeated",
        }
    }
}

impl Display for WasteCause {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
