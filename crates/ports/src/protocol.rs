use super::*;

/// How an installation writes requests and answers.
pub trait Protocol: Send + Sync {
    /// Reads what a router needs of a caller's request.
    fn read_head(&self, parts: &Parts) -> Result<RequestHead, HeadError>;

    /// Headers of the request as it goes to an upstream.
    fn upstream_headers(&self, received: &HeaderMap, context: &ForwardingContext<'_>) -> HeaderMap;

    /// Headers of an upstream's answer as they go to the caller.
    fn answer_headers(&self, received: &HeaderMap) -> HeaderMap;

    /// Whether the answer to a health check is one of the upstream that was meant.
    fn is_of_upstream(&self, upstream: &UpstreamId, headers: &HeaderMap) -> bool;

    /// What an upstream says of itself in an answer.
    fn read_notice(&self, status: StatusCode, headers: &HeaderMap) -> UpstreamNotice;

    /// Judges the head of an upstream's answer.
    fn classify_response(
        &self,
        head: &RequestHead,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ResponseClass;
}
