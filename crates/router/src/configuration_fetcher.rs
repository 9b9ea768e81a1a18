use {super::*, peer::http_api};

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
                Ok(FetchAnswer::Configuration(configuration)) => {
                    self.forward(address, configuration).await
                }
                Ok(FetchAnswer::Busy) => FetchEnd::Busy,
                Ok(FetchAnswer::NoneNewer) => FetchEnd::NoneNewer,
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

    async fn fetch(&self, job: FetchJob) -> eyre::Result<FetchAnswer> {
        let newer_than = job.newer_than.map_or(0, ConfigVersion::get);
        let path = format!("{}{newer_than}", http_api::DOCUMENT_PATH);
        let request = Request::get(path)
            .header(AUTHORIZATION, http_api::bearer(&self.token))
            .body(Full::default())?;
        let requested_at = self.clock.now();
        let calls = EndpointClient::new(job.address, 0);
        let answer = calls.send(request, FETCH_TIMEOUT).await?;
        let body_started = Instant::now();
        let (head, packed) = answer.read_body().await?;
        let duration = body_started.elapsed();
        match head.status {
            StatusCode::OK => {}
            StatusCode::NO_CONTENT => return Ok(FetchAnswer::NoneNewer),
            StatusCode::TOO_MANY_REQUESTS => return Ok(FetchAnswer::Busy),
            status => return Err(eyre!("the host answered {status}")),
        }
        let header = |name| header_number(&head.headers, name);
        let missing_header = || eyre!("the host's answer lacks a header");
        let version = header(http_api::VERSION_HEADER).ok_or_else(missing_header)?;
        let revision = header(http_api::REVISION_HEADER).ok_or_else(missing_header)?;
        // Without an era the position is older than any that is told with one, so the store is
        // read from the start.
        let era = header(http_api::STORE_ERA_HEADER).unwrap_or_default();
        let era = StoreEra::new(u32::try_from(era)?);
        let bytes = ByteSize::new(packed.len() as u64);
        Ok(FetchAnswer::Configuration(ReceivedConfiguration {
            // The age counts from the time of the request, so that an answer that took long
            // does not make the configuration look newer than it is.
            as_of: header(http_api::CONFIGURATION_AGE_HEADER)
                .map(|age_ms| requested_at - Duration::from_millis(age_ms)),
            document: Arc::new(SourceDocument {
                packed,
                position: StorePosition::new(era, revision),
                version: ConfigVersion::new(version),
            }),
            read_stats: ReadStats { bytes, duration },
        }))
    }
}

/// Answer of another host to a request for its configuration.
enum FetchAnswer {
    Busy,
    NoneNewer,
    Configuration(ReceivedConfiguration),
}
