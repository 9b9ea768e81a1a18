use super::*;

/// A connection to an upstream, free for one more request.
#[derive(Debug)]
pub struct UpstreamSender(pub(crate) SendRequest<Full<Bytes>>);
