use super::*;

/// Longest time that can be set, in seconds: a day.
const MAX_DURATION_S: f64 = 86_400.0;

/// How a host relays the requests of an installation: figures that the
/// installation sets for all hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Time after a change of the configuration in which it must be in force.
    #[serde(deserialize_with = "whole_number::floored")]
    pub apply_limit_ms: u64,
    /// Time after a planned stop was asked for in which the process must end.
    pub drain_limit_s: f64,
    /// Duties that one host at a time does for all; none if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub duties: Option<DutySettings>,
    /// Whether the whole installation starts for the first time, so that all hosts write
    /// themselves into its table of hosts at about the same moment.
    #[serde(default)]
    pub first_start: bool,
    /// Age of its knowledge of the configuration from which a host must not
    /// take a key for valid any more: the bound for a removed key.
    #[serde(deserialize_with = "whole_number::floored")]
    pub key_knowledge_limit_ms: u64,
    /// Requests that all hosts together may send again beyond the ratio, in one
    /// window.
    #[serde(deserialize_with = "whole_number::floored")]
    pub retry_extra: u32,
    /// Requests that may be sent again for each request.
    pub retry_ratio: f64,
    /// Window of the retry budget.
    pub retry_window_s: f64,
}

impl RelaySettings {
    pub(crate) fn check(&self) -> Result<(), SettingsError> {
        let durations = [
            ("relay.drain_limit_s", self.drain_limit_s),
            ("relay.retry_window_s", self.retry_window_s),
        ];
        check_durations(&durations)?;
        self.duties.as_ref().map_or(Ok(()), DutySettings::check)
    }
}

/// Checks times that a host waits or counts by.
pub(crate) fn check_durations(fields: &[(&str, f64)]) -> Result<(), SettingsError> {
    let is_in_range = |seconds: f64| seconds > 0.0 && seconds <= MAX_DURATION_S;
    match fields.iter().find(|(_, seconds)| !is_in_range(*seconds)) {
        Some((field, _)) => Err(SettingsError::OutOfRange {
            expected: "above 0 and at most a day".to_string(),
            field: (*field).to_string(),
        }),
        None => Ok(()),
    }
}
