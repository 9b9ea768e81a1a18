use super::*;

/// An order to send a request to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct SendOrder {
    /// Where the upstream listens.
    pub address: SocketAddr,
    /// Id of this attempt.
    pub attempt: AttemptId,
    /// Engine from which the upstream first fetches the parts of the prompt that it hasn't cached.
    pub fetch_from: Option<SocketAddr>,
    /// Inputs of the decision.
    pub inputs: Box<SendInputs>,
    /// Paths to the upstream, in the order in which they are tried.
    pub paths: Vec<Path>,
    /// Priority for the engine; 0 is the most urgent.
    pub priority: u8,
    /// Latest time at which the response is still useful, for a relayed request.
    pub deadline: Time,
    /// Earlier attempt whose stream is resumed after its last event.
    pub resume_from: Option<AttemptId>,
    /// Team of the caller; `None` for a request without a key.
    pub team: Option<TeamId>,
    /// The upstream.
    pub upstream: UpstreamId,
}

/// An action that the controller orders.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Abandon an attempt whose upstream doesn't respond. Its end is reported as silent.
    Abandon {
        /// The attempt.
        attempt: AttemptId,
        /// The request.
        request: RequestId,
    },
    /// Answer a heartbeat.
    AnswerHeartbeat {
        /// The answer.
        answer: HeartbeatAnswer,
        /// Number of the call to answer.
        call: u64,
    },
    /// Answer a host that wants to reach an upstream through this host.
    AnswerTransit {
        /// Number of the call to answer.
        call: u64,
        /// Address of the upstream; `None` if this host doesn't relay connections to the upstream.
        upstream_address: Option<SocketAddr>,
    },
    /// Request tokens from the token issuer of an upstream's rate limit.
    RequestTokens {
        /// The request for tokens.
        ask: TokenRequest,
        /// Address of the token issuer.
        to: SocketAddr,
    },
    /// End an interrupted stream with an error event that says whether the request may have run.
    FailStream {
        /// The reason, and whether the request may have run.
        refusal: Refusal,
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt on its upstream.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The request.
        request: RequestId,
    },
    /// Check whether an upstream accepts connections at its address.
    CheckListening {
        /// Where the upstream listens.
        address: SocketAddr,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Check whether a connection to an upstream can be opened.
    CheckPath {
        /// Where the upstream listens.
        address: SocketAddr,
        /// Paths, in the order in which they are tried.
        paths: Vec<Path>,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Claim an idempotency key in the platform's table.
    Claim(ClaimRequest),
    /// Ask the directory whether the upstreams that it lists now run the software that this host
    /// knows of.
    ConfirmUpstreams,
    /// Fetch a newer configuration from another host.
    FetchConfiguration {
        /// Address of the other host.
        address: SocketAddr,
        /// Version in force on this host.
        newer_than: Option<ConfigVersion>,
    },
    /// Answer a host that requested tokens.
    GrantTokens {
        /// The granted tokens.
        grant: TokenGrant,
        /// Address of the host that requested them.
        to: SocketAddr,
    },
    /// Write crashes to the store for hosts that start later.
    StoreCrashes(Vec<Crash>),
    /// Log a change of the number of rejections that an upstream says it can handle.
    NoteBrittleness(BrittlenessChange),
    /// Log and export a change of the share of a class's requests that is admitted.
    NoteAdmission(AdmissionChange),
    /// Log and count a crash of an upstream while it ran a request.
    NoteCrash(CrashDetected),
    /// Log and count an upstream that is newly known to be leaving.
    NoteLeaving(LeavingDetected),
    /// Log and count a change of the rate limit that an upstream reports.
    NoteLimit(LimitChange),
    /// Log a change in whether this host's own path to an upstream is considered open.
    NotePathChange(PathChange),
    /// Log a change of an engine's estimated speed.
    NoteSpeed(SpeedChange),
    /// Log and count a stream that a caller takes up.
    NoteTakenUp(TakenUpStream),
    /// Probe the health of an ejected upstream.
    Probe {
        /// Address of the upstream.
        address: SocketAddr,
        /// URL path of the health check.
        path: String,
        /// Paths to the upstream, in the order in which they are tried.
        paths: Vec<Path>,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Read the newest configuration now.
    ReadConfiguration,
    /// Record the outcome of a request.
    Record(Outcome),
    /// Give a request its final response without sending it to an upstream.
    Refuse {
        /// The reason, and whether the request may have run.
        refusal: Refusal,
        /// The request.
        request: RequestId,
    },
    /// Answer a request with the stored response to an earlier request with the same idempotency
    /// key.
    Replay {
        /// The stored response.
        response: StoredResponse,
        /// The request.
        request: RequestId,
    },
    /// Send a request to an upstream.
    Send {
        /// Destination and parameters of the attempt.
        order: SendOrder,
        /// The request.
        request: RequestId,
    },
    /// Send a heartbeat to another host.
    SendHeartbeat {
        /// Address of the other host.
        address: SocketAddr,
        /// The heartbeat.
        heartbeat: Heartbeat,
        /// The other host.
        host: HostId,
    },
    /// Send this host's load to other hosts.
    SendLoadNotes {
        /// The notes with their destinations.
        notes: Vec<(SocketAddr, LoadNote)>,
    },
    /// Write the outcome of a claimed request to the platform's table.
    Settle(Settlement),
    /// Announce crashes, and completions of requests with earlier crashes, to other hosts.
    SendCrashNote {
        /// The note.
        note: CrashNote,
        /// Destinations.
        to: Vec<SocketAddr>,
    },
    /// Announce to other hosts that this host holds the duties that one host performs for all.
    SendDutyNote {
        /// The note.
        note: DutyNote,
        /// Destinations.
        to: Vec<SocketAddr>,
    },
    /// Send other hosts a message about the software version of a stream.
    SendStreamNote {
        /// The message.
        note: StreamNote,
        /// Destinations.
        to: Vec<SocketAddr>,
    },
    /// Send other hosts what upstreams report about themselves.
    SendUpstreamNote {
        /// The note.
        note: UpstreamNote,
        /// Destinations.
        to: Vec<SocketAddr>,
    },
    /// Send the usage counted on this host to the host that holds the duties. The receiver of this
    /// action fills in the time of day.
    SendUsageNote {
        /// The note.
        note: UsageNote,
        /// Destination; `None` if this host holds the duties.
        to: Option<SocketAddr>,
    },
    /// Announce to other hosts that they can fetch a version of the configuration from this host.
    SendVersionNote {
        /// The note.
        note: VersionNote,
        /// Destinations.
        to: Vec<SocketAddr>,
    },
}
