use super::*;

/// Time for the whole answer of another host.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Largest configuration that is read.
const MAX_CONFIGURATION: ByteSize = ByteSize::new(16 * 1024 * 1024);

/// Fetches the configuration of other hosts, when the controller asks for it.
pub(crate) struct ConfigurationFetcher {
    pub(crate) events: flume::Sender<RingEvent>,
    pub(crate) jobs: flume::Receiver<SocketAddr>,
    pub(crate) logger: Logger,
    pub(crate) token: String,
}

impl ConfigurationFetcher {
    pub(crate) async fn run(self) {
        let connections = Connections::default();
        while let Ok(address) = self.jobs.recv_async().await {
            let began = Instant::now();
            match fetch(&connections, address, &self.token).await {
                Ok(numbered) => {
                    info!(self.logger, "peers: configuration fetched";
                        "lasted_ms" => began.elapsed().as_millis() as u64, "from" => %address, "version" => %numbered.version);
                    let event = Event::ConfigurationRead(Arc::new(numbered));
                    let _ = self.events.send_async(RingEvent::Happened(event)).await;
                }
                // Its next note makes the controller ask again.
                Err(error) => {
                    warn!(self.logger, "peers: configuration not fetched";
                        "from" => %address, "error" => %error);
                }
            }
        }
    }
}

async fn fetch(
    connections: &Connections,
    address: SocketAddr,
    token: &str,
) -> eyre::Result<Numbered> {
    let request = Request::get(peer_service::CONFIGURATION_PATH)
        .header("host", address.to_string())
        .header(AUTHORIZATION, peer_service::bearer(token))
        .body(Full::default())?;
    let exchange = async {
        let (response, _sender) = connections.send(address, request, FETCH_TIMEOUT).await?;
        if response.status() != StatusCode::OK {
            return Err(eyre!("the host answered {}", response.status()));
        }
        let body = Limited::new(response.into_body(), MAX_CONFIGURATION.get() as usize);
        let body = body.collect().await.map_err(|error| eyre!(error))?;
        Ok(serde_json::from_slice(&body.to_bytes())?)
    };
    timeout(FETCH_TIMEOUT, exchange)
        .await
        .wrap_err("the host gave no answer in time")?
}
