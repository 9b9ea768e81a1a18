use super::*;

/// The backoff that an upstream asks for when it refuses a request: how long the sending host
/// should send no further request.
#[derive(Clone, Debug, PartialEq)]
pub enum AdvertisedBackoff {
    /// The response states no backoff.
    Absent,
    /// The duration, which starts with the response.
    Valid(Duration),
    /// The stated text is not a duration. It is ignored, and a current backoff stays in force.
    Invalid(String),
}
