use super::*;

/// Faults of a service stand-in.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Close the connection right after each response, without a `connection: close`
    /// header.
    pub close_after_answer: bool,
    /// Duration of each run.
    pub delay_ms: u64,
    /// Send half of each response body, then cut the connection.
    pub half_answer: bool,
    /// Refuse each request with a header that says that the request has not run.
    pub refuse: bool,
    /// Run each request, then cut the connection without a response.
    pub reset_after_run: bool,
    /// Read each request, then cut the connection without running the request.
    pub reset_before_run: bool,
    /// Respond with this HTTP status after the run.
    pub status: Option<u16>,
}
