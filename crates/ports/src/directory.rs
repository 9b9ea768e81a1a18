use super::*;

/// What a directory is informed of, and where it tells what it read.
pub struct DirectoryChannels {
    /// Notified when another host asks this one in place of the store, and it cannot tell.
    pub unanswered_requests: flume::Receiver<()>,
    /// Crashes to be kept for hosts that start later, where there is a place for them.
    pub crashes: flume::Receiver<Vec<Crash>>,
    /// Set once the host is to stop: it gives up what it does for all hosts.
    pub draining: Arc<AtomicBool>,
    /// Configurations of other hosts, to be taken if they are newer than the one known.
    pub received_configurations: flume::Receiver<ReceivedConfiguration>,
    /// Where updates go.
    pub updates: flume::Sender<DirectoryUpdate>,
    /// What hosts counted for the usage reports, this one among them.
    pub usage: flume::Receiver<UsageNote>,
}

/// Reads the configuration and the upstreams of an installation, and goes on
/// reading what changes.
pub trait Directory: Send {
    /// Follows the installation until the future is dropped. Times in the
    /// updates are moments on `clock`.
    fn follow(
        self: Box<Self>,
        clock: Clock,
        channels: DirectoryChannels,
    ) -> Pin<Box<dyn Future<Output = ()> + Send>>;
}
