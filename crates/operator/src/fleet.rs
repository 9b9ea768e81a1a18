use super::*;

/// Longest wait for all hosts to have a configuration.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause of a draining host of an experiment, in place of the balancer's.
const BALANCER_PAUSE_MS: u64 = 100;

/// Token of operators in an experiment.
const OPERATOR_TOKEN: &str = "experiment-operator-token";

/// A fleet with all its stand-ins in this process.
pub struct Fleet {
    /// Engines, by id.
    pub engines: BTreeMap<UpstreamId, EngineStandin>,
    /// Entry hosts; `None` while one is being replaced.
    pub hosts: Vec<Option<Host<Serving>>>,
    /// Every run on every upstream.
    pub log: RunLog,
    /// The platform.
    pub platform: PlatformStandin,
    /// Replicas of services, by id.
    pub services: BTreeMap<UpstreamId, ServiceStandin>,
}

impl Fleet {
    /// The model that all engines of an experiment serve.
    pub const MODEL: &'static str = "small";

    /// Starts stand-ins and hosts, and waits until all are ready.
    pub async fn start(scenario: &Scenario) -> eyre::Result<Self> {
        let log = RunLog::default();
        let platform = PlatformStandin::start(any_port()).await?;
        let engines = start_engines(&scenario.fleet, &log).await?;
        let services = start_services(&scenario.fleet, &log).await?;
        let document = document(scenario, &engines, &services)?;
        store(platform.address()).create(document).await?;
        let mut fleet = Self {
            engines,
            hosts: Vec::new(),
            log,
            platform,
            services,
        };
        for number in 0..scenario.fleet.hosts {
            let host = fleet.start_host(scenario, number).await?;
            fleet.hosts.push(Some(host));
        }
        fleet.list_hosts();
        Ok(fleet)
    }

    /// Starts the host with a number and waits until it is ready.
    pub async fn start_host(
        &self,
        scenario: &Scenario,
        number: usize,
    ) -> eyre::Result<Host<Serving>> {
        let domains = &scenario.fleet.failure_domains;
        let settings = Settings {
            balancer_pause_ms: BALANCER_PAUSE_MS,
            caller_address: any_port(),
            caller_threads: 1,
            failure_domain: domains[number % domains.len()].clone(),
            host: format!("host-{number}").parse()?,
            limits: Limits::default(),
            metrics_address: None,
            operator_address: any_port(),
            operator_token: OPERATOR_TOKEN.to_string(),
            peer_address: any_port(),
            peer_token: OPERATOR_TOKEN.to_string(),
            platform_address: self.platform.address(),
            relay: None,
        };
        let started = tokio::task::spawn_blocking(move || {
            let host = Host::start(settings, router::discard_logger())?;
            if !host.wait_ready(READY_TIMEOUT) {
                bail!("host got no configuration within {READY_TIMEOUT:?}");
            }
            Ok(host)
        });
        started.await?
    }

    /// Writes the hosts that run now into the platform's list.
    pub fn list_hosts(&self) {
        let hosts = self.hosts.iter().flatten().map(|host| {
            let status = host.status();
            ListedHost {
                failure_domain: status.failure_domain,
                host: status.host,
                peer_address: host.peer_address(),
                state: ListedState::Live,
            }
        });
        self.platform.set_hosts(hosts.collect());
    }

    /// The configuration in the platform's table.
    pub fn store(&self) -> ConfigStore {
        store(self.platform.address())
    }

    /// Where the hosts that take requests listen.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let hosts = self.hosts.iter().flatten();
        hosts.map(Host::caller_address).collect()
    }

    /// Stops all hosts in order, then the stand-ins; gives the hosts' reports.
    pub async fn stop(self) -> eyre::Result<Vec<Report>> {
        let hosts: Vec<_> = self.hosts.into_iter().flatten().collect();
        let stops = hosts.into_iter().map(stop_host);
        let reports = futures::future::try_join_all(stops).await?;
        for engine in self.engines.into_values() {
            engine.stop().await;
        }
        for service in self.services.into_values() {
            service.stop().await;
        }
        self.platform.stop().await;
        Ok(reports)
    }
}

/// Drains and stops a host.
pub(crate) async fn stop_host(host: Host<Serving>) -> eyre::Result<Report> {
    tokio::task::spawn_blocking(move || host.drain().stop()).await?
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn store(address: SocketAddr) -> ConfigStore {
    let client = PlatformClient::new(address, Duration::from_secs(1));
    ConfigStore::new(Arc::new(client))
}

async fn start_engines(
    options: &FleetOptions,
    log: &RunLog,
) -> eyre::Result<BTreeMap<UpstreamId, EngineStandin>> {
    let mut engines = BTreeMap::new();
    for number in 0..options.engines {
        let name = format!("engine-{number}");
        let engine =
            EngineStandin::start(any_port(), &name, options.engine.clone(), log.clone()).await?;
        engines.insert(name.parse()?, engine);
    }
    Ok(engines)
}

async fn start_services(
    options: &FleetOptions,
    log: &RunLog,
) -> eyre::Result<BTreeMap<UpstreamId, ServiceStandin>> {
    let mut services = BTreeMap::new();
    for (id, replicas) in &options.services {
        for number in 0..*replicas {
            let name = format!("{id}-{number}");
            let service = ServiceStandin::start(any_port(), &name, log.clone()).await?;
            services.insert(name.parse()?, service);
        }
    }
    Ok(services)
}

fn document(
    scenario: &Scenario,
    engines: &BTreeMap<UpstreamId, EngineStandin>,
    services: &BTreeMap<UpstreamId, ServiceStandin>,
) -> eyre::Result<Document> {
    let domains = &scenario.fleet.failure_domains;
    let domain = |number: usize| domains[number % domains.len()].clone();
    let mut upstreams = BTreeMap::new();
    for (number, (id, engine)) in engines.iter().enumerate() {
        let engine = Engine {
            address: engine.address(),
            checks_fence: false,
            failure_domain: domain(number),
            health_path: HEALTH_PATH.to_string(),
            link: None,
            memory: None,
            models: BTreeSet::from([Fleet::MODEL.parse()?]),
            prompt_token_bytes: None,
            queue_bound: scenario.fleet.engine.queue_bound,
            resumes: true,
            slots: scenario.fleet.engine.slots,
        };
        upstreams.insert(id.clone(), Upstream::Engine(engine));
    }
    for (number, (id, service)) in services.iter().enumerate() {
        let name = id.name().rsplit_once('-').map_or("", |(name, _)| name);
        let replica = ServiceReplica {
            address: service.address(),
            failure_domain: domain(number),
            health_path: HEALTH_PATH.to_string(),
            service: name.parse()?,
            slots: 32,
        };
        upstreams.insert(id.clone(), Upstream::Service(replica));
    }
    let document = Document {
        caller_limits: None,
        classes: scenario.classes.iter().map(class_entry).collect(),
        format: 1,
        routes: Routes::default(),
        scheduling: Scheduling::default(),
        services: scenario
            .fleet
            .services
            .keys()
            .map(|id| {
                let service = Service {
                    engine: false,
                    idempotent: false,
                };
                (id.clone(), service)
            })
            .collect(),
        teams: scenario
            .teams
            .iter()
            .map(team_entry)
            .collect::<eyre::Result<_>>()?,
        trial: scenario.fleet.trial.clone(),
        upstreams,
    };
    // Through JSON once, so that it is validated as any other.
    Ok(Document::from_json(&document.to_json())?)
}

/// Health check of the stand-ins.
const HEALTH_PATH: &str = "/health";

/// Upstreams that one request may be sent to.
const MAX_ATTEMPTS: u32 = 3;

fn class_entry(class: &ScenarioClass) -> (ClassId, Class) {
    let definition = Class {
        between_token_target_ms: class.between_token_target_ms,
        deadline_ms: class.deadline_ms,
        first_token_target_ms: class.first_token_target_ms,
        idempotent: class.idempotent,
        max_attempts: MAX_ATTEMPTS,
        objective: 0.95,
        pause_target_ms: None,
        resumable: false,
        tier: class.tier,
    };
    (class.id.clone(), definition)
}

fn team_entry(team: &ScenarioTeam) -> eyre::Result<(TeamId, Team)> {
    let default_class = team
        .classes
        .first()
        .ok_or_else(|| eyre!("team {} has no class", team.id))?;
    let definition = Team {
        classes: team.classes.iter().cloned().collect(),
        default_class: default_class.clone(),
        key_sha256: KeyHash::of_key(&team.key()),
        max_concurrent: team.max_concurrent,
        max_requests_per_s: team.max_requests_per_s,
        other_keys_sha256: BTreeSet::new(),
        plan: team.plan,
        tier: None,
        weight: 1,
    };
    Ok((team.id.clone(), definition))
}
