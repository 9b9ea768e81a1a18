use super::*;

/// Reads the configuration and the upstreams of an installation, and goes on
/// reading what changes.
pub trait Directory: Send {
    /// Follows the installation until the future is dropped. Times in the
    /// updates are moments on `clock`.
    fn follow(
        self: Box<Self>,
        clock: Clock,
        updates: flume::Sender<DirectoryUpdate>,
    ) -> Pin<Box<dyn Future<Output = ()> + Send>>;
}
