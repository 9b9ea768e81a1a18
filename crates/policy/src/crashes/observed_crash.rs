use super::*;

/// A crash of an upstream while it ran a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ObservedCrash {
    pub(crate) at: Time,
    /// Whether the crash says little about the request, because its response had begun or an
    /// identical request had recently completed.
    pub(crate) is_weak: bool,
    /// The feature of the request that the crash is counted under.
    pub(crate) subject: CrashSubject,
    pub(crate) upstream: UpstreamId,
}

impl ObservedCrash {
    /// Converts a crash that another host announced.
    pub(crate) fn advertised(crash: &peer::Crash, now: Time) -> Self {
        Self {
            at: now - Duration::from_millis(u64::from(crash.age_ms)),
            is_weak: crash.is_weak,
            subject: crash.subject,
            upstream: crash.upstream.clone(),
        }
    }

    pub(crate) fn to_note(&self, now: Time) -> peer::Crash {
        let age_ms = now.since(self.at).as_millis();
        peer::Crash {
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            is_weak: self.is_weak,
            subject: self.subject,
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
    /// Time for which such requests are barred from all upstreams; `None` if they are not barred.
    pub barred_for: Option<Duration>,
    /// Number of upstreams known to have ended while they ran such requests.
    pub crashes: usize,
    /// Whether the crash says little about the request, because its response had begun or an
    /// identical request had recently completed.
    pub is_weak: bool,
    /// Source of the report.
    pub source: CrashSource,
    /// Feature of the request that the crash is counted under.
    pub subject: CrashSubject,
    /// The upstream that ended.
    pub upstream: UpstreamId,
}
