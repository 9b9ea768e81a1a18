use super::*;

/// Faults of a service stand-in.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Close the connection right after each answer, without saying so.
    pub close_after_answer: bool,
    /// Time that each run takes.
    pub delay_ms: u64,
    /// Send half of each answer, then cut the connection.
    pub half_answer: bool,
    /// Refuse and say that nothing ran.
    pub refuse: bool,
    /// Run, then cut the connection without an answer.
    pub reset_after_run: bool,
    /// Read the request, then cut the connection without running it.
    pub reset_before_run: bool,
    /// Answer with this status after running.
    pub status: Option<u16>,
}
