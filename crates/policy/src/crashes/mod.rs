//! Detection of requests that crash the upstreams that run them.
//!
//! The inputs are requests whose connection broke, signs that an upstream has ended or is alive,
//! and crashes observed by other hosts. The outputs are the features of requests that are barred
//! from all upstreams, and the updates to announce to other hosts. Crashes are counted by identical
//! requests and by shared prompt parts; see [`CrashSubject`].

use super::*;

mod crash_announcements;
mod crash_handling;
mod crash_record;
mod listening_checks;
mod observed_crash;
mod recent_completions;
mod suspected_crashes;

pub use observed_crash::{CrashDetected, CrashSource};

pub(crate) use crash_handling::crash_subjects;

use {
    crash_announcements::CrashAnnouncements, crash_record::CrashRecord,
    observed_crash::ObservedCrash, recent_completions::RecentCompletions,
    suspected_crashes::SuspectedCrashes,
};

/// Time after a completion for which crashes don't count against the prompt parts of the completed
/// request. Most parts that harmless requests share are cleared this way, without any message.
const PART_TRUST: Duration = Duration::from_secs(2);

/// State of the crash detection on this host.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    completions: RecentCompletions,
    part_completions: RecentCompletions,
    next_cleanup: Time,
    record: CrashRecord,
    suspects: SuspectedCrashes,
    announcements: CrashAnnouncements,
}

impl Crashes {
    /// Returns how long a request with these subjects remains barred, and the subject that is barred
    /// for the longest time; `None` if it is not barred.
    pub(crate) fn barred(
        &self,
        subjects: &[CrashSubject],
        now: Time,
    ) -> Option<(Duration, CrashSubject)> {
        let barred = subjects.iter().filter_map(|subject| {
            let left = self.record.barred_for(subject, now)?;
            Some((left, *subject))
        });
        barred.max()
    }

    /// Notes that an upstream responded to a request that was sent to it at the given time.
    pub(crate) fn note_alive(&mut self, upstream: &UpstreamId, sent: Time) {
        if self.suspects.note_alive(upstream, sent) {
            self.record.withdraw(upstream);
        }
    }

    /// Records a crash. Returns the number of crashes of its subject if the crash was unknown
    /// before. A crash is ignored if a request with the subject completed after it.
    fn note(&mut self, crash: &ObservedCrash, source: &CrashSource) -> Option<usize> {
        let completed = self.last_completion(&crash.subject);
        let is_part = matches!(crash.subject, CrashSubject::PromptPart(_));
        let trusted_until = completed.map(|at| if is_part { at + PART_TRUST } else { at });
        if trusted_until.is_some_and(|until| until > crash.at) {
            return None;
        }
        let crash = ObservedCrash {
            is_weak: crash.is_weak || completed.is_some(),
            ..crash.clone()
        };
        self.record.note(&crash, *source == CrashSource::Own)
    }

    fn last_completion(&self, subject: &CrashSubject) -> Option<Time> {
        match subject {
            CrashSubject::PromptPart(_) => self.part_completions.last(subject),
            CrashSubject::Request(_) => self.completions.last(subject),
        }
    }

    /// Notes that a request completed on this host, and announces that if needed.
    pub(crate) fn note_completion(&mut self, subjects: &[CrashSubject], now: Time) {
        for subject in subjects {
            self.announcements.note_completion(subject, now);
            self.clear_completed(subject, now);
        }
    }

    /// Clears the earlier crashes of a subject, because a request with it completed on this host or
    /// another one.
    fn clear_completed(&mut self, subject: &CrashSubject, at: Time) {
        let completions = match subject {
            CrashSubject::PromptPart(_) => &mut self.part_completions,
            CrashSubject::Request(_) => &mut self.completions,
        };
        completions.note(*subject, at);
        self.record.clear(subject, at);
    }
}
