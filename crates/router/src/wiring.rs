//! Starts the threads of a host and joins them by rings.

use super::*;

/// Time that an operator or another host may take to send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Part of the reserve for the end of a stop that the controller waits for
/// requests that cannot be served any more.
const CONTROLLER_PART: u32 = 3;

pub(crate) type Thread = JoinHandle<eyre::Result<()>>;

/// What the threads of a host are given, and those that have been started.
pub(crate) struct Wiring {
    pub(crate) callers_stop: Shutdown,
    pub(crate) logger: Logger,
    pub(crate) metrics: HostMetrics,
    pub(crate) others_stop: Shutdown,
    pub(crate) rings: Rings,
    pub(crate) settings: Settings,
    pub(crate) shared: Shared,
    /// Threads that stop after the callers' and the controller's.
    pub(crate) threads: Vec<Thread>,
}

impl Wiring {
    pub(crate) fn new(settings: Settings, logger: Logger) -> eyre::Result<Self> {
        Ok(Self {
            callers_stop: Shutdown::new(),
            logger,
            metrics: HostMetrics::new()?,
            others_stop: Shutdown::new(),
            rings: Rings::new(),
            shared: Shared::new(&settings),
            settings,
            threads: Vec::new(),
        })
    }

    fn events(&self) -> flume::Sender<RingEvent> {
        self.rings.events.0.clone()
    }

    /// The thread that decides.
    pub(crate) fn start_controller(&self, notes: Option<NoteSender>) -> eyre::Result<Thread> {
        let relays = self.settings.relay.is_some();
        let thread = ControllerThread {
            clock: self.shared.clock,
            configuration: Arc::clone(&self.shared.configuration),
            crashes: self.rings.crashes.0.clone(),
            controller: Controller::new(controller_options(&self.settings)),
            events: self.rings.events.1.clone(),
            fetches: self.rings.fetches.0.clone(),
            ledger: Arc::clone(&self.shared.ledger),
            logger: self.logger.clone(),
            metrics: self.metrics.clone(),
            notes,
            peers: self.rings.peers.0.clone(),
            platform: self.rings.platform.0.clone(),
            probes: self.rings.probes.0.clone(),
            read_configuration: Arc::clone(&self.shared.read_configuration),
            status: Arc::clone(&self.shared.status),
            unread: self.shared.unread.clone(),
            usage: self.rings.usage.0.clone(),
            stop_limit: relays.then_some(relay_rules::STOP_RESERVE / CONTROLLER_PART),
        };
        thread.spawn()
    }

    /// Follows an installation's directory.
    pub(crate) fn follow_directory(&mut self, directory: Box<dyn Directory>) -> eyre::Result<()> {
        let (offer, offers) = flume::bounded(rings::OFFER_RING);
        let thread = DirectoryThread {
            asked: self.rings.asked.1.clone(),
            received: Arc::clone(&self.shared.received),
            clock: self.shared.clock,
            crashes: self.rings.crashes.1.clone(),
            directory,
            draining: Arc::clone(&self.shared.draining),
            events: self.events(),
            fetcher: ConfigurationFetcher {
                clock: self.shared.clock,
                events: self.events(),
                jobs: self.rings.fetches.1.clone(),
                logger: self.logger.clone(),
                received_configurations: offer,
                token: self.settings.peer_token.clone(),
            },
            allocation: Arc::clone(&self.shared.allocation),
            logger: self.logger.clone(),
            metrics: self.metrics.clone(),
            offers,
            shutdown: self.others_stop.clone(),
            usage: self.rings.usage.1.clone(),
        };
        self.threads.push(thread.spawn()?);
        Ok(())
    }

    /// Follows the store of the product's own protocol; gives the client through
    /// which operators submit patches.
    pub(crate) fn follow_store(&mut self) -> eyre::Result<ConfigStore> {
        let address = self.settings.platform_address;
        let thread = PlatformThread {
            address,
            events: self.events(),
            jobs: self.rings.platform.1.clone(),
            logger: self.logger.clone(),
            read_configuration: Arc::clone(&self.shared.read_configuration),
            shutdown: self.others_stop.clone(),
            status: Arc::clone(&self.shared.status),
        };
        self.threads.push(thread.spawn()?);
        let client = PlatformClient::new(address, platform_thread::CALL_TIMEOUT);
        Ok(ConfigStore::new(Arc::new(client)))
    }

    /// Polls and probes the upstreams.
    pub(crate) fn watch_upstreams(
        &mut self,
        protocol: Option<Arc<dyn Protocol>>,
    ) -> eyre::Result<()> {
        let thread = UpstreamThread {
            clock: self.shared.clock,
            configuration: Arc::clone(&self.shared.configuration),
            events: self.events(),
            logger: self.logger.clone(),
            probes: self.rings.probes.1.clone(),
            protocol,
            shutdown: self.others_stop.clone(),
            status: Arc::clone(&self.shared.status),
            token: self.settings.peer_token.clone(),
        };
        self.threads.push(thread.spawn()?);
        Ok(())
    }

    /// Exchanges heartbeats with the other hosts, outside an installation.
    pub(crate) fn exchange_heartbeats(
        &mut self,
        listener: std::net::TcpListener,
    ) -> eyre::Result<()> {
        let thread = PeerThread {
            events: self.events(),
            jobs: self.rings.peers.1.clone(),
            listener,
            logger: self.logger.clone(),
            shutdown: self.others_stop.clone(),
            token: self.settings.peer_token.clone(),
        };
        self.threads.push(thread.spawn()?);
        Ok(())
    }

    /// Takes notes of the other hosts of an installation, and serves them the
    /// configuration; gives the sender of own notes.
    pub(crate) fn exchange_notes(
        &mut self,
        listener: std::net::TcpListener,
    ) -> eyre::Result<NoteSender> {
        let token = self.settings.peer_token.clone();
        let socket = std::net::UdpSocket::bind(listener.local_addr()?)
            .wrap_err("cannot open the socket for notes")?;
        let sender = NoteSender {
            socket: socket.try_clone()?,
            token: token.clone(),
        };
        let thread = NoteThread {
            events: self.events(),
            logger: self.logger.clone(),
            shutdown: self.others_stop.clone(),
            socket,
            token: token.clone(),
            usage: self.rings.usage.0.clone(),
        };
        self.threads.push(thread.spawn()?);
        let service = PeerService {
            unanswered_requests: self.rings.asked.0.clone(),
            received_tables: Arc::clone(&self.shared.received),
            clock: self.shared.clock,
            served_configuration: Arc::clone(&self.shared.allocation),
            configuration_transfers: ConfigurationTransfers::default(),
            encoded_tables: Arc::default(),
            token,
            table_transfers: Arc::default(),
            transit: TransitService {
                activity: self.shared.activity.clone(),
                events: self.events(),
                logger: self.logger.clone(),
                connections: self.shared.passing.clone(),
            },
        };
        self.serve("peers", listener, move |request| {
            let service = service.clone();
            async move { service.answer(request).await }
        })?;
        Ok(sender)
    }

    /// Answers operators, and whoever reads the metrics.
    pub(crate) fn answer_operators(
        &mut self,
        listener: std::net::TcpListener,
        store: Option<ConfigStore>,
    ) -> eyre::Result<()> {
        let service = OperatorService {
            clock: self.shared.clock,
            configuration: Arc::clone(&self.shared.configuration),
            statistics: Arc::clone(&self.shared.ledger),
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
            self.serve("metrics", listen(address)?, move |request| {
                let service = service.clone();
                async move { service.answer(request).await }
            })?;
        }
        self.serve("operators", listener, move |request| {
            let service = service.clone();
            async move { service.answer(request).await }
        })
    }

    fn serve<A, F>(
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
            head_timeout: HEAD_TIMEOUT,
            listener,
            shutdown: self.others_stop.clone(),
        };
        self.threads.push(http.spawn(name, answer)?);
        Ok(())
    }

    /// Starts the threads that serve callers, by an installation's protocol or
    /// by the product's own.
    pub(crate) fn answer_callers(
        &self,
        listener: &std::net::TcpListener,
        protocol: Option<&Arc<dyn Protocol>>,
    ) -> eyre::Result<Vec<Thread>> {
        let next_request = Arc::new(AtomicU64::new(0));
        let connections = Arc::new(AtomicUsize::new(0));
        (0..self.settings.caller_threads)
            .map(|number| {
                CallerThread {
                    connections: Arc::clone(&connections),
                    drain_limit: relay_rules::drain_limit(&self.settings),
                    listener: listener.try_clone()?,
                    logger: self.logger.clone(),
                    metrics: self.metrics.clone(),
                    service: self.caller_interface(protocol, &next_request),
                    shutdown: self.callers_stop.clone(),
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
        let limits = LimitsInForce::new(
            Arc::clone(&self.shared.configuration),
            Arc::clone(&self.shared.limits),
        );
        let next_request = Arc::clone(next_request);
        match protocol {
            Some(protocol) => CallerInterface::Relay(RelayService {
                bodies: self.shared.bodies.clone(),
                clock: self.shared.clock,
                configuration,
                connections: ConnectionPool::with_token(&self.settings.peer_token),
                events: self.events(),
                limits,
                next_request,
                protocol: Arc::clone(protocol),
                pumps: Pumps::default(),
                status: Arc::clone(&self.shared.status),
            }),
            None => CallerInterface::Own(CallerService {
                bodies: self.shared.bodies.clone(),
                configuration,
                connections: ConnectionPool::default(),
                events: self.events(),
                limits,
                next_request,
                pumps: Pumps::default(),
            }),
        }
    }
}

/// Opens a listener.
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
