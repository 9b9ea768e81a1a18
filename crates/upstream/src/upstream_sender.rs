use super::*;

/// A connection to an upstream that is ready for one more request.
#[derive(Debug)]
pub struct UpstreamSender {
    /// The path over which the connection was opened.
    pub(crate) path: Path,
    pub(crate) sender: SendRequest<Full<Bytes>>,
}
