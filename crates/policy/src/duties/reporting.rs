//! Counts of this host for the usage reports, and the messages with these counts to the host that
//! holds the duties.

use super::*;

/// Base interval between two messages to the holder.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Time added to the interval for each host of the installation, so that the traffic to the holder
/// stays bounded. A message with 24 teams has about 600 bytes.
const REPORT_INTERVAL_PER_HOST: Duration = Duration::from_millis(3);

/// Time for which the last announcement of a holder is valid.
const HOLDER_TTL: Duration = Duration::from_secs(6);

/// Interval between two messages to the holder in an installation with this number of hosts.
pub(super) fn report_interval(hosts: usize) -> Duration {
    REPORT_INTERVAL + REPORT_INTERVAL_PER_HOST * hosts as u32
}

/// Host that holds the lease of the duties, as far as this host knows.
#[derive(Debug)]
struct KnownHolder {
    /// Address of the holder; `None` if this host is the holder.
    address: Option<SocketAddr>,
    last_received: Time,
    token: u64,
}

/// State of usage reporting on this host.
#[derive(Debug, Default)]
pub(crate) struct Reporting {
    pub(crate) counts: UsageCounts,
    holder: Option<KnownHolder>,
    next_report: Time,
    pub(crate) work: WorkCounts,
}

impl Reporting {
    fn update_holder(&mut self, now: Time, address: Option<SocketAddr>, note: &DutyNote) {
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
            self.next_report = now;
        }
        self.holder = Some(KnownHolder {
            address,
            last_received: now,
            token: note.token,
        });
        self.counts
            .update_from_holder(now, note.unix_ms, note.reported_through);
    }
}

impl Controller {
    fn usage_window_ms(&self) -> Option<u64> {
        let window = self.options.relay.as_ref()?.usage_window?;
        Some(window.as_millis() as u64)
    }

    /// Handles the announcement of another host that it holds the duties.
    pub(crate) fn on_duty_advertised(&mut self, now: Time, from: SocketAddr, note: &DutyNote) {
        self.reporting.update_holder(now, Some(from), note);
    }

    /// Handles that this host holds the duties, and announces it to the other hosts.
    pub(crate) fn on_duty_held(&mut self, now: Time, note: DutyNote, actions: &mut Vec<Action>) {
        self.reporting.update_holder(now, None, &note);
        let to = if self.neighbors.exchanges_with_subset() {
            self.neighbors.all_addresses().to_vec()
        } else {
            self.neighbors.addresses(&self.options.host).collect()
        };
        actions.push(Action::SendDutyNote { note, to });
    }

    pub(crate) fn on_time_of_day(&mut self, now: Time, unix_ms: u64) {
        self.reporting.counts.record_own_time(now, unix_ms);
    }

    /// Sends the counts to the holder when they are due.
    pub(crate) fn tick_reporting(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.usage_window_ms().is_none() || now < self.reporting.next_report {
            return;
        }
        let hosts = self.neighbors.len().max(self.neighbors.installation_size());
        self.reporting.next_report = now + report_interval(hosts);
        let holder = self.reporting.holder.as_ref();
        let Some(holder) = holder.filter(|holder| now.since(holder.last_received) < HOLDER_TTL)
        else {
            return;
        };
        let note = UsageNote {
            host: self.options.host.clone(),
            incarnation: self.options.incarnation,
            protocol: peer::PROTOCOL,
            unix_ms: 0,
            windows: self.reporting.counts.window_counts(),
            work: self.reporting.work.model_work(&self.pool),
        };
        let to = holder.address;
        actions.push(Action::SendUsageNote { note, to });
    }

    /// Counts a request of a team that began to run at `started`.
    pub(crate) fn count_started(&mut self, now: Time, started: Time, team: Option<TeamId>) {
        if let Some((team, window_ms)) = team.zip(self.usage_window_ms()) {
            let counts = &mut self.reporting.counts;
            counts.count_started(started, now, &team, window_ms);
        }
    }

    /// Counts a request that was answered in full, unless it was counted at its first token.
    pub(crate) fn count_answered(&mut self, now: Time, request: &mut Request<Running>) {
        self.count_service_call(now, request);
        let team = request.take_uncounted_team();
        self.count_started(now, now, team);
    }

    /// Counts a failed request if it most likely began to run. An upstream that responds with an
    /// error of its own has begun the request.
    pub(crate) fn count_failed(
        &mut self,
        now: Time,
        request: &mut Request<Running>,
        failure: &AttemptFailure,
    ) {
        if failure.verdict == Verdict::NotRun {
            return;
        }
        self.count_service_call(now, request);
        if failure.cause == FailureCause::ErrorStatus {
            let team = request.take_uncounted_team();
            self.count_started(now, now, team);
        }
    }

    /// Counts a call to a plain service, which is assumed to begin the call when it receives it. An
    /// engine begins a request with the first token.
    pub(crate) fn count_service_call(&mut self, now: Time, request: &mut Request<Running>) {
        if matches!(request.facts.target, Target::Service(_)) {
            let team = request.take_uncounted_team();
            self.count_started(now, request.stage.sent, team);
        }
    }
}
