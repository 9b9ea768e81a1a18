use super::*;

/// Hash of the start of a prompt; requests that share it may share a cached
/// prefix on an engine.
pub type PrefixHash = u64;

/// Whether a request may run more than once.
#[derive(Clone, Debug, PartialEq)]
pub enum Repeatability {
    /// As the class or service says.
    AsConfigured,
    /// At most once, said by the caller.
    AtMostOnce,
    /// At most once for each key, over all hosts and retries of the caller.
    AtMostOncePerKey {
        /// The caller's key.
        key: IdempotencyKey,
    },
}

/// What is known of a request that is relayed by a route.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutedRequest {
    /// Parts of its prompt in order.
    pub parts: Vec<PromptPart>,
    /// Whether it needs no key.
    pub public: bool,
    /// How long the caller will wait.
    pub time_limit: Option<Duration>,
}

/// A request as a caller sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Class that the caller named, if any.
    pub class: Option<ClassId>,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Hash of the bearer key; `None` for a route that needs no key.
    pub key_hash: Option<KeyHash>,
    /// Longest output that the caller allows, if it said so.
    pub max_output: Option<Tokens>,
    /// Start of the prompt.
    pub prefix: Option<PrefixHash>,
    /// Length of the prompt, estimated.
    pub prompt_tokens: Tokens,
    /// Whether it may run more than once.
    pub repeatability: Repeatability,
    /// Id within this host.
    pub request: RequestId,
    /// What is known of it if a route relays it.
    pub routed: Option<RoutedRequest>,
    /// What it asks for.
    pub target: Target,
}
