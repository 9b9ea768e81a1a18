use super::*;

/// Shortest lease term. A holder stops using its lease half a second before the lease expires.
const MIN_LEASE_MS: u64 = 1_500;

/// Duties that one host at a time performs for the whole installation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DutySettings {
    /// Address that receives usage reports and orders for upstreams.
    pub address: SocketAddr,
    /// Names of the duties as the installation defines them.
    pub kinds: Vec<String>,
    /// Term of the lease that a host must hold to perform a duty.
    #[serde(deserialize_with = "whole_number::ceiled")]
    pub lease_ms: u64,
    /// Time after the end of a usage window by which its report is due.
    pub usage_late_s: f64,
    /// Length of a usage window.
    pub usage_window_s: f64,
}

impl DutySettings {
    pub(crate) fn check(&self) -> Result<(), SettingsError> {
        if self.lease_ms < MIN_LEASE_MS {
            return Err(SettingsError::OutOfRange {
                expected: "1500 or more".to_string(),
                field: "relay.duties.lease_ms".to_string(),
            });
        }
        relay_settings::check_durations(&[
            ("relay.duties.usage_window_s", self.usage_window_s),
            ("relay.duties.usage_late_s", self.usage_late_s),
        ])
    }
}
