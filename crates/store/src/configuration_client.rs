use {super::*, peer::http_api};

/// Requests the configuration of other hosts.
#[derive(Clone, Debug)]
pub struct ConfigurationClient {
    clock: Clock,
    /// Token that authenticates hosts to each other.
    token: String,
}

/// Answer of another host to a request for a newer configuration.
#[derive(Clone, Debug)]
pub enum ConfigurationReply {
    /// The host has a newer configuration, and is busy sending it to others.
    Busy,
    /// The host has none that is newer; contains what it has, if it has one and tells.
    NoneNewer(Option<KnownConfiguration>),
    /// A newer configuration.
    Newer(ReceivedConfiguration),
}

/// The configuration that another host has in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KnownConfiguration {
    /// Time since the host last knew the version to be the newest.
    pub age: Duration,
    /// The version.
    pub version: ConfigVersion,
}

impl ConfigurationClient {
    /// Creates a client.
    pub const fn new(clock: Clock, token: String) -> Self {
        Self { clock, token }
    }

    /// Requests the configuration of the host at an address, if it is newer than `newer_than`. The
    /// answer must begin within `head_timeout`.
    pub async fn request(
        &self,
        address: SocketAddr,
        newer_than: Option<ConfigVersion>,
        head_timeout: Duration,
    ) -> Result<ConfigurationReply, ConfigurationError> {
        let newer_than = newer_than.map_or(0, ConfigVersion::get);
        let request = Request::get(format!("{}{newer_than}", http_api::DOCUMENT_PATH))
            .header(AUTHORIZATION, http_api::bearer(&self.token))
            .body(Full::default())
            .map_err(|error| ConfigurationError::NoAnswer(error.to_string()))?;
        let requested_at = self.clock.now();
        let calls = EndpointClient::new(address, 0);
        let answer = calls.send(request, head_timeout).await?;
        let has_newer = answer.status() == StatusCode::OK;
        let body_started = Instant::now();
        let (head, packed) = answer.read_body().await.map_err(|error| {
            if has_newer {
                ConfigurationError::CutShort(error)
            } else {
                error.into()
            }
        })?;
        let duration = body_started.elapsed();
        let header = |name| header_number(&head.headers, name);
        let age = header(http_api::CONFIGURATION_AGE_HEADER).map(Duration::from_millis);
        let version = header(http_api::VERSION_HEADER).map(ConfigVersion::new);
        match head.status {
            StatusCode::OK => {}
            StatusCode::NO_CONTENT => {
                let known = age.zip(version);
                return Ok(ConfigurationReply::NoneNewer(
                    known.map(|(age, version)| KnownConfiguration { age, version }),
                ));
            }
            StatusCode::TOO_MANY_REQUESTS => return Ok(ConfigurationReply::Busy),
            status => return Err(ConfigurationError::Status(status)),
        }
        let version = version.ok_or(ConfigurationError::MissingHeader)?;
        let revision = header(http_api::REVISION_HEADER);
        let revision = revision.ok_or(ConfigurationError::MissingHeader)?;
        // Without an era the position is older than any that is told with one, so the store is
        // read from the start.
        let era = header(http_api::STORE_ERA_HEADER).unwrap_or_default();
        let era = u32::try_from(era).map_err(|_| ConfigurationError::MissingHeader)?;
        let bytes = ByteSize::new(packed.len() as u64);
        Ok(ConfigurationReply::Newer(ReceivedConfiguration {
            // The age counts from the time of the request, so that an answer that took long
            // does not make the configuration look newer than it is.
            as_of: age.map(|age| requested_at - age),
            document: Arc::new(SourceDocument {
                packed,
                position: StorePosition::new(StoreEra::new(era), revision),
                version,
            }),
            read_stats: ReadStats { bytes, duration },
        }))
    }
}
