//! What a host counts for the usage reports, and tells the holder of the duties.

use super::*;

/// Time between two messages to the holder …
const TELL_INTERVAL: Duration = Duration::from_millis(400);

/// … and for each host of the installation, so that the holder's traffic stays bounded:
/// a message of 24 teams has some 600 bytes.
const TELL_INTERVAL_PER_HOST: Duration = Duration::from_millis(3);

/// Time for which the last word of a holder counts.
const HOLDER_VALID: Duration = Duration::from_secs(6);

/// Time between two messages to the holder where there are so many hosts.
pub(super) fn tell_interval(hosts: usize) -> Duration {
    TELL_INTERVAL + TELL_INTERVAL_PER_HOST * hosts as u32
}

/// The host that holds the lease of the duties, as far as this one knows.
#[derive(Debug)]
struct KnownHolder {
    /// `None` for this host itself.
    address: Option<SocketAddr>,
    last_received: Time,
    token: u64,
}

/// State of the reports on this host.
#[derive(Debug, Default)]
pub(crate) struct Reporting {
    pub(crate) counts: UsageCounts,
    holder: Option<KnownHolder>,
    next_announcement: Time,
    pub(crate) work: WorkCounts,
}

impl Reporting {
    fn note_holder(&mut self, now: Time, address: Option<SocketAddr>, note: &DutyNote) {
        if self
            .holder
            .as_ref()
            .is_some_and(|known| note.token < known.token)
        {
            return;
        }
        let is_new = self
            .holder
            .as_ref()
            .is_none_or(|known| known.token < note.token);
        if is_new {
            self.next_announcement = now;
        }
        self.holder = Some(KnownHolder {
            address,
            last_received: now,
            token: note.token,
        });
        self.counts
            .note_holder(now, note.unix_ms, note.reported_through);
    }
}

impl Controller {
    fn usage_window_ms(&self) -> Option<u64> {
        let window = self.options.relay.as_ref()?.usage_window?;
        Some(window.as_millis() as u64)
    }

    /// Another host announced that it holds the duties.
    pub(crate) fn on_duty_advertised(&mut self, now: Time, from: SocketAddr, note: &DutyNote) {
        self.reporting.note_holder(now, Some(from), note);
    }

    /// This host holds the duties, and tells the others.
    pub(crate) fn on_duty_held(&mut self, now: Time, note: DutyNote, actions: &mut Vec<Action>) {
        self.reporting.note_holder(now, None, &note);
        let to = if self.neighbors.exchanges_with_subset() {
            self.neighbors.all_addresses().to_vec()
        } else {
            self.neighbors.addresses(&self.options.host).collect()
        };
        actions.push(Action::SendDutyNote { note, to });
    }

    pub(crate) fn on_time_of_day(&mut self, now: Time, unix_ms: u64) {
        self.reporting.counts.note_own_time(now, unix_ms);
    }

    /// Tells the holder what was counted.
    pub(crate) fn tick_reporting(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.usage_window_ms().is_none() || now < self.reporting.next_announcement {
            return;
        }
        let hosts = self.neighbors.len().max(self.neighbors.installation_size());
        self.reporting.next_announcement = now + tell_interval(hosts);
        let holder = self.reporting.holder.as_ref();
        let Some(holder) = holder.filter(|holder| now.since(holder.last_received) < HOLDER_VALID)
        else {
            return;
        };
        let note = UsageNote {
            host: self.options.host.clone(),
            incarnation: self.options.incarnation,
            protocol: peer::PROTOCOL,
            unix_ms: 0,
            windows: self.reporting.counts.windows(),
            work: self.reporting.work.works(&self.pool),
        };
        let to = holder.address;
        actions.push(Action::SendUsageNote { note, to });
    }

    /// Counts a request of a team that began to run at a moment.
    pub(crate) fn note_begun(&mut self, now: Time, begun: Time, team: Option<TeamId>) {
        if let Some((team, window_ms)) = team.zip(self.usage_window_ms()) {
            let counts = &mut self.reporting.counts;
            counts.note_begun(begun, now, &team, window_ms);
        }
    }

    /// Counts a request that was answered whole, if that was not done with its first token.
    pub(crate) fn note_answered(&mut self, now: Time, request: &mut Request<Running>) {
        self.note_call_begun(now, request);
        let team = request.take_uncounted_team();
        self.note_begun(now, now, team);
    }

    /// Counts a request that failed, if it most likely began: an upstream that answers with
    /// an error of its own has begun it.
    pub(crate) fn note_failed_begun(
        &mut self,
        now: Time,
        request: &mut Request<Running>,
        failure: &AttemptFailure,
    ) {
        if failure.verdict == Verdict::NotRun {
            return;
        }
        self.note_call_begun(now, request);
        if failure.cause == FailureCause::ErrorStatus {
            let team = request.take_uncounted_team();
            self.note_begun(now, now, team);
        }
    }

    /// Counts a call that a plain service began when it got it, as far as can be known. An
    /// engine begins with the first token.
    pub(crate) fn note_call_begun(&mut self, now: Time, request: &mut Request<Running>) {
        if matches!(request.facts.target, Target::Service(_)) {
            let team = request.take_uncounted_team();
            self.note_begun(now, request.stage.sent, team);
        }
    }
}
