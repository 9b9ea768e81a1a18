use super::*;

/// Builder for a test site.
pub struct SiteBuilder {
    document: Value,
    engine: EngineOptions,
    engines: usize,
    hosts: usize,
    settings: Vec<SettingsEdit>,
    services: Vec<String>,
}

/// An edit of a host's settings, applied before the host starts.
type SettingsEdit = Box<dyn FnOnce(&mut Settings)>;

impl SiteBuilder {
    pub fn new(engines: usize) -> Self {
        Self {
            document: json!({
                "classes": {
                    "question": {
                        "tier": 0, "first_token_target_ms": 500,
                        "between_token_target_ms": 50, "deadline_ms": 10_000,
                    },
                    "order": {
                        "tier": 1, "first_token_target_ms": 500,
                        "between_token_target_ms": 50, "deadline_ms": 10_000,
                        "idempotent": false,
                    },
                    "description": {
                        "tier": 4, "first_token_target_ms": 5_000,
                        "between_token_target_ms": 200, "deadline_ms": 60_000,
                    },
                },
                "format": 1,
                "services": {},
                "teams": {
                    "shop": team("shop", "paid", &["question", "order", "description"]),
                    "guild": team("guild", "paid", &["question", "order", "description"]),
                    "visitors": team("visitors", "trial", &["description"]),
                },
                "trial": {"max_slot_share": 0.5, "most_urgent_tier": 4},
                "upstreams": {},
            }),
            engine: EngineOptions {
                token_time_us: 1_000,
                ..EngineOptions::default()
            },
            engines,
            hosts: 1,
            services: Vec::new(),
            settings: Vec::new(),
        }
    }

    /// Sets the number of hosts, all in one failure domain.
    pub fn and_hosts(mut self, hosts: usize) -> Self {
        self.hosts = hosts;
        self
    }

    /// Adds a non-idempotent service with one replica.
    pub fn and_service(mut self, name: &str) -> Self {
        self.services.push(name.to_string());
        self.document["services"][name] = json!({"idempotent": false});
        self
    }

    pub fn engine_options(mut self, edit: impl FnOnce(&mut EngineOptions)) -> Self {
        edit(&mut self.engine);
        self
    }

    pub fn settings(mut self, edit: impl FnOnce(&mut Settings) + 'static) -> Self {
        self.settings.push(Box::new(edit));
        self
    }

    pub fn document(mut self, edit: impl FnOnce(&mut Value)) -> Self {
        edit(&mut self.document);
        self
    }

    pub async fn start(self) -> Site {
        let mut site = self.start_without_configuration().await;
        let document = std::mem::take(&mut site.1);
        let document = Document::from_value(document).unwrap();
        site.0.store().create(document).await.unwrap();
        let (mut site, hosts) = (site.0, site.2);
        site.start_host().await;
        for number in 1..hosts {
            let host = site.start_numbered(number).await;
            site.others.push(Some(host));
        }
        site.list_hosts();
        site
    }

    async fn start_without_configuration(mut self) -> (Site, Value, usize) {
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let log = RunLog::default();
        let platform = PlatformStandin::start(any).await.unwrap();
        let mut engines = Vec::new();
        for number in 0..self.engines {
            let name = format!("engine-{number}");
            let engine = EngineStandin::start(any, &name, self.engine.clone(), log.clone())
                .await
                .unwrap();
            self.document["upstreams"][&name] = json!({
                "kind": "engine", "address": engine.address(), "failure_domain": "north-a",
                "models": ["small"], "queue_bound": self.engine.queue_bound,
                "resumes": true, "slots": self.engine.slots,
            });
            engines.push(engine);
        }
        let mut services = Vec::new();
        for name in &self.services {
            let service = ServiceStandin::start(any, name, log.clone()).await.unwrap();
            self.document["upstreams"][format!("{name}-0")] = json!({
                "kind": "service", "address": service.address(), "failure_domain": "north-a",
                "service": name, "slots": 8,
            });
            services.push(service);
        }
        let mut settings = Settings {
            balancer_pause_ms: 0,
            caller_address: any,
            caller_threads: 1,
            failure_domain: "north-a".parse().unwrap(),
            host: "host-0".parse().unwrap(),
            limits: config::Limits::default(),
            metrics_address: None,
            operator_address: any,
            operator_token: OPERATOR_TOKEN.to_string(),
            peer_address: any,
            peer_token: "peer-token-of-all-tests".to_string(),
            platform_address: platform.address(),
            relay: None,
        };
        for edit in self.settings {
            edit(&mut settings);
        }
        let site = Site {
            engines,
            host: None,
            log,
            others: Vec::new(),
            platform,
            services,
            settings,
        };
        (site, self.document, self.hosts)
    }
}

fn team(name: &str, plan: &str, classes: &[&str]) -> Value {
    json!({
        "classes": classes,
        "default_class": classes[classes.len() - 1],
        "key_sha256": KeyHash::of_key(&format!("{name}-key")),
        "max_concurrent": 1_000,
        "max_requests_per_s": 10_000.0,
        "plan": plan,
    })
}
