//! The thread that decides: it feeds the controller from its ring and carries
//! its actions out.

use super::*;

/// Time between two ticks while there are requests.
const TICK: Duration = Duration::from_millis(10);

/// Time between two ticks of a host without requests.
const IDLE_TICK: Duration = Duration::from_millis(50);

/// Time between two looks at what the host shows of itself.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two readings of the time of day.
const TIME_OF_DAY_INTERVAL: Duration = Duration::from_millis(500);

/// What the controller's thread is given.
pub(crate) struct ControllerThread {
    pub(crate) clock: Clock,
    pub(crate) configuration: Arc<ArcSwapOption<Numbered>>,
    pub(crate) controller: Controller,
    /// Where crashes go that are to be kept.
    pub(crate) crashes: flume::Sender<Vec<Crash>>,
    pub(crate) events: flume::Receiver<RingEvent>,
    pub(crate) fetches: flume::Sender<FetchJob>,
    pub(crate) ledger: Arc<Mutex<Ledger>>,
    pub(crate) logger: Logger,
    pub(crate) metrics: HostMetrics,
    /// Where notes to other hosts are sent from; `None` outside an installation.
    pub(crate) notes: Option<NoteSender>,
    pub(crate) peers: flume::Sender<PeerJob>,
    pub(crate) platform: flume::Sender<PlatformJob>,
    pub(crate) probes: flume::Sender<ProbeJob>,
    pub(crate) read_configuration: Arc<Notify>,
    pub(crate) status: Arc<ArcSwap<HostStatus>>,
    /// Longest time from the order to stop to the end.
    pub(crate) stop_limit: Option<Duration>,
    /// Answers that are held until their callers read them.
    pub(crate) unread: UnreadAnswers,
    /// Where counts of this host go, if it gathers those of all.
    pub(crate) usage: flume::Sender<UsageNote>,
}

/// A request that has not ended.
struct Waiting {
    caller: mpsc::Sender<Instruction>,
    /// By which callers and logs name it.
    id: String,
}

/// The thread's own state.
struct Carrier {
    actions: Vec<Action>,
    callers: HashMap<RequestId, Waiting>,
    decisions: DecisionLog,
    /// Hosts that wait for the answer to their heartbeat.
    heartbeats: HashMap<u64, oneshot::Sender<HeartbeatAnswer>>,
    next_call: u64,
    /// Hosts that wait for where to connect for them.
    transits: HashMap<u64, oneshot::Sender<Option<SocketAddr>>>,
    /// Settlements that the platform's ring had no room for. They are never
    /// dropped: a lost one would leave a key unresolved for good.
    settlements: VecDeque<Settlement>,
    /// Version of the shares that the host shows.
    shares_published: u64,
    /// Last moment to stop, once asked to.
    stop_by: Option<Instant>,
    stopping: bool,
    thread: ControllerThread,
}

impl ControllerThread {
    pub(crate) fn spawn(self) -> eyre::Result<JoinHandle<eyre::Result<()>>> {
        std::thread::Builder::new()
            .name("controller".to_string())
            .spawn(move || {
                let metrics = self.metrics.clone();
                let carrier = Carrier {
                    actions: Vec::new(),
                    callers: HashMap::default(),
                    decisions: DecisionLog::new(self.logger.clone()),
                    heartbeats: HashMap::default(),
                    next_call: 0,
                    transits: HashMap::default(),
                    settlements: VecDeque::new(),
                    shares_published: 0,
                    stop_by: None,
                    stopping: false,
                    thread: self,
                };
                metrics.count(|| carrier.run());
                Ok(())
            })
            .wrap_err("cannot start the controller's thread")
    }
}

impl Carrier {
    fn run(mut self) {
        let mut next_tick = Instant::now();
        let mut next_publish = Instant::now();
        let mut next_time_of_day = Instant::now();
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            match self.thread.events.recv_timeout(wait) {
                Ok(event) => self.take(event),
                Err(flume::RecvTimeoutError::Timeout) => {}
                Err(flume::RecvTimeoutError::Disconnected) => return,
            }
            if Instant::now() >= next_tick {
                self.handle(Event::Ticked);
                self.retry_settlements();
                let idle = self.thread.controller.is_idle();
                next_tick = Instant::now() + if idle { IDLE_TICK } else { TICK };
            }
            if Instant::now() >= next_time_of_day {
                self.handle(Event::TimeOfDay { unix_ms: unix_ms() });
                next_time_of_day = Instant::now() + TIME_OF_DAY_INTERVAL;
            }
            if Instant::now() >= next_publish {
                self.publish();
                next_publish = Instant::now() + PUBLISH_INTERVAL;
            }
            let settled = self.settlements.is_empty();
            // In an installation the time to stop is over by then, and a request
            // that is left cannot be served any more.
            let late = self
                .stop_by
                .is_some_and(|stop_by| Instant::now() >= stop_by);
            if self.stopping && settled && (late || self.thread.controller.is_idle()) {
                info!(self.thread.logger, "controller: stopped");
                return;
            }
        }
    }

    fn take(&mut self, event: RingEvent) {
        match event {
            RingEvent::Arrived(arrival, id, caller) => {
                self.callers.insert(arrival.request, Waiting { caller, id });
                self.handle(Event::Arrived(arrival));
            }
            RingEvent::TransitAsked(upstream, answer) => {
                let call = self.new_call();
                self.transits.insert(call, answer);
                self.handle(Event::TransitRequested { call, upstream });
            }
            RingEvent::HeartbeatAsked(heartbeat, answer) => {
                let call = self.new_call();
                self.heartbeats.insert(call, answer);
                self.handle(Event::HeartbeatReceived { call, heartbeat });
            }
            RingEvent::Happened(event) => {
                self.log_answer(&event);
                self.handle(event);
            }
            RingEvent::TurnedAway { id, reason } => {
                let now = self.thread.clock.now();
                let known = self.knowledge(now);
                self.decisions.turned_away(now, &id, &reason, &known);
            }
            RingEvent::Stop => {
                self.stopping = true;
                self.stop_by = self.thread.stop_limit.map(|limit| Instant::now() + limit);
            }
        }
    }

    const fn new_call(&mut self) -> u64 {
        let call = self.next_call;
        self.next_call += 1;
        call
    }

    fn handle(&mut self, event: Event) {
        let before = self.thread.controller.version();
        let read = match &event {
            Event::ConfigurationRead(numbered) => Some(Arc::clone(numbered)),
            _ => None,
        };
        let now = self.thread.clock.now();
        let mut actions = std::mem::take(&mut self.actions);
        self.thread.controller.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.actions = actions;
        let version = self.thread.controller.version();
        if version != before {
            self.thread.configuration.store(read);
            let version = version.unwrap_or_default();
            info!(self.thread.logger, "controller: configuration in force"; "version" => %version);
            gauge!("rhubarbcove_configuration_version").set(version.get() as f64);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Abandon { attempt, request } => {
                self.instruct(request, Instruction::Abandon(attempt));
            }
            Action::AnswerHeartbeat { answer, call } => {
                if let Some(sender) = self.heartbeats.remove(&call) {
                    let _ = sender.send(answer);
                }
            }
            Action::AnswerTransit {
                call,
                upstream_address: to,
            } => {
                if let Some(sender) = self.transits.remove(&call) {
                    let _ = sender.send(to);
                }
            }
            Action::RequestTokens { ask, to } => {
                let wanted = ask.wanted.iter().map(|wanted| u64::from(wanted.count));
                counter!("rhubarbcove_limit_tokens_asked_total").increment(wanted.sum());
                if let Some(sender) = &self.thread.notes {
                    sender.send_token_request(&ask, to);
                }
            }
            Action::FailStream { refusal, request } => {
                self.instruct(request, Instruction::Break(refusal));
            }
            // The task that found its caller gone has cut the stream itself.
            Action::Cancel { .. } => {}
            Action::CheckListening { address, upstream } => {
                self.probe(address, Vec::new(), ProbeKind::Listening, upstream);
            }
            Action::CheckPath {
                address,
                paths,
                upstream,
            } => self.probe(address, paths, ProbeKind::Path, upstream),
            Action::Claim(claim) => self.claim(claim),
            // Where the ring is full, one is under way.
            Action::FetchConfiguration {
                address,
                newer_than,
            } => {
                let job = FetchJob {
                    address,
                    newer_than,
                };
                let _ = self.thread.fetches.try_send(job);
            }
            Action::GrantTokens { grant, to } => {
                counter!("rhubarbcove_limit_tokens_granted_total")
                    .increment(u64::from(grant.count));
                if let Some(sender) = &self.thread.notes {
                    sender.send_token_grant(&grant, to);
                }
            }
            // Where the ring is full the store has been away for long; the other hosts were
            // notified directly.
            Action::StoreCrashes(crashes) => {
                if self.thread.crashes.try_send(crashes).is_err() {
                    warn!(self.thread.logger, "crashes: not kept in the store");
                }
            }
            Action::NoteBrittleness(noted) => {
                let now = self.thread.clock.now();
                self.decisions.brittle_noted(now, &noted);
            }
            Action::NoteAdmission(noted) => {
                let now = self.thread.clock.now();
                self.decisions.admission_noted(now, &noted);
            }
            Action::NoteCrash(noted) => {
                let now = self.thread.clock.now();
                self.decisions.crash_noted(now, &noted);
            }
            Action::NoteLeaving(noted) => {
                let now = self.thread.clock.now();
                self.decisions.leaving_noted(now, &noted);
            }
            Action::NoteLimit(noted) => {
                let now = self.thread.clock.now();
                self.decisions.limit_noted(now, &noted);
            }
            Action::NotePathChange(noted) => {
                let now = self.thread.clock.now();
                self.decisions.reach_noted(now, &noted);
            }
            Action::NoteSpeed(noted) => {
                let now = self.thread.clock.now();
                self.decisions.speed_noted(now, &noted);
            }
            Action::Probe {
                address,
                path,
                paths,
                upstream,
            } => self.probe(address, paths, ProbeKind::Health(path), upstream),
            Action::ReadConfiguration => self.thread.read_configuration.notify_one(),
            Action::Record(outcome) => self.end(&outcome),
            Action::Refuse { refusal, request } => {
                self.instruct(request, Instruction::Refuse(refusal));
            }
            Action::Replay {
                response: answer,
                request,
            } => {
                self.instruct(request, Instruction::Replay(answer));
            }
            Action::Send { order, request } => {
                let now = self.thread.clock.now();
                if let Some(waiting) = self.callers.get(&request) {
                    self.decisions.sent(now, &waiting.id, &order);
                    request_metrics::record_fetch(&order);
                    let _ = waiting.caller.try_send(Instruction::Send(Box::new(order)));
                }
            }
            Action::SendHeartbeat {
                address,
                heartbeat,
                host,
            } => self.send_heartbeat(address, heartbeat, host),
            Action::SendLoadNotes { notes } => {
                if let Some(sender) = &self.thread.notes {
                    sender.send_load_notes(&notes);
                }
            }
            Action::Settle(settlement) => self.settle(settlement),
            Action::SendCrashNote { note, to } => {
                if let Some(sender) = &self.thread.notes {
                    sender.send_crash_note(&note, &to);
                }
            }
            Action::SendDutyNote { note, to } => {
                if let Some(sender) = &self.thread.notes {
                    sender.send_duty_note(&note, &to);
                }
            }
            Action::SendUpstreamNote { note, to } => {
                if let Some(sender) = &self.thread.notes {
                    sender.send_upstream_note(&note, &to);
                }
            }
            Action::SendUsageNote { note, to } => self.tell_usage(note, to),
            Action::SendVersionNote { note, to } => {
                if let Some(sender) = &self.thread.notes {
                    sender.send_version_note(&note, &to);
                }
            }
        }
    }

    fn tell_usage(&self, note: UsageNote, to: Option<SocketAddr>) {
        let unix_ms = unix_ms();
        let note = UsageNote { unix_ms, ..note };
        match (to, &self.thread.notes) {
            (Some(to), Some(sender)) => sender.send_usage_note(&note, to),
            (Some(_), None) => {}
            // A full ring drops it: the next one says all again.
            (None, _) => {
                let _ = self.thread.usage.try_send(note);
            }
        }
    }

    fn instruct(&mut self, request: RequestId, instruction: Instruction) {
        if let Some(waiting) = self.callers.get(&request) {
            let _ = waiting.caller.try_send(instruction);
        }
    }

    /// Logs what an upstream's answer says that no outcome does.
    fn log_answer(&mut self, event: &Event) {
        let now = self.thread.clock.now();
        match event {
            Event::AttemptEnded { end, request, .. } => {
                if let Some(waiting) = self.callers.get(request) {
                    let upstream = self.thread.controller.upstream_of(*request);
                    self.decisions
                        .attempt_failed(now, &waiting.id, upstream, end);
                }
            }
            Event::NoticeAnswered {
                notice, upstream, ..
            } => self.decisions.notice_answered(now, upstream, notice),
            Event::PathsTried {
                attempts: tries,
                upstream,
                ..
            } => {
                self.decisions.paths_tried(now, upstream, tries);
            }
            _ => {}
        }
    }

    /// Counts and logs how a request ended, and forgets it.
    fn end(&mut self, outcome: &Outcome) {
        self.record(outcome);
        let Some(waiting) = self.callers.remove(&outcome.request) else {
            return;
        };
        let now = self.thread.clock.now();
        let known = self.knowledge(now);
        self.decisions.ended(now, &waiting.id, outcome, &known);
    }

    fn knowledge(&self, now: Time) -> Knowledge {
        let controller = &self.thread.controller;
        Knowledge {
            config_age: controller.config_age(now),
            queued: controller.queued(),
            version: controller.version(),
        }
    }

    fn claim(&mut self, claim: ClaimRequest) {
        let request = claim.request;
        if self
            .thread
            .platform
            .try_send(PlatformJob::Claim(claim))
            .is_err()
        {
            // Nothing was written, and nothing is sent.
            let answer = ClaimResult::Unknown;
            self.handle(Event::ClaimAnswered { answer, request });
        }
    }

    fn settle(&mut self, settlement: Settlement) {
        self.settlements.push_back(settlement);
        self.retry_settlements();
    }

    fn retry_settlements(&mut self) {
        while let Some(settlement) = self.settlements.pop_front() {
            let job = PlatformJob::Settle(settlement);
            match self.thread.platform.try_send(job) {
                Ok(()) => {}
                Err(flume::TrySendError::Full(PlatformJob::Settle(settlement))) => {
                    self.settlements.push_front(settlement);
                    return;
                }
                Err(_) => return,
            }
        }
    }

    fn send_heartbeat(&mut self, address: SocketAddr, heartbeat: Heartbeat, host: HostId) {
        let job = PeerJob {
            address,
            sent_at: self.thread.clock.now(),
            heartbeat,
            host,
        };
        // One is under way at a time, so the ring cannot be full.
        let _ = self.thread.peers.try_send(job);
    }

    /// Where the ring is full the answer fails to come, and other signs must do.
    fn probe(
        &mut self,
        address: SocketAddr,
        paths: Vec<Path>,
        kind: ProbeKind,
        upstream: UpstreamId,
    ) {
        debug!(self.thread.logger, "controller: probe"; "upstream" => %upstream);
        let job = ProbeJob {
            address,
            paths,
            kind,
            upstream,
        };
        let _ = self.thread.probes.try_send(job);
    }

    fn record(&mut self, outcome: &Outcome) {
        request_metrics::record(outcome);
        let mut ledger = self
            .thread
            .ledger
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        ledger.record(self.thread.clock.now(), outcome);
    }

    fn publish(&mut self) {
        let controller = &self.thread.controller;
        gauge!("rhubarbcove_queued").set(controller.queued() as f64);
        let now = self.thread.clock.now();
        if let Some(age) = controller.config_age(now) {
            gauge!("rhubarbcove_configuration_age_seconds").set(age.as_secs_f64());
        }
        let unread_bytes = self.thread.unread.held_bytes();
        gauge!("rhubarbcove_unread_answer_bytes").set(unread_bytes as f64);
        gauge!("rhubarbcove_limited_upstreams").set(controller.named_limits().len() as f64);
        let out_of_reach = controller.out_of_reach();
        gauge!("rhubarbcove_upstreams_out_of_reach").set(out_of_reach.len() as f64);
        let unlisted = controller.unlisted();
        gauge!("rhubarbcove_unlisted_upstreams").set(unlisted.len() as f64);
        let speeds = controller.speed_counts();
        for (speed, engines) in [
            ("faster", speeds.faster),
            ("slower", speeds.slower),
            ("usual", speeds.usual),
        ] {
            gauge!("rhubarbcove_engines", "speed" => speed).set(engines as f64);
        }
        for (target, left) in controller.retries_left(now) {
            gauge!("rhubarbcove_retries_left", "target" => target.to_string()).set(left);
        }
        self.decisions.tick(now);
        let before = self.thread.status.load();
        let shares = controller.shares_version();
        let home = if std::mem::replace(&mut self.shares_published, shares) == shares {
            Arc::clone(&before.home)
        } else {
            Arc::new(controller.upstreams_with_own_slots())
        };
        let after = HostStatus {
            behind: controller.is_behind(),
            current: controller.is_configuration_current(now),
            ejected: controller.ejected(),
            observed: controller.observed_hosts(now),
            home,
            hosts_listed: controller.listed_host_count(),
            leaving: controller.leaving(now),
            coordinator: controller.coordinator(now).clone(),
            phase: controller.phase(),
            out_of_reach,
            queued: controller.queued(),
            unlisted,
            version: controller.version(),
            ..(**before).clone()
        };
        if after != **before {
            self.decisions.changed(now, &before, &after);
            self.thread.status.store(Arc::new(after));
        }
    }
}

/// Unix time in milliseconds, by this host's time of day.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
