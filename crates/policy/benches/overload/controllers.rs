use super::*;

/// How heartbeats between the hosts of a benchmark are delivered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Peering {
    /// Heartbeats are answered without delay, except in the last 5 s of each 10 s, when
    /// the coordinator answers none.
    Frozen,
    /// No heartbeat is answered.
    Off,
    /// Heartbeats are answered without delay.
    On,
}

/// The router under test: one controller for each host.
pub struct Controllers {
    attempts: BTreeMap<usize, (usize, AttemptId)>,
    controllers: Vec<Controller>,
    engines: BTreeMap<UpstreamId, usize>,
    host_of: BTreeMap<usize, usize>,
    peering: Peering,
}

/// Length of each pause of a frozen coordinator, and of the time between two pauses.
const FREEZE_S: u64 = 5;

impl Controllers {
    pub fn new(site: &Site, rules: &SlotRules, peering: Peering, headroom: f64, seed: u64) -> Self {
        let versioned = Arc::new(VersionedDocument {
            document: class::document(site, headroom),
            version: ConfigVersion::new(1),
        });
        let hosts: Vec<PeerHost> = (0..site.hosts).map(peer_host).collect();
        let mut controllers = Vec::new();
        for number in 0..site.hosts {
            let mut controller = Controller::new(ControllerOptions {
                failure_domain: "a".parse().unwrap(),
                host: format!("host-{number}").parse().unwrap(),
                incarnation: Incarnation::new(number as u64),
                max_queued: 100_000,
                relay: None,
                slot_rules: rules.clone(),
                seed: seed * 1_000 + number as u64,
            });
            let mut actions = Vec::new();
            let read = Event::ConfigurationRead(Arc::clone(&versioned));
            controller.handle(Time::default(), read, &mut actions);
            let hosts = hosts.clone();
            controller.handle(Time::default(), Event::HostsListed { hosts }, &mut actions);
            controllers.push(controller);
        }
        let engines = (0..site.engines)
            .map(|number| (class::engine_name(number).parse().unwrap(), number))
            .collect();
        Self {
            attempts: BTreeMap::new(),
            controllers,
            engines,
            host_of: BTreeMap::new(),
            peering,
        }
    }

    fn handle(&mut self, now: Time, host: usize, event: Event) -> Vec<Start> {
        let mut actions = Vec::new();
        self.controllers[host].handle(now, event, &mut actions);
        let mut starts = Vec::new();
        for action in actions {
            match action {
                Action::Send { order, request } => {
                    let request = request.get() as usize;
                    self.attempts.insert(request, (host, order.attempt));
                    starts.push(Start {
                        engine: self.engines[&order.upstream],
                        priority: order.priority,
                        request,
                    });
                }
                Action::SendHeartbeat {
                    heartbeat,
                    host: coordinator,
                    ..
                } => {
                    let answer = self.deliver_heartbeat(now, &coordinator, heartbeat);
                    let event = Event::HeartbeatAnswered {
                        answer,
                        sent: now,
                        host: coordinator,
                    };
                    starts.extend(self.handle(now, host, event));
                }
                _ => {}
            }
        }
        starts
    }

    fn deliver_heartbeat(
        &mut self,
        now: Time,
        coordinator: &HostId,
        heartbeat: peer::Heartbeat,
    ) -> Option<peer::HeartbeatAnswer> {
        let frozen = now.as_us() / 1_000_000 / FREEZE_S % 2 == 1;
        if self.peering == Peering::Off || (self.peering == Peering::Frozen && frozen) {
            return None;
        }
        let number: usize = coordinator
            .as_str()
            .trim_start_matches("host-")
            .parse()
            .unwrap();
        let mut actions = Vec::new();
        let received = Event::HeartbeatReceived { call: 0, heartbeat };
        self.controllers[number].handle(now, received, &mut actions);
        actions.into_iter().find_map(|action| match action {
            Action::AnswerHeartbeat { answer, .. } => Some(answer),
            _ => None,
        })
    }

    fn end(&mut self, now: Time, request: usize, end: AttemptEnd) -> Vec<Start> {
        let Some((host, attempt)) = self.attempts.remove(&request) else {
            return Vec::new();
        };
        let event = Event::AttemptEnded {
            attempt,
            end,
            request: RequestId::new(request as u64),
        };
        self.handle(now, host, event)
    }
}

fn peer_host(number: usize) -> PeerHost {
    PeerHost {
        address: format!("127.0.0.1:{}", 20_000 + number).parse().unwrap(),
        failure_domain: "a".parse().unwrap(),
        host: format!("host-{number}").parse().unwrap(),
        leaving: false,
    }
}

impl BenchRouter for Controllers {
    fn arrive(&mut self, now: Time, request: usize, wanted: &BenchRequest) -> Vec<Start> {
        let class = &CLASSES[wanted.class];
        self.host_of.insert(request, wanted.host);
        let arrival = Arrival {
            class: Some(class.name.parse().unwrap()),
            fingerprint: Fingerprint::of_request("POST", "/", b""),
            key_hash: Some(KeyHash::of_key(if class.trial { "trial" } else { "paid" })),
            max_output: None,
            prefix: None,
            prompt_tokens: Tokens::default(),
            repeatability: Repeatability::AsConfigured,
            request: RequestId::new(request as u64),
            routed: None,
            target: Target::Model("small".parse().unwrap()),
        };
        self.handle(now, wanted.host, Event::Arrived(arrival))
    }

    fn ended(&mut self, now: Time, request: usize, tokens: u32) -> Vec<Start> {
        let tokens = Tokens::new(tokens.saturating_sub(1));
        let answer = None;
        self.end(
            now,
            request,
            AttemptEnd::Completed {
                response: answer,
                longest_pause: Duration::ZERO,
                tokens,
            },
        )
    }

    fn first_token(&mut self, now: Time, request: usize) {
        let (host, attempt) = self.attempts[&request];
        let event = Event::Progressed {
            attempt,
            longest_pause: Duration::ZERO,
            request: RequestId::new(request as u64),
            tokens: Tokens::new(1),
        };
        let mut actions = Vec::new();
        self.controllers[host].handle(now, event, &mut actions);
    }

    fn refused(&mut self, now: Time, request: usize) -> Vec<Start> {
        let end = AttemptEnd::Failed {
            cause: FailureCause::Busy,
            delivered: false,
            tokens: Tokens::default(),
            verdict: Verdict::NotRun,
        };
        self.end(now, request, end)
    }

    fn reported(&mut self, now: Time, loads: &[(u32, u32)]) -> Vec<Start> {
        let mut starts = Vec::new();
        for host in 0..self.controllers.len() {
            for (number, (running, waiting)) in loads.iter().enumerate() {
                let report = LoadReport {
                    age_ms: 250,
                    leaving: false,
                    running: *running,
                    waiting: *waiting,
                };
                let upstream = class::engine_name(number).parse().unwrap();
                let event = Event::LoadReported { report, upstream };
                starts.extend(self.handle(now, host, event));
            }
        }
        starts
    }

    fn tick(&mut self, now: Time) -> Vec<Start> {
        let hosts = 0..self.controllers.len();
        hosts
            .flat_map(|host| self.handle(now, host, Event::Ticked))
            .collect()
    }
}
