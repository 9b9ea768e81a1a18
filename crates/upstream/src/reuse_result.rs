use super::*;

/// What came of sending a request over a kept connection.
#[derive(Debug)]
pub enum ReuseResult {
    /// It was sent; the head of the answer, or why there is none.
    Sent(Result<(Response<Incoming>, UpstreamSender), CallFailure>),
    /// No kept connection took it.
    Unsent(Request<Full<Bytes>>),
}
