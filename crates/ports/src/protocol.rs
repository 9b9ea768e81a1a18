use super::*;

/// The wire format of an installation's requests and responses.
pub trait Protocol: Send + Sync {
    /// Reads the parts of a caller's request that the router needs.
    fn read_head(&self, parts: &Parts) -> Result<RequestHead, HeadError>;

    /// Returns the headers of the request to an upstream.
    fn upstream_headers(&self, received: &HeaderMap, context: &ForwardingContext<'_>) -> HeaderMap;

    /// Returns the headers of the response to the caller.
    fn answer_headers(&self, received: &HeaderMap) -> HeaderMap;

    /// Whether the response to a health check comes from the given upstream.
    fn is_of_upstream(&self, upstream: &UpstreamId, headers: &HeaderMap) -> bool;

    /// Reads what an upstream reports about itself in a response.
    fn read_notice(&self, status: StatusCode, headers: &HeaderMap) -> UpstreamNotice;

    /// Which attempt a response names.
    fn named_attempt(&self, head: &RequestHead, headers: &HeaderMap) -> NamedAttempt;

    /// Classifies an upstream's response by its head. The connection has carried no other attempt of
    /// the request.
    fn classify_response(
        &self,
        head: &RequestHead,
        status: StatusCode,
        headers: &HeaderMap,
        connection: ConnectionUse,
    ) -> ResponseClass;
}
