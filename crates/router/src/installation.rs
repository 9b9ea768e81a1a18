use super::*;

/// The installation in which a host relays requests.
pub struct Installation {
    /// Source of the configuration and the upstreams.
    pub directory: Box<dyn Directory>,
    /// Wire protocol of requests and responses.
    pub protocol: Arc<dyn Protocol>,
}
