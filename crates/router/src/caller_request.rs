use super::*;

/// Bytes of text that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Bytes of a prompt that are hashed as its prefix.
const PREFIX_BYTES: usize = 256;

/// Seeds of the hash of a prefix, fixed so that it is the same on each host.
const PREFIX_SEEDS: [u64; 4] = [1, 2, 3, 4];

/// A request of a caller, read whole.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) parsed: Asked,
    pub(crate) body: WholeBody,
    pub(crate) class: Option<ClassId>,
    pub(crate) content_type: String,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) key_hash: KeyHash,
    pub(crate) method: Method,
    pub(crate) repeatability: Repeatability,
}

/// The fields of an OpenAI-style body that a router needs.
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
    /// Whether it is for an engine, which can resume and cancel.
    pub(crate) const fn is_for_engine(&self) -> bool {
        matches!(self.parsed.target, Target::Model(_))
    }

    pub(crate) fn arrival(&self, request: RequestId) -> Arrival {
        Arrival {
            class: self.class.clone(),
            fingerprint: self.fingerprint,
            key_hash: Some(self.key_hash),
            max_output: self.parsed.max_output,
            prefix: self.parsed.prefix,
            prompt_tokens: self.parsed.prompt,
            repeatability: self.repeatability.clone(),
            request,
            routed: None,
            target: self.parsed.target.clone(),
        }
    }

    /// Whether the request must be carried to its end though the caller is
    /// gone, because a retry with the same key will ask for its answer.
    pub(crate) const fn has_idempotency_key(&self) -> bool {
        matches!(self.repeatability, Repeatability::AtMostOncePerKey { .. })
    }

    pub(crate) fn call(&self, order: &SendOrder) -> Call {
        Call {
            attempt: order.attempt,
            body: self.body.bytes.clone(),
            content_type: self.content_type.clone(),
            method: self.method.clone(),
            path: self.parsed.path.clone(),
            priority: order.priority,
        }
    }
}
