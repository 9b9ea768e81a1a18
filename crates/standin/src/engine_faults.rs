use super::*;

/// Faults of an engine stand-in.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Cut the connection of each new stream once, after this number of events. The
    /// stream can be resumed.
    pub break_after_events: Option<u32>,
    /// Cut every connection and discard all work.
    pub crashed: bool,
    /// Report in the load reports that the engine is leaving.
    pub leaving: bool,
    /// Refuse new requests with a header that says that they have not run.
    pub refuse: bool,
    /// Read each request, then cut the connection without running the request.
    pub reset_before_run: bool,
    /// Accept requests and never respond.
    pub silent: bool,
    /// Factor by which the time of each token is multiplied.
    pub slow_factor: f64,
    /// End each new stream after this number of events without the end mark `[DONE]`,
    /// but without a connection error.
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
