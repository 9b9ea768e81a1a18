//! What a host answers other hosts of an installation: its configuration.

use super::*;

/// Path of the configuration.
pub(crate) const CONFIGURATION_PATH: &str = "/configuration";

/// Serves the configuration to hosts with the same secret.
///
/// What goes wrong without it: the store turns a host away and serves the others;
/// a new version comes, and the host must refuse every key, although its
/// neighbors know the version. One would notice `configuration_stale` on some
/// hosts while the store is well.
#[derive(Clone)]
pub(crate) struct PeerService {
    pub(crate) configuration: Arc<ArcSwapOption<Numbered>>,
    pub(crate) token: String,
}

impl PeerService {
    pub(crate) fn answer(&self, request: &Request<Incoming>) -> Response<AnswerBody> {
        let presented = request.headers().get(AUTHORIZATION);
        let presented = presented.map_or(&b""[..], HeaderValue::as_bytes);
        let known: bool = presented.ct_eq(bearer(&self.token).as_bytes()).into();
        if !known || request.uri().path() != CONFIGURATION_PATH {
            return text_answer(StatusCode::NOT_FOUND, "text/plain", "no such path\n");
        }
        let numbered = self.configuration.load_full();
        match numbered.map(|numbered| serde_json::to_string(&*numbered)) {
            Some(Ok(json)) => text_answer(StatusCode::OK, "application/json", json),
            _ => text_answer(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "none yet\n"),
        }
    }
}

/// The value of the header by which hosts know each other.
pub(crate) fn bearer(token: &str) -> String {
    format!("Bearer {token}")
}
