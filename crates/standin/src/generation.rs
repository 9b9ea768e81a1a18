use super::*;

/// The answer to one request, as far as it has been computed. It is kept for a
/// while after its stream broke, so that the stream can be resumed.
#[derive(Debug)]
pub(crate) struct Generation {
    /// Asked to stop.
    pub(crate) cancelled: Notify,
    pub(crate) output_tokens: u32,
    /// Tokens computed so far.
    pub(crate) progress: watch::Sender<u32>,
    pub(crate) tag: String,
    /// Streams that read it now.
    pub(crate) readers: Mutex<u32>,
    pub(crate) tokens_per_event: u32,
}

impl Generation {
    /// The event that ends at token `upto`.
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

    /// The whole text.
    pub(crate) fn text(&self) -> String {
        (0..self.output_tokens)
            .map(|index| format!("{}:{index} ", self.tag))
            .collect()
    }
}
