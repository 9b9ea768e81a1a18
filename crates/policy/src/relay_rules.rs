use super::*;

/// Rules of the installation for a host that relays requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayRules {
    /// Time for which a host may still respond according to its configuration after learning of a
    /// newer version.
    pub apply_limit: Duration,
    /// Whether the whole installation is starting for the first time.
    pub first_start: bool,
    /// Time since the last confirmation that the configuration is the newest after which a host
    /// accepts no key any more.
    pub key_knowledge_limit: Duration,
    /// Number of retries that all hosts together may make in one window, in addition to the ratio.
    pub retry_extra: u32,
    /// Number of retries allowed per request.
    pub retry_ratio: f64,
    /// Time window of the retry budget.
    pub retry_window: Duration,
    /// Time window over which started requests are counted for usage reports; `None` if usage is
    /// not reported.
    pub usage_window: Option<Duration>,
}
