//! Streams that callers take up: the version is looked up before the request is admitted.

use super::*;

/// Maximum number of streams whose versions are looked up at the same time.
const MAX_LOOKUPS: usize = 1_024;

/// `Retry-After` for a stream whose version is not known: another host may be able to find it.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(300);

impl Controller {
    /// Admits a request that takes a stream up, after asking other hosts for its version if this
    /// host does not know it.
    pub(crate) fn take_up_stream(
        &mut self,
        now: Time,
        stream: StreamId,
        arrival: Arrival,
        actions: &mut Vec<Action>,
    ) {
        let known = self.streams.known.get(stream);
        if let Some(known) = known.clone().filter(|_| self.streams.known.is_own(stream)) {
            let noted = TakenUpStream {
                attempt: Some(known.attempt),
                software_version: Some(known.software_version),
                source: StreamSource::Known,
                ..self.unknown_stream(now, now, stream, &arrival)
            };
            self.admit_taken_up(now, arrival, noted, actions);
            return;
        }
        if let Some(lookup) = self.streams.lookups.get_mut(&stream) {
            lookup.arrivals.push((now, arrival));
            return;
        }
        let keepers = &self.streams.keepers;
        let to = keepers.to_ask(stream, |host| self.neighbors.is_silent(host, now));
        let is_full = self.streams.lookups.len() >= MAX_LOOKUPS;
        let to = if is_full { Vec::new() } else { to };
        let mut lookup = VersionLookup::new(to.clone(), known, now);
        let target = arrival.target.to_string();
        lookup.arrivals.push((now, arrival));
        if to.is_empty() {
            self.conclude_lookup(now, stream, lookup, actions);
            return;
        }
        self.streams.lookups.insert(stream, lookup);
        let note = StreamNote::new(StreamMessage::Asked { stream, target });
        actions.push(Action::SendStreamNote { note, to });
    }

    pub(crate) fn on_version_answered(
        &mut self,
        now: Time,
        from: SocketAddr,
        stream: StreamId,
        found: Option<StreamVersion>,
        actions: &mut Vec<Action>,
    ) {
        if let Some(lookup) = self.streams.lookups.get_mut(&stream) {
            lookup.note_answer(from, found);
            self.conclude_if_over(now, stream, actions);
        }
    }

    /// Notes that the list is followed, repeats questions, concludes lookups that take too long, and forgets old streams.
    pub(crate) fn tick_streams(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.streams.known.expire(self.streams.lifetime, now);
        if self
            .directory
            .as_ref()
            .is_none_or(DirectoryView::is_reachable)
        {
            self.streams.listed.note_followed(now);
        }
        let pending: Vec<StreamId> = self.streams.lookups.keys().copied().collect();
        for stream in pending {
            self.conclude_if_over(now, stream, actions);
            let Some(lookup) = self.streams.lookups.get_mut(&stream) else {
                continue;
            };
            let target = lookup.arrivals.first();
            let target = target.map(|(_, arrival)| arrival.target.to_string());
            let to = lookup.take_repeated(now).to_vec();
            if let (Some(target), false) = (target, to.is_empty()) {
                let note = StreamNote::new(StreamMessage::Asked { stream, target });
                actions.push(Action::SendStreamNote { note, to });
            }
        }
    }

    /// Drops a request that waits for the version of its stream; returns whether there was one.
    pub(crate) fn drop_waiting_for_version(
        &mut self,
        now: Time,
        request: RequestId,
        actions: &mut Vec<Action>,
    ) -> bool {
        for lookup in self.streams.lookups.values_mut() {
            let arrivals = &mut lookup.arrivals;
            let position = arrivals
                .iter()
                .position(|(_, arrival)| arrival.request == request);
            if let Some(position) = position {
                let (arrived, _) = arrivals.swap_remove(position);
                actions.push(Action::Record(Outcome {
                    duration: now.since(arrived),
                    ..Outcome::unresolved(request, OutcomeEnd::CallerGone, Verdict::NotRun)
                }));
                return true;
            }
        }
        false
    }

    fn conclude_if_over(&mut self, now: Time, stream: StreamId, actions: &mut Vec<Action>) {
        let lookups = &mut self.streams.lookups;
        let listed = &self.streams.listed;
        let is_over = lookups
            .get(&stream)
            .is_some_and(|lookup| lookup.is_over(listed, now));
        if let Some(lookup) = is_over.then(|| lookups.remove(&stream)).flatten() {
            self.conclude_lookup(now, stream, lookup, actions);
        }
    }

    /// Admits the requests that take a stream up, or refuses them if its version is not known. An
    /// assumed version counts only if the list of upstreams was confirmed after the first of them
    /// arrived: an older list may lack the version at which the stream began.
    fn conclude_lookup(
        &mut self,
        now: Time,
        stream: StreamId,
        mut lookup: VersionLookup,
        actions: &mut Vec<Action>,
    ) {
        let found = lookup.version(self.streams.keepers.is_empty());
        let is_confirmed = self.streams.listed.is_confirmed_after(lookup.started);
        let can_wait = !lookup.awaits_confirmation() && self.streams.lookups.len() < MAX_LOOKUPS;
        if found.is_none() && !is_confirmed && can_wait && self.may_assume(now, &lookup) {
            lookup.await_confirmation(now);
            self.streams.lookups.insert(stream, lookup);
            actions.push(Action::ConfirmUpstreams);
            return;
        }
        if let Some(found) = &found {
            self.streams.known.record(found.clone(), now);
        }
        for (arrived, arrival) in std::mem::take(&mut lookup.arrivals) {
            let unknown = TakenUpStream {
                answered: lookup.answered,
                asked: lookup.asked,
                ..self.unknown_stream(now, arrived, stream, &arrival)
            };
            let assumed = self.assumed_for(now, &lookup, &arrival.target);
            let noted = match (&found, assumed) {
                (Some(found), _) => TakenUpStream {
                    attempt: Some(found.attempt),
                    software_version: Some(found.software_version.clone()),
                    source: StreamSource::Asked,
                    ..unknown
                },
                (None, Some(software_version)) if is_confirmed => TakenUpStream {
                    software_version,
                    source: StreamSource::SoleVersion,
                    ..unknown
                },
                _ => {
                    refuse_unknown_version(unknown, actions);
                    continue;
                }
            };
            self.admit_taken_up(now, arrival, noted, actions);
        }
    }

    /// Whether the version of a stream that nobody knows can be assumed once the list of upstreams
    /// is confirmed.
    fn may_assume(&self, now: Time, lookup: &VersionLookup) -> bool {
        let mut targets = lookup.arrivals.iter().map(|(_, arrival)| &arrival.target);
        targets.any(|target| self.assumed_for(now, lookup, target).is_some())
    }

    /// The version that a stream of unknown version must have: the only one that this host, or a
    /// host that answered, has listed for long, if this host lists no other one now.
    fn assumed_for(
        &self,
        now: Time,
        lookup: &VersionLookup,
        target: &Target,
    ) -> Option<Option<SoftwareVersion>> {
        self.sole_version(now, target).or_else(|| {
            let assumed = lookup.assumed.clone()?;
            let listed = self.listed_version(target)?;
            (listed == Some(&assumed)).then_some(Some(assumed))
        })
    }

    pub(crate) fn on_directory_confirmed(
        &mut self,
        now: Time,
        as_of: Time,
        actions: &mut Vec<Action>,
    ) {
        self.streams.listed.note_confirmed(as_of);
        let pending: Vec<StreamId> = self.streams.lookups.keys().copied().collect();
        for stream in pending {
            self.conclude_if_over(now, stream, actions);
        }
    }

    /// What is noted of a stream whose version was not found.
    fn unknown_stream(
        &self,
        now: Time,
        arrived: Time,
        stream: StreamId,
        arrival: &Arrival,
    ) -> TakenUpStream {
        TakenUpStream {
            answered: 0,
            asked: 0,
            attempt: None,
            list_age: self.streams.listed.age(now),
            request: arrival.request,
            software_version: None,
            source: StreamSource::Unknown,
            stream,
            waited: now.since(arrived),
        }
    }

    /// Admits a request at the version that was found for its stream.
    fn admit_taken_up(
        &mut self,
        now: Time,
        mut arrival: Arrival,
        noted: TakenUpStream,
        actions: &mut Vec<Action>,
    ) {
        if let Some(routed) = &mut arrival.routed {
            let waited = noted.waited;
            routed.time_limit = routed.time_limit.map(|limit| limit.saturating_sub(waited));
        }
        let bound = VersionBound::Only(noted.software_version.clone());
        actions.push(Action::NoteTakenUp(noted));
        self.admit_or_refuse(now, arrival, bound, actions);
    }
}

fn refuse_unknown_version(noted: TakenUpStream, actions: &mut Vec<Action>) {
    let refusal = Refusal {
        retry_after: Some(UNKNOWN_RETRY_AFTER),
        ..Refusal::not_run(RefusalReason::StreamVersionUnknown)
    };
    let request = noted.request;
    actions.push(Action::NoteTakenUp(noted));
    push_refusal(request, refusal, actions);
}
