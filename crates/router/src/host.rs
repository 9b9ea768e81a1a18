use super::*;

/// Time without traffic after which forwarded connections count as idle.
const FORWARDING_IDLE_TIME: Duration = Duration::from_secs(1);

/// Interval at which a stopping host checks the forwarded connections.
const FORWARDING_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which [`Host::wait_ready`] checks the status.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A host in one phase of its life cycle. A method that ends a phase consumes the host and returns
/// it in the next phase, so no phase can be skipped or entered twice.
pub struct Host<S> {
    parts: HostParts,
    state: S,
}

/// Phase of a host that accepts requests, or will accept them once it has a configuration.
pub struct Serving;

/// Phase of a host that fails its readiness check but still serves requests.
pub struct Draining {
    /// Time at which the requests must have ended; `None` for no limit.
    end: Option<Instant>,
}

struct HostParts {
    caller_address: SocketAddr,
    caller_threads: Vec<ThreadHandle>,
    controller_thread: ThreadHandle,
    operator_address: SocketAddr,
    peer_address: SocketAddr,
    threads: HostThreads,
}

impl HostParts {
    /// Sends a message to the controller thread. The result is ignored: the controller thread runs
    /// until it receives the stop message.
    fn send_to_controller(&self, message: ControllerMessage) {
        let _ = self.threads.channels.events.0.send(message);
    }

    /// Waits until all connections that are forwarded to upstreams for other hosts have ended, none
    /// of them has carried data for [`FORWARDING_IDLE_TIME`], or the drain limit of this host's own
    /// requests has passed. New connections have been declined since the drain began.
    fn wait_for_forwarded_connections(&self, began: Instant) {
        let limit = relay_rules::drain_limit(&self.threads.settings).unwrap_or_default();
        let SharedState {
            forwarding_activity,
            forwarded_connections,
            ..
        } = &self.threads.shared;
        while forwarded_connections.count() > 0
            && forwarding_activity.idle_time() < FORWARDING_IDLE_TIME
            && began.elapsed() < limit
        {
            std::thread::sleep(FORWARDING_POLL_INTERVAL);
        }
    }
}

impl Host<Serving> {
    /// Opens the listeners and starts the threads. Returns without waiting for a configuration; the
    /// host is ready when it has read one from the platform.
    pub fn start(settings: Settings, logger: Logger) -> eyre::Result<Self> {
        Self::start_in(settings, None, logger)
    }

    /// Like [`Self::start`], but in an installation if one is given: requests are relayed by its
    /// protocol, and the configuration and the upstreams are read from its directory.
    pub fn start_in(
        settings: Settings,
        installation: Option<Installation>,
        logger: Logger,
    ) -> eyre::Result<Self> {
        let callers = listen(settings.caller_address)?;
        let operators = listen(settings.operator_address)?;
        let peers = listen(settings.peer_address)?;
        let caller_address = callers.local_addr()?;
        let operator_address = operators.local_addr()?;
        let peer_address = peers.local_addr()?;
        let mut threads = HostThreads::new(settings, logger)?;
        let (protocol, store, notes) = match installation {
            Some(installation) => {
                threads.start_directory_thread(installation.directory)?;
                let notes = threads.start_note_thread(peers)?;
                (Some(installation.protocol), None, Some(notes))
            }
            None => {
                threads.start_peer_thread(peers)?;
                (None, Some(threads.start_platform_thread()?), None)
            }
        };
        let controller_thread = threads.start_controller(notes)?;
        threads.start_upstream_thread(protocol.clone())?;
        threads.start_operator_listeners(operators, store)?;
        let caller_threads = threads.start_caller_threads(&callers, protocol.as_ref())?;
        info!(threads.logger, "host: started";
            "callers" => %caller_address, "operators" => %operator_address);
        let parts = HostParts {
            caller_address,
            caller_threads,
            controller_thread,
            operator_address,
            peer_address,
            threads,
        };
        Ok(Self {
            parts,
            state: Serving,
        })
    }

    /// Waits until the host accepts requests; returns false if that takes longer than `longest`.
    pub fn wait_ready(&self, longest: Duration) -> bool {
        let deadline = Instant::now() + longest;
        while self.status().phase != HostPhase::Serving {
            if Instant::now() >= deadline {
                return false;
            }
            std::thread::sleep(READY_POLL_INTERVAL);
        }
        true
    }

    /// Applies changed settings. If some changes need a restart, the log line says so.
    pub fn reload(&mut self, settings: Settings) {
        let limits = settings.limits.clone();
        self.parts.threads.shared.limits.store(Arc::new(limits));
        let max_queued = settings.limits.max_queued;
        self.parts
            .send_to_controller(ControllerMessage::Event(Event::QueueLimitChanged(
                max_queued,
            )));
        let current = &mut self.parts.threads.settings;
        current.limits.clone_from(&settings.limits);
        current.balancer_pause_ms = settings.balancer_pause_ms;
        if current.relay.is_some() && settings.relay.is_some() {
            current.relay.clone_from(&settings.relay);
        }
        let is_fully_applied = *current == settings;
        if let Some(relay) = &settings.relay {
            let rules = relay_rules::relay_rules(relay);
            self.parts
                .send_to_controller(ControllerMessage::Event(Event::RulesChanged(rules)));
        }
        info!(self.parts.threads.logger, "host: settings reloaded";
            "needs_restart" => !is_fully_applied);
    }

    /// Starts a graceful stop: from now on the readiness check fails, while requests are still
    /// served. In an installation, only requests that are expected to end before the drain limit
    /// are sent from now on.
    pub fn drain(self) -> Host<Draining> {
        info!(self.parts.threads.logger, "host: draining");
        let draining = &self.parts.threads.shared.draining;
        draining.store(true, Ordering::Relaxed);
        let threads = &self.parts.threads;
        let time_left = relay_rules::drain_time(&threads.settings);
        let end = time_left.map(|time_left| threads.shared.clock.now() + time_left);
        self.parts
            .send_to_controller(ControllerMessage::Event(Event::DrainStarted { end }));
        Host {
            state: Draining {
                end: time_left.map(|time_left| Instant::now() + time_left),
            },
            parts: self.parts,
        }
    }
}

impl Host<Draining> {
    /// Completes the graceful stop: waits for the load balancer to see the failed readiness check,
    /// lets the requests in flight end, settles the idempotency claims and joins the threads. In an
    /// installation, the drain limit bounds the wait for requests. Returns the report of the host.
    pub fn stop(self) -> eyre::Result<Report> {
        let mut parts = self.parts;
        let pause_ms = parts.threads.settings.balancer_pause_ms;
        std::thread::sleep(Duration::from_millis(pause_ms));
        let end = self.state.end;
        let callers_end = end.map(|end| end + relay_rules::LAST_ANSWER_RESERVE);
        parts.threads.caller_shutdown.start_until(callers_end);
        let began = Instant::now();
        for thread in std::mem::take(&mut parts.caller_threads) {
            join(thread)?;
        }
        parts.wait_for_forwarded_connections(began);
        parts.send_to_controller(ControllerMessage::Stop);
        join(parts.controller_thread)?;
        let HostThreads {
            logger,
            background_shutdown,
            channels,
            shared,
            background_threads,
            ..
        } = parts.threads;
        background_shutdown.start();
        // A thread that still drains its channel ends once all senders are dropped.
        drop(channels);
        for thread in background_threads {
            join(thread)?;
        }
        info!(logger, "host: stopped");
        Ok(shared.report())
    }
}

impl<S> Host<S> {
    /// Address on which the host listens for callers.
    pub const fn caller_address(&self) -> SocketAddr {
        self.parts.caller_address
    }

    /// Address on which the host listens for operators.
    pub const fn operator_address(&self) -> SocketAddr {
        self.parts.operator_address
    }

    /// Address on which the host listens for other hosts.
    pub const fn peer_address(&self) -> SocketAddr {
        self.parts.peer_address
    }

    /// Latest published status of the host.
    pub fn status(&self) -> HostStatus {
        (**self.parts.threads.shared.status.load()).clone()
    }

    /// Report on service levels and error budgets.
    pub fn report(&self) -> Report {
        self.parts.threads.shared.report()
    }

    /// Current phase of the host.
    pub const fn phase(&self) -> &S {
        &self.state
    }
}

fn join(thread: ThreadHandle) -> eyre::Result<()> {
    let name = thread.thread().name().unwrap_or("unnamed").to_string();
    thread
        .join()
        .map_err(|_| eyre!("thread {name} panicked"))?
        .wrap_err_with(|| format!("thread {name} failed"))
}
