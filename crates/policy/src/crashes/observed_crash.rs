use super::*;

/// An upstream that ended under a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ObservedCrash {
    pub(crate) at: Time,
    pub(crate) fingerprint: Fingerprint,
    /// Whether little speaks against the request: its answer had begun, or an identical one
    /// had lately run to its end.
    pub(crate) is_weak: bool,
    pub(crate) upstream: UpstreamId,
}

impl ObservedCrash {
    /// What another host tells of a crash.
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

/// Who saw a crash.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CrashSource {
    /// Another host.
    Host(HostId),
    /// This host.
    Own,
    /// A host that kept it in the store.
    Store,
}

/// A crash that was not known before, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct CrashNoted {
    /// For how long no upstream gets the request; `None` if it is not barred.
    pub barred_for: Option<Duration>,
    /// Upstreams that are known to have ended under this request.
    pub crashes: usize,
    /// The request, as one of its team.
    pub fingerprint: Fingerprint,
    /// Who saw it.
    pub source: CrashSource,
    /// The upstream.
    pub upstream: UpstreamId,
}
