use super::*;

/// Between the name and the start in the text form; no name holds it.
const START_SEPARATOR: char = '@';

/// One incarnation of an upstream: an engine or one replica of a plain service.
///
/// What goes wrong with the name alone: an upstream crashes and starts again under
/// the same name, and hosts go on counting the requests of before, avoid it for
/// failures of before, and send it prompts that it no longer keeps. One would notice
/// a sound upstream that stays idle or reads everything anew. With the start as a
/// part of the id, whatever is known under the id ends with the incarnation.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct UpstreamId {
    name: String,
    /// Unix time of its start in milliseconds, where the upstream tells it.
    started_ms: Option<u64>,
}

impl UpstreamId {
    /// The name, which a later incarnation may bear again.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Unix time of its start in milliseconds, where the upstream tells it.
    pub const fn started_ms(&self) -> Option<u64> {
        self.started_ms
    }

    /// The incarnation of this name that started at a moment.
    #[must_use]
    pub fn with_started_ms(self, started_ms: Option<u64>) -> Self {
        Self { started_ms, ..self }
    }

    /// Whether another id is a later incarnation of the same upstream.
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
