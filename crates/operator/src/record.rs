use super::*;

/// In which way a request ended for its caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// The stream ended with an error event, or broke off.
    Broken,
    /// The whole answer came.
    Finished,
    /// No usable answer at all, not even an error.
    Lost,
    /// An error answer came.
    Refused,
    /// A stored answer came.
    Replayed,
}

/// What a caller saw of one request. Times are in milliseconds; those of an
/// event are counted from the start of the run, and spans from the moment at
/// which the request was to be sent, so that a stall is not hidden.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// Class.
    pub class: ClassId,
    /// Machine-readable code of an error.
    pub code: Option<String>,
    /// End of the answer.
    pub ended_ms: f64,
    /// In which way it ended.
    pub ending: Ending,
    /// Time to the first token or to a whole answer.
    pub first_token_ms: Option<f64>,
    /// Whether the content is not what this request asked for.
    pub foreign: bool,
    /// When it was to be sent.
    pub intended_ms: f64,
    /// Whether it may run once at most.
    pub once: bool,
    /// Tokens received.
    pub received: u32,
    /// Whether the answer came as a stream.
    pub streamed: bool,
    /// HTTP status.
    pub status: u16,
    /// Tag by which upstreams count its runs.
    pub tag: String,
    /// Team.
    pub team: TeamId,
    /// Tier.
    pub tier: Tier,
    /// Verdict reported to the caller; `ran` for a whole stream.
    pub verdict: Option<Verdict>,
    /// Tokens asked for; 1 for a service.
    pub wanted: u32,
}

impl Record {
    /// Whether it finished within the targets of its class. An answer that came
    /// as a whole has the time of both targets together.
    pub fn meets_targets(&self, class: &ScenarioClass) -> bool {
        let Some(first_token_ms) = self.first_token_ms else {
            return false;
        };
        if !matches!(self.ending, Ending::Finished | Ending::Replayed) {
            return false;
        }
        let first_target_ms = class.first_token_target_ms as f64;
        let gaps = f64::from(self.wanted.saturating_sub(1));
        let rest_target_ms = gaps * class.between_token_target_ms as f64;
        if !self.streamed {
            return first_token_ms <= first_target_ms + rest_target_ms;
        }
        let rest_ms = self.ended_ms - self.intended_ms - first_token_ms;
        first_token_ms <= first_target_ms && (gaps == 0.0 || rest_ms <= rest_target_ms)
    }

    /// Whether the answer is whole and is this request's own.
    pub fn is_complete(&self) -> bool {
        let finished = matches!(self.ending, Ending::Finished | Ending::Replayed);
        finished && !self.foreign && self.received == self.wanted
    }
}
