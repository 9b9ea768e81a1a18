//! Helpers for answers over HTTP.

use super::*;

/// Largest body that a stand-in reads.
const MAX_BODY: usize = 64 * 1024 * 1024;

/// The connection is to be cut without an answer.
#[derive(Debug)]
pub(crate) struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stand-in cuts the connection")
    }
}

impl std::error::Error for Broken {}

pub(crate) type Body = UnsyncBoxBody<Bytes, Broken>;

pub(crate) type Answer = Result<Response<Body>, Broken>;

pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

pub(crate) fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    response
}

pub(crate) fn answer_json<T: Serialize>(value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("answers have only text keys");
    let mut response = Response::new(full(text));
    response.headers_mut().insert(
        "content-type",
        hyper::header::HeaderValue::from_static("application/json"),
    );
    response
}

pub(crate) async fn read_body(request: Request<Incoming>) -> Result<Bytes, Broken> {
    let body = Limited::new(request.into_body(), MAX_BODY);
    Ok(body.collect().await.map_err(|_| Broken)?.to_bytes())
}

pub(crate) async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Response<Body>> {
    let body = read_body(request)
        .await
        .map_err(|_| empty(StatusCode::BAD_REQUEST))?;
    serde_json::from_slice(&body).map_err(|error| {
        let mut response = answer_json(&json!({"error": error.to_string()}));
        *response.status_mut() = StatusCode::BAD_REQUEST;
        response
    })
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
