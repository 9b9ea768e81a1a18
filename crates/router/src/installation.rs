use super::*;

/// An installation that a host relays requests in.
pub struct Installation {
    /// Where configuration and upstreams are read.
    pub directory: Box<dyn Directory>,
    /// How requests and answers look on the wire.
    pub protocol: Arc<dyn Protocol>,
}
