use super::*;

/// Maximum time for a new host to receive its configuration.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Time that a draining host waits for the load balancer to notice, shortened for
/// experiments.
const BALANCER_PAUSE_MS: u64 = 100;

/// Operator token and peer token of the hosts of an experiment.
const OPERATOR_TOKEN: &str = "experiment-operator-token";

/// Hosts with their stand-ins for engines, services and the platform, all in this
/// process.
pub struct Fleet {
    /// Engine stand-ins by id.
    pub engines: BTreeMap<UpstreamId, EngineStandin>,
    /// Hosts by number; `None` while a host is being replaced.
    pub hosts: Vec<Option<Host<Serving>>>,
    /// Log of every run on every upstream.
    pub log: RunLog,
    /// The platform stand-in.
    pub platform: PlatformStandin,
    /// Service replicas by id.
    pub services: BTreeMap<UpstreamId, ServiceStandin>,
}

impl Fleet {
    /// The model that all engines serve.
    pub const MODEL: &'static str = "small";

    /// Starts the stand-ins and the hosts and waits until all hosts are ready.
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

    /// Starts the host with the given number and waits until it is ready.
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

    /// Replaces the platform's host list by the hosts that run now.
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

    /// Returns a client of the configuration store in the platform's table.
    pub fn store(&self) -> ConfigStore {
        store(self.platform.address())
    }

    /// Addresses at which the running hosts accept requests of callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let hosts = self.hosts.iter().flatten();
        hosts.map(Host::caller_address).collect()
    }

    /// Drains and stops all hosts concurrently, then the stand-ins. Returns the
    /// hosts' reports.
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

/// Drains and stops a host and returns its report.
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
            software_version: None,
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
            software_version: None,
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
    // The JSON round trip validates the document like any other configuration.
    Ok(Document::from_json(&document.to_json())?)
}

/// Path of the stand-ins' health check.
const HEALTH_PATH: &str = "/health";

/// Maximum number of upstreams that one request may be sent to.
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
