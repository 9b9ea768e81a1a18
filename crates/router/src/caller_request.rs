use super::*;

/// Estimated bytes of text per token.
const BYTES_PER_TOKEN: usize = 4;

/// Number of bytes at the start of a prompt that are hashed to identify the prefix.
const PREFIX_BYTES: usize = 256;

/// Seeds of the prefix hash. They are fixed so that all hosts compute the same hash.
const PREFIX_SEEDS: [u64; 4] = [1, 2, 3, 4];

/// A caller's request with its complete body.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) requested: ParsedRequest,
    pub(crate) body: WholeBody,
    pub(crate) class: Option<ClassId>,
    pub(crate) content_type: String,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) key_hash: KeyHash,
    pub(crate) method: Method,
    pub(crate) repeatability: Repeatability,
}

/// The fields of an OpenAI-style request body that the router reads.
#[derive(Debug, Deserialize)]
pub(crate) struct EngineBody<'a> {
    max_completion_tokens: Option<u32>,
    max_tokens: Option<u32>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
    pub(crate) model: ModelId,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
}

impl EngineBody<'_> {
    pub(crate) fn max_output(&self) -> Option<Tokens> {
        self.max_completion_tokens
            .or(self.max_tokens)
            .map(Tokens::new)
    }

    fn prompt_text(&self) -> &str {
        self.messages.or(self.prompt).map_or("", RawValue::get)
    }

    pub(crate) fn prompt_tokens(&self) -> Tokens {
        Tokens::new((self.prompt_text().len() / BYTES_PER_TOKEN) as u32)
    }

    pub(crate) fn prefix(&self) -> Option<PrefixHash> {
        let start = self.prompt_text().as_bytes().get(..PREFIX_BYTES)?;
        let [a, b, c, d] = PREFIX_SEEDS;
        Some(ahash::RandomState::with_seeds(a, b, c, d).hash_one(start))
    }
}

impl CallerRequest {
    /// Whether the request is for an engine. Engines can resume streams and cancel attempts.
    pub(crate) const fn is_for_engine(&self) -> bool {
        matches!(self.requested.target, Target::Model(_))
    }

    pub(crate) fn arrival(&self, request: RequestId) -> Arrival {
        Arrival {
            class: self.class.clone(),
            fingerprint: self.fingerprint,
            key_hash: Some(self.key_hash),
            max_output: self.requested.max_output,
            prefix: self.requested.prefix,
            prompt_tokens: self.requested.prompt_tokens,
            repeatability: self.repeatability.clone(),
            request,
            routed: None,
            target: self.requested.target.clone(),
        }
    }

    /// Whether the request has an idempotency key. Such a request runs to its end even if the
    /// caller disconnects, because a retry with the same key will ask for the answer.
    pub(crate) const fn has_idempotency_key(&self) -> bool {
        matches!(self.repeatability, Repeatability::AtMostOncePerKey { .. })
    }

    pub(crate) fn call(&self, order: &SendOrder) -> Call {
        Call {
            attempt: order.attempt,
            body: self.body.bytes.clone(),
            content_type: self.content_type.clone(),
            method: self.method.clone(),
            path: self.requested.path.clone(),
            priority: order.priority,
        }
    }
}
