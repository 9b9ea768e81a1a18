use super::*;

/// Reads the configuration and the upstreams of an installation, and goes on
/// reading what changes.
pub trait Directory: Send {
    /// Follows the installation until the future is dropped. Times in the
    /// updates are moments on `clock`. A configuration offered by another host is
    /// taken if it is newer than the one known. Crashes are kept for hosts that start
    /// later, where there is a place for them.
    fn follow(
        self: Box<Self>,
        clock: Clock,
        updates: flume::Sender<DirectoryUpdate>,
        offers: flume::Receiver<Offer>,
        crashes: flume::Receiver<Vec<Crash>>,
    ) -> Pin<Box<dyn Future<Output = ()> + Send>>;
}
