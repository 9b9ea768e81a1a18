use {
    super::*,
    peer::http_api::{TRANSIT_PROTOCOL, UPSTREAM_HEADER},
};

/// Timeout of a connection to an upstream for another host. It is short, as the other host tries
/// several hosts in turn.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout of the request for the upstream's address to the controller.
const ADDRESS_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum number of connections that are forwarded at the same time.
const MAX_CONNECTIONS: usize = 512;

/// Forwards connections of other hosts to upstreams that those hosts cannot reach. It connects
/// only to upstreams that the controller knows, so that no other destination can be reached
/// through it.
///
/// The requesting host stays responsible for the request, its verdict and its accounting: bytes
/// are forwarded unchanged, and a close or failure of one side is passed on to the other side.
#[derive(Clone)]
pub(crate) struct TransitService {
    pub(crate) activity: LastActivity,
    pub(crate) events: flume::Sender<ControllerMessage>,
    pub(crate) logger: Logger,
    pub(crate) connections: TaskSet,
}

impl TransitService {
    pub(crate) async fn answer(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let upstream = request.headers().get(UPSTREAM_HEADER);
        let upstream = upstream.and_then(|value| value.to_str().ok()?.parse().ok());
        let Some(upstream) = upstream else {
            return counted_answer(StatusCode::BAD_REQUEST, "declined");
        };
        let Some(address) = self.request_address(&upstream).await else {
            debug!(self.logger, "transit: declined"; "upstream" => %upstream);
            return counted_answer(StatusCode::SERVICE_UNAVAILABLE, "declined");
        };
        let connected = timeout(CONNECT_TIMEOUT, ConnectionPool::connect_directly(address)).await;
        let Ok(Ok(stream)) = connected else {
            info!(self.logger, "transit: upstream not reached"; "upstream" => %upstream);
            return counted_answer(StatusCode::BAD_GATEWAY, "unreached");
        };
        info!(self.logger, "transit: connected"; "upstream" => %upstream);
        self.forward(request, stream);
        let mut response = counted_answer(StatusCode::SWITCHING_PROTOCOLS, "connected");
        *response.body_mut() = Full::default()
            .map_err(|never| match never {})
            .boxed_unsync();
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("upgrade"));
        headers.insert(UPGRADE, HeaderValue::from_static(TRANSIT_PROTOCOL));
        response
    }

    fn forward(&self, request: Request<Incoming>, upstream: TcpStream) {
        let activity = self.activity.clone();
        self.connections.spawn(async move {
            let Ok(upgraded) = hyper::upgrade::on(request).await else {
                return;
            };
            if let Ok(parts) = upgraded.downcast::<TokioIo<TcpStream>>() {
                let connection = ForwardedConnection {
                    activity,
                    host: parts.io.into_inner(),
                    upstream,
                };
                // The requesting host detects a failure by the end of its connection.
                let _ = connection.run(&parts.read_buf).await;
            }
        });
    }

    /// Asks the controller for the address of an upstream. `None` if this host does not forward
    /// connections to the upstream now.
    async fn request_address(&self, upstream: &UpstreamId) -> Option<SocketAddr> {
        let count = self.connections.count();
        gauge!("rhubarbcove_transit_connections").set(count as f64);
        if count >= MAX_CONNECTIONS {
            return None;
        }
        let (sender, answer) = oneshot::channel();
        let message = ControllerMessage::TransitRequested(upstream.clone(), sender);
        self.events.try_send(message).ok()?;
        timeout(ADDRESS_TIMEOUT, answer).await.ok()?.ok()?
    }
}

/// Builds an empty answer and counts its outcome in the metrics.
fn counted_answer(status: StatusCode, outcome: &'static str) -> Response<AnswerBody> {
    counter!("rhubarbcove_transit_total", "outcome" => outcome).increment(1);
    text_answer(status, "text/plain", "")
}
