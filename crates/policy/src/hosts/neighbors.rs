//! What the hosts tell each other of the load on the upstreams.

use super::*;

/// Shortest time between two notes. Prompts take some 150 ms each, so older
/// news would not tell the load that is there.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two notes when nothing changes, and to hosts that are silent.
const IDLE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time before the end of its knowledge of the configuration from which a host asks
/// the others for theirs: what a host that reaches the store knows is at most 3.6 s
/// old, so with a bound of 4.9 s it never does.
const ASK_AHEAD: Duration = Duration::from_millis(1_200);

/// Time between two notes of a host that asks.
const ASK_INTERVAL: Duration = Duration::from_millis(250);

/// Bytes a second that all hosts together spend on notes at the most: 24 kB a
/// host with seven hosts, whose notes are then recent enough to place prompts by.
const BYTES_PER_S_OF_ALL: f64 = 170_000.0;

/// Bytes a second that a host may spend in any case: the budget of control at the
/// size to design for.
const MIN_BYTES_PER_S: f64 = 3_000.0;

/// Bytes of a note without loads, of its headers, and of one upstream's load.
const NOTE_BYTES: f64 = 110.0;
const LOAD_BYTES: f64 = 17.0;

/// Bytes of a shared part that was read.
const READ_BYTES: f64 = 26.0;

/// Bytes of a vote on an engine's speed.
const VOTE_BYTES: f64 = 4.0;

/// Notes in which such a part is announced, as one of them may be lost.
const TELL_READS: u32 = 3;

/// Most such parts that wait to be announced: where notes are rare the oldest ones are
/// of no use any more.
const MAX_ANNOUNCED_READS: usize = 4 * peer::MAX_READS;

/// Time for which a host's last note counts. After it the host is taken to have
/// ended, and its load with it.
const VALID: Duration = Duration::from_millis(2_500);

/// Notes of a host that may be missing until it is taken to have ended, where notes are rare.
const MISSING_NOTES: u32 = 4;

/// Time between two notes up to which what they tell of an engine is still there when a
/// prompt is placed: a prompt is read in some 0.1 to 0.2 s, and runs for a second.
const TIMELY: Duration = Duration::from_millis(1_000);

/// Engines among which a prompt is placed where notes come too late to tell their load: the
/// first one is its home, the others take over in an order that is the same on all hosts.
const CANDIDATES: usize = 3;

/// Hosts up to which each exchanges notes with all others. Beyond that a note to all takes over
/// half a minute within the budget, and says nothing that still holds; hosts then exchange them
/// with those of their group.
const MAX_EXCHANGING: usize = 384;

/// Whether hosts are so many that each exchanges notes with those of its group only, and knows
/// those of its own failure domain.
pub const fn are_grouped(hosts: usize) -> bool {
    hosts > MAX_EXCHANGING
}

/// Another host.
#[derive(Debug)]
struct Neighbor {
    address: SocketAddr,
    /// Whether it stands in this host's failure domain, as far as is known.
    is_near: bool,
    /// When it was observed last, and its note.
    received: Option<(Time, LoadNote)>,
    /// When it was listed or observed first.
    known: Time,
    /// Number that differs for each pair of hosts.
    pair: u64,
}

impl Neighbor {
    fn new(own: &HostId, host: &HostId, address: SocketAddr, known: Time) -> Self {
        Self {
            address,
            is_near: false,
            known,
            pair: rendezvous_weight(own.as_str(), host),
            received: None,
        }
    }

    /// Its last note, while that counts.
    fn fresh(&self, now: Time) -> Option<&(Time, LoadNote)> {
        let received = self.received.as_ref();
        received.filter(|(received, _)| now.since(*received) <= VALID)
    }

    /// When it was observed last.
    fn last_received(&self) -> Option<Time> {
        self.received.as_ref().map(|(received, _)| *received)
    }
}

/// What all other hosts together have on one upstream.
#[derive(Clone, Copy, Debug, Default)]
struct OthersLoad {
    backlog: u64,
    in_flight: u32,
    pause_bound: u32,
}

/// The other hosts and what they said last.
#[derive(Debug, Default)]
pub(crate) struct Neighbors {
    /// Where the other known hosts listen, also those that exchange no notes with this one.
    addresses: Vec<SocketAddr>,
    /// Those that exchange notes with this one.
    hosts: BTreeMap<HostId, Neighbor>,
    /// Hosts of the whole installation, this one included.
    listed: usize,
    pub(crate) next_idle: Time,
    next_note: Time,
    /// Shared parts that this host had read, and in how many more notes each is
    /// announced.
    reads: VecDeque<(PromptRead, u32)>,
    advertised: Vec<UpstreamLoad>,
}

impl Neighbors {
    /// Takes a list of hosts; those that are missing may just not be listed.
    pub(crate) fn note_listed(
        &mut self,
        now: Time,
        own: &HostId,
        domain: &FailureDomainId,
        peers: &[PeerHost],
        in_all: Option<usize>,
    ) {
        self.listed = in_all.unwrap_or(peers.len());
        let others = peers.iter().filter(|peer| peer.host != *own);
        self.addresses = others.clone().map(|peer| peer.address).collect();
        let exchanging: Vec<&PeerHost> = if are_grouped(self.listed) {
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
            neighbor.is_near = peer.failure_domain == *domain;
        }
    }

    /// Takes a note; one that was overtaken by a newer one is dropped.
    pub(crate) fn take(
        &mut self,
        now: Time,
        own: &HostId,
        from: SocketAddr,
        note: LoadNote,
    ) -> bool {
        let neighbor = self.hosts.entry(note.host.clone());
        let neighbor = neighbor.or_insert_with(|| Neighbor::new(own, &note.host, from, now));
        let overtaken = neighbor.received.as_ref().is_some_and(|(_, last)| {
            last.incarnation == note.incarnation && last.sent_us >= note.sent_us
        });
        if overtaken {
            return false;
        }
        neighbor.address = from;
        neighbor.received = Some((now, note));
        true
    }

    /// The notes that count, and when they were observed.
    fn fresh(&self, now: Time) -> impl Iterator<Item = &(Time, LoadNote)> {
        let hosts = self.hosts.values();
        hosts.filter_map(move |neighbor| neighbor.fresh(now))
    }

    /// Age of the oldest note that counts.
    pub(crate) fn oldest_age(&self, now: Time) -> Option<Duration> {
        self.fresh(now)
            .map(|(received, _)| now.since(*received))
            .max()
    }

    /// Hosts whose notes count.
    pub(crate) fn observed(&self, now: Time) -> Vec<HostId> {
        let notes = self.fresh(now).map(|(_, note)| note);
        notes.map(|note| note.host.clone()).collect()
    }

    /// Hosts that exchange notes with this one, as far as they were listed or observed.
    pub(crate) fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether there are hosts that exchange no notes with this one.
    pub(crate) fn is_part_of_all(&self) -> bool {
        self.listed > self.hosts.len() + 1
    }

    /// Hosts of the whole installation, this one included.
    pub(crate) const fn listed(&self) -> usize {
        self.listed
    }

    /// All other hosts, when each was observed last, or else became known, and where it listens.
    pub(crate) fn others(&self, own: &HostId) -> impl Iterator<Item = (&HostId, Time, SocketAddr)> {
        self.hosts_but(own).map(|(host, neighbor)| {
            let seen = neighbor.last_received().unwrap_or(neighbor.known);
            (host, seen, neighbor.address)
        })
    }

    /// The other hosts that were ever observed, when last, and where each listens.
    pub(crate) fn received_others(
        &self,
        own: &HostId,
    ) -> impl Iterator<Item = (&HostId, Time, SocketAddr)> {
        self.hosts_but(own).filter_map(|(host, neighbor)| {
            Some((host, neighbor.last_received()?, neighbor.address))
        })
    }

    fn hosts_but(&self, own: &HostId) -> impl Iterator<Item = (&HostId, &Neighbor)> {
        self.hosts.iter().filter(move |(host, _)| *host != own)
    }

    /// Hosts that may connect to upstreams of some targets for this one, by all that they say: the
    /// number of the pair, whether it stands in the same failure domain, and where it listens.
    pub(crate) fn able_to_connect(
        &self,
        own: &HostId,
        targets: &[Target],
        now: Time,
    ) -> impl Iterator<Item = (u64, bool, SocketAddr)> {
        let silence = self.longest_silence();
        self.hosts_but(own).filter_map(move |(_, neighbor)| {
            let received = neighbor.last_received()?;
            let note = neighbor.fresh(now);
            let is_able = now.since(received) <= silence
                && note.is_none_or(|(_, note)| reaches_for_others(&note.reach, targets));
            is_able.then_some((neighbor.pair, neighbor.is_near, neighbor.address))
        })
    }

    /// When a host was observed last.
    pub(crate) fn last_received(&self, host: &HostId) -> Option<Time> {
        self.hosts.get(host)?.last_received()
    }

    /// Time between two notes, by what was announced last.
    pub(crate) fn usual_interval(&self) -> Duration {
        self.interval(self.advertised.len(), 0, 0)
            .max(IDLE_INTERVAL)
    }

    /// Silence after which a host is taken to have ended.
    pub(crate) fn longest_silence(&self) -> Duration {
        (self.usual_interval() * MISSING_NOTES).max(VALID)
    }

    /// Where the other known hosts listen, also those that exchange no notes with this one.
    pub(crate) fn all_addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Where the hosts listen that exchange notes with this one.
    pub(crate) fn addresses(&self, own: &HostId) -> impl Iterator<Item = SocketAddr> {
        self.hosts_but(own).map(|(_, neighbor)| neighbor.address)
    }

    /// The load of all other hosts on each upstream.
    fn loads(&self, now: Time) -> HashMap<UpstreamId, OthersLoad> {
        let mut loads: HashMap<UpstreamId, OthersLoad> = HashMap::default();
        for load in self.fresh(now).flat_map(|(_, note)| &note.loads) {
            let sum = loads.entry(load.upstream.clone()).or_default();
            sum.backlog += u64::from(load.backlog.get());
            sum.in_flight += load.in_flight;
            sum.pause_bound += load.pause_bound;
        }
        loads
    }

    /// Notes shared parts to be announced to the others.
    pub(crate) fn tell_reads(&mut self, reads: Vec<PromptRead>) {
        let reads = reads.into_iter().map(|read| (read, TELL_READS));
        self.reads.extend(reads);
        let excess = self.reads.len().saturating_sub(MAX_ANNOUNCED_READS);
        self.reads.drain(..excess);
    }

    /// The parts for the next note.
    fn take_reads(&mut self) -> Vec<PromptRead> {
        let now = self.reads.len().min(peer::MAX_READS);
        let mut advertised = Vec::new();
        for (read, left) in self.reads.drain(..now).collect::<Vec<_>>() {
            if left > 1 {
                self.reads.push_back((read.clone(), left - 1));
            }
            advertised.push(read);
        }
        advertised
    }

    /// Engines to which the choice for a prompt is narrowed; `None` while notes tell the
    /// load of all of them in time.
    ///
    /// Guards against all hosts sending their overflow to the one engine that the last notes
    /// made look best: each knows only its own part of what is there.
    pub(crate) fn candidates(&self) -> Option<usize> {
        if self.hosts.is_empty() {
            return None;
        }
        let is_timely = self.interval(self.advertised.len(), 0, 0) <= TIMELY;
        (!is_timely).then_some(CANDIDATES)
    }

    fn interval(&self, loads: usize, reads: usize, votes: usize) -> Duration {
        let hosts = self.hosts.len() as f64;
        let told = LOAD_BYTES * loads as f64 + READ_BYTES * reads as f64;
        let contents = told + VOTE_BYTES * votes as f64;
        let bytes = (NOTE_BYTES + contents) * hosts;
        let bytes_per_s = (BYTES_PER_S_OF_ALL / hosts).max(MIN_BYTES_PER_S);
        MIN_INTERVAL.max(Duration::from_secs_f64(bytes / bytes_per_s))
    }
}

/// Whether the sender of a note may reach upstreams of some targets for others.
fn reaches_for_others(reach: &ReachNote, targets: &[Target]) -> bool {
    let is_cut_off = |target: &Target| reach.cut_off.contains(&target.to_string());
    !reach.declines && (reach.cut_off.is_empty() || !targets.iter().any(is_cut_off))
}

impl Controller {
    pub(crate) fn apply_neighbors(&mut self, now: Time) {
        let loads = self.neighbors.loads(now);
        for state in &mut self.pool.states {
            let load = loads.get(&state.id).copied().unwrap_or_default();
            state.others_backlog_tokens = load.backlog;
            state.others_in_flight = load.in_flight;
            state.others_pause_sensitive = load.pause_bound;
        }
    }

    /// Tells the other hosts this one's load, when it has changed or a while has
    /// passed.
    pub(crate) fn tick_neighbors(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.neighbors.hosts.is_empty() || now < self.neighbors.next_note {
            return;
        }
        let loads = self.own_loads();
        let idle = now >= self.neighbors.next_idle;
        let news = loads != self.neighbors.advertised || !self.neighbors.reads.is_empty();
        if !news && !idle {
            return;
        }
        if idle {
            self.neighbors.next_idle = now + self.idle_interval(now);
            // Loads of hosts that fell silent run out.
            self.apply_neighbors(now);
        }
        let reads = self.neighbors.take_reads();
        let speeds = self.pool.take_speed_votes(now);
        let interval = self
            .neighbors
            .interval(loads.len(), reads.len(), speeds.len());
        self.neighbors.next_note = now + interval;
        self.neighbors.advertised.clone_from(&loads);
        let notes = self.notes(now, &loads, &reads, &speeds, idle);
        actions.push(Action::SendNotes { notes });
    }

    /// Time between two notes when nothing changes.
    fn idle_interval(&self, now: Time) -> Duration {
        let limit = self.options.relay.as_ref().map(|relay| relay.key_knowledge);
        let asks = match (limit, self.config_age(now)) {
            (Some(limit), Some(age)) => age + ASK_AHEAD >= limit,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if asks { ASK_INTERVAL } else { IDLE_INTERVAL }
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

    /// One note for each host; hosts that are silent get one only now and then.
    fn notes(
        &self,
        now: Time,
        loads: &[UpstreamLoad],
        reads: &[PromptRead],
        speeds: &[SpeedVote],
        to_silent: bool,
    ) -> Vec<(SocketAddr, LoadNote)> {
        let leaving = self.pool.select(UpstreamState::is_leaving_first_hand);
        let reach = self.reach_note();
        let confirmed_age = self.confirmed.map(|at| now.since(at).as_millis() as u32);
        let hosts = self.neighbors.hosts.iter();
        hosts
            .filter(|(host, _)| **host != self.options.host)
            .filter_map(|(_, neighbor)| {
                let received = neighbor.received.as_ref();
                (to_silent || neighbor.fresh(now).is_some()).then(|| {
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
