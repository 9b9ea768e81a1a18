//! The directory thread: follows the directory of an installation.

use super::*;

/// Capacity of the channel of directory updates that have not been handled yet.
const UPDATE_CAPACITY: usize = 64;

/// The inputs and outputs of the directory thread.
pub(crate) struct DirectoryThread {
    pub(crate) table_requests: flume::Receiver<()>,
    pub(crate) clock: Clock,
    pub(crate) crashes: flume::Receiver<Vec<Crash>>,
    pub(crate) directory: Box<dyn Directory>,
    pub(crate) draining: Arc<AtomicBool>,
    pub(crate) events: flume::Sender<ControllerMessage>,
    pub(crate) fetcher: ConfigurationFetcher,
    pub(crate) served_configuration: Arc<ArcSwapOption<ServedConfiguration>>,
    pub(crate) received_tables: Arc<Mutex<ReceivedTables>>,
    pub(crate) logger: Logger,
    pub(crate) metrics: HostMetrics,
    pub(crate) offers: flume::Receiver<ReceivedConfiguration>,
    pub(crate) shutdown: Shutdown,
    pub(crate) unconfirmed_upstreams: flume::Receiver<()>,
    pub(crate) usage: flume::Receiver<UsageNote>,
}

impl DirectoryThread {
    pub(crate) fn spawn(self) -> eyre::Result<JoinHandle<eyre::Result<()>>> {
        std::thread::Builder::new()
            .name("directory".to_string())
            .spawn(move || {
                let metrics = self.metrics.clone();
                let runtime = single_thread_runtime()?;
                metrics.with_recorder(|| runtime.block_on(self.run()));
                Ok(())
            })
            .wrap_err("cannot start the directory thread")
    }

    async fn run(self) {
        let (sender, updates) = flume::bounded(UPDATE_CAPACITY);
        let Self {
            table_requests,
            clock,
            crashes,
            directory,
            draining,
            events,
            fetcher,
            served_configuration,
            received_tables,
            logger,
            metrics: _,
            offers,
            shutdown,
            unconfirmed_upstreams,
            usage,
        } = self;
        let channels = DirectoryChannels {
            unanswered_requests: table_requests,
            crashes,
            draining,
            received_configurations: offers,
            unconfirmed_upstreams,
            updates: sender,
            usage,
        };
        let forwarder = UpdateForwarder {
            clock,
            events,
            served_configuration,
            received_tables,
            logger,
        };
        tokio::select! {
            () = directory.follow(clock, channels) => {}
            () = forwarder.run(&updates) => {}
            () = fetcher.run() => {}
            () = shutdown.started() => {}
        }
    }
}

/// Forwards directory updates to the controller, to the log and to the state that is served to
/// other hosts.
struct UpdateForwarder {
    clock: Clock,
    events: flume::Sender<ControllerMessage>,
    served_configuration: Arc<ArcSwapOption<ServedConfiguration>>,
    received_tables: Arc<Mutex<ReceivedTables>>,
    logger: Logger,
}

impl UpdateForwarder {
    async fn run(&self, updates: &flume::Receiver<DirectoryUpdate>) {
        while let Ok(update) = updates.recv_async().await {
            if let Some(event) = self.handle(update) {
                // Waits while the channel is full, so that no update is lost.
                let _ = self
                    .events
                    .send_async(ControllerMessage::Event(event))
                    .await;
            }
        }
    }

    fn lock_received_tables(&self) -> MutexGuard<'_, ReceivedTables> {
        self.received_tables
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Handles an update; returns the event for the controller, if the update concerns it.
    fn handle(&self, update: DirectoryUpdate) -> Option<Event> {
        let logger = &self.logger;
        Some(match update {
            DirectoryUpdate::Configuration {
                numbered,
                read_stats: reading,
            } => {
                info!(logger, "directory: configuration read";
                    "bytes" => reading.bytes.get(),
                    "lasted_ms" => reading.duration.as_millis() as u64,
                    "version" => %numbered.version);
                Event::ConfigurationRead(numbered)
            }
            DirectoryUpdate::ConfigurationReadFailed { error } => {
                warn!(logger, "directory: configuration not read"; "error" => error);
                return None;
            }
            DirectoryUpdate::NewerConfigurationAtPeer { from, version } => {
                Event::NewerConfigurationAtPeer { from, version }
            }
            DirectoryUpdate::LargeConfigurationStarted { bytes } => {
                info!(logger, "directory: large configuration begins"; "bytes" => bytes.get());
                Event::ConfigurationAnnounced
            }
            DirectoryUpdate::ConfigurationCompressed(document) => {
                let version = document.version;
                let as_of = None;
                self.served_configuration
                    .store(Some(Arc::new(ServedConfiguration { as_of, document })));
                Event::ConfigurationPacked(version)
            }
            DirectoryUpdate::ConfigurationConfirmed { as_of } => {
                note_confirmed(&self.served_configuration, as_of);
                Event::ConfigurationConfirmed { as_of }
            }
            DirectoryUpdate::ConfigurationUnusable { error, version } => {
                let version = version.map_or("unknown".to_string(), |version| version.to_string());
                warn!(logger, "directory: configuration not usable";
                    "error" => error, "version" => version);
                gauge!("rhubarbcove_configuration_unusable").set(1.0);
                Event::ConfigurationUsability { is_usable: false }
            }
            DirectoryUpdate::ConfigurationUsable => {
                info!(logger, "directory: configuration usable again");
                gauge!("rhubarbcove_configuration_unusable").set(0.0);
                Event::ConfigurationUsability { is_usable: true }
            }
            DirectoryUpdate::Crashes(crashes) => Event::CrashesListed(crashes),
            DirectoryUpdate::DutyHeld(note) => Event::DutyHeld(note),
            DirectoryUpdate::DutyReported(report) => {
                duty_log::log(logger, &report);
                return None;
            }
            DirectoryUpdate::StoreReachableAgain {
                unreachable_for: silent,
            } => {
                info!(logger, "directory: reachable again";
                    "silent_ms" => silent.as_millis() as u64);
                self.lock_received_tables().note_store_reachable();
                Event::DirectoryReachableAgain
            }
            DirectoryUpdate::StoreLost { error } => {
                warn!(logger, "directory: lost"; "error" => error);
                self.lock_received_tables().note_store_lost();
                Event::DirectoryLost
            }
            DirectoryUpdate::Peers {
                hosts,
                hosts_in_all: in_all,
            } => Event::PeersListed {
                total_hosts: in_all,
                peers: hosts,
            },
            DirectoryUpdate::StoreRegained {
                ago,
                unreachable_for: silent,
            } => {
                info!(logger, "directory: regained";
                    "ago_ms" => ago.as_millis() as u64, "silent_ms" => silent.as_millis() as u64);
                let at = self.clock.now() - ago;
                self.lock_received_tables().note_store_regained(at);
                Event::DirectoryRegained { at }
            }
            DirectoryUpdate::StoreRestored { before, now } => {
                warn!(logger, "directory: store restored from an older copy";
                    "era" => %now.era, "era_before" => %before.era,
                    "revision" => now.revision, "revision_before" => before.revision);
                return None;
            }
            DirectoryUpdate::UnusableAnswer { error } => {
                warn!(logger, "directory: answer not used"; "error" => error);
                return None;
            }
            DirectoryUpdate::TableDivided { coverage, levels } => {
                info!(logger, "directory: upstreams divided";
                    "division" => coverage.division,
                    "known" => levels
                        .iter()
                        .filter(|(_, level)| *level <= WorkingSet::KNOWN_LEVEL)
                        .count(),
                    "upstreams" => levels.len());
                self.lock_received_tables().set_coverage(coverage, levels);
                return None;
            }
            DirectoryUpdate::TableRead(reading) => {
                let mut tables = self.lock_received_tables();
                tables.apply(self.clock.now(), reading);
                for (table, rows) in tables.row_counts() {
                    gauge!("rhubarbcove_table_rows", "table" => table).set(rows as f64);
                }
                return None;
            }
            DirectoryUpdate::UpstreamsMissed => Event::DirectoryChangesMissed,
            DirectoryUpdate::UpstreamsConfirmed { as_of } => Event::DirectoryConfirmed { as_of },
            DirectoryUpdate::Upstreams {
                common,
                leaving,
                upstreams,
            } => {
                info!(logger, "directory: upstreams read";
                    "leaving" => leaving.len(), "upstreams" => upstreams.len());
                Event::DirectoryRead {
                    common,
                    leaving,
                    upstreams,
                }
            }
        })
    }
}

/// Records for other hosts the time at which the served configuration was known to be the newest.
fn note_confirmed(served_configuration: &ArcSwapOption<ServedConfiguration>, as_of: Time) {
    let Some(known) = served_configuration.load_full() else {
        return;
    };
    served_configuration.store(Some(Arc::new(ServedConfiguration {
        as_of: known.as_of.max(Some(as_of)),
        document: Arc::clone(&known.document),
    })));
}
