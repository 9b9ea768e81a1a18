use {super::*, peer::http_api};

/// Time in which the answer of another host must begin: it is only looked up there, and
/// some hundred milliseconds under way on a link that is full.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Fetches the configuration of other hosts, when the controller asks for it.
pub(crate) struct ConfigurationFetcher {
    pub(crate) clock: Clock,
    pub(crate) events: flume::Sender<ControllerMessage>,
    pub(crate) jobs: flume::Receiver<FetchJob>,
    pub(crate) logger: Logger,
    pub(crate) offers: flume::Sender<ReceivedConfiguration>,
    pub(crate) token: String,
}

impl ConfigurationFetcher {
    pub(crate) async fn run(self) {
        while let Ok(job) = self.jobs.recv_async().await {
            let address = job.address;
            let end = match self.fetch(job).await {
                Ok(Fetched::Offer(offer)) => self.hand_on(address, offer).await,
                Ok(Fetched::Busy) => FetchEnd::Busy,
                Ok(Fetched::NoneNewer) => FetchEnd::NoneNewer,
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

    async fn hand_on(&self, from: SocketAddr, offer: ReceivedConfiguration) -> FetchEnd {
        info!(self.logger, "peers: configuration fetched";
            "bytes" => offer.read_stats.bytes.get(), "from" => %from,
            "lasted_ms" => offer.read_stats.duration.as_millis() as u64,
            "version" => %offer.document.version);
        // Fails only when the host stops.
        let _ = self.offers.send_async(offer).await;
        FetchEnd::Received
    }

    async fn fetch(&self, job: FetchJob) -> eyre::Result<Fetched> {
        let newer_than = job.newer_than.map_or(0, ConfigVersion::get);
        let path = format!("{}{newer_than}", http_api::DOCUMENT_PATH);
        let request = Request::get(path)
            .header(AUTHORIZATION, http_api::bearer(&self.token))
            .body(Full::default())?;
        let asked = self.clock.now();
        let calls = EndpointClient::new(job.address, 0);
        let answer = calls.send(request, FETCH_TIMEOUT).await?;
        let began = Instant::now();
        let (head, packed) = answer.read_body().await?;
        let lasted = began.elapsed();
        match head.status {
            StatusCode::OK => {}
            StatusCode::NO_CONTENT => return Ok(Fetched::NoneNewer),
            StatusCode::TOO_MANY_REQUESTS => return Ok(Fetched::Busy),
            status => return Err(eyre!("the host answered {status}")),
        }
        let number = |name| header_number(&head.headers, name);
        let missing = || eyre!("the host's answer lacks a header");
        let version = number(http_api::VERSION_HEADER).ok_or_else(missing)?;
        let revision = number(http_api::REVISION_HEADER).ok_or_else(missing)?;
        let bytes = ByteSize::new(packed.len() as u64);
        Ok(Fetched::Offer(ReceivedConfiguration {
            // The host's word counts from before it was asked, so that an answer that was
            // long under way makes nothing look newer than it is.
            as_of: number(http_api::CONFIGURATION_AGE_HEADER)
                .map(|age_ms| asked - Duration::from_millis(age_ms)),
            document: Arc::new(SourceDocument {
                packed,
                revision,
                version: ConfigVersion::new(version),
            }),
            read_stats: ReadStats {
                bytes,
                duration: lasted,
            },
        }))
    }
}

/// What another host answered.
enum Fetched {
    Busy,
    NoneNewer,
    Offer(ReceivedConfiguration),
}
