use super::*;

/// Client for plain services.
#[derive(Clone, Debug, Default)]
pub struct ServiceAdapter {
    pool: ConnectionPool,
}

impl ServiceAdapter {
    /// Creates an adapter that uses connections of this pool.
    pub const fn new(pool: ConnectionPool) -> Self {
        Self { pool }
    }

    /// Sends a request and waits for the head of the response.
    pub async fn start(
        &self,
        address: SocketAddr,
        call: &Call,
        head_timeout: Duration,
    ) -> Result<UpstreamResponse, CallFailure> {
        let request = request_builder(address, call);
        exchange(
            &self.pool,
            address,
            request,
            call.body.clone(),
            head_timeout,
        )
        .await
    }
}

pub(crate) fn request_builder(address: SocketAddr, call: &Call) -> hyper::http::request::Builder {
    Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header("host", address.to_string())
        .header("content-type", &call.content_type)
        .header(ATTEMPT_HEADER, call.attempt.to_string())
}

pub(crate) async fn exchange(
    pool: &ConnectionPool,
    address: SocketAddr,
    request: hyper::http::request::Builder,
    body: Bytes,
    head_timeout: Duration,
) -> Result<UpstreamResponse, CallFailure> {
    let request = request
        .body(Full::new(body))
        .map_err(|_| CallFailure::not_run(FailureCause::Connect))?;
    let (response, sender) = pool.send(&address.into(), request, head_timeout).await?;
    UpstreamResponse::from_response(pool.clone(), address, response, sender)
}
