use super::*;

/// What several threads read.
pub(crate) struct Shared {
    pub(crate) bodies: BodyBudget,
    pub(crate) clock: Clock,
    pub(crate) configuration: Arc<ArcSwapOption<VersionedDocument>>,
    /// Whether the host is to stop.
    pub(crate) draining: Arc<AtomicBool>,
    /// What other hosts are handed.
    pub(crate) allocation: Arc<ArcSwapOption<Allocation>>,
    /// What other hosts are notified of the store's tables.
    pub(crate) received: Arc<Mutex<ReceivedTables>>,
    pub(crate) ledger: Arc<Mutex<Ledger>>,
    /// Limits of the settings, as they are now.
    pub(crate) limits: Arc<ArcSwap<Limits>>,
    /// When bytes were passed on last for other hosts.
    pub(crate) activity: Activity,
    /// Connections that are passed on for other hosts.
    pub(crate) passing: Pumps,
    pub(crate) read_configuration: Arc<Notify>,
    pub(crate) status: Arc<ArcSwap<HostStatus>>,
    pub(crate) unread: UnreadAnswers,
}

impl Shared {
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
            allocation: Arc::default(),
            received: Arc::default(),
            ledger: Arc::default(),
            limits: Arc::clone(&limits),
            activity: Activity::new(clock),
            passing: Pumps::default(),
            read_configuration: Arc::default(),
            status: Arc::new(ArcSwap::from_pointee(status)),
            unread: UnreadAnswers::new(clock, limits),
        }
    }

    /// The host's report on service-level burn.
    pub(crate) fn report(&self) -> Report {
        let Some(numbered) = self.configuration.load_full() else {
            return Report::default();
        };
        let ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        ledger.report(self.clock.now(), &numbered.document)
    }
}
