use super::*;

/// A caller's request with its complete body, to be relayed unchanged.
#[derive(Debug)]
pub(crate) struct RelayedRequest {
    pub(crate) body: WholeBody,
    pub(crate) head: RequestHead,
    pub(crate) headers: hyper::HeaderMap,
    pub(crate) method: Method,
    /// Path and query as the caller sent them.
    pub(crate) path: String,
}

impl RelayedRequest {
    /// Builds the request for an upstream.
    pub(crate) fn for_upstream(
        &self,
        protocol: &dyn Protocol,
        passing: &ForwardingContext<'_>,
    ) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .body(Full::new(self.body.bytes.clone()))?;
        *request.headers_mut() = protocol.upstream_headers(&self.headers, passing);
        Ok(request)
    }
}
