use super::*;

/// Time after which hosts that have not answered are asked again. A round trip between hosts takes
/// a few milliseconds, so a later answer was lost or comes from a host that is down.
const ASK_TIMEOUT: Duration = Duration::from_millis(60);

/// Time within which the directory must confirm the list of upstreams. A question that is sent
/// after another one waits for it, and a slow store takes some 0.2 s for an answer.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of times that a host is asked.
const MAX_ASKED: u32 = 2;

/// A question to other hosts for the software version of a stream, and to the directory if they do
/// not know it.
#[derive(Debug)]
pub(crate) struct VersionLookup {
    /// Requests that wait for the version, and when they arrived.
    pub(crate) arrivals: Vec<(Time, Arrival)>,
    /// Number of hosts that answered.
    pub(crate) answered: usize,
    /// Number of hosts that were asked.
    pub(crate) asked: usize,
    asked_count: u32,
    /// The version that another host assumes because it has long listed no other one.
    pub(crate) assumed: Option<SoftwareVersion>,
    /// Time until which the directory may confirm the list; `None` if it was not asked.
    confirmation_due: Option<Time>,
    /// The version of the latest attempt in the answers.
    found: Option<StreamVersion>,
    next_step: Time,
    /// The version that was reported to this host.
    reported: Option<StreamVersion>,
    /// Time at which the first request arrived. The stream began before.
    pub(crate) started: Time,
    unanswered: Vec<SocketAddr>,
}

impl VersionLookup {
    /// A lookup of a stream for which this host may have received a report.
    pub(crate) fn new(asked: Vec<SocketAddr>, reported: Option<StreamVersion>, now: Time) -> Self {
        Self {
            arrivals: Vec::new(),
            answered: 0,
            asked: asked.len(),
            asked_count: 1,
            assumed: None,
            confirmation_due: None,
            found: None,
            next_step: now + ASK_TIMEOUT,
            reported,
            started: now,
            unanswered: asked,
        }
    }

    /// Records an answer. The latest attempt counts: an earlier one may have been sent to another
    /// version before the stream began.
    pub(crate) fn note_answer(&mut self, from: SocketAddr, found: Option<StreamVersion>) {
        let before = self.unanswered.len();
        self.unanswered.retain(|address| *address != from);
        if self.unanswered.len() == before {
            return;
        }
        self.answered += 1;
        let Some(found) = found else { return };
        if found.attempt == ASSUMED_ATTEMPT {
            self.assumed = Some(found.software_version);
            return;
        }
        let latest = self.found.as_ref().map(|found| found.attempt);
        if Some(found.attempt) > latest {
            self.found = Some(found);
        }
    }

    /// The version of the latest known attempt. A report that this host received counts only if
    /// another host answered or none exists: a host that is cut off may have missed a later report.
    pub(crate) fn version(&self, is_only_host: bool) -> Option<StreamVersion> {
        let reported = self.reported.as_ref();
        let reported = reported.filter(|_| self.answered > 0 || is_only_host);
        let known = reported.into_iter().chain(&self.found);
        known.max_by_key(|known| known.attempt).cloned()
    }

    /// Whether the directory was asked to confirm the list.
    pub(crate) const fn awaits_confirmation(&self) -> bool {
        self.confirmation_due.is_some()
    }

    /// Starts to wait for the directory.
    pub(crate) fn await_confirmation(&mut self, now: Time) {
        self.confirmation_due = Some(now + CONFIRMATION_TIMEOUT);
    }

    /// Whether no further answer is expected or waited for.
    pub(crate) fn is_over(&self, listed: &ListedVersions, now: Time) -> bool {
        if let Some(due) = self.confirmation_due {
            return now >= due || listed.is_confirmed_after(self.started);
        }
        let is_late = now >= self.next_step;
        self.unanswered.is_empty()
            || (is_late && (self.found.is_some() || self.asked_count >= MAX_ASKED))
    }

    /// The hosts to ask again now.
    pub(crate) fn take_repeated(&mut self, now: Time) -> &[SocketAddr] {
        if now < self.next_step || self.asked_count >= MAX_ASKED {
            return &[];
        }
        self.asked_count += 1;
        self.next_step = now + ASK_TIMEOUT;
        &self.unanswered
    }
}
