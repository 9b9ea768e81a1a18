use super::*;

/// Newest document format that this release can read.
const NEWEST_FORMAT: u32 = 1;

/// The configuration that all hosts share.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Limits on callers; if absent, each host applies the limits of its own settings.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller_limits: Option<CallerLimits>,
    /// Request classes.
    pub classes: BTreeMap<ClassId, Class>,
    /// Format of this document; the current format is 1.
    pub format: u32,
    /// Routes of requests that are relayed unchanged, by host name and path prefix.
    #[serde(default)]
    pub routes: Routes,
    /// How slots are assigned to requests.
    #[serde(default)]
    pub scheduling: Scheduling,
    /// Services.
    #[serde(default)]
    pub services: BTreeMap<ServiceId, Service>,
    /// Teams.
    pub teams: BTreeMap<TeamId, Team>,
    /// Limits on trial traffic.
    pub trial: TrialRules,
    /// Model engines and replicas of services.
    pub upstreams: BTreeMap<UpstreamId, Upstream>,
}

impl Document {
    /// Parses and validates a document.
    pub fn from_json(text: &str) -> Result<Self, ConfigError> {
        let value = serde_json::from_str(text).map_err(|error| ConfigError::Syntax {
            message: error.to_string(),
        })?;
        Self::from_value(value)
    }

    /// Validates a document that is already parsed as JSON.
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

    /// Returns the document as JSON text.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("a document has only text keys")
    }

    /// Returns the document with a patch applied, validated.
    pub fn patched(&self, operations: &JsonPatch) -> Result<Self, ConfigError> {
        let mut value = serde_json::to_value(self).expect("a document has only text keys");
        json_patch::patch(&mut value, operations).map_err(|error| ConfigError::PatchFailed {
            message: error.to_string(),
        })?;
        Self::from_value(value)
    }
}
