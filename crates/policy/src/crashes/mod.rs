//! Requests that crash the upstreams that run them.
//!
//! In: requests whose connection broke, signs that an upstream has ended or lives, what
//! other hosts saw. Out: which requests no upstream may get, and what the other hosts are
//! to be announced.

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

/// What a host knows of such requests.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    completions: RecentCompletions,
    next_cleanup: Time,
    record: CrashRecord,
    suspects: SuspectedCrashes,
    announcements: CrashAnnouncements,
}

impl Crashes {
    /// How long a request is still barred; `None` if it is not.
    pub(crate) fn barred_for(&self, fingerprint: &Fingerprint, now: Time) -> Option<Duration> {
        self.record.barred_for(fingerprint, now)
    }

    /// An upstream answered a request that was sent to it at a moment.
    pub(crate) fn note_alive(&mut self, upstream: &UpstreamId, sent: Time) {
        if self.suspects.note_alive(upstream, sent) {
            self.record.withdraw(upstream);
        }
    }

    /// Takes a crash; the number of this request's crashes, if that is news. One after which
    /// the like ran to its end is none.
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

    /// A request ran to its end.
    pub(crate) fn note_completion(&mut self, fingerprint: &Fingerprint, now: Time) {
        self.announcements.note_completion(fingerprint, now);
        self.clear_completed(fingerprint, now);
    }

    /// A request ran to its end, here or at another host.
    fn clear_completed(&mut self, fingerprint: &Fingerprint, at: Time) {
        self.completions.note(*fingerprint, at);
        self.record.clear(fingerprint, at);
    }
}
