use super::*;

/// Maximum number of remembered streams; the oldest are forgotten first. A host that keeps 200
/// streams a second for 30 s stays below this limit.
const MAX_STREAMS: usize = 8_192;

#[derive(Debug)]
struct KnownStream {
    attempt: u32,
    /// Whether this host sent the attempt itself. Of other hosts' attempts it may have missed a
    /// later report.
    is_own: bool,
    recorded: Time,
    software_version: SoftwareVersion,
}

/// Software versions of streams that this host has sent or that other hosts have reported.
#[derive(Debug, Default)]
pub(crate) struct KnownStreams {
    /// Streams in the order in which they were recorded. A stream that was recorded again is listed
    /// more than once.
    by_age: VecDeque<(Time, StreamId)>,
    streams: HashMap<StreamId, KnownStream>,
}

impl KnownStreams {
    /// Records the version of a stream that another host has sent, unless a later attempt of the
    /// same stream is known.
    pub(crate) fn record(&mut self, version: StreamVersion, now: Time) {
        self.record_sent(version, false, now);
    }

    /// Records the version of a stream that this host has sent.
    pub(crate) fn record_own(&mut self, version: StreamVersion, now: Time) {
        self.record_sent(version, true, now);
    }

    fn record_sent(&mut self, version: StreamVersion, is_own: bool, now: Time) {
        let known = self.streams.get(&version.stream);
        let is_later = known.is_some_and(|known| known.attempt > version.attempt);
        if is_later && !is_own {
            return;
        }
        let is_same = known.is_some_and(|known| known.software_version == version.software_version);
        let known = KnownStream {
            attempt: known.map_or(version.attempt, |known| known.attempt.max(version.attempt)),
            // The version that this host has sent does not become uncertain by the same report.
            is_own: is_own || (is_same && known.is_some_and(|known| known.is_own)),
            recorded: now,
            software_version: version.software_version,
        };
        self.streams.insert(version.stream, known);
        self.by_age.push_back((now, version.stream));
        while self.by_age.len() > MAX_STREAMS {
            self.forget_oldest();
        }
    }

    pub(crate) fn get(&self, stream: StreamId) -> Option<StreamVersion> {
        let known = self.streams.get(&stream)?;
        Some(StreamVersion {
            attempt: known.attempt,
            software_version: known.software_version.clone(),
            stream,
        })
    }

    /// Whether this host sent the latest known attempt of a stream.
    pub(crate) fn is_own(&self, stream: StreamId) -> bool {
        let known = self.streams.get(&stream);
        known.is_some_and(|known| known.is_own)
    }

    /// Forgets streams that were recorded longer ago than `lifetime`.
    pub(crate) fn expire(&mut self, lifetime: Duration, now: Time) {
        let is_old = |recorded: Time| now.since(recorded) > lifetime;
        while self
            .by_age
            .front()
            .is_some_and(|(recorded, _)| is_old(*recorded))
        {
            self.forget_oldest();
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.streams.len()
    }

    /// Removes the oldest entry, and the stream unless it was recorded again.
    fn forget_oldest(&mut self) {
        let Some((recorded, stream)) = self.by_age.pop_front() else {
            return;
        };
        let known = self.streams.get(&stream);
        if known.is_some_and(|known| known.recorded == recorded) {
            self.streams.remove(&stream);
        }
    }
}
