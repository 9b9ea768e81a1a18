//! Time for which an idle connection to an upstream may be kept for the next request.

use super::*;

/// Time for which a connection is kept if the upstream sends no `keep-alive` timeout: the
/// upstream may close such a connection within a second.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(400);

/// Time before the upstream's `keep-alive` timeout at which a connection is dropped: a request
/// that is sent while the upstream closes the connection may be lost.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(300);

/// Longest time for which an idle connection is kept.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(3_600);

/// Time for which the connection may be kept after this response; `None` if the upstream
/// closes the connection.
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
        .map(|seconds: u64| Duration::from_secs(seconds).min(MAX_KEEP_ALIVE));
    Some(match advertised {
        Some(timeout) => timeout.saturating_sub(KEEP_ALIVE_MARGIN),
        None => DEFAULT_KEEP_ALIVE,
    })
}
