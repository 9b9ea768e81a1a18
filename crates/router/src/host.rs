use super::*;

/// Pause between two looks at whether a host is ready.
const READY_PAUSE: Duration = Duration::from_millis(5);

type Thread = JoinHandle<eyre::Result<()>>;

/// A host in one phase of its life. A phase is left by a method that takes the
/// host and returns the next one, so none can be skipped or entered twice.
pub struct Host<S> {
    parts: Parts,
    state: S,
}

/// Takes requests, or will as soon as it has a configuration.
pub struct Serving;

/// Fails its readiness check, and still answers what comes.
pub struct Draining;

struct Parts {
    caller_address: SocketAddr,
    callers: Vec<Thread>,
    callers_stop: Shutdown,
    clock: Clock,
    configuration: Arc<ArcSwapOption<Numbered>>,
    controller: Thread,
    events: flume::Sender<RingEvent>,
    ledger: Arc<Mutex<Ledger>>,
    logger: Logger,
    operator_address: SocketAddr,
    peer_address: SocketAddr,
    others: Vec<Thread>,
    others_stop: Shutdown,
    settings: Settings,
    status: Arc<ArcSwap<HostStatus>>,
}

impl Host<Serving> {
    /// Opens the listeners and starts the threads. It returns at once; the
    /// host is ready when it has read a configuration from the platform.
    pub fn start(settings: Settings, logger: Logger) -> eyre::Result<Self> {
        Self::start_in(settings, None, logger)
    }

    /// The same in an installation: requests are relayed by its protocol, and
    /// configuration and upstreams are read from its directory.
    pub fn start_in(
        settings: Settings,
        installation: Option<Installation>,
        logger: Logger,
    ) -> eyre::Result<Self> {
        let callers = listen(settings.caller_address)?;
        let operators = listen(settings.operator_address)?;
        let peers = listen(settings.peer_address)?;
        let peer_address = peers.local_addr()?;
        let notes = match installation {
            Some(_) => Some(std::net::UdpSocket::bind(peer_address)?),
            None => None,
        };
        let note_sender = match &notes {
            Some(socket) => Some(NoteSender {
                socket: socket.try_clone()?,
                token: settings.peer_token.clone(),
            }),
            None => None,
        };
        let caller_address = callers.local_addr()?;
        let operator_address = operators.local_addr()?;
        let rings = Rings::new();
        let shared = Shared::new(&settings);
        let callers_stop = Shutdown::new();
        let others_stop = Shutdown::new();
        let recorder = Arc::new(
            PrometheusBuilder::new()
                .set_buckets_for_metric(
                    Matcher::Suffix("_seconds".to_string()),
                    &[0.01, 0.03, 0.1, 0.3, 0.66, 1.0, 3.0, 10.0, 30.0],
                )
                .wrap_err("cannot set the metrics up")?
                .build_recorder(),
        );
        let metrics = recorder.handle();
        let controller = ControllerThread {
            clock: shared.clock,
            configuration: Arc::clone(&shared.configuration),
            controller: Controller::new(controller_options(&settings)),
            events: rings.events.1,
            fetches: rings.fetches.0,
            ledger: Arc::clone(&shared.ledger),
            logger: logger.clone(),
            notes: note_sender,
            peers: rings.peers.0,
            platform: rings.platform.0,
            probes: rings.probes.0,
            read_configuration: Arc::clone(&shared.read_configuration),
            recorder,
            status: Arc::clone(&shared.status),
            stop_limit: settings.relay.as_ref().map(|_| STOP_RESERVE / 3),
        }
        .spawn()?;
        let mut others = Vec::new();
        let (protocol, store) = match installation {
            Some(Installation {
                directory,
                protocol,
            }) => {
                let thread = DirectoryThread {
                    clock: shared.clock,
                    directory,
                    events: rings.events.0.clone(),
                    fetcher: ConfigurationFetcher {
                        events: rings.events.0.clone(),
                        jobs: rings.fetches.1,
                        logger: logger.clone(),
                        token: settings.peer_token.clone(),
                    },
                    logger: logger.clone(),
                    shutdown: others_stop.clone(),
                };
                others.push(thread.spawn()?);
                (Some(protocol), None)
            }
            None => {
                let thread = PlatformThread {
                    address: settings.platform_address,
                    events: rings.events.0.clone(),
                    jobs: rings.platform.1,
                    logger: logger.clone(),
                    read_configuration: Arc::clone(&shared.read_configuration),
                    shutdown: others_stop.clone(),
                    status: Arc::clone(&shared.status),
                };
                others.push(thread.spawn()?);
                let address = settings.platform_address;
                let client = PlatformClient::new(address, platform_thread::CALL_TIMEOUT);
                (None, Some(ConfigStore::new(Arc::new(client))))
            }
        };
        let thread = UpstreamThread {
            configuration: Arc::clone(&shared.configuration),
            events: rings.events.0.clone(),
            logger: logger.clone(),
            probes: rings.probes.1,
            shutdown: others_stop.clone(),
            status: Arc::clone(&shared.status),
        };
        others.push(thread.spawn()?);
        let thread = match &notes {
            Some(_) => PeerService {
                configuration: Arc::clone(&shared.configuration),
                listener: peers,
                shutdown: others_stop.clone(),
                token: settings.peer_token.clone(),
            }
            .spawn()?,
            None => PeerThread {
                events: rings.events.0.clone(),
                jobs: rings.peers.1,
                listener: peers,
                logger: logger.clone(),
                shutdown: others_stop.clone(),
                token: settings.peer_token.clone(),
            }
            .spawn()?,
        };
        others.push(thread);
        if let Some(socket) = notes {
            let thread = NoteThread {
                events: rings.events.0.clone(),
                logger: logger.clone(),
                shutdown: others_stop.clone(),
                socket,
                token: settings.peer_token.clone(),
            };
            others.push(thread.spawn()?);
        }
        let service = OperatorService {
            clock: shared.clock,
            configuration: Arc::clone(&shared.configuration),
            ledger: Arc::clone(&shared.ledger),
            metrics,
            only_metrics: false,
            status: Arc::clone(&shared.status),
            store,
            token: Arc::new(settings.operator_token.clone()),
        };
        if let Some(address) = settings.metrics_address {
            let thread = OperatorThread {
                listener: listen(address)?,
                service: OperatorService {
                    only_metrics: true,
                    ..service.clone()
                },
                shutdown: others_stop.clone(),
            };
            others.push(thread.spawn()?);
        }
        let thread = OperatorThread {
            listener: operators,
            service,
            shutdown: others_stop.clone(),
        };
        others.push(thread.spawn()?);
        let callers = spawn_callers(
            &settings,
            protocol,
            &shared,
            &rings.events.0,
            &callers,
            &callers_stop,
            &logger,
        )?;
        info!(logger, "host: started"; "callers" => %caller_address, "operators" => %operator_address);
        let parts = Parts {
            caller_address,
            callers,
            callers_stop,
            clock: shared.clock,
            configuration: shared.configuration,
            controller,
            events: rings.events.0,
            ledger: shared.ledger,
            logger,
            operator_address,
            peer_address,
            others,
            others_stop,
            settings,
            status: shared.status,
        };
        Ok(Self {
            parts,
            state: Serving,
        })
    }

    /// Waits until the host takes requests; false if it takes longer.
    pub fn wait_ready(&self, longest: Duration) -> bool {
        let deadline = Instant::now() + longest;
        while self.status().phase != HostPhase::Serving {
            if Instant::now() >= deadline {
                return false;
            }
            std::thread::sleep(READY_PAUSE);
        }
        true
    }

    /// Follows changed settings. Those that only a new start can follow are
    /// logged.
    pub fn reload(&mut self, settings: Settings) {
        let parts = &mut self.parts;
        parts.settings.balancer_pause_ms = settings.balancer_pause_ms;
        if let Some(relay) = settings
            .relay
            .as_ref()
            .filter(|_| parts.settings.relay.is_some())
        {
            let event = Event::RulesChanged(relay_rules(relay));
            // The controller outlives the host's other parts.
            let _ = parts.events.send(RingEvent::Happened(event));
            parts.settings.relay.clone_from(&settings.relay);
        }
        let all_followed = parts.settings == settings;
        info!(parts.logger, "host: settings reloaded"; "needs_restart" => !all_followed);
    }

    /// Begins a planned stop: the readiness check fails from now on, while
    /// requests are still answered.
    pub fn drain(self) -> Host<Draining> {
        info!(self.parts.logger, "host: draining");
        let event = RingEvent::Happened(Event::DrainStarted);
        let _ = self.parts.events.send(event);
        Host {
            parts: self.parts,
            state: Draining,
        }
    }
}

impl Host<Draining> {
    /// Ends the planned stop: waits for the balancer to see the failed
    /// readiness check, lets every request in flight end, settles the claims
    /// and joins the threads. Gives back what the host counted.
    pub fn stop(self) -> eyre::Result<Report> {
        let Self {
            parts,
            state: Draining,
        } = self;
        std::thread::sleep(Duration::from_millis(parts.settings.balancer_pause_ms));
        parts.callers_stop.start();
        for thread in parts.callers {
            join(thread)?;
        }
        let _ = parts.events.send(RingEvent::Stop);
        join(parts.controller)?;
        parts.others_stop.start();
        for thread in parts.others {
            join(thread)?;
        }
        info!(parts.logger, "host: stopped");
        let report = report(&parts.ledger, parts.clock, &parts.configuration);
        Ok(report)
    }
}

impl<S> Host<S> {
    /// Where it listens for callers.
    pub const fn caller_address(&self) -> SocketAddr {
        self.parts.caller_address
    }

    /// Where it listens for operators.
    pub const fn operator_address(&self) -> SocketAddr {
        self.parts.operator_address
    }

    /// Where it listens for other hosts.
    pub const fn peer_address(&self) -> SocketAddr {
        self.parts.peer_address
    }

    /// What it shows of itself.
    pub fn status(&self) -> HostStatus {
        (**self.parts.status.load()).clone()
    }

    /// Its report on service-level burn.
    pub fn report(&self) -> Report {
        report(
            &self.parts.ledger,
            self.parts.clock,
            &self.parts.configuration,
        )
    }

    /// The phase it is in.
    pub const fn phase(&self) -> &S {
        &self.state
    }
}

fn listen(address: SocketAddr) -> eyre::Result<std::net::TcpListener> {
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
        relay: settings.relay.as_ref().map(relay_rules),
        room: RoomRules::default(),
        seed: rng.random(),
    }
}

/// What a host stays below the bound for a removed key. Its knowledge counts
/// from before the store answered, and a request was sent before it is checked,
/// so only the steps of the clocks are left.
const KEY_KNOWLEDGE_MARGIN: Duration = Duration::from_millis(100);

fn relay_rules(relay: &RelaySettings) -> RelayRules {
    let limit = Duration::from_millis(relay.key_knowledge_limit_ms);
    RelayRules {
        key_knowledge: limit.saturating_sub(KEY_KNOWLEDGE_MARGIN),
        retry_extra: relay.retry_extra,
        retry_ratio: relay.retry_ratio,
        retry_window: Duration::from_millis(relay.retry_window_ms),
    }
}

/// Time that the end of a stop takes after the last request: settling, joining
/// threads, leaving the process.
const STOP_RESERVE: Duration = Duration::from_millis(600);

/// Time for requests to end once no new connections are taken.
fn drain_limit(settings: &Settings) -> Option<Duration> {
    let relay = settings.relay.as_ref()?;
    let pause = Duration::from_millis(settings.balancer_pause_ms);
    let limit = Duration::from_millis(relay.drain_limit_ms);
    Some(limit.saturating_sub(pause + STOP_RESERVE))
}

fn spawn_callers(
    settings: &Settings,
    protocol: Option<Arc<dyn Protocol>>,
    shared: &Shared,
    events: &flume::Sender<RingEvent>,
    listener: &std::net::TcpListener,
    shutdown: &Shutdown,
    logger: &Logger,
) -> eyre::Result<Vec<Thread>> {
    let next_request = Arc::new(AtomicU64::new(0));
    let connections = Arc::new(AtomicUsize::new(0));
    (0..settings.caller_threads)
        .map(|number| {
            CallerThread {
                connections: Arc::clone(&connections),
                listener: listener.try_clone()?,
                logger: logger.clone(),
                drain_limit: drain_limit(settings),
                service: match &protocol {
                    Some(protocol) => CallerInterface::Relay(RelayService {
                        clock: shared.clock,
                        configuration: Arc::clone(&shared.configuration),
                        connections: Connections::default(),
                        events: events.clone(),
                        limits: Arc::new(settings.limits.clone()),
                        next_request: Arc::clone(&next_request),
                        protocol: Arc::clone(protocol),
                        pumps: Arc::default(),
                        status: Arc::clone(&shared.status),
                    }),
                    None => CallerInterface::Own(CallerService {
                        configuration: Arc::clone(&shared.configuration),
                        connections: Connections::default(),
                        events: events.clone(),
                        limits: Arc::new(settings.limits.clone()),
                        next_request: Arc::clone(&next_request),
                        pumps: Arc::default(),
                    }),
                },
                shutdown: shutdown.clone(),
            }
            .spawn(number)
        })
        .collect()
}

fn join(thread: Thread) -> eyre::Result<()> {
    let name = thread.thread().name().unwrap_or("unnamed").to_string();
    thread
        .join()
        .map_err(|_| eyre!("thread {name} panicked"))?
        .wrap_err_with(|| format!("thread {name} failed"))
}

fn report(ledger: &Mutex<Ledger>, clock: Clock, configuration: &ArcSwapOption<Numbered>) -> Report {
    let Some(numbered) = configuration.load_full() else {
        return Report::default();
    };
    let ledger = ledger.lock().unwrap_or_else(PoisonError::into_inner);
    ledger.report(clock.now(), &numbered.document)
}
