use super::*;

/// Smallest read buffer that the HTTP library takes.
const MIN_HEAD_BYTES: u64 = 8_192;

/// Time for which a connection is kept beyond the limit that callers know of.
///
/// What goes wrong without it: a caller uses a connection again at the very end of
/// the time, as it may, and meets the close that was just sent.
const IDLE_SLACK: Duration = Duration::from_secs(1);

/// The limits that callers are held to now: those of the shared configuration
/// where it names them, else those of this host's settings. Both may change.
#[derive(Clone, Debug)]
pub(crate) struct LimitsInForce {
    configuration: Arc<ArcSwapOption<VersionedDocument>>,
    settings: Arc<ArcSwap<Limits>>,
}

impl LimitsInForce {
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
    pub(crate) fn own(&self) -> Arc<Limits> {
        self.settings.load_full()
    }

    /// Time that a connection may take to bring the head of its next request. The
    /// library has one timer for an idle connection and for a slow head, so the
    /// longer of the two limits holds.
    pub(crate) fn head_timeout(&self) -> Duration {
        match self.shared() {
            Some(shared) => {
                let longest_ms = shared.head_timeout_ms.max(shared.idle_timeout_ms);
                Duration::from_millis(longest_ms) + IDLE_SLACK
            }
            None => Duration::from_millis(self.own().head_timeout_ms),
        }
    }

    pub(crate) fn max_body_bytes(&self) -> ByteSize {
        match self.shared() {
            Some(shared) => shared.max_body_bytes,
            None => self.own().max_body_bytes,
        }
    }

    /// Size of a connection's read buffer, which bounds the head of a request.
    pub(crate) fn max_head_bytes(&self) -> usize {
        let max = match self.shared() {
            Some(shared) => shared.max_head_bytes,
            None => self.own().max_head_bytes,
        };
        max.get().max(MIN_HEAD_BYTES) as usize
    }

    fn shared(&self) -> Option<CallerLimits> {
        let numbered = self.configuration.load();
        let document = &numbered.as_ref()?.document;
        document.caller_limits.clone()
    }
}
