//! Handles the signs of crashes that reach the controller.

use super::*;

/// Time between two removals of expired records.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// Time from the first tokens of a response after which an upstream that crashes does not crash
/// because of the prompt.
const HARMLESS_AFTER: Duration = Duration::from_millis(500);

/// Time after which the directory entry of an ended upstream has expired: three heartbeats of 1.2
/// s, and as long again until this host learns of it.
const ENTRY_EXPIRY: Duration = Duration::from_secs(7);

impl Controller {
    /// Handles a connection that broke before the response was complete. A connection to a leaving
    /// upstream is ignored, because it breaks eventually, whatever runs there.
    pub(crate) fn note_connection_broken(
        &mut self,
        now: Time,
        request: &Request<Running>,
        actions: &mut Vec<Action>,
    ) {
        let upstream = &request.stage.upstream;
        let Some(state) = self.pool.get(upstream) else {
            return;
        };
        // An upstream that had to reject too many requests fails because of that and not because of
        // the requests that it runs.
        if state.is_leaving(now) || state.brittleness.has_rejected(now) {
            return;
        }
        let crashes: Vec<ObservedCrash> = self
            .suspected_subjects(now, request)
            .map(|(subject, is_weak)| ObservedCrash {
                at: now,
                is_weak,
                subject,
                upstream: upstream.clone(),
            })
            .collect();
        if self.crashes.suspects.has_ended(upstream) {
            self.record_own_crashes(now, crashes, actions);
            return;
        }
        self.crashes
            .suspects
            .note_connection_broken(upstream, crashes);
        self.check_listening(now, upstream, actions);
    }

    /// The subjects of a request whose connection broke that may have crashed its upstream, and
    /// whether a crash would say little about each. A response that has lasted for some time shows
    /// that the prompt parts are harmless.
    fn suspected_subjects(
        &self,
        now: Time,
        request: &Request<Running>,
    ) -> impl Iterator<Item = (CrashSubject, bool)> {
        let began = request.stage.began;
        let has_lasted = began.is_some_and(|began| now.since(began) >= HARMLESS_AFTER);
        let subjects = request.facts.crash_subjects.iter();
        subjects.filter_map(move |subject| {
            let has_completed = self.crashes.last_completion(subject).is_some();
            match subject {
                CrashSubject::PromptPart(_) => (!has_lasted).then_some((*subject, has_completed)),
                CrashSubject::Request(_) => {
                    Some((*subject, request.stage.is_streaming || has_completed))
                }
            }
        })
    }

    /// Handles the end of an upstream.
    pub(crate) fn note_upstream_ended(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        actions: &mut Vec<Action>,
    ) {
        let crashes = self.crashes.suspects.note_upstream_ended(upstream, now);
        self.record_own_crashes(now, crashes, actions);
    }

    /// Handles upstreams that are no longer listed.
    pub(crate) fn note_upstreams_unlisted(
        &mut self,
        now: Time,
        upstreams: &[UpstreamId],
        actions: &mut Vec<Action>,
    ) {
        for upstream in upstreams {
            let crashes = self.crashes.suspects.note_unlisted(upstream);
            self.record_own_crashes(now, crashes, actions);
        }
    }

    pub(crate) fn on_crashes_received(
        &mut self,
        now: Time,
        note: &CrashNote,
        actions: &mut Vec<Action>,
    ) {
        for cleared in &note.cleared {
            let age = Duration::from_millis(u64::from(cleared.age_ms));
            let announcements = &mut self.crashes.announcements;
            announcements.note_cleared_by_other(&cleared.subject);
            self.crashes.clear_completed(&cleared.subject, now - age);
        }
        for advertised in &note.crashes {
            // The crash also explains the connections of this host to the same upstream that broke.
            self.note_upstream_ended(now, &advertised.upstream, actions);
            let crash = ObservedCrash::advertised(advertised, now);
            self.crashes.announcements.note_others(crash.subject, now);
            let source = CrashSource::Host(note.host.clone());
            self.record_crash(now, &crash, source, actions);
        }
    }

    pub(crate) fn on_crashes_listed(
        &mut self,
        now: Time,
        crashes: &[Crash],
        actions: &mut Vec<Action>,
    ) {
        for listed in crashes {
            let crash = ObservedCrash::advertised(listed, now);
            let lapsed = now.since(crash.at) >= ENTRY_EXPIRY;
            if lapsed && self.is_in_directory(&crash.upstream) {
                continue;
            }
            self.note_upstream_ended(now, &crash.upstream, actions);
            self.crashes.announcements.note_others(crash.subject, now);
            self.record_crash(now, &crash, CrashSource::Store, actions);
        }
    }

    pub(crate) fn tick_crashes(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now >= self.crashes.next_cleanup {
            self.crashes.next_cleanup = now + CLEANUP_INTERVAL;
            self.withdraw_crashes_of_listed(now);
            self.crashes.record.forget(now);
            self.crashes.suspects.forget(now);
            self.crashes.announcements.forget(now);
        }
        self.announce_crashes(now, actions);
    }

    /// Withdraws the crashes of upstreams that are still listed long after they were thought to
    /// have ended, because such an upstream has not ended.
    fn withdraw_crashes_of_listed(&mut self, now: Time) {
        let ended = self.crashes.suspects.ended_before(now - ENTRY_EXPIRY);
        let listed = ended.filter(|upstream| self.is_in_directory(upstream));
        for upstream in listed.cloned().collect::<Vec<_>>() {
            self.crashes.suspects.forget_end(&upstream);
            self.crashes.record.withdraw(&upstream);
        }
    }

    /// Whether the directory is reachable and lists the upstream now.
    fn is_in_directory(&self, upstream: &UpstreamId) -> bool {
        let directory = self.directory.as_ref();
        directory.is_some_and(|directory| directory.is_reachable() && directory.lists(upstream))
    }

    fn record_own_crashes(
        &mut self,
        now: Time,
        crashes: Vec<ObservedCrash>,
        actions: &mut Vec<Action>,
    ) {
        for crash in crashes {
            if self.record_crash(now, &crash, CrashSource::Own, actions) {
                self.crashes.announcements.add(crash, now);
            }
        }
        self.announce_crashes(now, actions);
    }

    /// Records a crash. Returns whether the crash was unknown before.
    fn record_crash(
        &mut self,
        now: Time,
        crash: &ObservedCrash,
        source: CrashSource,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(crashes) = self.crashes.note(crash, &source) else {
            return false;
        };
        self.store_crashes(now, &crash.subject, actions);
        let barred_for = self.crashes.record.barred_for(&crash.subject, now);
        actions.push(Action::NoteCrash(CrashDetected {
            barred_for,
            crashes,
            is_weak: crash.is_weak,
            source,
            subject: crash.subject,
            upstream: crash.upstream.clone(),
        }));
        if barred_for.is_some() {
            self.refuse_barred(now, &crash.subject, actions);
            self.abandon_barred(&crash.subject, actions);
        }
        true
    }

    /// Stores this host's own crashes of a subject, on hosts that have a store.
    fn store_crashes(&mut self, now: Time, subject: &CrashSubject, actions: &mut Vec<Action>) {
        if self.options.relay.is_none() {
            return;
        }
        let stores_first = self.neighbors.exchanges_with_subset();
        let record = &mut self.crashes.record;
        let unstored = record.take_unstored(subject, stores_first);
        if !unstored.is_empty() {
            let crashes = unstored.iter().map(|crash| crash.to_note(now));
            actions.push(Action::StoreCrashes(crashes.collect()));
        }
    }

    /// Refuses the queued requests with this subject, which is now barred.
    fn refuse_barred(&mut self, now: Time, subject: &CrashSubject, actions: &mut Vec<Action>) {
        let queued = self.requests.iter().filter_map(|(id, stage)| match stage {
            Stage::Queued(request) if request.facts.crash_subjects.contains(subject) => Some(*id),
            _ => None,
        });
        let queued: Vec<RequestId> = queued.collect();
        for id in queued {
            self.refuse_queued(now, id, refusal_reason(subject), actions);
        }
    }

    /// Abandons the attempts with this subject, which is now barred, whose responses have not begun.
    /// Each would crash the upstream at which it waits.
    fn abandon_barred(&mut self, subject: &CrashSubject, actions: &mut Vec<Action>) {
        for stage in self.requests.values_mut() {
            let Stage::Running(request) = stage else {
                continue;
            };
            let is_waiting = request.stage.began.is_none() && !request.stage.is_abandoned;
            if is_waiting && request.facts.crash_subjects.contains(subject) {
                actions.push(Action::Abandon {
                    attempt: request.stage.attempt,
                    request: request.id,
                });
                request.stage.is_abandoned = true;
            }
        }
    }

    /// Whether an attempt failed because this host abandoned it as barred, which says nothing about
    /// its upstream.
    pub(crate) fn was_abandoned_as_barred(&self, now: Time, request: &Request<Running>) -> bool {
        request.stage.is_abandoned && self.is_barred(now, &request.facts)
    }

    fn announce_crashes(&mut self, now: Time, actions: &mut Vec<Action>) {
        let to: Vec<SocketAddr> = self.neighbors.addresses(&self.options.host).collect();
        let note = self
            .crashes
            .announcements
            .take(&self.options.host, to.len(), now);
        let Some(note) = note.filter(|_| !to.is_empty()) else {
            return;
        };
        actions.push(Action::SendCrashNote { note, to });
    }

    /// Whether the request must not be sent to another upstream.
    pub(crate) fn is_barred(&self, now: Time, facts: &RequestFacts) -> bool {
        self.crashes.barred(&facts.crash_subjects, now).is_some()
    }

    /// Refuses a barred request before it is queued or sent to an upstream.
    pub(crate) fn check_barred(&self, subjects: &[CrashSubject], now: Time) -> Result<(), Refusal> {
        match self.crashes.barred(subjects, now) {
            None => Ok(()),
            Some((left, subject)) => Err(Refusal {
                retry_after: Some(left),
                ..Refusal::not_run(refusal_reason(&subject))
            }),
        }
    }
}

/// The features of a request by which crashes are counted. The last part of a prompt belongs to a
/// single request or session.
pub(crate) fn crash_subjects(
    target: &Target,
    parts: &[PromptPart],
    fingerprint: Fingerprint,
) -> Vec<CrashSubject> {
    let target = target.to_string();
    let shared = placement::shared_parts(parts).iter();
    let shared = shared.map(|part| CrashSubject::PromptPart(PromptPartKey::new(&target, part.id)));
    iter::once(CrashSubject::Request(fingerprint))
        .chain(shared)
        .collect()
}

const fn refusal_reason(subject: &CrashSubject) -> RefusalReason {
    match subject {
        CrashSubject::PromptPart(_) => RefusalReason::PromptPartCrashesUpstreams,
        CrashSubject::Request(_) => RefusalReason::CrashesUpstreams,
    }
}
