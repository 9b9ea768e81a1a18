use super::*;

/// A request to fetch the configuration from another host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FetchJob {
    pub(crate) address: SocketAddr,
    /// Version in use on this host; only a newer one is fetched.
    pub(crate) newer_than: Option<ConfigVersion>,
}
