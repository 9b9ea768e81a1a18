use super::*;

/// Channels between a directory and the rest of the host.
pub struct DirectoryChannels {
    /// Receives a signal when another host requests tables that this host cannot provide, so that
    /// the directory reads them from the store.
    pub unanswered_requests: flume::Receiver<()>,
    /// Crashes that the directory should store for hosts that start later, if it has a place for
    /// them.
    pub crashes: flume::Receiver<Vec<Crash>>,
    /// Set once the host is asked to stop. The directory then gives up the duties that it does for
    /// all hosts.
    pub draining: Arc<AtomicBool>,
    /// Configurations of other hosts. The directory applies those that are newer than its own.
    pub received_configurations: flume::Receiver<ReceivedConfiguration>,
    /// Receives a signal when the host needs to know whether the upstreams it was told of are still
    /// all those that are listed.
    pub unconfirmed_upstreams: flume::Receiver<()>,
    /// Sends what the directory has read.
    pub updates: flume::Sender<DirectoryUpdate>,
    /// Usage counts for the usage reports, from this host and from others.
    pub usage: flume::Receiver<UsageNote>,
}

/// Reads the configuration and the upstreams of an installation and follows their changes.
pub trait Directory: Send {
    /// Follows the installation until the future is dropped. Times in the updates are on `clock`.
    fn follow(
        self: Box<Self>,
        clock: Clock,
        channels: DirectoryChannels,
    ) -> Pin<Box<dyn Future<Output = ()> + Send>>;
}
