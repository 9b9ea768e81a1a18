use super::*;

/// Something that happened, reported to the controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A caller sent a request.
    Arrived(Arrival),
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        end: AttemptEnd,
        /// The request.
        request: RequestId,
    },
    /// The caller of a request is gone.
    CallerGone {
        /// The request.
        request: RequestId,
    },
    /// The table answered a claim, or did not.
    ClaimAnswered {
        /// What it said.
        answer: ClaimResult,
        /// The request.
        request: RequestId,
    },
    /// A newer configuration begins to arrive from the store, and will take long.
    ConfigurationAnnounced,
    /// Another host, which this one asks in place of the store, has a newer configuration.
    ConfigurationElsewhere {
        /// Where it is reached.
        from: SocketAddr,
        /// Its version.
        version: ConfigVersion,
    },
    /// The question to another host for its configuration ended.
    ConfigurationFetchEnded {
        /// The host.
        address: SocketAddr,
        /// How.
        end: FetchEnd,
    },
    /// A version of the configuration can be handed to other hosts.
    ConfigurationPacked(ConfigVersion),
    /// A version of the configuration was read.
    ConfigurationRead(Arc<Numbered>),
    /// Crashes that hosts keep in the store; those that were announced before among them.
    CrashesListed(Vec<Crash>),
    /// Another host announced which requests were on upstreams that ended.
    CrashesReceived(CrashNote),
    /// The host was asked to stop.
    DrainStarted,
    /// The configuration in force was the newest one at a moment.
    ConfigurationConfirmed {
        /// When the question was sent that was answered so.
        as_of: Time,
    },
    /// The directory gives no answer.
    DirectoryLost,
    /// The directory was read.
    DirectoryRead {
        /// Those that the hosts of all failure domains know; `None` where that is each of them.
        common: Option<BTreeSet<UpstreamId>>,
        /// Those that are leaving, among them.
        leaving: BTreeSet<UpstreamId>,
        /// All upstreams that it lists.
        upstreams: BTreeMap<UpstreamId, Upstream>,
    },
    /// Another host reaches the directory, and never lost it.
    DirectoryReachableAgain,
    /// The directory answers again.
    DirectoryRegained {
        /// When the first host found that.
        at: Time,
    },
    /// This host holds the duties that one host does for all.
    DutyHeld(DutyNote),
    /// Another host announced that it holds them.
    DutyAdvertised {
        /// Where it came from.
        from: SocketAddr,
        /// What it said.
        note: DutyNote,
    },
    /// A host answered a heartbeat, or did not.
    HeartbeatAnswered {
        /// The answer; `None` if none came that can be used.
        answer: Option<HeartbeatAnswer>,
        /// When the heartbeat was sent.
        asked: Time,
        /// The host that was asked.
        host: HostId,
    },
    /// A host sent a heartbeat.
    HeartbeatAsked {
        /// Number of the call, to be named with the answer.
        call: u64,
        /// What it said.
        heartbeat: Heartbeat,
    },
    /// The platform's list of hosts was read.
    HostsListed {
        /// All hosts of the list.
        hosts: Vec<PeerHost>,
    },
    /// Another host announced what upstreams say of themselves.
    UpstreamNoticesReceived(UpstreamNote),
    /// It was looked whether anybody listens where an upstream does.
    ListeningChecked {
        /// What was seen.
        listening: Listening,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// An upstream reported its load.
    LoadReported {
        /// The report.
        report: LoadReport,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Another host announced its load.
    NoteReceived {
        /// Where it came from.
        from: SocketAddr,
        /// What it said.
        note: LoadNote,
    },
    /// An upstream said something of itself in an answer, or names no limit any more.
    NoticeAnswered {
        /// What it said.
        notice: UpstreamNotice,
        /// When the request was sent.
        sent: Time,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// A connection to an upstream was wanted.
    PathsTried {
        /// The request for which it was wanted, if it was for one.
        request: Option<RequestId>,
        /// How each attempt ended.
        tries: Vec<PathAttempt>,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The other hosts were listed.
    PeersListed {
        /// Hosts of the whole installation; `None` if that is not known yet.
        in_all: Option<usize>,
        /// Hosts, this one perhaps among them; where there are many, those of its own failure
        /// domain.
        peers: Vec<PeerHost>,
    },
    /// A probe of an ejected upstream was answered, or was not.
    ProbeAnswered {
        /// Whether it answered well.
        healthy: bool,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Tokens flowed since the last event of this attempt.
    Progressed {
        /// The attempt.
        attempt: AttemptId,
        /// Longest time between two parts that the caller was sent, so far.
        longest_pause: Duration,
        /// The request.
        request: RequestId,
        /// How many tokens.
        tokens: Tokens,
    },
    /// So many requests may be queued from now on.
    QueueLimitChanged(usize),
    /// The figures of the installation changed.
    RulesChanged(RelayRules),
    /// Time passed.
    Ticked,
    /// This host's time of day was read.
    TimeOfDay {
        /// Unix time in milliseconds.
        unix_ms: u64,
    },
    /// Another host asks this one, as the keeper of an upstream's limit, for tokens.
    TokensAsked {
        /// What it asks.
        ask: TokenAsk,
        /// Where it came from.
        from: SocketAddr,
    },
    /// The keeper of an upstream's limit answered.
    TokensGranted(TokenGrant),
    /// Another host wants to reach an upstream through this one.
    TransitAsked {
        /// Number of the call, to be named with the answer.
        call: u64,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The platform's list was read.
    UpstreamsListed {
        /// Every upstream that is leaving by the list; the others are not.
        leaving: BTreeSet<UpstreamId>,
    },
    /// Another host announced that it can hand a version of the configuration over.
    VersionAdvertised {
        /// Where it came from.
        from: SocketAddr,
        /// What it said.
        note: VersionNote,
    },
}
