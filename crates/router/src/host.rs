use super::*;

/// Time without bytes after which connections that are passed on count as idle.
const FORWARDING_IDLE_TIME: Duration = Duration::from_secs(1);

/// Pause between two looks at them.
const FORWARDING_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Pause between two looks at whether a host is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A host in one phase of its life. A phase is left by a method that takes the
/// host and returns the next one, so none can be skipped or entered twice.
pub struct Host<S> {
    parts: HostParts,
    state: S,
}

/// Takes requests, or will as soon as it has a configuration.
pub struct Serving;

/// Fails its readiness check, and still answers what comes.
pub struct Draining;

struct HostParts {
    caller_address: SocketAddr,
    callers: Vec<ThreadHandle>,
    controller: ThreadHandle,
    operator_address: SocketAddr,
    peer_address: SocketAddr,
    threads: HostThreads,
}

impl HostParts {
    /// Tells the controller something; it outlives the host's other parts.
    fn send_to_controller(&self, event: ControllerMessage) {
        let _ = self.threads.channels.events.0.send(event);
    }

    /// Lets other hosts' requests end that are passed on to upstreams, within the time for own
    /// ones. New ones have been declined since the drain began.
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
        let controller = threads.start_controller(notes)?;
        threads.start_upstream_thread(protocol.clone())?;
        threads.start_operator_listeners(operators, store)?;
        let callers = threads.start_caller_threads(&callers, protocol.as_ref())?;
        info!(threads.logger, "host: started";
            "callers" => %caller_address, "operators" => %operator_address);
        let parts = HostParts {
            caller_address,
            callers,
            controller,
            operator_address,
            peer_address,
            threads,
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
            std::thread::sleep(READY_POLL_INTERVAL);
        }
        true
    }

    /// Follows changed settings. Those that only a new start can follow are
    /// logged.
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

    /// Begins a planned stop: the readiness check fails from now on, while
    /// requests are still answered.
    pub fn drain(self) -> Host<Draining> {
        info!(self.parts.threads.logger, "host: draining");
        let draining = &self.parts.threads.shared.draining;
        draining.store(true, Ordering::Relaxed);
        self.parts
            .send_to_controller(ControllerMessage::Event(Event::DrainStarted));
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
        let mut parts = self.parts;
        let pause_ms = parts.threads.settings.balancer_pause_ms;
        std::thread::sleep(Duration::from_millis(pause_ms));
        parts.threads.caller_shutdown.start();
        let began = Instant::now();
        for thread in std::mem::take(&mut parts.callers) {
            join(thread)?;
        }
        parts.wait_for_forwarded_connections(began);
        parts.send_to_controller(ControllerMessage::Stop);
        join(parts.controller)?;
        let HostThreads {
            logger,
            background_shutdown,
            channels,
            shared,
            threads,
            ..
        } = parts.threads;
        background_shutdown.start();
        // A thread that still empties its ring ends once nobody can fill it.
        drop(channels);
        for thread in threads {
            join(thread)?;
        }
        info!(logger, "host: stopped");
        Ok(shared.report())
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
        (**self.parts.threads.shared.status.load()).clone()
    }

    /// Its report on service-level burn.
    pub fn report(&self) -> Report {
        self.parts.threads.shared.report()
    }

    /// The phase it is in.
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
