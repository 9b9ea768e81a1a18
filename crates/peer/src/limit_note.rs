use super::*;

/// The rate limit that an upstream advertises for all hosts together.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitNote {
    /// Time since the request was sent whose response advertised the limit.
    pub age_ms: u32,
    /// Rate of requests that the upstream accepts from all hosts together; `None` if it is
    /// unlimited.
    pub limit: Option<Rate>,
    /// The upstream that advertised the limit.
    pub upstream: UpstreamId,
}
