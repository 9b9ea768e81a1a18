//! Load gossip: the notes in which hosts tell each other the load that they put on upstreams.

use super::*;

/// Minimum time between two notes. Reading a prompt takes some 150 ms, so notes that are much rarer
/// would not show the current load.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two notes while nothing changes, and between two notes to silent hosts.
const IDLE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Remaining time until a host's confirmation of its configuration expires, from which the host
/// sends notes more often to get confirmations from other hosts. A host that reaches the store has
/// a confirmation that is at most 3.6 s old. With a limit of 4.9 s such a host never comes within
/// this margin.
const CONFIRMATION_MARGIN: Duration = Duration::from_millis(1_200);

/// Time between two notes of a host that needs a confirmation of its configuration.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum rate of notes that all hosts together send, in bytes per second. With seven hosts this
/// is 24 kB/s per host, and the notes are recent enough to base the placement of prompts on them.
const TOTAL_BYTES_PER_S: f64 = 170_000.0;

/// Rate of notes that a host may always send, in bytes per second. This is the budget for control
/// traffic in the largest installation that the router is designed for.
const MIN_HOST_BYTES_PER_S: f64 = 3_000.0;

/// Size of a note without loads, including packet headers.
const NOTE_BYTES: f64 = 110.0;

/// Size of one upstream's load in a note.
const LOAD_BYTES: f64 = 17.0;

/// Size of one announcement of a cached prompt prefix.
const READ_BYTES: f64 = 26.0;

/// Size of one vote on an engine's speed.
const VOTE_BYTES: f64 = 4.0;

/// Number of notes in which a cached prompt prefix is announced, because a note may be lost.
const READ_ANNOUNCEMENTS: u32 = 3;

/// Maximum number of cached prompt prefixes that wait to be announced. Where notes are rare, the
/// oldest announcements are no longer useful.
const MAX_PENDING_READS: usize = 4 * peer::MAX_READS;

/// How long a host's last note is valid. After that the host is assumed to be down, and its load to
/// be gone.
const NOTE_VALIDITY: Duration = Duration::from_millis(2_500);

/// Number of consecutive notes of a host that may be missing before the host is assumed to be down,
/// where notes are rare.
const MAX_MISSED_NOTES: u32 = 4;

/// Maximum time between two notes for the load that they report to still be there when a prompt is
/// placed. An engine reads a prompt in some 0.1 to 0.2 s, and a request runs for a second.
const MAX_TIMELY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Number of engines to choose from for a prompt where notes are too rare to show the current load.
/// The first engine is the preferred one for the prompt. The others take over in an order that is
/// the same on all hosts.
const CANDIDATE_ENGINES: usize = 3;

/// Maximum number of hosts for each to exchange notes with all others. With more hosts, a host
/// could send a note to all others only every half minute within the budget, and the notes would be
/// outdated. Hosts then exchange notes only within their group.
const MAX_FULL_MESH_HOSTS: usize = 384;

/// Whether the installation has so many hosts that each exchanges notes only with the hosts of its
/// group, and knows only the hosts of its own failure domain.
pub const fn are_grouped(hosts: usize) -> bool {
    hosts > MAX_FULL_MESH_HOSTS
}

/// What this host knows about another host.
#[derive(Debug)]
struct Neighbor {
    address: SocketAddr,
    /// Whether the host is known to be in this host's failure domain.
    is_same_domain: bool,
    /// The last note from the host, and when it was received.
    last_note: Option<(Time, LoadNote)>,
    /// When the host was first listed or a note from it was first received.
    known_since: Time,
    /// Rendezvous weight computed from the ids of both hosts, so that it differs for each pair.
    pair_weight: u64,
}

impl Neighbor {
    fn new(own: &HostId, host: &HostId, address: SocketAddr, known_since: Time) -> Self {
        Self {
            address,
            is_same_domain: false,
            known_since,
            pair_weight: rendezvous_weight(own.as_str(), host),
            last_note: None,
        }
    }

    /// The last note, if it is still valid, and when it was received.
    fn fresh_note(&self, now: Time) -> Option<&(Time, LoadNote)> {
        let received = self.last_note.as_ref();
        received.filter(|(received, _)| now.since(*received) <= NOTE_VALIDITY)
    }

    /// When the last note was received.
    fn last_received(&self) -> Option<Time> {
        self.last_note.as_ref().map(|(received, _)| *received)
    }
}

/// The load of all other hosts together on one upstream.
#[derive(Clone, Copy, Debug, Default)]
struct OthersLoad {
    backlog: u64,
    in_flight: u32,
    pause_bound: u32,
}

/// The other hosts and their last notes.
#[derive(Debug, Default)]
pub(crate) struct Neighbors {
    /// Addresses of all other known hosts, including those that exchange no notes with this host.
    addresses: Vec<SocketAddr>,
    /// The hosts that exchange notes with this host.
    hosts: BTreeMap<HostId, Neighbor>,
    /// Number of hosts in the whole installation, including this host.
    installation_size: usize,
    /// When the next note is due even if nothing has changed.
    pub(crate) next_idle_note: Time,
    /// Earliest time of the next note.
    next_note: Time,
    /// Prompt prefixes that engines have cached for requests of this host, and the number of
    /// further notes in which each is announced.
    pending_reads: VecDeque<(PromptRead, u32)>,
    /// The loads in the last notes sent.
    last_loads: Vec<UpstreamLoad>,
}

impl Neighbors {
    /// Applies a new host list. Unless hosts are grouped, those that are missing from the list are
    /// kept, because a running host may not be listed.
    pub(crate) fn note_listed(
        &mut self,
        now: Time,
        own: &HostId,
        domain: &FailureDomainId,
        peers: &[PeerHost],
        installation_size: Option<usize>,
    ) {
        self.installation_size = installation_size.unwrap_or(peers.len());
        let others = peers.iter().filter(|peer| peer.host != *own);
        self.addresses = others.clone().map(|peer| peer.address).collect();
        let exchanging: Vec<&PeerHost> = if are_grouped(self.installation_size) {
            let group = own_group(own, domain, peers.iter());
            self.hosts
                .retain(|host, _| group.iter().any(|peer| peer.host == *host));
            group
        } else {
            peers.iter().collect()
        };
        for peer in exchanging {
            let neighbor = self.hosts.entry(peer.host.clone());
            let neighbor =
                neighbor.or_insert_with(|| Neighbor::new(own, &peer.host, peer.address, now));
            neighbor.address = peer.address;
            neighbor.is_same_domain = peer.failure_domain == *domain;
        }
    }

    /// Records a note. Returns `false` for a note that arrives after a newer one, which is dropped.
    pub(crate) fn record_note(
        &mut self,
        now: Time,
        own: &HostId,
        from: SocketAddr,
        note: LoadNote,
    ) -> bool {
        let neighbor = self.hosts.entry(note.host.clone());
        let neighbor = neighbor.or_insert_with(|| Neighbor::new(own, &note.host, from, now));
        let overtaken = neighbor.last_note.as_ref().is_some_and(|(_, last)| {
            last.incarnation == note.incarnation && last.sent_us >= note.sent_us
        });
        if overtaken {
            return false;
        }
        neighbor.address = from;
        neighbor.last_note = Some((now, note));
        true
    }

    /// The notes that are still valid, and when they were received.
    fn fresh_notes(&self, now: Time) -> impl Iterator<Item = &(Time, LoadNote)> {
        let hosts = self.hosts.values();
        hosts.filter_map(move |neighbor| neighbor.fresh_note(now))
    }

    /// Time since the oldest valid note was received.
    pub(crate) fn oldest_note_age(&self, now: Time) -> Option<Duration> {
        self.fresh_notes(now)
            .map(|(received, _)| now.since(*received))
            .max()
    }

    /// The hosts whose last note is still valid.
    pub(crate) fn hosts_with_fresh_notes(&self, now: Time) -> Vec<HostId> {
        let notes = self.fresh_notes(now).map(|(_, note)| note);
        notes.map(|note| note.host.clone()).collect()
    }

    /// Number of hosts that exchange notes with this host and were listed or have sent a note.
    pub(crate) fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether this host exchanges notes with only some of the hosts in the installation.
    pub(crate) fn exchanges_with_subset(&self) -> bool {
        self.installation_size > self.hosts.len() + 1
    }

    /// Number of hosts in the whole installation, including this host.
    pub(crate) const fn installation_size(&self) -> usize {
        self.installation_size
    }

    /// The other hosts, with the address of each and the time at which its last note was received
    /// or, without a note, the host became known.
    pub(crate) fn others_last_seen(
        &self,
        own: &HostId,
    ) -> impl Iterator<Item = (&HostId, Time, SocketAddr)> {
        self.hosts_except(own).map(|(host, neighbor)| {
            let seen = neighbor.last_received().unwrap_or(neighbor.known_since);
            (host, seen, neighbor.address)
        })
    }

    /// The other hosts that have ever sent a note, with the address of each and the time at which
    /// its last note was received.
    pub(crate) fn others_with_note(
        &self,
        own: &HostId,
    ) -> impl Iterator<Item = (&HostId, Time, SocketAddr)> {
        self.hosts_except(own).filter_map(|(host, neighbor)| {
            Some((host, neighbor.last_received()?, neighbor.address))
        })
    }

    fn hosts_except(&self, own: &HostId) -> impl Iterator<Item = (&HostId, &Neighbor)> {
        self.hosts.iter().filter(move |(host, _)| *host != own)
    }

    /// Hosts that, according to their notes, can connect to upstreams of the targets on behalf of
    /// this host. Returns the rendezvous weight of each, whether it is in the same failure domain,
    /// and its address.
    pub(crate) fn transit_candidates(
        &self,
        own: &HostId,
        targets: &[Target],
        now: Time,
    ) -> impl Iterator<Item = (u64, bool, SocketAddr)> {
        let silence = self.silence_timeout();
        self.hosts_except(own).filter_map(move |(_, neighbor)| {
            let received = neighbor.last_received()?;
            let note = neighbor.fresh_note(now);
            let is_candidate = now.since(received) <= silence
                && note.is_none_or(|(_, note)| offers_transit(&note.reach, targets));
            is_candidate.then_some((
                neighbor.pair_weight,
                neighbor.is_same_domain,
                neighbor.address,
            ))
        })
    }

    /// When the last note from a host was received.
    pub(crate) fn last_received(&self, host: &HostId) -> Option<Time> {
        self.hosts.get(host)?.last_received()
    }

    /// Whether a host has sent notes, and none for so long that it is assumed to be down.
    pub(crate) fn is_silent(&self, host: &HostId, now: Time) -> bool {
        let last = self.last_received(host);
        last.is_some_and(|received| now.since(received) > self.silence_timeout())
    }

    /// Expected time between two notes of a host, estimated from the loads in this host's last
    /// note.
    pub(crate) fn expected_note_interval(&self) -> Duration {
        self.note_interval(self.last_loads.len(), 0, 0)
            .max(IDLE_INTERVAL)
    }

    /// Time without a note after which a host is assumed to be down.
    pub(crate) fn silence_timeout(&self) -> Duration {
        (self.expected_note_interval() * MAX_MISSED_NOTES).max(NOTE_VALIDITY)
    }

    /// Addresses of all other known hosts, including those that exchange no notes with this host.
    pub(crate) fn all_addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Addresses of the other hosts that exchange notes with this host.
    pub(crate) fn addresses(&self, own: &HostId) -> impl Iterator<Item = SocketAddr> {
        self.hosts_except(own).map(|(_, neighbor)| neighbor.address)
    }

    /// The load of all other hosts together on each upstream, by their valid notes.
    fn loads(&self, now: Time) -> HashMap<UpstreamId, OthersLoad> {
        let mut loads: HashMap<UpstreamId, OthersLoad> = HashMap::default();
        for load in self.fresh_notes(now).flat_map(|(_, note)| &note.loads) {
            let sum = loads.entry(load.upstream.clone()).or_default();
            sum.backlog += u64::from(load.backlog.get());
            sum.in_flight = sum.in_flight.saturating_add(load.in_flight);
            sum.pause_bound = sum.pause_bound.saturating_add(load.pause_bound);
        }
        loads
    }

    /// Queues cached prompt prefixes to be announced to the other hosts.
    pub(crate) fn queue_reads(&mut self, reads: Vec<PromptRead>) {
        let reads = reads.into_iter().map(|read| (read, READ_ANNOUNCEMENTS));
        self.pending_reads.extend(reads);
        let excess = self.pending_reads.len().saturating_sub(MAX_PENDING_READS);
        self.pending_reads.drain(..excess);
    }

    /// Takes the cached prompt prefixes for the next note. Those that must be announced again
    /// return to the end of the queue.
    fn take_due_reads(&mut self) -> Vec<PromptRead> {
        let count = self.pending_reads.len().min(peer::MAX_READS);
        let mut due = Vec::new();
        for (read, remaining) in self.pending_reads.drain(..count).collect::<Vec<_>>() {
            if remaining > 1 {
                self.pending_reads.push_back((read.clone(), remaining - 1));
            }
            due.push(read);
        }
        due
    }

    /// Number of engines to which the choice for a prompt is limited. `None` while notes are
    /// frequent enough to show the load of all engines.
    ///
    /// Without the limit, all hosts would send their overflow to the one engine that has the least
    /// load by the last notes, because each host only knows its own current part of the load there.
    pub(crate) fn candidate_limit(&self) -> Option<usize> {
        if self.hosts.is_empty() {
            return None;
        }
        let is_timely = self.note_interval(self.last_loads.len(), 0, 0) <= MAX_TIMELY_INTERVAL;
        (!is_timely).then_some(CANDIDATE_ENGINES)
    }

    /// Time between two notes with so many loads, cached prompt prefixes and speed votes, within
    /// the bandwidth budget.
    fn note_interval(&self, loads: usize, reads: usize, votes: usize) -> Duration {
        let hosts = self.hosts.len() as f64;
        let loads_and_reads = LOAD_BYTES * loads as f64 + READ_BYTES * reads as f64;
        let contents = loads_and_reads + VOTE_BYTES * votes as f64;
        let bytes = (NOTE_BYTES + contents) * hosts;
        let bytes_per_s = (TOTAL_BYTES_PER_S / hosts).max(MIN_HOST_BYTES_PER_S);
        MIN_INTERVAL.max(Duration::from_secs_f64(bytes / bytes_per_s))
    }
}

/// Whether the sender of a note connects to upstreams of the targets on behalf of other hosts.
fn offers_transit(reach: &Reachability, targets: &[Target]) -> bool {
    let is_cut_off = |target: &Target| reach.cut_off.contains(&target.to_string());
    !reach.declines && (reach.cut_off.is_empty() || !targets.iter().any(is_cut_off))
}

impl Controller {
    /// Updates the load of the other hosts on each upstream.
    pub(crate) fn apply_neighbor_loads(&mut self, now: Time) {
        let loads = self.neighbors.loads(now);
        for state in &mut self.pool.states {
            let load = loads.get(&state.id).copied().unwrap_or_default();
            state.others_backlog_tokens = load.backlog;
            state.others_in_flight = load.in_flight;
            state.others_pause_sensitive = load.pause_bound;
        }
    }

    /// Sends this host's load to the other hosts if the load has changed or the next idle note is
    /// due.
    pub(crate) fn tick_neighbors(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.neighbors.hosts.is_empty() || now < self.neighbors.next_note {
            return;
        }
        let loads = self.own_loads();
        let is_idle_note_due = now >= self.neighbors.next_idle_note;
        let has_changes =
            loads != self.neighbors.last_loads || !self.neighbors.pending_reads.is_empty();
        if !has_changes && !is_idle_note_due {
            return;
        }
        if is_idle_note_due {
            self.neighbors.next_idle_note = now + self.idle_interval(now);
            // The loads of hosts that have stopped sending notes expire.
            self.apply_neighbor_loads(now);
        }
        let reads = self.neighbors.take_due_reads();
        let speeds = self.pool.take_speed_votes(now);
        let interval = self
            .neighbors
            .note_interval(loads.len(), reads.len(), speeds.len());
        self.neighbors.next_note = now + interval;
        self.neighbors.last_loads.clone_from(&loads);
        let notes = self.build_notes(now, &loads, &reads, &speeds, is_idle_note_due);
        actions.push(Action::SendLoadNotes { notes });
    }

    /// Time between two notes while nothing changes.
    fn idle_interval(&self, now: Time) -> Duration {
        let limit = self
            .options
            .relay
            .as_ref()
            .map(|relay| relay.key_knowledge_limit);
        let needs_confirmation = match (limit, self.config_age(now)) {
            (Some(limit), Some(age)) => age + CONFIRMATION_MARGIN >= limit,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if needs_confirmation {
            CONFIRMATION_INTERVAL
        } else {
            IDLE_INTERVAL
        }
    }

    fn own_loads(&self) -> Vec<UpstreamLoad> {
        let states = self.pool.states.iter();
        states
            .filter(|state| state.in_flight > 0)
            .map(|state| UpstreamLoad {
                backlog: Tokens::new(state.backlog_tokens.min(u64::from(u32::MAX)) as u32),
                in_flight: state.in_flight,
                pause_bound: state.pause_sensitive,
                upstream: state.id.clone(),
            })
            .collect()
    }

    /// Builds one note for each host. Hosts without a valid note are left out unless
    /// `include_silent` is set.
    fn build_notes(
        &self,
        now: Time,
        loads: &[UpstreamLoad],
        reads: &[PromptRead],
        speeds: &[SpeedVote],
        include_silent: bool,
    ) -> Vec<(SocketAddr, LoadNote)> {
        let leaving = self.pool.select(UpstreamState::is_leaving_first_hand);
        let reach = self.reach_note();
        let confirmed_age = self.confirmed_at.map(|at| now.since(at).as_millis() as u32);
        let hosts = self.neighbors.hosts.iter();
        hosts
            .filter(|(host, _)| **host != self.options.host)
            .filter_map(|(_, neighbor)| {
                let received = neighbor.last_note.as_ref();
                (include_silent || neighbor.fresh_note(now).is_some()).then(|| {
                    let note = LoadNote {
                        confirmed_age_ms: confirmed_age,
                        echo: received.map(|(_, note)| Echo {
                            incarnation: note.incarnation,
                            sent_us: note.sent_us,
                        }),
                        host: self.options.host.clone(),
                        incarnation: self.options.incarnation,
                        leaving: leaving.clone(),
                        loads: loads.to_vec(),
                        protocol: peer::PROTOCOL,
                        reach: reach.clone(),
                        reads: reads.to_vec(),
                        sent_us: now.as_us(),
                        speeds: speeds.to_vec(),
                        version: self.version(),
                    };
                    (neighbor.address, note)
                })
            })
            .collect()
    }
}
