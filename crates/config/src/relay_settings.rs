use super::*;

/// How a host relays the requests of an installation: figures that the
/// installation sets for all hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Time after a change of the configuration in which it must be in force.
    pub apply_limit_ms: u64,
    /// Time after a planned stop was asked for in which the process must end.
    pub drain_limit_ms: u64,
    /// Duties that one host at a time does for all; none if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub duties: Option<DutySettings>,
    /// Whether the whole installation starts for the first time, so that all hosts write
    /// themselves into its table of hosts at about the same moment.
    #[serde(default)]
    pub first_start: bool,
    /// Age of its knowledge of the configuration from which a host must not
    /// take a key for valid any more: the bound for a removed key.
    pub key_knowledge_limit_ms: u64,
    /// Requests that all hosts together may send again beyond the ratio, in one
    /// window.
    pub retry_extra: u32,
    /// Requests that may be sent again for each request.
    pub retry_ratio: f64,
    /// Window of the retry budget.
    pub retry_window_ms: u64,
}
