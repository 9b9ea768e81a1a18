/// Whether a connection to an upstream carried other requests before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionUse {
    /// The request is the first one, so there is no other request that a response can belong to.
    First,
    /// Responses to earlier requests can still arrive.
    Reused,
}

impl ConnectionUse {
    /// The use by a request that `requests_before` other requests preceded.
    pub const fn after(requests_before: u32) -> Self {
        if requests_before == 0 {
            Self::First
        } else {
            Self::Reused
        }
    }
}
