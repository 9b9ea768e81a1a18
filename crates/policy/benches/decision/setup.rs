use super::*;

/// Slots of each upstream.
pub const SLOTS: u32 = 4;

/// Number of models, spread evenly over the upstreams.
const MODELS: usize = 8;

#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub queued: usize,
    pub teams: usize,
    pub upstreams: usize,
}

pub fn controller(size: Size) -> Controller {
    let mut controller = Controller::new(ControllerOptions {
        failure_domain: "a".parse().unwrap(),
        host: "host-0".parse().unwrap(),
        incarnation: Incarnation::new(1),
        max_queued: usize::MAX,
        relay: None,
        slot_rules: SlotRules::default(),
        seed: 1,
    });
    let versioned = Arc::new(VersionedDocument {
        document: document(size.upstreams, size.teams),
        version: ConfigVersion::new(1),
    });
    let event = Event::ConfigurationRead(versioned);
    controller.handle(Time::default(), event, &mut Vec::new());
    controller
}

pub fn document(upstreams: usize, teams: usize) -> Document {
    let classes: Map<_, _> = (0..6)
        .map(|tier| {
            let class = json!({
                "between_token_target_ms": 27, "deadline_ms": 86_400_000,
                "first_token_target_ms": 660_000, "tier": tier,
            });
            (format!("class-{tier}"), class)
        })
        .collect();
    let names: Vec<String> = (0..6).map(|tier| format!("class-{tier}")).collect();
    let teams: Map<_, _> = (0..teams)
        .map(|number| {
            let team = json!({
                "classes": names, "default_class": "class-0",
                "key_sha256": KeyHash::of_key(&number.to_string()),
                "max_concurrent": 1_000_000, "max_requests_per_s": 1e9, "plan": "paid",
            });
            (format!("team-{number}"), team)
        })
        .collect();
    let upstreams: Map<_, _> = (0..upstreams)
        .map(|number| {
            let engine = json!({
                "kind": "engine", "address": format!("10.{}.{}.1:8000", number / 250, number % 250),
                "failure_domain": "a", "models": [model(number)], "queue_bound": 4,
                "resumes": true, "slots": SLOTS,
            });
            (format!("engine-{number:04}"), engine)
        })
        .collect();
    Document::from_value(json!({
        "classes": classes, "format": 1, "teams": teams, "upstreams": upstreams,
        "trial": {"max_slot_share": 0.5, "most_urgent_tier": 4},
    }))
    .unwrap()
}

fn model(number: usize) -> String {
    format!("model-{}", number % MODELS)
}

pub fn arrival(number: usize, teams: usize) -> Arrival {
    Arrival {
        class: Some(format!("class-{}", number % 6).parse().unwrap()),
        fingerprint: Fingerprint::of_request("POST", "/", b""),
        key_hash: Some(KeyHash::of_key(&(number % teams).to_string())),
        max_output: None,
        prefix: None,
        prompt_tokens: Tokens::new(100),
        repeatability: Repeatability::AsConfigured,
        request: RequestId::new(number as u64),
        routed: None,
        target: Target::Model(model(number / 6).parse().unwrap()),
    }
}

pub fn peer_host(number: usize) -> PeerHost {
    PeerHost {
        address: format!("10.9.0.{number}:8082").parse().unwrap(),
        failure_domain: "a".parse().unwrap(),
        host: format!("host-{number}").parse().unwrap(),
        leaving: false,
    }
}

/// The heartbeat of a host with demand in every tier for every model.
pub fn heartbeat(number: usize, round: usize) -> Heartbeat {
    let demand = |model: usize| Demand {
        by_tier: [0, 1, 2, 3, 4, 5].map(|tier| ((number + round + model + tier) % 7) as u32),
    };
    let demand: BTreeMap<String, Demand> = (0..MODELS)
        .map(|model| (format!("model model-{model}"), demand(model)))
        .collect();
    Heartbeat {
        demand,
        failure_domain: "a".parse().unwrap(),
        host: format!("host-{number}").parse().unwrap(),
        incarnation: Incarnation::new(number as u64),
        leaving: Vec::new(),
        phase: PeerPhase::Serving,
        protocol: peer::PROTOCOL,
        version: Some(ConfigVersion::new(1)),
    }
}

/// Adds routes with one class each to the document, and spreads its teams over three tiers.
pub fn with_routes(mut document: Document, count: usize) -> Document {
    for (number, team) in document.teams.values_mut().enumerate() {
        team.tier = Tier::new(number as u8 % 3);
    }
    let class = document.classes.values().next().unwrap().clone();
    let mut routes = BTreeMap::new();
    for number in 0..count {
        let class_id: ClassId = format!("route-{number}").parse().unwrap();
        let route = Route {
            class: class_id.clone(),
            hostname: format!("host-{}.example", number % crate::HOSTNAMES),
            prefix: format!("/route-{number}/"),
            public: false,
            services: Vec::new(),
        };
        document.classes.insert(class_id, class.clone());
        routes.insert(format!("route-{number}").parse().unwrap(), route);
    }
    document.routes = routes.into();
    document
}
