//! How long a connection to an upstream may be kept for the next request.

use super::*;

/// Time for which a connection is kept whose upstream names no time: it may
/// close it within the second.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(400);

/// How long before the time that an upstream names its connection is given up:
/// a request that crosses the close may be lost.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(300);

/// How long the connection of an answer may be kept after it; `None` if the
/// upstream closes it.
pub(crate) fn keep_alive_time(response: &Response<Incoming>) -> Option<Duration> {
    let header = |name: HeaderName| {
        let value = response.headers().get(name);
        value.and_then(|value| value.to_str().ok())
    };
    let connection = header(hyper::header::CONNECTION);
    if connection.is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
        return None;
    }
    let advertised = header(HeaderName::from_static("keep-alive"))
        .and_then(|value| {
            value
                .split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.trim().parse().ok())
        .map(Duration::from_secs);
    Some(match advertised {
        Some(timeout) => timeout.saturating_sub(KEEP_ALIVE_MARGIN),
        None => DEFAULT_KEEP_ALIVE,
    })
}
