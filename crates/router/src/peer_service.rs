//! What a host answers other hosts of an installation: its configuration.

use super::*;

/// Path of the configuration.
pub(crate) const CONFIGURATION_PATH: &str = "/configuration";

/// Time for a host to send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves the configuration to hosts with the same secret.
///
/// What goes wrong without it: the store turns a host away and serves the others;
/// a new version comes, and the host must refuse every key, although its
/// neighbors know the version. One would notice `configuration_stale` on some
/// hosts while the store is well.
pub(crate) struct PeerService {
    pub(crate) configuration: Arc<ArcSwapOption<Numbered>>,
    pub(crate) listener: std::net::TcpListener,
    pub(crate) shutdown: Shutdown,
    pub(crate) token: String,
}

impl PeerService {
    pub(crate) fn spawn(self) -> eyre::Result<JoinHandle<eyre::Result<()>>> {
        std::thread::Builder::new()
            .name("peers".to_string())
            .spawn(move || single_thread_runtime()?.block_on(self.run()))
            .wrap_err("cannot start the peers' thread")
    }

    async fn run(self) -> eyre::Result<()> {
        let listener = TcpListener::from_std(self.listener)?;
        let token = Arc::new(self.token);
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                Some(_) = connections.join_next() => continue,
                () = self.shutdown.started() => break,
            };
            let Ok((stream, _)) = accepted else { continue };
            let configuration = Arc::clone(&self.configuration);
            let token = Arc::clone(&token);
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(
                    TokioIo::new(stream),
                    service_fn(move |request| {
                        let answer = answer(&request, &configuration, &token);
                        async move { Ok::<_, Infallible>(answer) }
                    }),
                );
            connections.spawn(async move {
                let _ = connection.await;
            });
        }
        connections.shutdown().await;
        Ok(())
    }
}

fn answer(
    request: &Request<Incoming>,
    configuration: &ArcSwapOption<Numbered>,
    token: &str,
) -> Response<AnswerBody> {
    let presented = request.headers().get(AUTHORIZATION);
    let presented = presented.map_or(&b""[..], HeaderValue::as_bytes);
    let known: bool = presented.ct_eq(bearer(token).as_bytes()).into();
    if !known || request.uri().path() != CONFIGURATION_PATH {
        return text_answer(StatusCode::NOT_FOUND, "text/plain", "no such path\n");
    }
    let numbered = configuration.load_full();
    match numbered.map(|numbered| serde_json::to_string(&*numbered)) {
        Some(Ok(json)) => text_answer(StatusCode::OK, "application/json", json),
        _ => text_answer(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "none yet\n"),
    }
}

/// The value of the header by which hosts know each other.
pub(crate) fn bearer(token: &str) -> String {
    format!("Bearer {token}")
}
