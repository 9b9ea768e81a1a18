use super::*;

/// Smallest read buffer that the HTTP library accepts.
const MIN_HEAD_BYTES: u64 = 8_192;

/// Time for which an idle connection is kept open beyond the idle timeout that callers know of.
///
/// Without the margin, a caller that correctly reuses a connection at the very end of the idle
/// timeout finds that the host has just closed the connection.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// The limits that currently apply to callers: those of the shared configuration if it has any,
/// otherwise those of this host's settings. Both may change at run time.
#[derive(Clone, Debug)]
pub(crate) struct EffectiveLimits {
    configuration: Arc<ArcSwapOption<VersionedDocument>>,
    settings: Arc<ArcSwap<Limits>>,
}

impl EffectiveLimits {
    pub(crate) const fn new(
        configuration: Arc<ArcSwapOption<VersionedDocument>>,
        settings: Arc<ArcSwap<Limits>>,
    ) -> Self {
        Self {
            configuration,
            settings,
        }
    }

    /// The limits of this host's settings.
    pub(crate) fn settings_limits(&self) -> Arc<Limits> {
        self.settings.load_full()
    }

    /// Timeout for receiving the head of the next request on a connection. The HTTP library has one
    /// timer for both an idle connection and a slow request head, so the longer of the two limits
    /// applies.
    pub(crate) fn head_timeout(&self) -> Duration {
        match self.configuration_limits() {
            Some(shared) => {
                let longest_ms = shared.head_timeout_ms.max(shared.idle_timeout_ms);
                Duration::from_millis(longest_ms) + IDLE_TIMEOUT_MARGIN
            }
            None => Duration::from_millis(self.settings_limits().head_timeout_ms),
        }
    }

    pub(crate) fn max_body_bytes(&self) -> ByteSize {
        match self.configuration_limits() {
            Some(shared) => shared.max_body_bytes,
            None => self.settings_limits().max_body_bytes,
        }
    }

    /// Size of a connection's read buffer, which bounds the size of a request head.
    pub(crate) fn max_head_bytes(&self) -> usize {
        let max = match self.configuration_limits() {
            Some(shared) => shared.max_head_bytes,
            None => self.settings_limits().max_head_bytes,
        };
        max.get().max(MIN_HEAD_BYTES) as usize
    }

    fn configuration_limits(&self) -> Option<CallerLimits> {
        let numbered = self.configuration.load();
        let document = &numbered.as_ref()?.document;
        document.caller_limits.clone()
    }
}
