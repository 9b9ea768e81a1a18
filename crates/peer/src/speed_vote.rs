use super::*;

/// Most votes that a host takes from one note.
pub const MAX_VOTES: usize = 16;

/// How fast an engine reads, by the requests of one host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SpeedVote {
    /// The engine.
    pub engine: EngineKey,
    /// Its pace, where little delayed it.
    pub pace: PrefillTokenTime,
}
