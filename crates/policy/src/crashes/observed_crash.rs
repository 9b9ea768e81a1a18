use super::*;

/// A crash of an upstream while it ran a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ObservedCrash {
    pub(crate) at: Time,
    pub(crate) fingerprint: Fingerprint,
    /// Whether the crash says little about the request, because its response had begun or an
    /// identical request had recently completed.
    pub(crate) is_weak: bool,
    pub(crate) upstream: UpstreamId,
}

impl ObservedCrash {
    /// Converts a crash that another host announced.
    pub(crate) fn advertised(crash: &peer::Crash, now: Time) -> Self {
        Self {
            at: now - Duration::from_millis(u64::from(crash.age_ms)),
            fingerprint: crash.fingerprint,
            is_weak: crash.is_weak,
            upstream: crash.upstream.clone(),
        }
    }

    pub(crate) fn to_note(&self, now: Time) -> peer::Crash {
        let age_ms = now.since(self.at).as_millis();
        peer::Crash {
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            fingerprint: self.fingerprint,
            is_weak: self.is_weak,
            upstream: self.upstream.clone(),
        }
    }
}

/// The source of a crash report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CrashSource {
    /// Another host announced the crash.
    Host(HostId),
    /// This host observed the crash.
    Own,
    /// The crash was read from the store.
    Store,
}

/// A crash that was unknown before, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct CrashDetected {
    /// Time for which the request is barred from all upstreams; `None` if it is not barred.
    pub barred_for: Option<Duration>,
    /// Number of upstreams known to have ended while they ran this request.
    pub crashes: usize,
    /// Fingerprint of the request, which includes its team.
    pub fingerprint: Fingerprint,
    /// Whether the crash says little about the request, because its response had begun or an
    /// identical request had recently completed.
    pub is_weak: bool,
    /// Source of the report.
    pub source: CrashSource,
    /// The upstream that ended.
    pub upstream: UpstreamId,
}
