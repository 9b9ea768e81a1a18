use super::*;

/// The response to one request, as far as it has been computed. The engine keeps the
/// generation for a while after its stream was interrupted, so that the stream can
/// be resumed.
#[derive(Debug)]
pub(crate) struct Generation {
    /// Notified when the generation is cancelled.
    pub(crate) cancelled: Notify,
    pub(crate) output_tokens: u32,
    /// Number of tokens computed so far.
    pub(crate) progress: watch::Sender<u32>,
    pub(crate) tag: String,
    /// Number of responses that currently read the generation.
    pub(crate) readers: Mutex<u32>,
    pub(crate) tokens_per_event: u32,
}

impl Generation {
    /// Returns the event with the tokens from `start` up to, but excluding, `end`.
    pub(crate) fn event(&self, start: u32, end: u32) -> String {
        let content: String = (start..end)
            .map(|index| format!("{}:{index} ", self.tag))
            .collect();
        let data = json!({
            "object": "chat.completion.chunk",
            "choices": [{"index": 0, "delta": {"content": content}}],
        });
        format!("id: {end}\ndata: {data}\n\n")
    }

    /// Returns the complete text.
    pub(crate) fn text(&self) -> String {
        (0..self.output_tokens)
            .map(|index| format!("{}:{index} ", self.tag))
            .collect()
    }
}
