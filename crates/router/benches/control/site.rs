use super::*;

/// Size of a site, which is one failure domain.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub engines: usize,
    pub hosts: usize,
    pub teams: usize,
}

/// A site that gets no requests and counts the bytes of all its control traffic.
pub struct ControlSite {
    pub platform: PlatformStandin,
    counters: [Counter; 3],
    engines: Vec<EngineStandin>,
    hosts: Vec<Host<Serving>>,
    relayed_engines: Vec<SocketAddr>,
    relayed_platform: SocketAddr,
}

impl ControlSite {
    pub async fn start_upstreams(size: Size) -> Self {
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let counters = [(); 3].map(|()| Counter::default());
        let platform = PlatformStandin::start(any).await.unwrap();
        let relayed_platform = relay(platform.address(), Arc::clone(&counters[0])).await;
        let mut engines = Vec::new();
        let mut relayed_engines = Vec::new();
        for number in 0..size.engines {
            let options = EngineOptions {
                report_lag_ms: 1_000,
                ..EngineOptions::default()
            };
            let name = format!("engine-{number}");
            let engine = EngineStandin::start(any, &name, options, RunLog::default());
            let engine = engine.await.unwrap();
            relayed_engines.push(relay(engine.address(), Arc::clone(&counters[1])).await);
            engines.push(engine);
        }
        Self {
            counters,
            engines,
            hosts: Vec::new(),
            platform,
            relayed_engines,
            relayed_platform,
        }
    }

    pub async fn start_hosts(&mut self, size: Size) {
        let client = PlatformClient::new(self.platform.address(), Duration::from_secs(1));
        let store = ConfigStore::new(Arc::new(client));
        store.create(self.document(size)).await.unwrap();
        let mut listed = Vec::new();
        for number in 0..size.hosts {
            let settings = self.settings(number);
            let host = tokio::task::spawn_blocking(move || {
                Host::start(settings, router::discard_logger()).unwrap()
            });
            let host = host.await.unwrap();
            let status = host.status();
            listed.push(ListedHost {
                failure_domain: status.failure_domain,
                host: status.host,
                peer_address: relay(host.peer_address(), Arc::clone(&self.counters[2])).await,
                state: ListedState::Live,
            });
            self.hosts.push(host);
        }
        self.platform.set_hosts(listed);
    }

    fn settings(&self, number: usize) -> Settings {
        let text = format!(
            "balancer_pause_ms = 0\ncaller_address = \"127.0.0.1:0\"\nfailure_domain = \"a\"\n\
             host = \"host-{number}\"\noperator_address = \"127.0.0.1:0\"\n\
             operator_token = \"operator-token-of-bench\"\npeer_address = \"127.0.0.1:0\"\n\
             peer_token = \"peer-token-of-the-bench\"\nplatform_address = \"{}\"\n",
            self.relayed_platform
        );
        Settings::from_toml(&text).unwrap()
    }

    fn document(&self, size: Size) -> Document {
        let mut upstreams = Map::new();
        for (number, address) in self.relayed_engines.iter().enumerate() {
            let model = format!("model-{}", number % 8);
            let engine = json!({
                "kind": "engine", "address": address, "failure_domain": "a",
                "models": [model], "queue_bound": 8, "resumes": true, "slots": 16,
            });
            upstreams.insert(format!("engine-{number}"), engine);
        }
        let mut teams = Map::new();
        for number in 0..size.teams {
            let team = json!({
                "classes": ["class-0", "class-1"], "default_class": "class-0",
                "key_sha256": KeyHash::of_key(&number.to_string()), "max_concurrent": 100,
                "max_requests_per_s": 10.0, "plan": "paid",
            });
            teams.insert(format!("team-{number}"), team);
        }
        let classes: Map<String, Value> = (0..6)
            .map(|tier| {
                let class = json!({
                    "between_token_target_ms": 27, "deadline_ms": 60_000,
                    "first_token_target_ms": 660, "tier": tier,
                });
                (format!("class-{tier}"), class)
            })
            .collect();
        Document::from_value(json!({
            "classes": classes, "format": 1, "teams": teams,
            "trial": {"max_slot_share": 0.5, "most_urgent_tier": 4},
            "upstreams": upstreams,
        }))
        .unwrap()
    }

    /// Submits a patch based on a version. Returns, for each host, the time from the acceptance of
    /// the patch until it is in force.
    pub async fn patch(&self, base: u64) -> Vec<Duration> {
        let client = PlatformClient::new(self.platform.address(), Duration::from_secs(1));
        let store = ConfigStore::new(Arc::new(client));
        let share = 0.1 + base as f64 / 1_000.0;
        let operations =
            json!([{"op": "replace", "path": "/trial/max_slot_share", "value": share}]);
        let patch = Patch {
            author: "bench".to_string(),
            base: ConfigVersion::new(base),
            id: format!("patch-{base}"),
            operations: serde_json::from_value(operations).unwrap(),
        };
        let version = store.submit(&patch).await.unwrap();
        let accepted = std::time::Instant::now();
        let mut delays = vec![None; self.hosts.len()];
        while delays.contains(&None) {
            for (delay, host) in delays.iter_mut().zip(&self.hosts) {
                if delay.is_none() && host.status().version >= Some(version) {
                    *delay = Some(accepted.elapsed());
                }
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        delays.into_iter().flatten().collect()
    }

    /// Bytes to and from the platform, the engines and between hosts.
    pub fn bytes(&self) -> [u64; 3] {
        let counters = &self.counters;
        [0, 1, 2].map(|index| counters[index].load(Ordering::Relaxed))
    }

    pub async fn stop(self) {
        let hosts = self.hosts;
        tokio::task::spawn_blocking(move || {
            for host in hosts {
                host.drain().stop().unwrap();
            }
        })
        .await
        .unwrap();
        for engine in self.engines {
            engine.stop().await;
        }
        self.platform.stop().await;
    }
}
