use super::*;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// A response with status 200 was interrupted, contained an error event or ended
    /// without the end mark of a stream.
    Broken,
    /// The complete response arrived.
    Finished,
    /// No response arrived, or an error response was interrupted.
    Lost,
    /// An error response arrived.
    Refused,
    /// The stored response of an earlier request with the same key arrived.
    Replayed,
}

/// What a caller observed of one request. Points in time are counted from the
/// start of the run. Durations are counted from the intended send time rather
/// than the actual one, so that a stalled sender does not hide latency.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// Class of the request.
    pub class: ClassId,
    /// Machine-readable error code; `None` without an error.
    pub code: Option<String>,
    /// When the response ended, counted from the start of the run.
    pub ended_ms: f64,
    /// How the request ended.
    pub ending: Ending,
    /// Time to the first token, or to the complete response if it was not
    /// streamed.
    pub first_token_ms: Option<f64>,
    /// Whether the response has content of another request.
    pub foreign: bool,
    /// Intended send time, counted from the start of the run.
    pub intended_ms: f64,
    /// Whether the request may run at most once.
    pub once: bool,
    /// Number of tokens received.
    pub received: u32,
    /// Whether the response was streamed.
    pub streamed: bool,
    /// HTTP status code; 0 if no response arrived.
    pub status: u16,
    /// Tag that upstreams record with each run of the request.
    pub tag: String,
    /// Team of the caller.
    pub team: TeamId,
    /// Tier of the class.
    pub tier: Tier,
    /// Verdict reported to the caller; `ran` if the response is complete and
    /// reports none.
    pub verdict: Option<Verdict>,
    /// Number of tokens requested; 1 for a plain service.
    pub wanted: u32,
}

impl Record {
    /// Whether the request finished within the targets of its class. A response that
    /// was not streamed has to arrive within the sum of the first-token target and
    /// all between-token targets.
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

    /// Whether the response is complete and belongs to this request.
    pub fn is_complete(&self) -> bool {
        let finished = matches!(self.ending, Ending::Finished | Ending::Replayed);
        finished && !self.foreign && self.received == self.wanted
    }
}
