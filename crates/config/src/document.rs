use super::*;

/// Newest document format that this release understands.
const NEWEST_FORMAT: u32 = 1;

/// The shared configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// What callers may send; without it each host goes by its settings.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller_limits: Option<CallerLimits>,
    /// Request classes.
    pub classes: BTreeMap<ClassId, Class>,
    /// Format of this document; 1 today.
    pub format: u32,
    /// Requests that are relayed unchanged, by host name and path prefix.
    #[serde(default)]
    pub routes: Routes,
    /// How slots are given to requests.
    #[serde(default)]
    pub scheduling: Scheduling,
    /// Plain services.
    #[serde(default)]
    pub services: BTreeMap<ServiceId, Service>,
    /// Teams.
    pub teams: BTreeMap<TeamId, Team>,
    /// Rules that keep trial traffic apart.
    pub trial: TrialRules,
    /// Engines and replicas of services.
    pub upstreams: BTreeMap<UpstreamId, Upstream>,
}

impl Document {
    /// Reads and validates a document.
    pub fn from_json(text: &str) -> Result<Self, ConfigError> {
        let value = serde_json::from_str(text).map_err(|error| ConfigError::Syntax {
            message: error.to_string(),
        })?;
        Self::from_value(value)
    }

    /// Reads and validates a document that has been parsed already.
    pub fn from_value(value: serde_json::Value) -> Result<Self, ConfigError> {
        let format = value.get("format").and_then(serde_json::Value::as_u64);
        if let Some(format) = format
            && format > u64::from(NEWEST_FORMAT)
        {
            return Err(ConfigError::NewerFormat { format });
        }
        let document: Self =
            serde_json::from_value(value).map_err(|error| ConfigError::Syntax {
                message: error.to_string(),
            })?;
        validation::check(&document)?;
        Ok(document)
    }

    /// The document as JSON text.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("a document has only text keys")
    }

    /// The document after a patch, validated.
    pub fn patched(&self, operations: &JsonPatch) -> Result<Self, ConfigError> {
        let mut value = serde_json::to_value(self).expect("a document has only text keys");
        json_patch::patch(&mut value, operations).map_err(|error| ConfigError::PatchFailed {
            message: error.to_string(),
        })?;
        Self::from_value(value)
    }
}
