use super::*;

/// What an upstream names as its limit for all hosts together.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AdvertisedLimit {
    /// How long ago the request was sent whose answer named it.
    pub age_ms: u32,
    /// Requests that it takes from all hosts together; `None` for any number.
    pub limit: Option<Rate>,
    /// The upstream.
    pub upstream: UpstreamId,
}
