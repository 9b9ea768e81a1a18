//! What the controller does with signs of crashes.

use super::*;

/// Time between two looks at what can be forgotten.
const FORGET_INTERVAL: Duration = Duration::from_secs(1);

/// Time in which the entry of an upstream that ended has lapsed: three of its heartbeats
/// of 1.2 s, and as much again for the news to get here.
const LAPSED_WITHIN: Duration = Duration::from_secs(7);

impl Controller {
    /// A connection broke before the answer was whole. One to an upstream that is leaving
    /// breaks in the end, whatever runs there.
    pub(crate) fn note_broken(
        &mut self,
        now: Time,
        request: &Request<Running>,
        actions: &mut Vec<Action>,
    ) {
        let upstream = &request.stage.upstream;
        let Some(state) = self.pool.get(upstream) else {
            return;
        };
        // One that had to reject too much falls over by that, not by what runs there.
        if state.is_leaving(now) || state.brittleness.has_rejected(now) {
            return;
        }
        let fingerprint = request.facts.fingerprint;
        let broken = ObservedCrash {
            at: now,
            fingerprint,
            is_weak: request.stage.is_streaming
                || self.crashes.finished.last(&fingerprint).is_some(),
            upstream: upstream.clone(),
        };
        match self.crashes.suspects.note_broken(broken) {
            Some(crash) => self.note_own_crashes(now, vec![crash], actions),
            None => self.check_listening(now, upstream, actions),
        }
    }

    /// An upstream has ended.
    pub(crate) fn note_ended(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        actions: &mut Vec<Action>,
    ) {
        let crashes = self.crashes.suspects.note_ended(upstream, now);
        self.note_own_crashes(now, crashes, actions);
    }

    /// Upstreams are no longer listed.
    pub(crate) fn note_unlisted(
        &mut self,
        now: Time,
        upstreams: &[UpstreamId],
        actions: &mut Vec<Action>,
    ) {
        for upstream in upstreams {
            let crashes = self.crashes.suspects.note_unlisted(upstream);
            self.note_own_crashes(now, crashes, actions);
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
            self.crashes.note_ran(&cleared.fingerprint, now - age);
        }
        for advertised in &note.crashes {
            // What broke here at the same upstream is explained, too.
            self.note_ended(now, &advertised.upstream, actions);
            let crash = ObservedCrash::advertised(advertised, now);
            let source = CrashSource::Host(note.host.clone());
            self.note_crash(now, &crash, source, actions);
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
            let lapsed = now.since(crash.at) >= LAPSED_WITHIN;
            if lapsed && self.is_listed(&crash.upstream) {
                continue;
            }
            self.note_ended(now, &crash.upstream, actions);
            self.note_crash(now, &crash, CrashSource::Store, actions);
        }
    }

    pub(crate) fn tick_crashes(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now >= self.crashes.next_forget {
            self.crashes.next_forget = now + FORGET_INTERVAL;
            self.withdraw_listed(now);
            self.crashes.record.forget(now);
            self.crashes.suspects.forget(now);
            self.crashes.telling.forget(now);
        }
        self.tell_crashes(now, actions);
    }

    /// An upstream that is listed long after its supposed end has not ended.
    fn withdraw_listed(&mut self, now: Time) {
        let ended = self.crashes.suspects.ended_before(now - LAPSED_WITHIN);
        let listed = ended.filter(|upstream| self.is_listed(upstream));
        for upstream in listed.cloned().collect::<Vec<_>>() {
            self.crashes.suspects.forget_end(&upstream);
            self.crashes.record.withdraw(&upstream);
        }
    }

    /// Whether the directory lists an upstream now.
    fn is_listed(&self, upstream: &UpstreamId) -> bool {
        let directory = self.directory.as_ref();
        directory.is_some_and(|directory| directory.is_reachable() && directory.lists(upstream))
    }

    fn note_own_crashes(
        &mut self,
        now: Time,
        crashes: Vec<ObservedCrash>,
        actions: &mut Vec<Action>,
    ) {
        for crash in crashes {
            if self.note_crash(now, &crash, CrashSource::Own, actions) {
                self.crashes.telling.add(crash, now);
            }
        }
        self.tell_crashes(now, actions);
    }

    /// Takes a crash; true if it was not known.
    fn note_crash(
        &mut self,
        now: Time,
        crash: &ObservedCrash,
        source: CrashSource,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(crashes) = self.crashes.note(crash, &source) else {
            return false;
        };
        self.keep_crashes(now, &crash.fingerprint, actions);
        let barred_for = self.crashes.barred_for(&crash.fingerprint, now);
        actions.push(Action::NoteCrash(CrashNoted {
            barred_for,
            crashes,
            fingerprint: crash.fingerprint,
            source,
            upstream: crash.upstream.clone(),
        }));
        if barred_for.is_some() {
            self.refuse_barred(now, &crash.fingerprint, actions);
        }
        true
    }

    /// Has own crashes of a request kept, where there is a store for them.
    fn keep_crashes(&mut self, now: Time, fingerprint: &Fingerprint, actions: &mut Vec<Action>) {
        if self.options.relay.is_none() {
            return;
        }
        let keeps_first = self.neighbors.exchanges_with_subset();
        let record = &mut self.crashes.record;
        let to_keep = record.take_to_keep(fingerprint, keeps_first);
        if !to_keep.is_empty() {
            let crashes = to_keep.iter().map(|crash| crash.to_note(now));
            actions.push(Action::KeepCrashes(crashes.collect()));
        }
    }

    /// Refuses the queued requests that are barred now.
    fn refuse_barred(&mut self, now: Time, fingerprint: &Fingerprint, actions: &mut Vec<Action>) {
        let queued = self.requests.iter().filter_map(|(id, stage)| match stage {
            Stage::Queued(request) if request.facts.fingerprint == *fingerprint => Some(*id),
            _ => None,
        });
        let queued: Vec<RequestId> = queued.collect();
        for id in queued {
            self.refuse_queued(now, id, RefusalReason::CrashesUpstreams, actions);
        }
    }

    fn tell_crashes(&mut self, now: Time, actions: &mut Vec<Action>) {
        let to: Vec<SocketAddr> = self.neighbors.addresses(&self.options.host).collect();
        let note = self.crashes.telling.take(&self.options.host, to.len(), now);
        let Some(note) = note.filter(|_| !to.is_empty()) else {
            return;
        };
        actions.push(Action::TellCrashes { note, to });
    }

    /// Whether no further upstream may get a request.
    pub(crate) fn is_barred(&self, now: Time, facts: &RequestFacts) -> bool {
        self.crashes.barred_for(&facts.fingerprint, now).is_some()
    }

    /// Refuses a request that is barred, without a queue or an upstream.
    pub(crate) fn check_barred(&self, fingerprint: &Fingerprint, now: Time) -> Result<(), Refusal> {
        match self.crashes.barred_for(fingerprint, now) {
            None => Ok(()),
            Some(left) => Err(Refusal {
                retry_after: Some(left),
                ..Refusal::not_run(RefusalReason::CrashesUpstreams)
            }),
        }
    }
}
