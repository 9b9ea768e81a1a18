use super::*;

/// An order to send a request to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct SendOrder {
    /// Where the upstream listens.
    pub address: SocketAddr,
    /// Id of this attempt.
    pub attempt: AttemptId,
    /// Engine from which the upstream first fetches the parts of the prompt that it lacks.
    pub fetch_from: Option<SocketAddr>,
    /// What decided it.
    pub inputs: Box<SendInputs>,
    /// Paths to the upstream, in the order in which they are tried.
    pub paths: Vec<Path>,
    /// Priority for the engine, 0 the most urgent.
    pub priority: u8,
    /// Last moment at which the answer is of use, for a relayed request.
    pub due: Time,
    /// Resume the stream of this earlier attempt after its last event.
    pub resume: Option<AttemptId>,
    /// Team of the caller; `None` for a request without a key.
    pub team: Option<TeamId>,
    /// The upstream.
    pub upstream: UpstreamId,
}

/// Something to be done, ordered by the controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Give an attempt up whose upstream is silent; its end is reported as that.
    Abandon {
        /// The attempt.
        attempt: AttemptId,
        /// The request.
        request: RequestId,
    },
    /// Answer a heartbeat.
    AnswerHeartbeat {
        /// What to say.
        answer: HeartbeatAnswer,
        /// Number of the call.
        call: u64,
    },
    /// Answer a host that wants to reach an upstream through this one.
    AnswerTransit {
        /// Number of the call.
        call: u64,
        /// Where the upstream listens; `None` if the other host must do without.
        to: Option<SocketAddr>,
    },
    /// Ask the keeper of an upstream's limit for tokens.
    AskTokens {
        /// What to ask.
        ask: TokenRequest,
        /// Where the keeper is reached.
        to: SocketAddr,
    },
    /// End a stream that was cut, with an error event that carries the verdict.
    Break {
        /// Why, and the verdict.
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
    /// Look whether anybody listens where an upstream does.
    CheckListening {
        /// Where the upstream listens.
        address: SocketAddr,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Look whether a connection to an upstream can be made.
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
    /// Fetch the configuration of another host, which has a newer one.
    FetchConfiguration {
        /// Where the host listens.
        address: SocketAddr,
        /// Version in force here.
        newer_than: Option<ConfigVersion>,
    },
    /// Answer a host that asks for tokens.
    GrantTokens {
        /// What to say.
        grant: TokenGrant,
        /// Where it is reached.
        to: SocketAddr,
    },
    /// Keep crashes in the store, for hosts that start later.
    KeepCrashes(Vec<Crash>),
    /// Log a change of what an upstream says of the rejections that it bears.
    NoteBrittle(BrittleNoted),
    /// Log and show a change of the part of a class that is taken.
    NoteAdmission(AdmissionChange),
    /// Log and count an upstream that ended under a request.
    NoteCrash(CrashNoted),
    /// Log and count an upstream that is newly known to leave.
    NoteLeaving(LeavingDetected),
    /// Log and count a change of the limit that an upstream names.
    NoteLimit(LimitChange),
    /// Log a change of what is believed of the own path to an upstream.
    NoteReach(PathChange),
    /// Log a change of what an engine is believed to do.
    NoteSpeed(SpeedNoted),
    /// Ask an ejected upstream whether it is well.
    Probe {
        /// Where it listens.
        address: SocketAddr,
        /// Path of its health check.
        path: String,
        /// Paths to the upstream, in the order in which they are tried.
        paths: Vec<Path>,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Read the newest configuration now.
    ReadConfiguration,
    /// Count how a request ended.
    Record(Outcome),
    /// Give a request its final answer without an upstream.
    Refuse {
        /// Why, and the verdict.
        refusal: Refusal,
        /// The request.
        request: RequestId,
    },
    /// Give a request the stored answer of an earlier one with the same key.
    Replay {
        /// The stored answer.
        answer: StoredResponse,
        /// The request.
        request: RequestId,
    },
    /// Send a request to an upstream.
    Send {
        /// Where and how.
        order: SendOrder,
        /// The request.
        request: RequestId,
    },
    /// Send a heartbeat to another host.
    SendHeartbeat {
        /// Where it listens.
        address: SocketAddr,
        /// What to say.
        heartbeat: Heartbeat,
        /// The host.
        host: HostId,
    },
    /// Tell other hosts this one's load.
    SendNotes {
        /// Notes, and where to send them.
        notes: Vec<(SocketAddr, LoadNote)>,
    },
    /// Write in the table how a claimed request ended.
    Settle(Settlement),
    /// Tell other hosts which requests were on upstreams that ended.
    TellCrashes {
        /// What to say.
        note: CrashNote,
        /// To whom.
        to: Vec<SocketAddr>,
    },
    /// Tell other hosts that this one holds the duties that one host does for all.
    TellDuty {
        /// What to say.
        note: DutyNote,
        /// To whom.
        to: Vec<SocketAddr>,
    },
    /// Tell other hosts what upstreams say of themselves.
    TellUpstreams {
        /// What to say.
        note: UpstreamNote,
        /// To whom.
        to: Vec<SocketAddr>,
    },
    /// Tell the host that holds the duties what began here; the time of day is still to be
    /// filled in.
    TellUsage {
        /// What to say.
        note: UsageNote,
        /// To whom; `None` for this host itself.
        to: Option<SocketAddr>,
    },
    /// Tell other hosts that this one can hand a version of the configuration over.
    TellVersion {
        /// What to say.
        note: VersionNote,
        /// To whom.
        to: Vec<SocketAddr>,
    },
}
