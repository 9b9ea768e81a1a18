use {
    super::*,
    peer::http_api::{TRANSIT_PROTOCOL, UPSTREAM_HEADER},
};

/// Longest time to connect to an upstream for another host, which tries several ones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest time for the controller to say where to connect.
const ADDRESS_TIMEOUT: Duration = Duration::from_millis(100);

/// Connections that are passed on at one time.
const MAX_CONNECTIONS: usize = 512;

/// Passes connections of other hosts on to upstreams that they do not reach. Only upstreams that
/// the controller knows are connected to, so that nothing else can be reached by it.
///
/// Who asks keeps the request, its verdict and its accounts: bytes pass unchanged, and what
/// happens to one side happens to the other.
#[derive(Clone)]
pub(crate) struct TransitService {
    pub(crate) activity: Activity,
    pub(crate) events: flume::Sender<RingEvent>,
    pub(crate) logger: Logger,
    pub(crate) connections: Pumps,
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
                // Who asked for it notices the end.
                let _ = connection.run(&parts.read_buf).await;
            }
        });
    }

    /// Where an upstream listens, if this host connects to it for others now.
    async fn request_address(&self, upstream: &UpstreamId) -> Option<SocketAddr> {
        let count = self.connections.count();
        gauge!("rhubarbcove_transit_connections").set(count as f64);
        if count >= MAX_CONNECTIONS {
            return None;
        }
        let (sender, answer) = oneshot::channel();
        let message = RingEvent::TransitAsked(upstream.clone(), sender);
        self.events.try_send(message).ok()?;
        timeout(ADDRESS_TIMEOUT, answer).await.ok()?.ok()?
    }
}

fn counted_answer(status: StatusCode, outcome: &'static str) -> Response<AnswerBody> {
    counter!("rhubarbcove_transit_total", "outcome" => outcome).increment(1);
    text_answer(status, "text/plain", "")
}
