use super::*;

/// Time within which the answer of another host must start. The other host reads the
/// configuration from memory, but the answer takes some hundred milliseconds on a full link.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Fetches the configuration from other hosts when the controller requests it.
pub(crate) struct ConfigurationFetcher {
    pub(crate) clock: Clock,
    pub(crate) events: flume::Sender<ControllerMessage>,
    pub(crate) jobs: flume::Receiver<FetchJob>,
    pub(crate) logger: Logger,
    pub(crate) received_configurations: flume::Sender<ReceivedConfiguration>,
    pub(crate) token: String,
}

impl ConfigurationFetcher {
    pub(crate) async fn run(self) {
        while let Ok(job) = self.jobs.recv_async().await {
            let address = job.address;
            let end = match self.fetch(job).await {
                Ok(ConfigurationReply::Newer(configuration)) => {
                    self.forward(address, configuration).await
                }
                Ok(ConfigurationReply::Busy) => FetchEnd::Busy,
                Ok(ConfigurationReply::NoneNewer(_)) => FetchEnd::NoneNewer,
                Err(error) => {
                    warn!(self.logger, "peers: configuration not fetched";
                        "from" => %address, "error" => %error);
                    FetchEnd::Failed
                }
            };
            let event = Event::ConfigurationFetchEnded { address, end };
            let _ = self
                .events
                .send_async(ControllerMessage::Event(event))
                .await;
        }
    }

    async fn forward(&self, from: SocketAddr, configuration: ReceivedConfiguration) -> FetchEnd {
        info!(self.logger, "peers: configuration fetched";
            "bytes" => configuration.read_stats.bytes.get(), "from" => %from,
            "lasted_ms" => configuration.read_stats.duration.as_millis() as u64,
            "version" => %configuration.document.version);
        // Sending fails only when this host stops.
        let _ = self.received_configurations.send_async(configuration).await;
        FetchEnd::Received
    }

    async fn fetch(&self, job: FetchJob) -> Result<ConfigurationReply, ConfigurationError> {
        let FetchJob {
            address,
            newer_than,
        } = job;
        let client = ConfigurationClient::new(self.clock, self.token.clone());
        client.request(address, newer_than, FETCH_TIMEOUT).await
    }
}
