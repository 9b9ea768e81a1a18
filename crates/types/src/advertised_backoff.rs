use super::*;

/// For how long an upstream that refused a request wants none from the host that sent it.
#[derive(Clone, Debug, PartialEq)]
pub enum AdvertisedBackoff {
    /// It does not say.
    Absent,
    /// So long, from the answer on.
    Valid(Duration),
    /// Something that is no time; nothing changes.
    Invalid(String),
}
