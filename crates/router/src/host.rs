use super::*;

/// Time without bytes after which connections that are passed on count as idle.
const PASSING_PAUSE: Duration = Duration::from_secs(1);

/// Pause between two looks at them.
const PASSING_LOOK: Duration = Duration::from_millis(50);

/// Pause between two looks at whether a host is ready.
const READY_PAUSE: Duration = Duration::from_millis(5);

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
    controller: Thread,
    operator_address: SocketAddr,
    peer_address: SocketAddr,
    wiring: Wiring,
}

impl Parts {
    /// Tells the controller something; it outlives the host's other parts.
    fn tell(&self, event: RingEvent) {
        let _ = self.wiring.rings.events.0.send(event);
    }

    /// Lets other hosts' requests end that are passed on to upstreams, within the time for own
    /// ones. New ones have been declined since the drain began.
    fn finish_passing(&self, began: Instant) {
        let limit = relay_rules::drain_limit(&self.wiring.settings).unwrap_or_default();
        let Shared {
            activity, passing, ..
        } = &self.wiring.shared;
        while passing.count() > 0 && activity.idle() < PASSING_PAUSE && began.elapsed() < limit {
            std::thread::sleep(PASSING_LOOK);
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
        let mut wiring = Wiring::new(settings, logger)?;
        let (protocol, store, notes) = match installation {
            Some(installation) => {
                wiring.follow_directory(installation.directory)?;
                let notes = wiring.exchange_notes(peers)?;
                (Some(installation.protocol), None, Some(notes))
            }
            None => {
                wiring.exchange_heartbeats(peers)?;
                (None, Some(wiring.follow_store()?), None)
            }
        };
        let controller = wiring.start_controller(notes)?;
        wiring.watch_upstreams(protocol.clone())?;
        wiring.answer_operators(operators, store)?;
        let callers = wiring.answer_callers(&callers, protocol.as_ref())?;
        info!(wiring.logger, "host: started";
            "callers" => %caller_address, "operators" => %operator_address);
        let parts = Parts {
            caller_address,
            callers,
            controller,
            operator_address,
            peer_address,
            wiring,
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
        let limits = settings.limits.clone();
        self.parts.wiring.shared.limits.store(Arc::new(limits));
        let max_queued = settings.limits.max_queued;
        self.parts
            .tell(RingEvent::Happened(Event::QueueLimitChanged(max_queued)));
        let current = &mut self.parts.wiring.settings;
        current.limits.clone_from(&settings.limits);
        current.balancer_pause_ms = settings.balancer_pause_ms;
        if current.relay.is_some() && settings.relay.is_some() {
            current.relay.clone_from(&settings.relay);
        }
        let all_followed = *current == settings;
        if let Some(relay) = &settings.relay {
            let rules = relay_rules::relay_rules(relay);
            self.parts
                .tell(RingEvent::Happened(Event::RulesChanged(rules)));
        }
        info!(self.parts.wiring.logger, "host: settings reloaded";
            "needs_restart" => !all_followed);
    }

    /// Begins a planned stop: the readiness check fails from now on, while
    /// requests are still answered.
    pub fn drain(self) -> Host<Draining> {
        info!(self.parts.wiring.logger, "host: draining");
        let draining = &self.parts.wiring.shared.draining;
        draining.store(true, Ordering::Relaxed);
        self.parts.tell(RingEvent::Happened(Event::DrainStarted));
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
        let pause_ms = parts.wiring.settings.balancer_pause_ms;
        std::thread::sleep(Duration::from_millis(pause_ms));
        parts.wiring.callers_stop.start();
        let began = Instant::now();
        for thread in std::mem::take(&mut parts.callers) {
            join(thread)?;
        }
        parts.finish_passing(began);
        parts.tell(RingEvent::Stop);
        join(parts.controller)?;
        let Wiring {
            logger,
            others_stop,
            rings,
            shared,
            threads,
            ..
        } = parts.wiring;
        others_stop.start();
        // A thread that still empties its ring ends once nobody can fill it.
        drop(rings);
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
        (**self.parts.wiring.shared.status.load()).clone()
    }

    /// Its report on service-level burn.
    pub fn report(&self) -> Report {
        self.parts.wiring.shared.report()
    }

    /// The phase it is in.
    pub const fn phase(&self) -> &S {
        &self.state
    }
}

fn join(thread: Thread) -> eyre::Result<()> {
    let name = thread.thread().name().unwrap_or("unnamed").to_string();
    thread
        .join()
        .map_err(|_| eyre!("thread {name} panicked"))?
        .wrap_err_with(|| format!("thread {name} failed"))
}
