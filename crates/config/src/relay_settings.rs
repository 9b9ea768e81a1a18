use super::*;

/// Longest duration that can be set: one day.
const MAX_DURATION_S: f64 = 86_400.0;

/// How the hosts of an installation relay requests. The installation sets the same values for all
/// its hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Time within which a host must apply a change of the configuration.
    #[serde(deserialize_with = "whole_number::floored")]
    pub apply_limit_ms: u64,
    /// Time within which the process must end after a planned stop was requested.
    pub drain_limit_s: f64,
    /// Duties that one host at a time performs for all hosts; `None` if there are none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub duties: Option<DutySettings>,
    /// Whether the whole installation starts for the first time, so that all hosts register in
    /// its table of hosts at about the same time.
    #[serde(default)]
    pub first_start: bool,
    /// Time after which a host that could not confirm that its configuration is current must not
    /// accept keys any more. This bounds the time for which a removed key is still accepted.
    #[serde(deserialize_with = "whole_number::floored")]
    pub key_knowledge_limit_ms: u64,
    /// Retries that all hosts together may send in one window in addition to those that
    /// `retry_ratio` allows.
    #[serde(deserialize_with = "whole_number::floored")]
    pub retry_extra: u32,
    /// Retries allowed per request.
    pub retry_ratio: f64,
    /// Length of the window over which the retry budget counts.
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

/// Checks that each duration is above zero and at most [`MAX_DURATION_S`].
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
