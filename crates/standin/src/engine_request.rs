use super::*;

/// Output length of a request whose metadata specifies no length.
const DEFAULT_OUTPUT_TOKENS: u32 = 64;

/// Number of prompt bytes that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Number of prompt bytes that identify the prefix in the prefix cache.
const PREFIX_BYTES: usize = 256;

#[derive(Debug, Default, Deserialize)]
struct Metadata {
    output_tokens: Option<String>,
    tag: Option<String>,
}

#[derive(Debug, Deserialize)]
struct RequestBody {
    max_tokens: Option<u32>,
    #[serde(default)]
    messages: Value,
    #[serde(default)]
    metadata: Metadata,
    #[serde(default)]
    prompt: Value,
    #[serde(default)]
    stream: bool,
}

/// The parts of an OpenAI-style request that a stand-in uses. The metadata of the
/// request specifies the output length. A router must not read this metadata.
#[derive(Debug)]
pub(crate) struct EngineRequest {
    pub(crate) output_tokens: u32,
    pub(crate) prefix: Vec<u8>,
    pub(crate) prompt_tokens: u64,
    pub(crate) stream: bool,
    pub(crate) tag: String,
}

impl EngineRequest {
    pub(crate) fn from_body(body: &[u8]) -> Option<Self> {
        let request: RequestBody = serde_json::from_slice(body).ok()?;
        let prompt = format!("{}{}", request.messages, request.prompt).into_bytes();
        let wanted = request.metadata.output_tokens.as_deref();
        let output_tokens = wanted
            .and_then(|text| text.parse().ok())
            .unwrap_or(DEFAULT_OUTPUT_TOKENS)
            .min(request.max_tokens.unwrap_or(u32::MAX))
            .max(1);
        Some(Self {
            output_tokens,
            prefix: prompt[..prompt.len().min(PREFIX_BYTES)].to_vec(),
            prompt_tokens: (prompt.len() / BYTES_PER_TOKEN) as u64,
            stream: request.stream,
            tag: request.metadata.tag.unwrap_or_default(),
        })
    }
}
