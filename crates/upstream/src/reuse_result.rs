use super::*;

/// Result of sending a request over an idle connection.
#[derive(Debug)]
pub enum ReuseResult {
    /// The request was sent: the head of the response, or why no head came.
    Sent(Result<(Response<Incoming>, UpstreamSender), CallFailure>),
    /// No idle connection could send the request, which is returned.
    Unsent(Request<Full<Bytes>>),
}
