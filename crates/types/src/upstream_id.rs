use super::*;

/// Separates the name from the start time in the text form. A name cannot contain this character.
const START_SEPARATOR: char = '@';

/// Identifies one incarnation of an upstream, which is an engine or one replica of a plain service.
///
/// The start time is part of the id, so that state that hosts hold under the id ends with the
/// incarnation. With the name alone, an upstream that crashes and restarts under the same name
/// would inherit the state of its predecessor: hosts would still count the requests of the
/// predecessor, avoid the upstream because of earlier failures, and send it prompts that are no
/// longer in its cache. A healthy upstream would then stay idle or process every prompt from the
/// start.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct UpstreamId {
    name: String,
    /// Unix time in milliseconds at which the upstream started, if the upstream states it.
    started_ms: Option<u64>,
}

impl UpstreamId {
    /// The name, which a later incarnation may reuse.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Unix time in milliseconds at which the upstream started, if the upstream states it.
    pub const fn started_ms(&self) -> Option<u64> {
        self.started_ms
    }

    /// The id of the incarnation with the same name that started at this Unix time.
    #[must_use]
    pub fn with_started_ms(self, started_ms: Option<u64>) -> Self {
        Self { started_ms, ..self }
    }

    /// Whether `other` is a later incarnation of the same upstream.
    pub fn is_replaced_by(&self, other: &Self) -> bool {
        self.name == other.name && other.started_ms > self.started_ms
    }
}

impl Display for UpstreamId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.started_ms {
            Some(started_ms) => write!(f, "{}{START_SEPARATOR}{started_ms}", self.name),
            None => f.write_str(&self.name),
        }
    }
}

impl FromStr for UpstreamId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let (name, start) = match text.split_once(START_SEPARATOR) {
            Some((name, start)) => (name, Some(start)),
            None => (text, None),
        };
        ParseIdError::check("upstream", name)?;
        let bad_start = |_| ParseIdError::BadStartTime {
            text: text.to_string(),
        };
        let started_ms = start.map(str::parse).transpose().map_err(bad_start)?;
        Ok(Self {
            name: name.to_string(),
            started_ms,
        })
    }
}

impl From<UpstreamId> for String {
    fn from(id: UpstreamId) -> Self {
        id.to_string()
    }
}

impl TryFrom<String> for UpstreamId {
    type Error = ParseIdError;

    fn try_from(text: String) -> Result<Self, ParseIdError> {
        text.parse()
    }
}
