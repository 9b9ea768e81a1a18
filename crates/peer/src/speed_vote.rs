use super::*;

/// Maximum number of speed votes in one note.
pub const MAX_VOTES: usize = 16;

/// The speed of an engine as measured by the requests of one host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SpeedVote {
    /// The engine.
    pub engine: EngineKey,
    /// Prefill time per token, from requests with little delay by other work.
    pub pace: PrefillTokenTime,
}
