//! Logs each decision about a request and each change of the host's state, at a limited rate.

use super::*;

/// Interval between log lines that report the number of dropped lines.
const DROPPED_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time between log lines about the observed hosts. In a large fleet each host is observed
/// only occasionally, and one line per change would dominate the log.
const OBSERVED_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of hosts that one list in such a line names.
const MAX_NAMED_HOSTS: usize = 8;

/// State of the host at the time of a decision.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecisionContext {
    /// Time since the configuration was last known to be the newest.
    pub(crate) config_age: Option<Duration>,
    pub(crate) queued: usize,
    pub(crate) version: Option<ConfigVersion>,
}

/// Writes the log lines, within a [`LogBudget`].
pub(crate) struct DecisionLog {
    budget: LogBudget,
    /// Observed hosts as of the last log line about them.
    logged_observed: Vec<HostId>,
    logger: Logger,
    next_dropped_at: Time,
    next_observed_at: Time,
}

impl DecisionLog {
    pub(crate) fn new(logger: Logger) -> Self {
        Self {
            budget: LogBudget::default(),
            logged_observed: Vec::new(),
            logger,
            next_dropped_at: Time::default(),
            next_observed_at: Time::default(),
        }
    }

    /// Logs that a request is sent to an upstream.
    pub(crate) fn log_sent(&mut self, now: Time, id: &str, order: &SendOrder) {
        if !self.budget.take(LineKind::Routine, now) {
            return;
        }
        let inputs = &order.inputs;
        let team = order.team.as_ref().map(ToString::to_string);
        info!(self.logger, "request: sent";
            "id" => id,
            "attempt" => inputs.attempt,
            "class" => %inputs.class,
            "team" => team,
            "upstream" => %order.upstream,
            "address" => %order.address,
            "path" => order.paths.first().map(ToString::to_string),
            "priority" => order.priority,
            "resumes" => order.resume_from.is_some(),
            "software_version" => inputs.software_version.as_ref().map(ToString::to_string),
            "stream" => inputs.stream.as_ref().map(ToString::to_string),
            "taken_up" => inputs.resumed_stream.is_some(),
            "waited_ms" => millis(inputs.waited),
            "due_in_ms" => millis(order.deadline.since(now)),
            "fingerprint" => inputs.fingerprint.short_hex(),
            "prompt" => format!("{:x}", inputs.shared_parts_hash),
            "parts" => format_parts(&inputs.shared_parts),
            "expected_wait_ms" => millis(inputs.expected_wait),
            "fetch_source" => inputs.fetch_source.as_ref().map(ToString::to_string),
            "fetch_tokens" => inputs.fetch_tokens.get(),
            "unread_tokens" => inputs.prefill_tokens.get(),
            "backlog_tokens" => inputs.backlog,
            "in_flight" => inputs.in_flight,
            "brittle_per_s" => inputs.rejection_limit.map(Rate::get),
            "limit_per_s" => inputs.rate_limit.map(Rate::get),
            "others_backlog_tokens" => inputs.others_backlog,
            "others_in_flight" => inputs.others_in_flight,
            "others_age_ms" => inputs.others_age.map(millis),
        );
    }

    /// Logs an attempt that failed; other ends of an attempt are ignored.
    pub(crate) fn log_attempt_failure(
        &mut self,
        now: Time,
        id: &str,
        upstream: Option<&UpstreamId>,
        failure: &AttemptEnd,
    ) {
        let AttemptEnd::Failed {
            cause,
            delivered,
            verdict,
            ..
        } = failure
        else {
            return;
        };
        if self.budget.take(LineKind::Important, now) {
            warn!(self.logger, "request: attempt failed";
                "id" => id,
                "upstream" => upstream.map(ToString::to_string),
                "cause" => %cause,
                "delivered" => *delivered,
                "verdict" => %verdict,
            );
        }
    }

    /// Counts and logs a response that did not answer its request.
    pub(crate) fn log_rejected_response(
        &mut self,
        now: Time,
        id: &str,
        upstream: &UpstreamId,
        response: &RejectedResponse,
    ) {
        let class = response.class.as_str();
        let attempt = response.named.as_str();
        counter!("rhubarbcove_responses_rejected_total", "class" => class, "attempt" => attempt)
            .increment(1);
        if !self.budget.take(LineKind::Important, now) {
            return;
        }
        warn!(self.logger, "request: response rejected";
            "id" => id,
            "upstream" => %upstream,
            "status" => response.status.as_u16(),
            "class" => class,
            "named_attempt" => attempt,
            "connection" => %response.connection,
            "requests_before" => response.requests_before,
            "connection_age_ms" => millis(response.connection_age),
        );
    }

    /// Counts and logs a stream that a caller takes up, and how its software version was found.
    pub(crate) fn log_taken_up(&mut self, now: Time, id: &str, noted: &TakenUpStream) {
        let source = noted.source.as_str();
        counter!("rhubarbcove_streams_taken_up_total", "version" => source).increment(1);
        if !self.budget.take(LineKind::Important, now) {
            return;
        }
        let software_version = noted.software_version.as_ref();
        info!(self.logger, "request: takes a stream up";
            "id" => id,
            "stream" => %noted.stream,
            "version" => source,
            "software_version" => software_version.map(ToString::to_string),
            "waited_ms" => millis(noted.waited),
            "attempt" => noted.attempt,
            "hosts_asked" => noted.asked,
            "hosts_answered" => noted.answered,
            "list_age_ms" => noted.list_age.map(millis),
        );
    }

    /// Counts the connection attempts to an upstream and logs them if any of them failed.
    pub(crate) fn log_path_attempts(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        tries: &[PathAttempt],
    ) {
        for tried in tries {
            let path = match tried.path {
                Path::Direct => "direct",
                Path::Through(_) => "through",
            };
            let end = tried.outcome.as_str();
            counter!("rhubarbcove_paths_tried_total", "path" => path, "end" => end).increment(1);
        }
        let all_connected = tries
            .iter()
            .all(|tried| tried.outcome == PathOutcome::Connected);
        if all_connected || !self.budget.take(LineKind::Important, now) {
            return;
        }
        let tries: Vec<String> = tries.iter().map(ToString::to_string).collect();
        info!(self.logger, "upstreams: path not open";
            "upstream" => %upstream,
            "tries" => tries.join(", "),
        );
    }

    /// Logs a change of the rejections per second that an upstream reports it can handle.
    pub(crate) fn log_rejection_limit(&mut self, now: Time, noted: &BrittlenessChange) {
        if self.budget.take(LineKind::Important, now) {
            info!(self.logger, "belief: brittle upstream";
                "upstream" => %noted.upstream,
                "rejections_per_s" => noted.rejection_limit.map(Rate::get),
            );
        }
    }

    /// Counts and logs that this host's own path to an upstream was lost or restored.
    pub(crate) fn log_path_change(&mut self, now: Time, noted: &PathChange) {
        let change = if noted.is_open { "regained" } else { "lost" };
        counter!("rhubarbcove_own_paths_noted_total", "change" => change).increment(1);
        if !self.budget.take(LineKind::Important, now) {
            return;
        }
        let cut_off: Vec<String> = noted.cut_off.iter().map(ToString::to_string).collect();
        let tries: Vec<String> = noted.tries.iter().map(ToString::to_string).collect();
        info!(self.logger, "belief: own path";
            "change" => change,
            "upstream" => %noted.upstream,
            "tries" => tries.join(", "),
            "lost" => noted.lost,
            "cut_off" => cut_off.join(","),
        );
    }

    /// Logs the outcome of a request.
    pub(crate) fn log_end(
        &mut self,
        now: Time,
        id: &str,
        outcome: &Outcome,
        context: &DecisionContext,
    ) {
        let is_success = matches!(outcome.end, OutcomeEnd::Finished | OutcomeEnd::Replayed);
        let kind = if is_success {
            LineKind::Routine
        } else {
            LineKind::Important
        };
        if !self.budget.take(kind, now) {
            return;
        }
        let text = |value: Option<String>| value.unwrap_or_default();
        info!(self.logger, "request: ended";
            "id" => id,
            "end" => outcome.end.as_str(),
            "reason" => outcome.reason.map(|reason| reason.code()),
            "verdict" => %outcome.verdict,
            "class" => text(outcome.class.as_ref().map(ToString::to_string)),
            "team" => text(outcome.team.as_ref().map(ToString::to_string)),
            "tier" => outcome.tier.map(u8::from),
            "upstream" => text(outcome.upstream.as_ref().map(ToString::to_string)),
            "attempts" => outcome.attempts,
            "expected_ms" => outcome.expected_duration.map(millis),
            "limit_ms" => outcome.time_limit.map(millis),
            "lasted_ms" => millis(outcome.duration),
            "first_token_ms" => outcome.first_token.map(millis),
            "longest_pause_ms" => millis(outcome.longest_pause),
            "in_target" => outcome.met_target,
            "config_version" => context.version.map(ConfigVersion::get),
            "config_age_ms" => context.config_age.map(millis),
            "queued" => context.queued,
        );
    }

    /// Publishes and logs a change of the fraction of a class's requests that is admitted.
    pub(crate) fn log_admission_change(&mut self, now: Time, noted: &AdmissionChange) {
        let class = noted.class.to_string();
        gauge!("rhubarbcove_admission_level", "class" => class).set(noted.level);
        if self.budget.take(LineKind::Important, now) {
            info!(self.logger, "belief: admission level";
                "class" => %noted.class,
                "target" => %noted.target,
                "level" => format!("{:.2}", noted.level),
                "expected_ms" => millis(noted.expected_duration),
                "limit_ms" => millis(noted.usual_time_limit),
            );
        }
    }

    /// Counts an upstream that crashed while serving a request. Logs the crash if this host
    /// observed it or if it is not the first crash for its subject.
    pub(crate) fn log_crash(&mut self, now: Time, noted: &CrashDetected) {
        let (source, from) = match &noted.source {
            CrashSource::Host(host) => ("advertised", Some(host.to_string())),
            CrashSource::Own => ("own", None),
            CrashSource::Store => ("store", None),
        };
        counter!("rhubarbcove_crashes_noted_total", "source" => source).increment(1);
        // The first crash for a subject is logged by the host that observed it. If every host
        // logged it, such lines would dominate the log of a large fleet.
        let is_logged = noted.source == CrashSource::Own || noted.crashes > 1;
        if !is_logged || !self.budget.take(LineKind::Important, now) {
            return;
        }
        warn!(self.logger, "crashes: upstream ended under a request";
            "subject" => noted.subject.label(),
            "upstream" => %noted.upstream,
            "crashes" => noted.crashes,
            "weak" => noted.is_weak,
            "barred_for_s" => noted.barred_for.map(|left| left.as_secs()),
            "from" => from,
        );
    }

    /// Counts and logs a change of the rate limit that an upstream reports.
    pub(crate) fn log_limit_change(&mut self, now: Time, noted: &LimitChange) {
        let source = noted.source.as_str();
        counter!("rhubarbcove_limits_noted_total", "source" => source).increment(1);
        if self.budget.take(LineKind::Important, now) {
            info!(self.logger, "belief: limit of an upstream";
                "upstream" => %noted.upstream,
                "limit_per_s" => noted.limit.map(Rate::get),
                "from" => noted.source.host().map(ToString::to_string),
            );
        }
    }

    /// Logs a change of the estimated speed of an engine.
    pub(crate) fn log_speed_change(&mut self, now: Time, noted: &SpeedChange) {
        if self.budget.take(LineKind::Important, now) {
            info!(self.logger, "belief: engine speed";
                "upstream" => %noted.upstream,
                "factor" => noted.factor,
                "factor_before" => noted.factor_before,
                "read_tokens_per_ms" => noted.read_tokens_per_ms,
                "samples" => noted.samples,
                "hosts" => noted.hosts,
            );
        }
    }

    /// Counts and logs an upstream that is newly known to be leaving.
    pub(crate) fn log_leaving(&mut self, now: Time, noted: &LeavingDetected) {
        let source = noted.source.as_str();
        counter!("rhubarbcove_leaving_noted_total", "source" => source).increment(1);
        if self.budget.take(LineKind::Important, now) {
            info!(self.logger, "belief: upstream leaves";
                "upstream" => %noted.upstream,
                "source" => source,
                "from" => noted.source.host().map(ToString::to_string),
            );
        }
    }

    /// Counts and logs what an upstream reported about itself in a response.
    pub(crate) fn log_upstream_notice(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        notice: &UpstreamNotice,
    ) {
        if let AdvertisedLimit::Invalid(text) = &notice.limit {
            counter!("rhubarbcove_limits_unreadable_total").increment(1);
            self.log_invalid_value(
                now,
                "request: unreadable limit in an answer",
                upstream,
                text,
            );
        }
        if let AdvertisedLimit::Invalid(text) = &notice.rejection_limit {
            counter!("rhubarbcove_brittleness_unreadable_total").increment(1);
            self.log_invalid_value(
                now,
                "request: unreadable brittleness in an answer",
                upstream,
                text,
            );
        }
        if let AdvertisedBackoff::Invalid(text) = &notice.backoff {
            counter!("rhubarbcove_backoffs_unreadable_total").increment(1);
            self.log_invalid_value(
                now,
                "request: unreadable backoff in an answer",
                upstream,
                text,
            );
        }
        let backoff = match notice.backoff {
            AdvertisedBackoff::Valid(backoff) => Some(backoff),
            AdvertisedBackoff::Absent | AdvertisedBackoff::Invalid(_) => None,
        };
        if backoff.is_some() {
            counter!("rhubarbcove_backoffs_asked_total").increment(1);
        }
        if notice.leaving {
            counter!("rhubarbcove_leaving_answers_total").increment(1);
        }
        let is_logged = notice.leaving || backoff.is_some();
        if is_logged && self.budget.take(LineKind::Important, now) {
            info!(self.logger, "request: answer says";
                "upstream" => %upstream,
                "leaving" => notice.leaving,
                "backoff_ms" => backoff.map(millis),
            );
        }
    }

    fn log_invalid_value(
        &mut self,
        now: Time,
        message: &'static str,
        upstream: &UpstreamId,
        text: &str,
    ) {
        if self.budget.take(LineKind::Important, now) {
            warn!(self.logger, "{}", message; "upstream" => %upstream, "value" => text);
        }
    }

    /// Logs a request that was rejected before it reached the controller.
    pub(crate) fn log_rejected(
        &mut self,
        now: Time,
        id: &str,
        reason: &str,
        context: &DecisionContext,
    ) {
        if !self.budget.take(LineKind::Important, now) {
            return;
        }
        info!(self.logger, "request: turned away";
            "id" => id,
            "reason" => reason,
            "verdict" => Verdict::NotRun.as_str(),
            "config_version" => context.version.map(ConfigVersion::get),
            "config_age_ms" => context.config_age.map(millis),
        );
    }

    /// Logs the differences between two host statuses.
    pub(crate) fn log_status_changes(
        &mut self,
        now: Time,
        before: &HostStatus,
        after: &HostStatus,
    ) {
        if before.phase != after.phase && self.budget.take(LineKind::Important, now) {
            info!(self.logger, "belief: phase"; "phase" => format!("{:?}", after.phase));
        }
        if before.behind != after.behind && self.budget.take(LineKind::Important, now) {
            info!(self.logger, "belief: a newer configuration exists"; "known" => after.behind);
        }
        if before.current != after.current && self.budget.take(LineKind::Important, now) {
            info!(self.logger, "belief: configuration known to be the newest";
                "known" => after.current);
        }
        self.log_set_change(
            now,
            "belief: upstreams ejected",
            &before.ejected,
            &after.ejected,
        );
        self.log_set_change(
            now,
            "belief: upstreams leaving",
            &before.leaving,
            &after.leaving,
        );
        self.log_set_change(
            now,
            "belief: upstreams used though not listed",
            &before.unlisted,
            &after.unlisted,
        );
        self.log_observed_changes(now, &after.observed);
    }

    /// Logs the changes of the observed hosts since the last such line, at most once per
    /// [`OBSERVED_INTERVAL`].
    fn log_observed_changes(&mut self, now: Time, observed: &[HostId]) {
        if now < self.next_observed_at || self.logged_observed == observed {
            return;
        }
        self.next_observed_at = now + OBSERVED_INTERVAL;
        let before = std::mem::replace(&mut self.logged_observed, observed.to_vec());
        if !self.budget.take(LineKind::Important, now) {
            return;
        }
        let join_names = |hosts: Vec<String>| {
            let more = hosts.len().saturating_sub(MAX_NAMED_HOSTS);
            let names = hosts[..hosts.len() - more].join(",");
            if more == 0 {
                names
            } else {
                format!("{names} and {more} more")
            }
        };
        info!(self.logger, "belief: hosts observed";
            "added" => join_names(difference(observed, &before)),
            "gone" => join_names(difference(&before, observed)),
            "count" => observed.len(),
        );
    }

    fn log_set_change<T: Display + PartialEq>(
        &mut self,
        now: Time,
        message: &'static str,
        before: &[T],
        after: &[T],
    ) {
        if before == after || !self.budget.take(LineKind::Important, now) {
            return;
        }
        info!(self.logger, "{}", message;
            "added" => difference(after, before).join(","),
            "gone" => difference(before, after).join(","),
            "count" => after.len(),
        );
    }

    /// Logs and counts the dropped lines, at most once per [`DROPPED_INTERVAL`].
    pub(crate) fn log_dropped_lines(&mut self, now: Time) {
        if now < self.next_dropped_at {
            return;
        }
        self.next_dropped_at = now + DROPPED_INTERVAL;
        let (important, routine) = self.budget.take_dropped();
        if important + routine == 0 {
            return;
        }
        counter!("rhubarbcove_log_lines_dropped_total", "kind" => "important").increment(important);
        counter!("rhubarbcove_log_lines_dropped_total", "kind" => "routine").increment(routine);
        warn!(self.logger, "log: lines dropped"; "important" => important, "routine" => routine);
    }
}

/// The items of `items` that are not in `others`.
fn difference<T: Display + PartialEq>(items: &[T], others: &[T]) -> Vec<String> {
    let difference = items.iter().filter(|item| !others.contains(item));
    difference.map(ToString::to_string).collect()
}

/// The ids of prompt parts, in the form in which callers send them.
fn format_parts(parts: &[PromptPart]) -> String {
    let ids: Vec<String> = parts.iter().map(|part| format!("{:x}", part.id)).collect();
    ids.join(",")
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

#[cfg(test)]
#[path = "../tests/unit/decision_log.rs"]
mod tests;
