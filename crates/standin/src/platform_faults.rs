use super::*;

/// Faults of the platform stand-in.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Delay of each call.
    pub delay_ms: u64,
    /// Refuse every call with status 503.
    pub down: bool,
    /// Carry out this many further writes, but cut the connection without a response.
    pub lose_answers: u32,
    /// Drop this many further writes, and cut the connection without a response.
    pub lose_writes: u32,
}
