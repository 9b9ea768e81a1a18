use super::*;

/// How a request ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutcomeEnd {
    /// The response was interrupted after part of it had been sent to the caller.
    Broken,
    /// The caller disconnected.
    CallerGone,
    /// Every attempt failed before any part of a response was sent to the caller.
    Failed,
    /// The complete response was delivered.
    Finished,
    /// The request was refused because it is invalid, not permitted or over a limit of the team.
    Rejected,
    /// The stored response of an earlier request with the same idempotency key was sent.
    Replayed,
    /// The request was refused for lack of capacity or time.
    Shed,
}

impl OutcomeEnd {
    /// Name of the end in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Broken => "broken",
            Self::CallerGone => "caller-gone",
            Self::Failed => "failed",
            Self::Finished => "finished",
            Self::Rejected => "rejected",
            Self::Replayed => "replayed",
            Self::Shed => "shed",
        }
    }
}

/// Outcome of one request, for metrics and the report on burn rates.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// Number of attempts.
    pub attempts: u32,
    /// Class, if known.
    pub class: Option<ClassId>,
    /// How the request ended.
    pub end: OutcomeEnd,
    /// Expected duration of the request, if it was refused because of this expectation.
    pub expected_duration: Option<Duration>,
    /// Time from arrival to the first token; `None` if no token was received.
    pub first_token: Option<Duration>,
    /// How long the caller waits, if known.
    pub time_limit: Option<Duration>,
    /// Time from arrival to the end of the request.
    pub duration: Duration,
    /// Longest pause between two parts of the response sent to the caller.
    pub longest_pause: Duration,
    /// Whether the request finished within the latency targets of its class.
    pub met_target: bool,
    /// Why the request was refused or its response was interrupted.
    pub reason: Option<RefusalReason>,
    /// Id of the request.
    pub request: RequestId,
    /// Team, if known.
    pub team: Option<TeamId>,
    /// Tier, if known.
    pub tier: Option<Tier>,
    /// Tokens delivered to the caller.
    pub tokens: Tokens,
    /// Upstream of the last attempt; `None` if no attempt was made.
    pub upstream: Option<UpstreamId>,
    /// Whether the request may have run, as reported to the caller.
    pub verdict: Verdict,
    /// Number of computed tokens that were wasted, and why.
    pub wasted: Option<(WasteCause, Tokens)>,
}

impl Outcome {
    /// Outcome of a request whose team and class are not resolved.
    pub(crate) fn unresolved(request: RequestId, end: OutcomeEnd, verdict: Verdict) -> Self {
        Self {
            attempts: 0,
            class: None,
            end,
            expected_duration: None,
            first_token: None,
            time_limit: None,
            longest_pause: Duration::ZERO,
            duration: Duration::ZERO,
            met_target: false,
            reason: None,
            request,
            team: None,
            tier: None,
            tokens: Tokens::default(),
            upstream: None,
            verdict,
            wasted: None,
        }
    }
}
