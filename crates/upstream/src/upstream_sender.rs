use super::*;

/// A connection to an upstream, free for one more request.
#[derive(Debug)]
pub struct UpstreamSender {
    /// The path that it takes.
    pub(crate) path: Path,
    pub(crate) sender: SendRequest<Full<Bytes>>,
}
