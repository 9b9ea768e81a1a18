use super::*;

/// The slots of one upstream that a host may fill.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Slots.
    pub slots: u32,
    /// The upstream.
    pub upstream: UpstreamId,
}
