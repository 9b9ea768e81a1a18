use super::*;

/// A question to another host for its configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FetchJob {
    pub(crate) address: SocketAddr,
    /// Version in force here.
    pub(crate) newer_than: Option<ConfigVersion>,
}
