//! Drives the controllers of hosts without a network. Provides a configuration with teams and
//! request classes, a directory of engines and service replicas, and the exchange of load notes.

use {
    config::{Document, Engine, ServiceReplica, Upstream, VersionedDocument},
    peer::{LoadNote, PeerHost},
    policy::{
        Action, Arrival, AttemptEnd, Controller, ControllerOptions, Event, Refusal, RelayRules,
        Repeatability, RoutedRequest, SendOrder, SlotRules, Target,
    },
    serde_json::json,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    types::prelude::*,
};

/// Maximum time for which hosts in the tests may accept a key after its removal.
pub const KEY_KNOWLEDGE_LIMIT: Duration = Duration::from_secs(4);

/// Maximum time for which a host may apply a configuration version that it knows to be outdated.
pub const APPLY_LIMIT: Duration = Duration::from_secs(2);

pub const ENGINES: usize = 3;

/// Default time limit of requests.
pub const TIME_LIMIT: Duration = Duration::from_secs(8);

/// Length of the windows in which hosts count requests for usage reports.
pub const USAGE_WINDOW: Duration = Duration::from_secs(5);

/// Retries that all hosts together may make in addition to the retry ratio.
pub const RETRY_EXTRA: u32 = 42;

/// A controller with its virtual clock.
pub struct Host {
    /// Actions of all events so far, until a test takes them.
    pub actions: Vec<Action>,
    pub controller: Controller,
    pub now: Time,
    next_request: u64,
}

/// A request that a test sends to a host.
pub struct TestRequest {
    /// `None` stands for a body that differs from those of all other requests.
    pub body: Option<String>,
    pub class: &'static str,
    pub key: &'static str,
    /// Whether the route accepts requests without a key.
    pub public: bool,
    pub parts: Vec<PromptPart>,
    /// Stream that the caller takes up.
    pub resumed_stream: Option<StreamId>,
    pub target: Target,
    pub time_limit: Duration,
}

impl TestRequest {
    /// A prompt for the engines. Parts are pairs of an id and a number of tokens.
    pub fn prompt(class: &'static str, key: &'static str, parts: &[(u64, u32)]) -> Self {
        Self {
            body: None,
            class,
            key,
            public: false,
            parts: parts
                .iter()
                .map(|(id, tokens)| PromptPart {
                    id: *id,
                    tokens: Tokens::new(*tokens),
                })
                .collect(),
            resumed_stream: None,
            target: Target::Model("pool".parse().unwrap()),
            time_limit: TIME_LIMIT,
        }
    }

    pub fn call(class: &'static str) -> Self {
        Self {
            body: None,
            class,
            key: "shop-key",
            public: false,
            parts: Vec::new(),
            resumed_stream: None,
            target: Target::Service("shop".parse().unwrap()),
            time_limit: TIME_LIMIT,
        }
    }
}

impl TestRequest {
    /// A service call on a route that accepts requests without a key.
    pub fn public_call(class: &'static str) -> Self {
        Self {
            public: true,
            ..Self::call(class)
        }
    }
}

impl Host {
    /// Returns a host in `north-a` that has read the configuration and the directory.
    pub fn new(number: u64) -> Self {
        Self::new_in("north-a", number)
    }

    /// Like [`Self::new`], in the given failure domain.
    pub fn new_in(domain: &str, number: u64) -> Self {
        let mut host = Self {
            actions: Vec::new(),
            controller: Controller::new(ControllerOptions {
                failure_domain: domain.parse().unwrap(),
                host: format!("host-{number}").parse().unwrap(),
                incarnation: Incarnation::new(number),
                max_queued: 1_000,
                relay: Some(RelayRules {
                    apply_limit: APPLY_LIMIT,
                    first_start: false,
                    key_knowledge_limit: KEY_KNOWLEDGE_LIMIT,
                    retry_extra: RETRY_EXTRA,
                    retry_ratio: 0.2,
                    retry_window: Duration::from_secs(10),
                    usage_window: Some(USAGE_WINDOW),
                }),
                slot_rules: SlotRules::default(),
                seed: number,
            }),
            next_request: 0,
            now: Time::from_ms(1_000),
        };
        host.read_version(1);
        let as_of = host.now;
        host.handle(Event::ConfigurationConfirmed { as_of });
        host.read_directory(upstreams(), &[]);
        host.list_hosts(7);
        host
    }

    /// Gives the host a peer list of `count` hosts.
    pub fn list_hosts(&mut self, count: usize) {
        let peers = (0..count).map(|number| PeerHost {
            address: address(number),
            failure_domain: "north-a".parse().unwrap(),
            host: format!("host-{number}").parse().unwrap(),
            leaving: false,
        });
        let peers: Vec<PeerHost> = peers.collect();
        self.handle(Event::PeersListed {
            total_hosts: Some(peers.len()),
            peers,
        });
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.controller.handle(self.now, event, &mut actions);
        self.actions.extend(actions.iter().cloned());
        actions
    }

    pub fn read_version(&mut self, version: u64) {
        self.handle(Event::ConfigurationRead(Arc::new(VersionedDocument {
            document: document(),
            version: ConfigVersion::new(version),
        })));
    }

    pub fn read_directory(&mut self, upstreams: BTreeMap<UpstreamId, Upstream>, leaving: &[&str]) {
        let leaving = leaving.iter().map(|id| id.parse().unwrap()).collect();
        self.handle(Event::DirectoryRead {
            common: None,
            leaving,
            upstreams,
        });
    }

    /// Makes the directory unavailable to the host for a time.
    pub fn lose_directory(&mut self, ms: u64) {
        self.handle(Event::DirectoryLost);
        self.advance(ms);
        let at = self.now;
        self.handle(Event::DirectoryRegained { at });
    }

    /// Sets the id of the next request; later requests count on from there.
    pub fn set_next_request_id(&mut self, to: u64) {
        self.next_request = to;
    }

    /// Advances the clock in steps of 10 ms, with a tick of the controller at each step.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now.plus_ms(ms);
        while self.now < end {
            self.now = self.now.plus_ms(10);
            self.handle(Event::Ticked);
        }
    }

    /// Sends a request. Returns its id and the actions that the controller took immediately.
    pub fn ask(&mut self, test_request: TestRequest) -> (RequestId, Vec<Action>) {
        let request = RequestId::new(self.next_request);
        self.next_request += 1;
        let unique_body = request.to_string();
        let body = test_request.body.unwrap_or(unique_body);
        let actions = self.handle(Event::Arrived(Arrival {
            class: Some(test_request.class.parse().unwrap()),
            fingerprint: Fingerprint::of_request("POST", test_request.class, body.as_bytes()),
            key_hash: Some(KeyHash::of_key(test_request.key)),
            max_output: None,
            prefix: None,
            prompt_tokens: Tokens::default(),
            repeatability: Repeatability::AsConfigured,
            request,
            routed: Some(RoutedRequest {
                parts: test_request.parts,
                public: test_request.public,
                resumed_stream: test_request.resumed_stream,
                stream: test_request
                    .resumed_stream
                    .unwrap_or_else(|| self.stream_of(request)),
                time_limit: Some(test_request.time_limit),
            }),
            target: test_request.target,
        }));
        (request, actions)
    }

    /// The stream that begins with a request of this host.
    pub fn stream_of(&self, request: RequestId) -> StreamId {
        StreamId::of_attempt(&format!("{}/{request}", self.controller.host()))
    }

    /// Reports that an attempt failed.
    pub fn fail(
        &mut self,
        order: &SendOrder,
        request: RequestId,
        cause: FailureCause,
        verdict: Verdict,
        delivered: bool,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded {
            attempt: order.attempt,
            end: AttemptEnd::Failed {
                cause,
                delivered,
                tokens: Tokens::default(),
                verdict,
            },
            request,
        })
    }

    /// Reports that the response of an attempt is complete.
    pub fn finish(&mut self, order: &SendOrder, request: RequestId) {
        self.handle(Event::AttemptEnded {
            attempt: order.attempt,
            end: AttemptEnd::Completed {
                response: None,
                longest_pause: Duration::ZERO,
                tokens: Tokens::default(),
            },
            request,
        });
    }

    /// Takes all recorded actions, and returns the load notes that the host sent last.
    pub fn take_notes(&mut self) -> Vec<(SocketAddr, LoadNote)> {
        let actions = std::mem::take(&mut self.actions);
        let mut notes = actions.into_iter().filter_map(|action| match action {
            Action::SendLoadNotes { notes } => Some(notes),
            _ => None,
        });
        notes.next_back().unwrap_or_default()
    }
}

/// Returns the first order to send an attempt.
pub fn sent(actions: &[Action]) -> Option<SendOrder> {
    actions.iter().find_map(|action| match action {
        Action::Send { order, .. } => Some(order.clone()),
        _ => None,
    })
}

/// Returns the first refusal, before or within a response stream.
pub fn refused(actions: &[Action]) -> Option<Refusal> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { refusal, .. } | Action::FailStream { refusal, .. } => Some(*refusal),
        _ => None,
    })
}

pub fn address(number: usize) -> SocketAddr {
    let (high, low) = (number / 250, number % 250 + 1);
    format!("10.0.{high}.{low}:80").parse().unwrap()
}

/// Returns engines in `north-a`.
pub fn engines(count: usize) -> BTreeMap<UpstreamId, Upstream> {
    engines_in_domains(&["north-a"], count)
}

/// Returns `each` engines for each of the failure domains, numbered domain by domain.
pub fn engines_in_domains(domains: &[&str], each: usize) -> BTreeMap<UpstreamId, Upstream> {
    let engines = (0..domains.len() * each).map(|number| {
        let engine = Engine {
            address: address(number),
            checks_fence: false,
            failure_domain: domains[number / each].parse().unwrap(),
            health_path: "/health".to_string(),
            link: None,
            memory: Some(Tokens::new(900_000)),
            models: BTreeSet::from(["pool".parse().unwrap()]),
            prompt_token_bytes: None,
            queue_bound: 64,
            resumes: false,
            slots: 128,
            software_version: None,
        };
        let id = format!("engine-{number}").parse().unwrap();
        (id, Upstream::Engine(engine))
    });
    engines.collect()
}

/// Returns [`ENGINES`] engines and three replicas of the service `shop`.
pub fn upstreams() -> BTreeMap<UpstreamId, Upstream> {
    let mut upstreams = engines(ENGINES);
    for number in 0..3 {
        let replica = ServiceReplica {
            address: address(100 + number),
            failure_domain: "north-a".parse().unwrap(),
            health_path: "/health".to_string(),
            service: "shop".parse().unwrap(),
            slots: 6,
            software_version: None,
        };
        let id = format!("shop-{number}").parse().unwrap();
        upstreams.insert(id, Upstream::Service(replica));
    }
    upstreams
}

fn document() -> Document {
    let class = |tier: u8, idempotent: bool, resumable: bool, max_attempts: u32| {
        let pause_target_ms = [250, 400, 1_000][usize::from(tier)];
        json!({
            "between_token_target_ms": 1_000, "deadline_ms": 8_000,
            "first_token_target_ms": 500, "idempotent": idempotent,
            "max_attempts": max_attempts, "pause_target_ms": pause_target_ms,
            "resumable": resumable, "tier": tier,
        })
    };
    let team = |key: &str, tier: u8| {
        json!({
            "classes": ["draft"], "default_class": "draft",
            "key_sha256": KeyHash::of_key(key), "max_concurrent": 100_000,
            "max_requests_per_s": 1_000_000.0, "plan": "paid", "tier": tier,
        })
    };
    Document::from_value(json!({
        "format": 1,
        "classes": {
            "question": class(0, false, false, 1),
            "draft": class(1, true, true, 2),
            "summary": class(2, false, false, 1),
            "lookup": class(2, true, false, 2),
            "order": class(2, false, false, 1),
            "payment": class(2, false, false, 2),
        },
        "services": {
            "pool": { "engine": true, "idempotent": true },
            "shop": { "idempotent": true },
        },
        "teams": { "first": team("first-key", 0), "shop": team("shop-key", 1) },
        "trial": { "max_slot_share": 1.0, "most_urgent_tier": 0 },
        "upstreams": {},
    }))
    .unwrap()
}

/// An idempotent service call, which may be retried.
pub fn lookup() -> TestRequest {
    TestRequest::call("lookup")
}

/// A service call that must not run twice.
pub fn order() -> TestRequest {
    TestRequest::call("order")
}

/// Delivers the load notes that hosts sent to each other.
pub fn exchange_notes(hosts: &mut [Host]) {
    let hosts_listed = hosts.len();
    for from in 0..hosts.len() {
        hosts[from].list_hosts(hosts_listed);
        for (to, note) in hosts[from].take_notes() {
            let to = (0..hosts.len()).find(|number| address(*number) == to);
            let from = address(from);
            if let Some(to) = to {
                hosts[to].handle(Event::LoadNoteReceived { from, note });
            }
        }
    }
}
