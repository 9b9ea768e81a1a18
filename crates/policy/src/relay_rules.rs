use super::*;

/// Figures of an installation that a relaying host must keep to.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayRules {
    /// Time for which it may answer by its configuration after it has learned of a newer one.
    pub apply_limit: Duration,
    /// Whether the whole installation starts for the first time.
    pub first_start: bool,
    /// Age of its knowledge of the configuration from which it takes no key for
    /// valid any more.
    pub key_knowledge_limit: Duration,
    /// Requests that all hosts together may send again in one window beyond the
    /// ratio.
    pub retry_extra: u32,
    /// Requests that may be sent again for each request.
    pub retry_ratio: f64,
    /// Window of the retry budget.
    pub retry_window: Duration,
    /// Window by which requests that began are counted; `None` where nobody asks.
    pub usage_window: Option<Duration>,
}
