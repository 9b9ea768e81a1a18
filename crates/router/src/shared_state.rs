use super::*;

/// State that several threads of a host share.
pub(crate) struct SharedState {
    pub(crate) bodies: BodyBudget,
    pub(crate) clock: Clock,
    pub(crate) configuration: Arc<ArcSwapOption<VersionedDocument>>,
    /// Whether a graceful stop has started.
    pub(crate) draining: Arc<AtomicBool>,
    /// The configuration that is served to other hosts.
    pub(crate) served_configuration: Arc<ArcSwapOption<ServedConfiguration>>,
    /// What other hosts can learn from this host about the store's tables.
    pub(crate) received_tables: Arc<Mutex<ReceivedTables>>,
    pub(crate) statistics: Arc<Mutex<RequestStatistics>>,
    /// Current limits of the settings.
    pub(crate) limits: Arc<ArcSwap<Limits>>,
    /// When data was last forwarded for other hosts.
    pub(crate) forwarding_activity: LastActivity,
    /// Connections that are forwarded to upstreams for other hosts.
    pub(crate) forwarded_connections: TaskSet,
    /// Notified when the newest configuration is to be read now.
    pub(crate) read_configuration: Arc<Notify>,
    pub(crate) status: Arc<ArcSwap<HostStatus>>,
    pub(crate) unread: UnreadAnswers,
}

impl SharedState {
    pub(crate) fn new(settings: &Settings) -> Self {
        let status = HostStatus {
            behind: false,
            current: false,
            ejected: Vec::new(),
            failure_domain: settings.failure_domain.clone(),
            observed: Vec::new(),
            home: Arc::default(),
            host: settings.host.clone(),
            hosts_listed: 0,
            leaving: Vec::new(),
            out_of_reach: Vec::new(),
            phase: HostPhase::Starting,
            queued: 0,
            coordinator: settings.host.clone(),
            unlisted: Vec::new(),
            version: None,
        };
        let clock = Clock::start();
        let limits = Arc::new(ArcSwap::from_pointee(settings.limits.clone()));
        Self {
            bodies: BodyBudget::default(),
            clock,
            configuration: Arc::default(),
            draining: Arc::default(),
            served_configuration: Arc::default(),
            received_tables: Arc::default(),
            statistics: Arc::default(),
            limits: Arc::clone(&limits),
            forwarding_activity: LastActivity::new(clock),
            forwarded_connections: TaskSet::default(),
            read_configuration: Arc::default(),
            status: Arc::new(ArcSwap::from_pointee(status)),
            unread: UnreadAnswers::new(clock, limits),
        }
    }

    /// Report on service levels and error budgets; empty before a configuration is in force.
    pub(crate) fn report(&self) -> Report {
        let Some(numbered) = self.configuration.load_full() else {
            return Report::default();
        };
        let statistics = self
            .statistics
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        statistics.report(self.clock.now(), &numbered.document)
    }
}
