//! The thread that follows an installation's directory.

use super::*;

/// Updates that may wait to be reported to the controller.
const UPDATE_RING: usize = 64;

/// What the thread is given.
pub(crate) struct DirectoryThread {
    pub(crate) asked: flume::Receiver<()>,
    pub(crate) clock: Clock,
    pub(crate) crashes: flume::Receiver<Vec<Crash>>,
    pub(crate) directory: Box<dyn Directory>,
    pub(crate) draining: Arc<AtomicBool>,
    pub(crate) events: flume::Sender<RingEvent>,
    pub(crate) fetcher: ConfigurationFetcher,
    pub(crate) allocation: Arc<ArcSwapOption<Allocation>>,
    pub(crate) received: Arc<Mutex<ReceivedTables>>,
    pub(crate) logger: Logger,
    pub(crate) metrics: HostMetrics,
    pub(crate) offers: flume::Receiver<ReceivedConfiguration>,
    pub(crate) shutdown: Shutdown,
    pub(crate) usage: flume::Receiver<UsageNote>,
}

impl DirectoryThread {
    pub(crate) fn spawn(self) -> eyre::Result<JoinHandle<eyre::Result<()>>> {
        std::thread::Builder::new()
            .name("directory".to_string())
            .spawn(move || {
                let metrics = self.metrics.clone();
                let runtime = single_thread_runtime()?;
                metrics.count(|| runtime.block_on(self.run()));
                Ok(())
            })
            .wrap_err("cannot start the directory's thread")
    }

    async fn run(self) {
        let (sender, updates) = flume::bounded(UPDATE_RING);
        let Self {
            asked,
            clock,
            crashes,
            directory,
            draining,
            events,
            fetcher,
            allocation,
            received,
            logger,
            metrics: _,
            offers,
            shutdown,
            usage,
        } = self;
        let channels = DirectoryChannels {
            unanswered_requests: asked,
            crashes,
            draining,
            received_configurations: offers,
            updates: sender,
            usage,
        };
        let passing = PassingOn {
            clock,
            events,
            allocation,
            received,
            logger,
        };
        tokio::select! {
            () = directory.follow(clock, channels) => {}
            () = passing.run(&updates) => {}
            () = fetcher.run() => {}
            () = shutdown.started() => {}
        }
    }
}

/// Passes on what the directory tells: to the controller, to the log, to other hosts.
struct PassingOn {
    clock: Clock,
    events: flume::Sender<RingEvent>,
    allocation: Arc<ArcSwapOption<Allocation>>,
    received: Arc<Mutex<ReceivedTables>>,
    logger: Logger,
}

impl PassingOn {
    async fn run(&self, updates: &flume::Receiver<DirectoryUpdate>) {
        while let Ok(update) = updates.recv_async().await {
            if let Some(event) = self.take(update) {
                // Waits while the ring is full: no update is lost.
                let _ = self.events.send_async(RingEvent::Happened(event)).await;
            }
        }
    }

    fn received(&self) -> MutexGuard<'_, ReceivedTables> {
        self.received.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What the controller is notified of it.
    fn take(&self, update: DirectoryUpdate) -> Option<Event> {
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
                self.allocation
                    .store(Some(Arc::new(Allocation { as_of, document })));
                Event::ConfigurationPacked(version)
            }
            DirectoryUpdate::ConfigurationConfirmed { as_of } => {
                confirm(&self.allocation, as_of);
                Event::ConfigurationConfirmed { as_of }
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
                self.received().note_store_reachable();
                Event::DirectoryReachableAgain
            }
            DirectoryUpdate::StoreLost { error } => {
                warn!(logger, "directory: lost"; "error" => error);
                self.received().note_store_lost();
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
                self.received().note_store_regained(at);
                Event::DirectoryRegained { at }
            }
            DirectoryUpdate::UnusableAnswer { error } => {
                warn!(logger, "directory: answer not used"; "error" => error);
                return None;
            }
            DirectoryUpdate::TableDivided { coverage, levels } => {
                info!(logger, "directory: upstreams divided";
                    "division" => coverage.division,
                    "known" => levels.iter().filter(|(_, level)| *level <= WorkingSet::KNOWN_LEVEL).count(),
                    "upstreams" => levels.len());
                self.received().set_coverage(coverage, levels);
                return None;
            }
            DirectoryUpdate::TableRead(reading) => {
                let mut received = self.received();
                received.apply(self.clock.now(), reading);
                for (table, rows) in received.row_counts() {
                    gauge!("rhubarbcove_table_rows", "table" => table).set(rows as f64);
                }
                return None;
            }
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

/// Notes for other hosts when the configuration was the newest one.
fn confirm(allocation: &ArcSwapOption<Allocation>, as_of: Time) {
    let Some(known) = allocation.load_full() else {
        return;
    };
    allocation.store(Some(Arc::new(Allocation {
        as_of: known.as_of.max(Some(as_of)),
        document: Arc::clone(&known.document),
    })));
}
