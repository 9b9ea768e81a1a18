use super::*;

/// Faults of an engine stand-in.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Cut each new stream once after so many events; it can be resumed.
    pub break_after_events: Option<u32>,
    /// Cut every connection and forget all work.
    pub crashed: bool,
    /// Report that it is leaving.
    pub leaving: bool,
    /// Refuse new work and say so.
    pub refuse: bool,
    /// Read a request, then cut the connection without running it.
    pub reset_before_run: bool,
    /// Accept requests and never answer.
    pub silent: bool,
    /// Every token takes so many times as long.
    pub slow_factor: f64,
    /// End each stream without its end mark, though the connection closes well.
    pub truncate_after_events: Option<u32>,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            break_after_events: None,
            crashed: false,
            leaving: false,
            refuse: false,
            reset_before_run: false,
            silent: false,
            slow_factor: 1.0,
            truncate_after_events: None,
        }
    }
}
