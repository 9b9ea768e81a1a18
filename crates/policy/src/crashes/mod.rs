//! Detection of requests that crash the upstreams that run them.
//!
//! The inputs are requests whose connection broke, signs that an upstream has ended or is alive,
//! and crashes observed by other hosts. The outputs are the requests that are barred from all
//! upstreams and the updates to announce to other hosts.

use super::*;

mod crash_announcements;
mod crash_handling;
mod crash_record;
mod listening_checks;
mod observed_crash;
mod recent_completions;
mod suspected_crashes;

pub use observed_crash::{CrashDetected, CrashSource};

use {
    crash_announcements::CrashAnnouncements, crash_record::CrashRecord,
    observed_crash::ObservedCrash, recent_completions::RecentCompletions,
    suspected_crashes::SuspectedCrashes,
};

/// State of the crash detection on this host.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    completions: RecentCompletions,
    next_cleanup: Time,
    record: CrashRecord,
    suspects: SuspectedCrashes,
    announcements: CrashAnnouncements,
}

impl Crashes {
    /// Returns how long a request remains barred, or `None` if it is not barred.
    pub(crate) fn barred_for(&self, fingerprint: &Fingerprint, now: Time) -> Option<Duration> {
        self.record.barred_for(fingerprint, now)
    }

    /// Notes that an upstream responded to a request that was sent to it at the given time.
    pub(crate) fn note_alive(&mut self, upstream: &UpstreamId, sent: Time) {
        if self.suspects.note_alive(upstream, sent) {
            self.record.withdraw(upstream);
        }
    }

    /// Records a crash. Returns the number of crashes of its request if the crash was unknown
    /// before. A crash is ignored if an identical request completed after it.
    fn note(&mut self, crash: &ObservedCrash, source: &CrashSource) -> Option<usize> {
        let completions = self.completions.last(&crash.fingerprint);
        if completions.is_some_and(|at| at > crash.at) {
            return None;
        }
        let crash = ObservedCrash {
            is_weak: crash.is_weak || completions.is_some(),
            ..crash.clone()
        };
        self.record.note(&crash, *source == CrashSource::Own)
    }

    /// Notes that a request completed on this host, and announces that if needed.
    pub(crate) fn note_completion(&mut self, fingerprint: &Fingerprint, now: Time) {
        self.announcements.note_completion(fingerprint, now);
        self.clear_completed(fingerprint, now);
    }

    /// Clears the earlier crashes of a request that completed, on this host or another one.
    fn clear_completed(&mut self, fingerprint: &Fingerprint, at: Time) {
        self.completions.note(*fingerprint, at);
        self.record.clear(fingerprint, at);
    }
}
