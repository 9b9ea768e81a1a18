use super::*;

/// Hash of the start of a prompt. Requests with the same hash may share a cached prefix on an
/// engine.
pub type PrefixHash = u64;

/// Whether a request may run more than once.
#[derive(Clone, Debug, PartialEq)]
pub enum Repeatability {
    /// The configuration of the class and the service decides.
    AsConfigured,
    /// The caller asked for at most one execution.
    AtMostOnce,
    /// The caller asked for at most one execution for each idempotency key, across all hosts and
    /// all retries of the caller.
    AtMostOncePerKey {
        /// Idempotency key of the caller.
        key: IdempotencyKey,
    },
}

/// Properties of a request that is relayed by a route.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutedRequest {
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
    /// Whether the route accepts requests without a bearer key.
    pub public: bool,
    /// Stream that the caller takes up; `None` for a new request.
    pub resumed_stream: Option<StreamId>,
    /// Stream that the response belongs to: the resumed one, or one that begins with this request.
    pub stream: StreamId,
    /// How long the caller waits for the response, if the caller said so.
    pub time_limit: Option<Duration>,
}

/// A request as received from a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Class named by the caller, if any.
    pub class: Option<ClassId>,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Hash of the bearer key; `None` on a route that needs no key.
    pub key_hash: Option<KeyHash>,
    /// Maximum output length set by the caller, if any.
    pub max_output: Option<Tokens>,
    /// Hash of the start of the prompt.
    pub prefix: Option<PrefixHash>,
    /// Estimated length of the prompt.
    pub prompt_tokens: Tokens,
    /// Whether the request may run more than once.
    pub repeatability: Repeatability,
    /// Id of the request, unique on this host.
    pub request: RequestId,
    /// Properties of the relayed request; `None` if no route relays it.
    pub routed: Option<RoutedRequest>,
    /// Model or service that the request is for.
    pub target: Target,
}
