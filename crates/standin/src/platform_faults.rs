use super::*;

/// Faults of the platform stand-in.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Time that each call takes.
    pub delay_ms: u64,
    /// Refuse every call.
    pub down: bool,
    /// Carry out this many further writes, but lose their answers.
    pub lose_answers: u32,
    /// Lose this many further writes on the way in.
    pub lose_writes: u32,
}
