//! The controller thread: passes messages from its channel to the controller and executes the
//! resulting actions.

use super::*;

/// Interval between ticks while requests are pending.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Interval between ticks of a host without requests.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which the host status and the gauges are updated.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the controller receives the wall-clock time.
const TIME_OF_DAY_INTERVAL: Duration = Duration::from_millis(500);

/// The inputs and outputs of the controller thread.
pub(crate) struct ControllerThread {
    pub(crate) clock: Clock,
    pub(crate) configuration: Arc<ArcSwapOption<VersionedDocument>>,
    pub(crate) controller: Controller,
    /// Crashes to be kept in the store.
    pub(crate) crashes: flume::Sender<Vec<Crash>>,
    pub(crate) events: flume::Receiver<ControllerMessage>,
    pub(crate) fetches: flume::Sender<FetchJob>,
    pub(crate) statistics: Arc<Mutex<RequestStatistics>>,
    pub(crate) logger: Logger,
    pub(crate) metrics: HostMetrics,
    /// Sends notes to other hosts; `None` outside an installation.
    pub(crate) notes: Option<NoteSender>,
    pub(crate) peer_jobs: flume::Sender<PeerJob>,
    pub(crate) platform_jobs: flume::Sender<PlatformJob>,
    pub(crate) probes: flume::Sender<ProbeJob>,
    pub(crate) read_configuration: Arc<Notify>,
    pub(crate) status: Arc<ArcSwap<HostStatus>>,
    /// Maximum time between the stop message and the end of the thread; `None` for no limit.
    pub(crate) stop_timeout: Option<Duration>,
    /// Requests to the directory to confirm the list of upstreams.
    pub(crate) unconfirmed_upstreams: flume::Sender<()>,
    /// Responses that are buffered until their callers read them.
    pub(crate) unread: UnreadAnswers,
    /// Usage counts of this host, if this host collects the counts of all hosts.
    pub(crate) usage: flume::Sender<UsageNote>,
}

/// A request that has not ended.
struct PendingRequest {
    instructions: mpsc::Sender<Instruction>,
    /// Request id that appears in logs and is known to the caller.
    id: String,
}

/// State of the running controller thread.
struct ControllerLoop {
    actions: Vec<Action>,
    requests: HashMap<RequestId, PendingRequest>,
    decision_log: DecisionLog,
    /// Reply channels of heartbeats that the controller has not answered yet, by call id.
    heartbeat_replies: HashMap<u64, oneshot::Sender<HeartbeatAnswer>>,
    next_call_id: u64,
    /// Reply channels of transit requests that the controller has not answered yet, by call id.
    transit_replies: HashMap<u64, oneshot::Sender<Option<SocketAddr>>>,
    /// Settlements that did not fit into the platform thread's channel. They are never dropped: a
    /// lost settlement would leave its idempotency key unresolved forever.
    unsent_settlements: VecDeque<Settlement>,
    /// Version of the slot shares that the host status was last built from.
    published_shares_version: u64,
    /// Time by which the thread must end, once a stop has been requested; `None` for no limit.
    stop_deadline: Option<Instant>,
    stopping: bool,
    thread: ControllerThread,
}

impl ControllerThread {
    pub(crate) fn spawn(self) -> eyre::Result<JoinHandle<eyre::Result<()>>> {
        std::thread::Builder::new()
            .name("controller".to_string())
            .spawn(move || {
                let metrics = self.metrics.clone();
                let controller_loop = ControllerLoop {
                    actions: Vec::new(),
                    requests: HashMap::default(),
                    decision_log: DecisionLog::new(self.logger.clone()),
                    heartbeat_replies: HashMap::default(),
                    next_call_id: 0,
                    transit_replies: HashMap::default(),
                    unsent_settlements: VecDeque::new(),
                    published_shares_version: 0,
                    stop_deadline: None,
                    stopping: false,
                    thread: self,
                };
                metrics.with_recorder(|| controller_loop.run());
                Ok(())
            })
            .wrap_err("cannot start the controller thread")
    }
}

impl ControllerLoop {
    fn run(mut self) {
        let mut next_tick = Instant::now();
        let mut next_publish = Instant::now();
        let mut next_time_of_day = Instant::now();
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            match self.thread.events.recv_timeout(wait) {
                Ok(message) => self.handle_message(message),
                Err(flume::RecvTimeoutError::Timeout) => {}
                Err(flume::RecvTimeoutError::Disconnected) => return,
            }
            if Instant::now() >= next_tick {
                self.handle(Event::Ticked);
                self.send_settlements();
                let idle = self.thread.controller.is_idle();
                next_tick = Instant::now()
                    + if idle {
                        IDLE_TICK_INTERVAL
                    } else {
                        TICK_INTERVAL
                    };
            }
            if Instant::now() >= next_time_of_day {
                self.handle(Event::TimeOfDay { unix_ms: unix_ms() });
                next_time_of_day = Instant::now() + TIME_OF_DAY_INTERVAL;
            }
            if Instant::now() >= next_publish {
                self.publish_status();
                next_publish = Instant::now() + PUBLISH_INTERVAL;
            }
            let all_settled = self.unsent_settlements.is_empty();
            // In an installation, the drain time has passed by the deadline, and remaining requests
            // can no longer be served.
            let is_overdue = self
                .stop_deadline
                .is_some_and(|stop_deadline| Instant::now() >= stop_deadline);
            if self.stopping && all_settled && (is_overdue || self.thread.controller.is_idle()) {
                info!(self.thread.logger, "controller: stopped");
                return;
            }
        }
    }

    fn handle_message(&mut self, message: ControllerMessage) {
        match message {
            ControllerMessage::Arrived(arrival, id, instructions) => {
                self.requests
                    .insert(arrival.request, PendingRequest { instructions, id });
                self.handle(Event::Arrived(arrival));
            }
            ControllerMessage::TransitRequested(upstream, reply) => {
                let call = self.new_call_id();
                self.transit_replies.insert(call, reply);
                self.handle(Event::TransitRequested { call, upstream });
            }
            ControllerMessage::HeartbeatReceived(heartbeat, reply) => {
                let call = self.new_call_id();
                self.heartbeat_replies.insert(call, reply);
                self.handle(Event::HeartbeatReceived { call, heartbeat });
            }
            ControllerMessage::Event(event) => {
                self.log_event(&event);
                self.handle(event);
            }
            ControllerMessage::Rejected { id, reason } => {
                let now = self.thread.clock.now();
                let context = self.decision_context(now);
                self.decision_log.log_rejected(now, &id, &reason, &context);
            }
            ControllerMessage::ResponseRejected(request, upstream, response) => {
                if let Some(pending) = self.requests.get(&request) {
                    let now = self.thread.clock.now();
                    self.decision_log
                        .log_rejected_response(now, &pending.id, &upstream, &response);
                }
            }
            ControllerMessage::Stop => {
                self.stopping = true;
                self.stop_deadline = self
                    .thread
                    .stop_timeout
                    .map(|timeout| Instant::now() + timeout);
            }
        }
    }

    const fn new_call_id(&mut self) -> u64 {
        let call = self.next_call_id;
        self.next_call_id += 1;
        call
    }

    fn handle(&mut self, event: Event) {
        let before = self.thread.controller.version();
        let new_configuration = match &event {
            Event::ConfigurationRead(numbered) => Some(Arc::clone(numbered)),
            _ => None,
        };
        let now = self.thread.clock.now();
        let mut actions = std::mem::take(&mut self.actions);
        self.thread.controller.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
        let version = self.thread.controller.version();
        if version != before {
            self.thread.configuration.store(new_configuration);
            let version = version.unwrap_or_default();
            info!(self.thread.logger, "controller: configuration in force"; "version" => %version);
            gauge!("rhubarbcove_configuration_version").set(version.get() as f64);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Abandon { attempt, request } => {
                self.instruct(request, Instruction::Abandon(attempt));
            }
            Action::AnswerHeartbeat { answer, call } => {
                if let Some(sender) = self.heartbeat_replies.remove(&call) {
                    let _ = sender.send(answer);
                }
            }
            Action::AnswerTransit {
                call,
                upstream_address: to,
            } => {
                if let Some(sender) = self.transit_replies.remove(&call) {
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
            // The request task that detects the disconnected caller closes the stream itself.
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
            // A full channel means that a fetch is already pending.
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
            // Fails if such a request is already waiting.
            Action::ConfirmUpstreams => {
                let _ = self.thread.unconfirmed_upstreams.try_send(());
            }
            // The channel is full only after a long outage of the store. Other hosts receive the
            // crashes directly.
            Action::StoreCrashes(crashes) => {
                if self.thread.crashes.try_send(crashes).is_err() {
                    warn!(self.thread.logger, "crashes: not kept in the store");
                }
            }
            Action::NoteBrittleness(noted) => {
                let now = self.thread.clock.now();
                self.decision_log.log_rejection_limit(now, &noted);
            }
            Action::NoteAdmission(noted) => {
                let now = self.thread.clock.now();
                self.decision_log.log_admission_change(now, &noted);
            }
            Action::NoteCrash(noted) => {
                let now = self.thread.clock.now();
                self.decision_log.log_crash(now, &noted);
            }
            Action::NoteLeaving(noted) => {
                let now = self.thread.clock.now();
                self.decision_log.log_leaving(now, &noted);
            }
            Action::NoteLimit(noted) => {
                let now = self.thread.clock.now();
                self.decision_log.log_limit_change(now, &noted);
            }
            Action::NotePathChange(noted) => {
                let now = self.thread.clock.now();
                self.decision_log.log_path_change(now, &noted);
            }
            Action::NoteSpeed(noted) => {
                let now = self.thread.clock.now();
                self.decision_log.log_speed_change(now, &noted);
            }
            Action::NoteTakenUp(noted) => {
                let now = self.thread.clock.now();
                if let Some(pending) = self.requests.get(&noted.request) {
                    self.decision_log.log_taken_up(now, &pending.id, &noted);
                }
            }
            Action::Probe {
                address,
                path,
                paths,
                upstream,
            } => self.probe(address, paths, ProbeKind::Health(path), upstream),
            Action::ReadConfiguration => self.thread.read_configuration.notify_one(),
            Action::Record(outcome) => self.finish_request(&outcome),
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
                if let Some(pending) = self.requests.get(&request) {
                    self.decision_log.log_sent(now, &pending.id, &order);
                    request_metrics::record_fetch(&order);
                    let _ = pending
                        .instructions
                        .try_send(Instruction::Send(Box::new(order)));
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
            Action::SendStreamNote { note, to } => {
                if let Some(sender) = &self.thread.notes {
                    sender.send_stream_note(&note, &to);
                }
            }
            Action::SendUpstreamNote { note, to } => {
                if let Some(sender) = &self.thread.notes {
                    sender.send_upstream_note(&note, &to);
                }
            }
            Action::SendUsageNote { note, to } => self.send_usage(note, to),
            Action::SendVersionNote { note, to } => {
                if let Some(sender) = &self.thread.notes {
                    sender.send_version_note(&note, &to);
                }
            }
        }
    }

    fn send_usage(&self, note: UsageNote, to: Option<SocketAddr>) {
        let unix_ms = unix_ms();
        let note = UsageNote { unix_ms, ..note };
        match (to, &self.thread.notes) {
            (Some(to), Some(sender)) => sender.send_usage_note(&note, to),
            (Some(_), None) => {}
            // A full channel drops the note; the next note repeats all counts.
            (None, _) => {
                let _ = self.thread.usage.try_send(note);
            }
        }
    }

    fn instruct(&mut self, request: RequestId, instruction: Instruction) {
        if let Some(pending) = self.requests.get(&request) {
            let _ = pending.instructions.try_send(instruction);
        }
    }

    /// Logs details of an event that the request's outcome does not contain.
    fn log_event(&mut self, event: &Event) {
        let now = self.thread.clock.now();
        match event {
            Event::AttemptEnded { end, request, .. } => {
                if let Some(pending) = self.requests.get(request) {
                    let upstream = self.thread.controller.upstream_of(*request);
                    self.decision_log
                        .log_attempt_failure(now, &pending.id, upstream, end);
                }
            }
            Event::NoticeAnswered {
                notice, upstream, ..
            } => self.decision_log.log_upstream_notice(now, upstream, notice),
            Event::PathsTried {
                attempts: tries,
                upstream,
                ..
            } => {
                self.decision_log.log_path_attempts(now, upstream, tries);
            }
            _ => {}
        }
    }

    /// Counts and logs the outcome of a request and removes the request.
    fn finish_request(&mut self, outcome: &Outcome) {
        self.record_outcome(outcome);
        let Some(pending) = self.requests.remove(&outcome.request) else {
            return;
        };
        let now = self.thread.clock.now();
        let context = self.decision_context(now);
        self.decision_log
            .log_end(now, &pending.id, outcome, &context);
    }

    fn decision_context(&self, now: Time) -> DecisionContext {
        let controller = &self.thread.controller;
        DecisionContext {
            config_age: controller.config_age(now),
            queued: controller.queued(),
            version: controller.version(),
        }
    }

    fn claim(&mut self, claim: ClaimRequest) {
        let request = claim.request;
        if self
            .thread
            .platform_jobs
            .try_send(PlatformJob::Claim(claim))
            .is_err()
        {
            // No claim was written, so the request must not be sent to an upstream.
            let answer = ClaimResult::Unknown;
            self.handle(Event::ClaimAnswered { answer, request });
        }
    }

    fn settle(&mut self, settlement: Settlement) {
        self.unsent_settlements.push_back(settlement);
        self.send_settlements();
    }

    fn send_settlements(&mut self) {
        while let Some(settlement) = self.unsent_settlements.pop_front() {
            let job = PlatformJob::Settle(settlement);
            match self.thread.platform_jobs.try_send(job) {
                Ok(()) => {}
                Err(flume::TrySendError::Full(PlatformJob::Settle(settlement))) => {
                    self.unsent_settlements.push_front(settlement);
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
        // Only one heartbeat is in flight at a time, so the channel cannot be full.
        let _ = self.thread.peer_jobs.try_send(job);
    }

    /// Queues a probe. If the channel is full, the probe is dropped, and the controller judges the
    /// upstream by other signals.
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

    fn record_outcome(&mut self, outcome: &Outcome) {
        request_metrics::record(outcome);
        let mut statistics = self
            .thread
            .statistics
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        statistics.record(self.thread.clock.now(), outcome);
    }

    /// Updates the gauges and, if it changed, the host status.
    fn publish_status(&mut self) {
        let controller = &self.thread.controller;
        gauge!("rhubarbcove_queued").set(controller.queued() as f64);
        gauge!("rhubarbcove_known_streams").set(controller.known_streams() as f64);
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
        self.decision_log.log_dropped_lines(now);
        let before = self.thread.status.load();
        let shares = controller.shares_version();
        let home = if std::mem::replace(&mut self.published_shares_version, shares) == shares {
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
            self.decision_log.log_status_changes(now, &before, &after);
            self.thread.status.store(Arc::new(after));
        }
    }
}

/// Unix time in milliseconds by this host's wall clock.
fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
