//! Reports of the software versions of streams to their keepers, and answers to other hosts.

use super::*;

/// Number of deadlines of its class for which a stream may run, over several tries of its caller.
const LIFETIME_DEADLINES: u32 = 3;

/// Number of the attempt in an answer that is assumed and not reported. It is lower than that of
/// any attempt that was sent.
pub(crate) const ASSUMED_ATTEMPT: u32 = 0;

impl Controller {
    /// Records the version of a stream and reports it to the keepers of the stream.
    pub(crate) fn report_stream(
        &mut self,
        now: Time,
        version: StreamVersion,
        actions: &mut Vec<Action>,
    ) {
        self.streams.known.record_own(version.clone(), now);
        let keepers = &self.streams.keepers;
        let is_silent = |host: &HostId| self.neighbors.is_silent(host, now);
        let to = keepers.to_report_to(version.stream, is_silent);
        if !to.is_empty() {
            let note = StreamNote::new(StreamMessage::Sent(version));
            actions.push(Action::SendStreamNote { note, to });
        }
    }

    pub(crate) fn on_stream_note(
        &mut self,
        now: Time,
        from: SocketAddr,
        note: StreamNote,
        actions: &mut Vec<Action>,
    ) {
        match note.content {
            StreamMessage::Sent(version) => self.streams.known.record(version, now),
            StreamMessage::Asked { stream, target } => {
                let found = self.streams.known.get(stream);
                let found = found.or_else(|| self.assumed_version(now, stream, &target));
                let answer = StreamMessage::Answered { found, stream };
                actions.push(Action::SendStreamNote {
                    note: StreamNote::new(answer),
                    to: vec![from],
                });
            }
            StreamMessage::Answered { found, stream } => {
                self.on_version_answered(now, from, stream, found, actions);
            }
        }
    }

    /// The only version that a stream can have, if all upstreams of its target have long been of
    /// one version. It counts less than any report.
    fn assumed_version(&self, now: Time, stream: StreamId, target: &str) -> Option<StreamVersion> {
        let mut targets = self.pool.targets.keys();
        let target = targets.find(|known| known.to_string() == target)?;
        Some(StreamVersion {
            attempt: ASSUMED_ATTEMPT,
            software_version: self.sole_version(now, target)??,
            stream,
        })
    }

    /// The version of a target's upstreams, if they have all had the same one for as long as a
    /// stream may have run.
    pub(crate) fn sole_version(
        &self,
        now: Time,
        target: &Target,
    ) -> Option<Option<SoftwareVersion>> {
        let version = self.listed_version(target)?;
        let lifetime = self.streams.lifetime;
        let listed = &self.streams.listed;
        let is_sole = !lifetime.is_zero() && listed.is_sole_version(target, version, lifetime, now);
        is_sole.then(|| version.cloned())
    }

    /// The version of a target's upstreams, if this host knows all of them and they have the same
    /// one now.
    pub(crate) fn listed_version(&self, target: &Target) -> Option<Option<&SoftwareVersion>> {
        let directory = self.directory.as_ref();
        let knows_all_upstreams = self.pool.common_ids.is_none();
        let is_reachable = directory.is_none_or(DirectoryView::is_reachable);
        if !knows_all_upstreams || !is_reachable {
            return None;
        }
        let mut upstreams = self.pool.upstreams_of(target);
        let version = upstreams.next()?.definition.software_version();
        let mut others = upstreams.map(|state| state.definition.software_version());
        others.all(|other| other == version).then_some(version)
    }

    /// Records the versions of the upstreams before the list of them changes.
    pub(crate) fn note_listed_versions(&mut self, now: Time) {
        let lifetime = self.streams.lifetime;
        let upstreams = self.pool.states.iter();
        self.streams.listed.note_listed(upstreams, now);
        // The lifetime is not known before the configuration is.
        if !lifetime.is_zero() {
            self.streams.listed.expire(lifetime, now);
        }
    }

    /// Sets the time within which a caller may take up a stream from the deadlines in the
    /// configuration.
    pub(crate) fn update_stream_lifetime(&mut self, document: &Document) {
        let resumable = document.classes.values().filter(|class| class.resumable);
        let longest_ms = resumable.map(|class| class.deadline_ms).max();
        let longest = Duration::from_millis(longest_ms.unwrap_or_default());
        self.streams.lifetime = longest * LIFETIME_DEADLINES;
    }
}

impl Request<Running> {
    /// The version of the upstream that runs the request, if a caller may take its stream up.
    pub(crate) fn stream_version(&self) -> Option<StreamVersion> {
        let software_version = self.stage.software_version.clone();
        let is_resumable = self.facts.resumable;
        Some(StreamVersion {
            attempt: self.attempts,
            software_version: software_version.filter(|_| is_resumable)?,
            stream: self.facts.stream?,
        })
    }
}
