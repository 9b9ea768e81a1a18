//! Helpers for HTTP requests and responses.

use super::*;

/// Maximum size of a request body that a stand-in reads.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// An error with which a handler makes the server cut the connection.
#[derive(Debug)]
pub(crate) struct ConnectionCut;

impl std::fmt::Display for ConnectionCut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stand-in cuts the connection")
    }
}

impl std::error::Error for ConnectionCut {}

pub(crate) type Body = UnsyncBoxBody<Bytes, ConnectionCut>;

pub(crate) type HandlerResult = Result<Response<Body>, ConnectionCut>;

pub(crate) fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

pub(crate) fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

pub(crate) fn json_response<T: Serialize>(value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("responses have only string keys");
    let mut response = Response::new(full_body(text));
    response.headers_mut().insert(
        "content-type",
        hyper::header::HeaderValue::from_static("application/json"),
    );
    response
}

pub(crate) async fn read_body(request: Request<Incoming>) -> Result<Bytes, ConnectionCut> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES);
    Ok(body.collect().await.map_err(|_| ConnectionCut)?.to_bytes())
}

pub(crate) async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Response<Body>> {
    let body = read_body(request)
        .await
        .map_err(|_| empty_response(StatusCode::BAD_REQUEST))?;
    serde_json::from_slice(&body).map_err(|error| {
        let mut response = json_response(&json!({"error": error.to_string()}));
        *response.status_mut() = StatusCode::BAD_REQUEST;
        response
    })
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
