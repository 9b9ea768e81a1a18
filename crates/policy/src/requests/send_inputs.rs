use super::*;

/// What decided where a request is sent, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct SendInputs {
    /// Number of the attempt, 1 for the first.
    pub attempt: u32,
    /// Prompt tokens of this host that wait there, this request's included.
    pub backlog: u64,
    /// Rejections a second that the upstream says it bears.
    pub rejection_limit: Option<Rate>,
    /// Class of the request.
    pub class: ClassId,
    /// Time for which the engine reads what waits there, this request's prompt included.
    pub expected_wait: Duration,
    /// Engine from which parts of the prompt are fetched.
    pub fetch_source: Option<UpstreamId>,
    /// Prompt tokens that the source is known to have read and the upstream not.
    pub fetch_tokens: Tokens,
    /// Fingerprint of the request as one of its team.
    pub fingerprint: Fingerprint,
    /// Requests of this host there, this one included.
    pub in_flight: u32,
    /// Limit that the upstream named for all hosts together.
    pub rate_limit: Option<Rate>,
    /// Age of the oldest note that the figures of other hosts rest on.
    pub others_age: Option<Duration>,
    /// Prompt tokens of other hosts that wait there.
    pub others_backlog: u64,
    /// Requests of other hosts there.
    pub others_in_flight: u32,
    /// Names the parts that its prompt shares with others; 0 for none.
    pub shared_parts_hash: u64,
    /// Prompt tokens that the engine is believed to have to read.
    pub prefill_tokens: Tokens,
    /// Time from its arrival.
    pub waited: Duration,
}
