use super::*;

/// Settings of a controller.
#[derive(Clone, Debug, PartialEq)]
pub struct ControllerOptions {
    /// Failure domain of this host.
    pub failure_domain: FailureDomainId,
    /// This host.
    pub host: HostId,
    /// Incarnation of this host, which is the first part of its attempt ids.
    pub incarnation: Incarnation,
    /// Maximum number of queued requests.
    pub max_queued: usize,
    /// Rules of the installation, for a host that relays requests.
    pub relay: Option<RelayRules>,
    /// Rules by which slots are assigned to the ranks of requests.
    pub slot_rules: SlotRules,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Maximum time for which a starting host waits for the platform's list of leaving upstreams.
const MAX_LEAVING_LIST_WAIT: Duration = Duration::from_secs(2);

/// The targets whose queues may have to be dispatched after an event.
enum AffectedTargets {
    All,
    None,
    Some(Vec<Target>),
}

/// The state machine that makes all decisions of a host. For each event and its time, it returns
/// the actions to take. Two runs with the same events and times return the same actions.
#[derive(Debug)]
pub struct Controller {
    pub(crate) configuration: Option<Arc<VersionedDocument>>,
    /// Last time at which the configuration in force was known to be the newest.
    pub(crate) confirmed_at: Option<Time>,
    /// Time at which the first configuration was read.
    configured_at: Option<Time>,
    pub(crate) crashes: Crashes,
    /// Queued requests, ordered by the latest time at which they may start.
    pub(crate) deadlines: BTreeSet<(Time, RequestId)>,
    /// Upstreams from the directory; `None` if the configuration lists the upstreams.
    pub(crate) directory: Option<DirectoryView>,
    pub(crate) drain: Drain,
    pub(crate) early_refusal: EarlyRefusal,
    /// Whether any upstream is brittle.
    pub(crate) has_brittle_upstreams: bool,
    pub(crate) streams: Streams,
    pub(crate) target_queues: BTreeMap<Target, TargetQueues>,
    pub(crate) length_estimate: LengthEstimate,
    pub(crate) team_limits: TeamLimits,
    /// Whether the platform's list of leaving upstreams, or the directory, has been read.
    is_leaving_list_read: bool,
    pub(crate) neighbors: Neighbors,
    pub(crate) newer_configuration: NewerConfiguration,
    /// Time of the next check for stalled attempts whose paths are lost.
    pub(crate) next_stall_check: Time,
    pub(crate) next_attempt: u64,
    /// Time of the next division of the slots of brittle upstreams.
    pub(crate) next_division: Time,
    pub(crate) next_seq: u64,
    /// Time of the next check for lost paths while all upstreams are silent.
    pub(crate) next_silence_check: Time,
    pub(crate) options: ControllerOptions,
    pub(crate) own_paths: OwnPaths,
    /// Requests parked while the store is unavailable, ordered by when they are queued again.
    pub(crate) parked: BTreeSet<(Time, RequestId)>,
    pub(crate) phase: HostPhase,
    pub(crate) peering: Peering,
    pub(crate) pool: Pool,
    pub(crate) queued_count: usize,
    pub(crate) reporting: Reporting,
    pub(crate) requests: HashMap<RequestId, Stage>,
    pub(crate) retry_budgets: RetryBudgets,
    pub(crate) rng: SmallRng,
    /// Shortest pause target of all classes.
    pub(crate) shortest_pause_ms: Option<u64>,
    pub(crate) teams_by_key: HashMap<KeyHash, TeamId>,
    pub(crate) transit_hosts: TransitHosts,
    pub(crate) upstream_limits: UpstreamLimits,
    pub(crate) urgency: Urgency,
}

impl Controller {
    /// Creates a controller without a configuration, which refuses requests until a configuration
    /// is read.
    pub fn new(options: ControllerOptions) -> Self {
        let pool = Pool::new(options.slot_rules.clone(), options.relay.is_some());
        let peering = Peering::new(options.host.clone(), options.failure_domain.clone());
        Self {
            configuration: None,
            confirmed_at: None,
            configured_at: None,
            crashes: Crashes::default(),
            deadlines: BTreeSet::new(),
            directory: None,
            drain: Drain::default(),
            early_refusal: EarlyRefusal::default(),
            has_brittle_upstreams: false,
            streams: Streams::default(),
            target_queues: BTreeMap::new(),
            length_estimate: LengthEstimate::default(),
            team_limits: TeamLimits::default(),
            is_leaving_list_read: false,
            neighbors: Neighbors::default(),
            newer_configuration: NewerConfiguration::default(),
            next_stall_check: Time::default(),
            next_attempt: 0,
            next_division: Time::default(),
            next_seq: 0,
            next_silence_check: Time::default(),
            own_paths: OwnPaths::default(),
            parked: BTreeSet::new(),
            peering,
            phase: HostPhase::Starting,
            pool,
            queued_count: 0,
            reporting: Reporting::default(),
            requests: HashMap::default(),
            retry_budgets: RetryBudgets::new(options.relay.as_ref()),
            rng: SmallRng::seed_from_u64(options.seed),
            shortest_pause_ms: None,
            teams_by_key: HashMap::default(),
            transit_hosts: TransitHosts::default(),
            upstream_limits: UpstreamLimits::default(),
            urgency: Urgency::default(),
            options,
        }
    }

    /// Handles an event at the given time, and appends the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.streams.listed.note_event(now);
        let affected = self.affected_targets(&event);
        self.apply_event(now, event, actions);
        match affected {
            AffectedTargets::All => self.dispatch(now, None, actions),
            AffectedTargets::None => {}
            AffectedTargets::Some(targets) => self.dispatch(now, Some(&targets), actions),
        }
        if self.request_tokens(now, actions) {
            self.dispatch(now, None, actions);
        }
    }

    /// Returns the targets whose queues the event may have added requests or free slots to.
    /// Dispatching the queues of all targets after each event would make its cost proportional to
    /// their number.
    fn affected_targets(&self, event: &Event) -> AffectedTargets {
        match event {
            Event::Arrived(arrival) => AffectedTargets::Some(vec![arrival.target.clone()]),
            Event::AttemptEnded { request, .. } | Event::CallerGone { request } => {
                match self.requests.get(request) {
                    Some(Stage::Running(request)) => {
                        AffectedTargets::Some(self.pool.targets_of(&request.stage.upstream))
                    }
                    _ => AffectedTargets::All,
                }
            }
            Event::DutyHeld(_)
            | Event::DutyAdvertised { .. }
            | Event::HeartbeatReceived { .. }
            | Event::NoticeAnswered { .. }
            | Event::PathsTried { .. }
            | Event::TokensRequested { .. }
            | Event::Progressed { .. }
            | Event::TimeOfDay { .. }
            | Event::TransitRequested { .. } => AffectedTargets::None,
            Event::StreamNoteReceived { note, .. } if !note.is_answer() => AffectedTargets::None,
            _ => AffectedTargets::All,
        }
    }

    fn apply_event(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrived(arrival) => self.on_arrived(now, arrival, actions),
            Event::AttemptEnded {
                attempt,
                end,
                request,
            } => self.on_attempt_ended(now, request, attempt, end, actions),
            Event::CallerGone { request } => self.on_caller_gone(now, request, actions),
            Event::ClaimAnswered { answer, request } => {
                self.on_claim_answered(now, request, answer, actions);
            }
            Event::ConfigurationAnnounced => self.on_configuration_announced(now, actions),
            Event::ConfigurationConfirmed { as_of } => {
                self.on_configuration_confirmed(now, as_of, actions);
            }
            Event::ConfigurationUsability { is_usable } => {
                self.newer_configuration.note_usability(is_usable);
            }
            Event::NewerConfigurationAtPeer { from, version } => {
                self.on_newer_at_peer(now, from, version, actions);
            }
            Event::ConfigurationFetchEnded { address, end } => {
                self.on_fetch_ended(now, address, end, actions);
            }
            Event::ConfigurationPacked(version) => self.announce_version(version, actions),
            Event::ConfigurationRead(numbered) => self.apply_configuration(now, numbered),
            Event::DirectoryChangesMissed => self.streams.listed.note_gap(),
            Event::DirectoryConfirmed { as_of } => {
                self.on_directory_confirmed(now, as_of, actions);
            }
            Event::DirectoryReachableAgain => {
                self.directory
                    .get_or_insert_default()
                    .note_reachable_again();
            }
            Event::DirectoryLost => {
                self.streams.listed.note_gap();
                self.directory.get_or_insert_default().note_lost();
            }
            Event::DirectoryRegained { at } => {
                self.directory.get_or_insert_default().note_regained(at);
            }
            Event::DirectoryRead {
                common,
                leaving,
                upstreams,
            } => {
                self.pool.common_ids = common;
                self.note_listed_leaving(now, &leaving);
                let directory = self.directory.get_or_insert_default();
                directory.update(leaving, upstreams, now);
                self.streams.listed.note_received(now);
                self.apply_directory(now, actions);
                self.is_leaving_list_read = true;
                self.serve_if_ready(now);
            }
            Event::CrashesListed(crashes) => self.on_crashes_listed(now, &crashes, actions),
            Event::CrashesReceived(note) => self.on_crashes_received(now, &note, actions),
            Event::DrainStarted { end } => self.start_drain(now, end, actions),
            Event::DutyHeld(note) => self.on_duty_held(now, note, actions),
            Event::DutyAdvertised { from, note } => self.on_duty_advertised(now, from, &note),
            Event::HeartbeatAnswered { answer, host, sent } => {
                self.on_heartbeat_answered(now, &host, sent, answer, actions);
            }
            Event::HeartbeatReceived { call, heartbeat } => {
                self.on_heartbeat(now, call, &heartbeat, actions);
            }
            Event::HostsListed { hosts } => self.on_hosts_listed(now, hosts),
            Event::UpstreamNoticesReceived(note) => self.on_upstream_notices(now, &note, actions),
            Event::ListeningChecked {
                listening,
                upstream,
            } => self.on_listening_checked(now, &upstream, listening, actions),
            Event::LoadReported { report, upstream } => self.on_load_report(now, &upstream, report),
            Event::LoadNoteReceived { from, note } => self.on_load_note(now, from, note, actions),
            Event::NoticeAnswered {
                notice,
                sent,
                upstream,
            } => self.on_notice_answered(now, &upstream, &notice, sent, actions),
            Event::PathsTried {
                request,
                attempts,
                upstream,
            } => {
                self.note_request_path(request, &attempts);
                self.on_paths_tried(now, &upstream, attempts, actions);
            }
            Event::PeersListed { peers, total_hosts } => {
                if let Some(total_hosts) = total_hosts {
                    self.retry_budgets.update_host_count(now, total_hosts);
                }
                let ControllerOptions {
                    failure_domain,
                    host,
                    ..
                } = &self.options;
                self.neighbors
                    .note_listed(now, host, failure_domain, &peers, total_hosts);
                self.streams.keepers.note_listed(host, &peers);
            }
            Event::ProbeAnswered { healthy, upstream } => {
                if healthy {
                    self.pool.note_responsive(&upstream, now);
                }
                if let Some(state) = self.pool.get_mut(&upstream) {
                    state.health.note_probe(healthy, now);
                }
            }
            Event::Progressed {
                attempt,
                longest_pause,
                request,
                tokens,
            } => self.on_progress(now, request, attempt, longest_pause, tokens, actions),
            Event::StreamNoteReceived { from, note } => {
                self.on_stream_note(now, from, note, actions);
            }
            Event::QueueLimitChanged(max_queued) => self.options.max_queued = max_queued,
            Event::RulesChanged(rules) => {
                self.retry_budgets.update_rules(&rules);
                self.options.relay = Some(rules);
            }
            Event::Ticked => self.on_tick(now, actions),
            Event::TokensRequested { ask, from } => self.on_tokens_asked(now, from, &ask, actions),
            Event::TokensGranted(grant) => self.on_tokens_granted(now, &grant),
            Event::TimeOfDay { unix_ms } => {
                self.early_refusal.note_time_of_day(now, unix_ms);
                self.on_time_of_day(now, unix_ms);
            }
            Event::TransitRequested { call, upstream } => {
                self.on_transit_asked(now, call, &upstream, actions);
            }
            Event::UpstreamsListed { leaving } => {
                self.pool.set_listed_leaving(leaving);
                self.is_leaving_list_read = true;
                self.serve_if_ready(now);
            }
            Event::VersionAdvertised { from, note } => {
                self.on_version_advertised(now, from, note.version, actions);
            }
        }
    }

    /// Phase of this host.
    pub const fn phase(&self) -> HostPhase {
        self.phase
    }

    /// Version of the configuration in force.
    pub fn version(&self) -> Option<ConfigVersion> {
        self.configuration.as_ref().map(|numbered| numbered.version)
    }

    /// Whether the configuration of this host is known to be recent enough to tell which keys are
    /// valid.
    pub fn is_configuration_current(&self, now: Time) -> bool {
        self.configuration.is_some() && self.is_configuration_fresh(now)
    }

    /// Whether no request is queued or running.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.streams.lookups.is_empty()
    }

    /// Number of streams whose software versions this host remembers.
    pub fn known_streams(&self) -> usize {
        self.streams.known.len()
    }

    /// Number of queued requests.
    pub const fn queued(&self) -> usize {
        self.queued_count
    }

    /// Number of slots that this host may currently use in the group of an upstream. A group
    /// consists of the upstreams of the host's own domain that serve the same targets.
    pub fn share(&self, upstream: &UpstreamId) -> Option<u32> {
        self.pool.share(upstream)
    }

    /// The host that runs this controller.
    pub const fn host(&self) -> &HostId {
        &self.options.host
    }

    /// The host from which this host requests its shares; this host itself if it is the
    /// coordinator.
    pub fn coordinator(&self, now: Time) -> &HostId {
        match self.peering.members.coordinator(now) {
            Some(member) => &member.listing.host,
            None => &self.options.host,
        }
    }

    /// The upstream that currently runs an attempt of the request.
    pub fn upstream_of(&self, request: RequestId) -> Option<&UpstreamId> {
        match self.requests.get(&request)? {
            Stage::Running(request) => Some(&request.stage.upstream),
            Stage::Claiming(_) | Stage::Queued(_) => None,
        }
    }

    /// Number of requests that this host currently has on an upstream.
    pub fn in_flight(&self, upstream: &UpstreamId) -> Option<u32> {
        self.pool.get(upstream).map(|state| state.in_flight)
    }

    /// Applies a configuration unless it is older than, or the same as, the version in force.
    /// Responses of the platform can arrive out of order, and a host never returns to an older
    /// version.
    fn apply_configuration(&mut self, now: Time, numbered: Arc<VersionedDocument>) {
        if self
            .version()
            .is_some_and(|version| version >= numbered.version)
        {
            return;
        }
        self.teams_by_key = numbered
            .document
            .teams
            .iter()
            .flat_map(|(id, team)| team.key_hashes().map(|key| (key, id.clone())))
            .collect();
        let classes = numbered.document.classes.values();
        self.shortest_pause_ms = classes.filter_map(|class| class.pause_target_ms).min();
        self.urgency = Urgency::new(&numbered.document);
        self.update_stream_lifetime(&numbered.document);
        self.pool.room_rules.trial_share = numbered.document.trial.max_slot_share;
        if self.directory.is_none() {
            let domain = &self.options.failure_domain;
            self.pool
                .update_upstreams(&numbered.document.upstreams, domain);
            self.restore_lapsed_limits(now);
        }
        self.team_limits.retain(&numbered.document);
        self.drain.retain(&numbered.document);
        self.peering.apply_scheduling(&numbered.document.scheduling);
        self.configuration = Some(numbered);
        self.note_in_force();
        self.apply_shares(now);
        self.configured_at.get_or_insert(now);
        self.serve_if_ready(now);
    }

    /// Applies the upstreams listed by the directory.
    fn apply_directory(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.note_listed_versions(now);
        let Some(directory) = &self.directory else {
            return;
        };
        let listed = directory.upstreams();
        let unlisted = self
            .pool
            .select(|state| !state.is_leaving(now) && !listed.contains_key(&state.id));
        let domain = &self.options.failure_domain;
        self.pool.update_upstreams(listed, domain);
        self.pool.set_listed_leaving(directory.leaving());
        self.restore_lapsed_limits(now);
        self.update_assumed_brittleness(now);
        self.apply_shares(now);
        self.note_upstreams_unlisted(now, &unlisted, actions);
    }

    /// Upstreams that get no new requests because at least one source reports them as leaving.
    pub fn leaving(&self, now: Time) -> Vec<UpstreamId> {
        self.pool.select(|state| state.is_leaving(now))
    }

    /// Upstreams that are still used although the directory no longer lists them, because their
    /// entries may merely have expired.
    pub fn unlisted(&self) -> Vec<UpstreamId> {
        let directory = self.directory.iter();
        directory
            .flat_map(DirectoryView::missing)
            .cloned()
            .collect()
    }

    /// Upstreams that other hosts can reach but this host cannot reach directly.
    pub fn out_of_reach(&self) -> Vec<UpstreamId> {
        self.own_paths.lost().cloned().collect()
    }

    /// Upstreams on which this host has slots of its own.
    pub fn upstreams_with_own_slots(&self) -> Vec<UpstreamId> {
        self.pool.select(|state| state.own_slots > 0)
    }

    /// Number of times that the result of [`Self::upstreams_with_own_slots`] may have changed.
    pub const fn shares_version(&self) -> u64 {
        self.pool.shares_version
    }

    /// Other hosts from which this host has fresh notes.
    pub fn observed_hosts(&self, now: Time) -> Vec<HostId> {
        self.neighbors.hosts_with_fresh_notes(now)
    }

    /// Time since the configuration was last known to be the newest.
    pub fn config_age(&self, now: Time) -> Option<Duration> {
        self.confirmed_at.map(|confirmed| now.since(confirmed))
    }

    /// Number of hosts among which the extra retries of the installation are divided; 0 until it is
    /// known.
    pub const fn listed_host_count(&self) -> u32 {
        self.retry_budgets.host_count()
    }

    /// Number of retries that this host may currently make, for each requested target.
    pub fn retries_left(&self, now: Time) -> Vec<(Target, f64)> {
        let left = self.retry_budgets.remaining(now);
        left.map(|(target, left)| (target.clone(), left)).collect()
    }

    /// Upstreams that get no new requests until a probe succeeds.
    pub fn ejected(&self) -> Vec<UpstreamId> {
        self.pool.select(|state| !state.health.is_healthy())
    }

    /// Starts serving once the host has a configuration and the list of leaving upstreams. Without
    /// the list, the host would send new requests to leaving upstreams. The wait for the list is
    /// limited, because the list may be unreachable.
    fn serve_if_ready(&mut self, now: Time) {
        let waited = |configured: Time| now.since(configured) >= MAX_LEAVING_LIST_WAIT;
        let ready = self
            .configured_at
            .is_some_and(|at| self.is_leaving_list_read || waited(at));
        if ready && self.phase == HostPhase::Starting {
            self.phase = HostPhase::Serving;
        }
    }

    fn on_load_report(&mut self, now: Time, upstream: &UpstreamId, report: LoadReport) {
        let Some(state) = self.pool.get_mut(upstream) else {
            return;
        };
        state.note_report(report, now);
    }

    fn on_tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.pool.eject_silent_domains(now);
        for (upstream, address) in self.pool.take_probes(now) {
            let state = self.pool.get(&upstream);
            let path = state.map_or("/health", |state| state.definition.health_path());
            let paths = state.map_or(Vec::new(), |state| self.paths_to(now, state));
            actions.push(Action::Probe {
                address,
                path: path.to_string(),
                paths,
                upstream,
            });
        }
        if self
            .directory
            .as_mut()
            .is_some_and(|directory| directory.expire(now))
        {
            self.apply_directory(now, actions);
        }
        while let Some((deadline, request)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.deadlines.pop_first();
            self.refuse_overdue(now, request, actions);
        }
        self.tick_drain(now, actions);
        self.requeue_parked(now);
        self.serve_if_ready(now);
        self.tick_speeds(now, actions);
        self.tick_peering(now, actions);
        self.tick_brittleness(now);
        self.tick_paths(now, actions);
        self.tick_neighbors(now, actions);
        self.tick_crashes(now, actions);
        self.tick_congestion(now);
        self.tick_early_refusal(now, actions);
        self.tick_limits(now, actions);
        self.tick_notices(now, actions);
        self.tick_reporting(now, actions);
        self.tick_streams(now, actions);
        self.fetch_newer(now, actions);
    }

    fn refuse_overdue(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(Stage::Queued(request)) = self.requests.get(&id) else {
            return;
        };
        let reason = match (&request.facts.version_bound, request.stage.parked) {
            (VersionBound::Only(_), true) => RefusalReason::UpstreamsFull,
            (VersionBound::Any, true) => RefusalReason::StoreUnavailable,
            (_, false) => RefusalReason::DeadlinePassed,
        };
        self.refuse_queued(now, id, reason, actions);
    }

    pub(crate) fn new_attempt_id(&mut self) -> AttemptId {
        let counter = self.next_attempt;
        self.next_attempt += 1;
        AttemptId::new(self.options.incarnation, counter)
    }
}
