use super::*;

/// Speaks to plain services.
#[derive(Clone, Debug, Default)]
pub struct ServiceAdapter {
    connections: Connections,
}

impl ServiceAdapter {
    /// An adapter over these connections.
    pub const fn new(connections: Connections) -> Self {
        Self { connections }
    }

    /// Sends a request.
    pub async fn start(
        &self,
        address: SocketAddr,
        call: &Call,
        head_timeout: Duration,
    ) -> Result<Answer, CallFailure> {
        let request = request_builder(address, call);
        exchange(
            &self.connections,
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
    connections: &Connections,
    address: SocketAddr,
    request: hyper::http::request::Builder,
    body: Bytes,
    head_timeout: Duration,
) -> Result<Answer, CallFailure> {
    let request = request
        .body(Full::new(body))
        .map_err(|_| CallFailure::not_run(FailureCause::Connect))?;
    let (response, sender) = connections
        .send(&address.into(), request, head_timeout)
        .await?;
    Answer::from_response(connections.clone(), address, response, sender)
}
