use super::*;

/// Identifies one attempt to run a request. It consists of the incarnation of the host that makes
/// the attempt and a counter of that host, so it is unique across all hosts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct AttemptId {
    incarnation: Incarnation,
    counter: u64,
}

impl AttemptId {
    /// The id of attempt number `counter` of a host incarnation.
    pub const fn new(incarnation: Incarnation, counter: u64) -> Self {
        Self {
            incarnation,
            counter,
        }
    }
}

impl Display for AttemptId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.incarnation.get(), self.counter)
    }
}

impl FromStr for AttemptId {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, ParseValueError> {
        let error = || ParseValueError::new("attempt id", text);
        let (incarnation, counter) = text.split_once('-').ok_or_else(error)?;
        let incarnation = u64::from_str_radix(incarnation, 16).map_err(|_| error())?;
        let counter = counter.parse().map_err(|_| error())?;
        Ok(Self::new(Incarnation::new(incarnation), counter))
    }
}

impl From<AttemptId> for String {
    fn from(id: AttemptId) -> String {
        id.to_string()
    }
}

impl TryFrom<String> for AttemptId {
    type Error = ParseValueError;

    fn try_from(text: String) -> Result<Self, ParseValueError> {
        text.parse()
    }
}
