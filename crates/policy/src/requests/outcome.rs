use super::*;

/// In which way a request ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutcomeEnd {
    /// The answer broke off.
    Broken,
    /// The caller was gone.
    CallerGone,
    /// Every attempt failed, before the caller got anything.
    Failed,
    /// The whole answer was delivered.
    Finished,
    /// It was refused for what the caller sent or may not do.
    Rejected,
    /// A stored answer was given.
    Replayed,
    /// It was refused for want of capacity or time.
    Shed,
}

impl OutcomeEnd {
    /// The end as it stands in metrics.
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

/// How one request ended, for metrics and the burn report.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// Attempts made.
    pub attempts: u32,
    /// Class, where known.
    pub class: Option<ClassId>,
    /// In which way it ended.
    pub end: OutcomeEnd,
    /// Time in which it was expected to end, where it was refused for that.
    pub expected_duration: Option<Duration>,
    /// Time from arrival to the first token, where one came.
    pub first_token: Option<Duration>,
    /// How long its caller waits, where that is known.
    pub time_limit: Option<Duration>,
    /// Time from arrival to the end.
    pub duration: Duration,
    /// Longest time between two parts of the answer that the caller was sent.
    pub longest_pause: Duration,
    /// Whether it finished within its class's targets.
    pub met_target: bool,
    /// Why it was refused or cut.
    pub reason: Option<RefusalReason>,
    /// The request.
    pub request: RequestId,
    /// Team, where known.
    pub team: Option<TeamId>,
    /// Tier, where known.
    pub tier: Option<Tier>,
    /// Tokens delivered.
    pub tokens: Tokens,
    /// Upstream of the last attempt, where one was made.
    pub upstream: Option<UpstreamId>,
    /// The verdict reported to the caller.
    pub verdict: Verdict,
    /// Tokens computed in vain, and why.
    pub wasted: Option<(WasteCause, Tokens)>,
}
