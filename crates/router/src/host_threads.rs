//! Starts the threads of a host and connects them by channels.

use super::*;

/// Timeout for an operator or another host to send the head of a request.
const INTERNAL_HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Divisor of the time that is reserved for the end of a stop: after the stop message, the
/// controller waits one third of that time for remaining requests, which can no longer be served.
const CONTROLLER_STOP_DIVISOR: u32 = 3;

pub(crate) type ThreadHandle = JoinHandle<eyre::Result<()>>;

/// The shared parts of a host's threads, and the handles of the threads that have been started.
pub(crate) struct HostThreads {
    pub(crate) caller_shutdown: Shutdown,
    pub(crate) logger: Logger,
    pub(crate) metrics: HostMetrics,
    pub(crate) background_shutdown: Shutdown,
    pub(crate) channels: Channels,
    pub(crate) settings: Settings,
    pub(crate) shared: SharedState,
    /// Threads that stop after the caller threads and the controller thread.
    pub(crate) background_threads: Vec<ThreadHandle>,
}

impl HostThreads {
    pub(crate) fn new(settings: Settings, logger: Logger) -> eyre::Result<Self> {
        Ok(Self {
            caller_shutdown: Shutdown::new(),
            logger,
            metrics: HostMetrics::new()?,
            background_shutdown: Shutdown::new(),
            channels: Channels::new(),
            shared: SharedState::new(&settings),
            settings,
            background_threads: Vec::new(),
        })
    }

    fn events(&self) -> flume::Sender<ControllerMessage> {
        self.channels.events.0.clone()
    }

    /// Starts the controller thread.
    pub(crate) fn start_controller(&self, notes: Option<NoteSender>) -> eyre::Result<ThreadHandle> {
        let relays = self.settings.relay.is_some();
        let thread = ControllerThread {
            clock: self.shared.clock,
            configuration: Arc::clone(&self.shared.configuration),
            crashes: self.channels.crashes.0.clone(),
            controller: Controller::new(controller_options(&self.settings)),
            events: self.channels.events.1.clone(),
            fetches: self.channels.fetches.0.clone(),
            statistics: Arc::clone(&self.shared.statistics),
            logger: self.logger.clone(),
            metrics: self.metrics.clone(),
            notes,
            peer_jobs: self.channels.peer_jobs.0.clone(),
            platform_jobs: self.channels.platform_jobs.0.clone(),
            probes: self.channels.probes.0.clone(),
            read_configuration: Arc::clone(&self.shared.read_configuration),
            status: Arc::clone(&self.shared.status),
            unconfirmed_upstreams: self.channels.unconfirmed_upstreams.0.clone(),
            unread: self.shared.unread.clone(),
            usage: self.channels.usage.0.clone(),
            stop_timeout: relays.then_some(relay_rules::STOP_RESERVE / CONTROLLER_STOP_DIVISOR),
        };
        thread.spawn()
    }

    /// Starts the thread that follows the directory of an installation.
    pub(crate) fn start_directory_thread(
        &mut self,
        directory: Box<dyn Directory>,
    ) -> eyre::Result<()> {
        let (offer, offers) = flume::bounded(channels::OFFER_CAPACITY);
        let thread = DirectoryThread {
            table_requests: self.channels.table_requests.1.clone(),
            received_tables: Arc::clone(&self.shared.received_tables),
            clock: self.shared.clock,
            crashes: self.channels.crashes.1.clone(),
            directory,
            draining: Arc::clone(&self.shared.draining),
            events: self.events(),
            fetcher: ConfigurationFetcher {
                clock: self.shared.clock,
                events: self.events(),
                jobs: self.channels.fetches.1.clone(),
                logger: self.logger.clone(),
                received_configurations: offer,
                token: self.settings.peer_token.clone(),
            },
            served_configuration: Arc::clone(&self.shared.served_configuration),
            logger: self.logger.clone(),
            metrics: self.metrics.clone(),
            offers,
            shutdown: self.background_shutdown.clone(),
            unconfirmed_upstreams: self.channels.unconfirmed_upstreams.1.clone(),
            usage: self.channels.usage.1.clone(),
        };
        self.background_threads.push(thread.spawn()?);
        Ok(())
    }

    /// Starts the thread that follows the store outside an installation. Returns the client through
    /// which operators submit configuration patches.
    pub(crate) fn start_platform_thread(&mut self) -> eyre::Result<ConfigStore> {
        let address = self.settings.platform_address;
        let thread = PlatformThread {
            address,
            events: self.events(),
            jobs: self.channels.platform_jobs.1.clone(),
            logger: self.logger.clone(),
            read_configuration: Arc::clone(&self.shared.read_configuration),
            shutdown: self.background_shutdown.clone(),
            status: Arc::clone(&self.shared.status),
        };
        self.background_threads.push(thread.spawn()?);
        let client = PlatformClient::new(address, platform_thread::CALL_TIMEOUT);
        Ok(ConfigStore::new(Arc::new(client)))
    }

    /// Starts the thread that polls and probes the upstreams.
    pub(crate) fn start_upstream_thread(
        &mut self,
        protocol: Option<Arc<dyn Protocol>>,
    ) -> eyre::Result<()> {
        let thread = UpstreamThread {
            clock: self.shared.clock,
            configuration: Arc::clone(&self.shared.configuration),
            events: self.events(),
            logger: self.logger.clone(),
            probes: self.channels.probes.1.clone(),
            protocol,
            shutdown: self.background_shutdown.clone(),
            status: Arc::clone(&self.shared.status),
            token: self.settings.peer_token.clone(),
        };
        self.background_threads.push(thread.spawn()?);
        Ok(())
    }

    /// Starts the thread that exchanges heartbeats with other hosts, outside an installation.
    pub(crate) fn start_peer_thread(
        &mut self,
        listener: std::net::TcpListener,
    ) -> eyre::Result<()> {
        let thread = PeerThread {
            events: self.events(),
            jobs: self.channels.peer_jobs.1.clone(),
            listener,
            logger: self.logger.clone(),
            shutdown: self.background_shutdown.clone(),
            token: self.settings.peer_token.clone(),
        };
        self.background_threads.push(thread.spawn()?);
        Ok(())
    }

    /// Starts the thread that receives notes from the other hosts of an installation, and the
    /// listener that serves the configuration to them. Returns the sender of this host's notes.
    pub(crate) fn start_note_thread(
        &mut self,
        listener: std::net::TcpListener,
    ) -> eyre::Result<NoteSender> {
        let token = self.settings.peer_token.clone();
        let socket = std::net::UdpSocket::bind(listener.local_addr()?)
            .wrap_err("cannot open the UDP socket for notes")?;
        let sender = NoteSender {
            socket: socket.try_clone()?,
            token: token.clone(),
        };
        let thread = NoteThread {
            events: self.events(),
            logger: self.logger.clone(),
            shutdown: self.background_shutdown.clone(),
            socket,
            token: token.clone(),
            usage: self.channels.usage.0.clone(),
        };
        self.background_threads.push(thread.spawn()?);
        let service = PeerService {
            unanswered_requests: self.channels.table_requests.0.clone(),
            received_tables: Arc::clone(&self.shared.received_tables),
            clock: self.shared.clock,
            served_configuration: Arc::clone(&self.shared.served_configuration),
            configuration_transfers: ConfigurationTransfers::default(),
            encoded_tables: Arc::default(),
            token,
            table_transfers: Arc::default(),
            transit: TransitService {
                activity: self.shared.forwarding_activity.clone(),
                events: self.events(),
                logger: self.logger.clone(),
                connections: self.shared.forwarded_connections.clone(),
            },
        };
        self.start_http_listener("peers", listener, move |request| {
            let service = service.clone();
            async move { service.answer(request).await }
        })?;
        Ok(sender)
    }

    /// Starts the listeners for operators and, if configured, for readers of the metrics.
    pub(crate) fn start_operator_listeners(
        &mut self,
        listener: std::net::TcpListener,
        store: Option<ConfigStore>,
    ) -> eyre::Result<()> {
        let service = OperatorService {
            clock: self.shared.clock,
            configuration: Arc::clone(&self.shared.configuration),
            statistics: Arc::clone(&self.shared.statistics),
            metrics: self.metrics.handle(),
            only_metrics: false,
            status: Arc::clone(&self.shared.status),
            store,
            token: Arc::new(self.settings.operator_token.clone()),
        };
        if let Some(address) = self.settings.metrics_address {
            let service = OperatorService {
                only_metrics: true,
                ..service.clone()
            };
            self.start_http_listener("metrics", listen(address)?, move |request| {
                let service = service.clone();
                async move { service.answer(request).await }
            })?;
        }
        self.start_http_listener("operators", listener, move |request| {
            let service = service.clone();
            async move { service.answer(request).await }
        })
    }

    fn start_http_listener<A, F>(
        &mut self,
        name: &str,
        listener: std::net::TcpListener,
        answer: A,
    ) -> eyre::Result<()>
    where
        A: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Response<AnswerBody>> + Send + 'static,
    {
        let http = HttpListener {
            head_timeout: INTERNAL_HEAD_TIMEOUT,
            listener,
            shutdown: self.background_shutdown.clone(),
        };
        self.background_threads.push(http.spawn(name, answer)?);
        Ok(())
    }

    /// Starts the threads that serve callers, by the protocol of an installation or by
    /// rhubarbcove's own protocol.
    pub(crate) fn start_caller_threads(
        &self,
        listener: &std::net::TcpListener,
        protocol: Option<&Arc<dyn Protocol>>,
    ) -> eyre::Result<Vec<ThreadHandle>> {
        let next_request = Arc::new(AtomicU64::new(0));
        let connections = Arc::new(AtomicUsize::new(0));
        (0..self.settings.caller_threads)
            .map(|number| {
                CallerThread {
                    connections: Arc::clone(&connections),
                    listener: listener.try_clone()?,
                    logger: self.logger.clone(),
                    metrics: self.metrics.clone(),
                    service: self.caller_interface(protocol, &next_request),
                    shutdown: self.caller_shutdown.clone(),
                    unread: self.shared.unread.clone(),
                }
                .spawn(number)
            })
            .collect()
    }

    fn caller_interface(
        &self,
        protocol: Option<&Arc<dyn Protocol>>,
        next_request: &Arc<AtomicU64>,
    ) -> CallerInterface {
        let configuration = Arc::clone(&self.shared.configuration);
        let limits = EffectiveLimits::new(
            Arc::clone(&self.shared.configuration),
            Arc::clone(&self.shared.limits),
        );
        let next_request = Arc::clone(next_request);
        match protocol {
            Some(protocol) => CallerInterface::Relay(RelayService {
                body_budget: self.shared.bodies.clone(),
                clock: self.shared.clock,
                configuration,
                connections: ConnectionPool::with_token(&self.settings.peer_token),
                events: self.events(),
                limits,
                next_request,
                protocol: Arc::clone(protocol),
                tasks: TaskSet::default(),
                status: Arc::clone(&self.shared.status),
            }),
            None => CallerInterface::OpenAi(CallerService {
                body_budget: self.shared.bodies.clone(),
                configuration,
                connections: ConnectionPool::default(),
                events: self.events(),
                limits,
                next_request,
                tasks: TaskSet::default(),
            }),
        }
    }
}

/// Opens a non-blocking TCP listener.
pub(crate) fn listen(address: SocketAddr) -> eyre::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)
        .wrap_err_with(|| format!("cannot listen on {address}"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn controller_options(settings: &Settings) -> ControllerOptions {
    let mut rng = rand::rng();
    ControllerOptions {
        failure_domain: settings.failure_domain.clone(),
        host: settings.host.clone(),
        incarnation: Incarnation::new(rng.random()),
        max_queued: settings.limits.max_queued,
        relay: settings.relay.as_ref().map(relay_rules::relay_rules),
        slot_rules: SlotRules::default(),
        seed: rng.random(),
    }
}
