use super::*;

/// What an answer says of the requests that its upstream takes from all hosts together.
#[derive(Clone, Debug, PartialEq)]
pub enum AnsweredLimit {
    /// Nothing: the upstream has no limit.
    Absent,
    /// Something that is no rate; what was known before holds on.
    Invalid(String),
    /// So many requests.
    Named(Rate),
}
