use super::*;

/// An event reported to the controller.
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
    /// The caller of a request disconnected.
    CallerGone {
        /// The request.
        request: RequestId,
    },
    /// The platform's table answered a claim, or the claim failed.
    ClaimAnswered {
        /// Result of the claim.
        answer: ClaimResult,
        /// The request.
        request: RequestId,
    },
    /// A newer configuration has begun to arrive from the store and will take long.
    ConfigurationAnnounced,
    /// Another host, which this host queries instead of the store, has a newer configuration.
    NewerConfigurationAtPeer {
        /// Address of the other host.
        from: SocketAddr,
        /// Version of the newer configuration.
        version: ConfigVersion,
    },
    /// A configuration fetch from another host ended.
    ConfigurationFetchEnded {
        /// Address of the other host.
        address: SocketAddr,
        /// How the fetch ended.
        end: FetchEnd,
    },
    /// A version of the configuration is ready to be sent to other hosts.
    ConfigurationPacked(ConfigVersion),
    /// A version of the configuration was read.
    ConfigurationRead(Arc<VersionedDocument>),
    /// The crashes in the store were read. Some of them may have been announced before.
    CrashesListed(Vec<Crash>),
    /// Another host announced crashes, or completions of requests with earlier crashes.
    CrashesReceived(CrashNote),
    /// The host was asked to stop, and begins to drain.
    DrainStarted {
        /// Time at which its requests must have ended; `None` for no limit.
        end: Option<Time>,
    },
    /// Whether the newest known version of the configuration can be used has changed.
    ConfigurationUsability {
        /// Whether it can be used.
        is_usable: bool,
    },
    /// The configuration in force was confirmed to be the newest.
    ConfigurationConfirmed {
        /// Time at which the query was sent that confirmed it.
        as_of: Time,
    },
    /// The directory doesn't respond.
    DirectoryLost,
    /// The directory was read.
    DirectoryRead {
        /// Upstreams known to the hosts of all failure domains; `None` if all upstreams are.
        common: Option<BTreeSet<UpstreamId>>,
        /// Listed upstreams that are leaving.
        leaving: BTreeSet<UpstreamId>,
        /// All listed upstreams.
        upstreams: BTreeMap<UpstreamId, Upstream>,
    },
    /// Upstreams may have been listed that were never read.
    DirectoryChangesMissed,
    /// Another host reports that the directory is reachable and was reachable all the time.
    DirectoryReachableAgain,
    /// The directory responds again.
    DirectoryRegained {
        /// Time at which the first host got a response.
        at: Time,
    },
    /// The directory listed no software other than that of the upstreams that were read last.
    DirectoryConfirmed {
        /// Time at which the query was sent that confirmed it.
        as_of: Time,
    },
    /// This host holds the duties that one host performs for all.
    DutyHeld(DutyNote),
    /// Another host announced that it holds these duties.
    DutyAdvertised {
        /// Address of the sender.
        from: SocketAddr,
        /// The note.
        note: DutyNote,
    },
    /// A heartbeat to another host was answered, or failed.
    HeartbeatAnswered {
        /// The answer; `None` if no valid answer arrived.
        answer: Option<HeartbeatAnswer>,
        /// Time at which the heartbeat was sent.
        sent: Time,
        /// The host that the heartbeat was sent to.
        host: HostId,
    },
    /// A host sent a heartbeat.
    HeartbeatReceived {
        /// Number of the call, which the answer must repeat.
        call: u64,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// The platform's list of hosts was read.
    HostsListed {
        /// All hosts of the list.
        hosts: Vec<PeerHost>,
    },
    /// Another host sent what upstreams report about themselves.
    UpstreamNoticesReceived(UpstreamNote),
    /// The check ended whether an upstream accepts connections at its address.
    ListeningChecked {
        /// Result of the check.
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
    /// Another host sent its load.
    LoadNoteReceived {
        /// Address of the sender.
        from: SocketAddr,
        /// The note.
        note: LoadNote,
    },
    /// An upstream reported something about itself in a response, or stopped reporting a limit.
    NoticeAnswered {
        /// The report.
        notice: UpstreamNotice,
        /// Time at which the request was sent.
        sent: Time,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Connection attempts to an upstream were made.
    PathsTried {
        /// The request that needed the connection, if any.
        request: Option<RequestId>,
        /// Path and result of each connection attempt.
        attempts: Vec<PathAttempt>,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The hosts of the installation were listed.
    PeersListed {
        /// Number of hosts in the whole installation; `None` until it is known.
        total_hosts: Option<usize>,
        /// The listed hosts, possibly including this host. In a large installation, only the hosts
        /// of this host's failure domain are listed.
        peers: Vec<PeerHost>,
    },
    /// A probe of an ejected upstream ended.
    ProbeAnswered {
        /// Whether the upstream responded as healthy.
        healthy: bool,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// An attempt produced tokens since its last event.
    Progressed {
        /// The attempt.
        attempt: AttemptId,
        /// Longest time so far between two parts of the response sent to the caller.
        longest_pause: Duration,
        /// The request.
        request: RequestId,
        /// Number of new tokens.
        tokens: Tokens,
    },
    /// Another host sent a message about the software version of a stream.
    StreamNoteReceived {
        /// Address of the sender.
        from: SocketAddr,
        /// The message.
        note: StreamNote,
    },
    /// The maximum number of queued requests changed.
    QueueLimitChanged(usize),
    /// The rules of the installation changed.
    RulesChanged(RelayRules),
    /// Time passed.
    Ticked,
    /// The time of day was read from this host's clock.
    TimeOfDay {
        /// Unix time in milliseconds.
        unix_ms: u64,
    },
    /// Another host requests tokens from this host, the token issuer of an upstream's rate limit.
    TokensRequested {
        /// The request for tokens.
        ask: TokenRequest,
        /// Address of the sender.
        from: SocketAddr,
    },
    /// The token issuer of an upstream's rate limit answered.
    TokensGranted(TokenGrant),
    /// Another host wants to reach an upstream through this one.
    TransitRequested {
        /// Number of the call, which the answer must repeat.
        call: u64,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The platform's list of leaving upstreams was read.
    UpstreamsListed {
        /// All leaving upstreams. No other upstream is leaving according to the list.
        leaving: BTreeSet<UpstreamId>,
    },
    /// Another host announced that it can send a version of the configuration.
    VersionAdvertised {
        /// Address of the sender.
        from: SocketAddr,
        /// The note.
        note: VersionNote,
    },
}
