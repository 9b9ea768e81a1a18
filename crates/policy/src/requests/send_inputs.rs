use super::*;

/// Inputs of the decision to send a request to an upstream, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct SendInputs {
    /// Number of the attempt, starting at 1.
    pub attempt: u32,
    /// Prompt tokens that this host has sent to the upstream and that are not prefilled yet,
    /// including those of this request.
    pub backlog: u64,
    /// Rejections per second that the upstream says it can handle.
    pub rejection_limit: Option<Rate>,
    /// Class of the request.
    pub class: ClassId,
    /// Time that the engine needs to prefill all waiting prompts, including that of this request.
    pub expected_wait: Duration,
    /// Engine from whose cache the upstream fetches parts of the prompt.
    pub fetch_source: Option<UpstreamId>,
    /// Prompt tokens that are known to be cached at the source and not at the upstream.
    pub fetch_tokens: Tokens,
    /// Fingerprint of the request, combined with its team.
    pub fingerprint: Fingerprint,
    /// Requests of this host in flight at the upstream, including this one.
    pub in_flight: u32,
    /// Stream that the caller takes up with the request.
    pub resumed_stream: Option<StreamId>,
    /// Version of the upstream's software.
    pub software_version: Option<SoftwareVersion>,
    /// Stream that the response belongs to, for a relayed request.
    pub stream: Option<StreamId>,
    /// Rate limit that the upstream has set for all hosts together.
    pub rate_limit: Option<Rate>,
    /// Age of the oldest load note used for the figures of other hosts.
    pub others_age: Option<Duration>,
    /// Prompt tokens that other hosts have sent to the upstream and that are not prefilled yet.
    pub others_backlog: u64,
    /// Requests of other hosts in flight at the upstream.
    pub others_in_flight: u32,
    /// Prompt parts that are shared with other requests, in order.
    pub shared_parts: Vec<PromptPart>,
    /// Hash of the prompt parts that are shared with other requests; 0 if there are none.
    pub shared_parts_hash: u64,
    /// Prompt tokens that the engine is expected to prefill for this request because they are not
    /// in its prefix cache.
    pub prefill_tokens: Tokens,
    /// Time since the request arrived.
    pub waited: Duration,
}
