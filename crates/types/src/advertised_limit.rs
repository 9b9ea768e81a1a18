use super::*;

/// A limit in requests per second that an upstream states in a response: how many requests it
/// accepts, or how many it can reject. The limit counts the requests of all hosts together.
#[derive(Clone, Debug, PartialEq)]
pub enum AdvertisedLimit {
    /// The response states no limit, so the upstream has none.
    Absent,
    /// The stated text is not a rate. It is ignored, and the previous limit stays in force.
    Invalid(String),
    /// The limit.
    Valid(Rate),
}
