use super::*;

/// Shortest lease: a holder leaves half a second of it unused.
const MIN_LEASE_MS: u64 = 1_500;

/// Duties that one host at a time does for the whole installation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DutySettings {
    /// Where reports and orders are sent.
    pub address: SocketAddr,
    /// Names of the duties, as the installation has them.
    pub kinds: Vec<String>,
    /// Term of the lease under which they are done.
    pub lease_ms: u64,
    /// Time after the end of a window at which its usage report is due.
    pub usage_late_ms: u64,
    /// Length of a window of usage.
    pub usage_window_ms: u64,
}

impl DutySettings {
    pub(crate) fn check(&self) -> Result<(), SettingsError> {
        let checks = [
            (
                "relay.duties.lease_ms",
                self.lease_ms >= MIN_LEASE_MS,
                "1500 or more",
            ),
            (
                "relay.duties.usage_window_ms",
                self.usage_window_ms > 0,
                "1 or more",
            ),
            (
                "relay.duties.usage_late_ms",
                self.usage_late_ms > 0,
                "1 or more",
            ),
        ];
        match checks.iter().find(|(_, holds, _)| !holds) {
            Some((field, _, expected)) => Err(SettingsError::OutOfRange {
                expected: (*expected).to_string(),
                field: (*field).to_string(),
            }),
            None => Ok(()),
        }
    }
}
