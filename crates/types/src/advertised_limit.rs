use super::*;

/// What an answer says of the requests a second of all hosts together that its upstream takes, or
/// can reject.
#[derive(Clone, Debug, PartialEq)]
pub enum AdvertisedLimit {
    /// Nothing: the upstream has no limit.
    Absent,
    /// Something that is no rate; what was known before holds on.
    Invalid(String),
    /// So many requests.
    Valid(Rate),
}
