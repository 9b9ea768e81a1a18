use super::*;

/// Splits the bytes of an event stream into whole events.
///
/// An incomplete event is held back until its end arrives. If the bytes were forwarded as they
/// arrived and an upstream failed in the middle of an event, the stream would resume at another
/// upstream after the last whole event, and the caller would get half an event joined to the next
/// one.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer that contain no end of an event.
    searched: usize,
}

/// A whole event, including the empty line that ends the event.
#[derive(Debug, Eq, PartialEq)]
pub(crate) struct WholeEvent {
    pub(crate) bytes: Bytes,
    /// The event's id, if the event has one.
    pub(crate) id: Option<String>,
}

impl EventSplitter {
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether an incomplete event is left once `next_event` has returned `None`.
    pub(crate) fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Number of bytes of the incomplete event once `next_event` has returned `None`.
    pub(crate) fn partial_event_bytes(&self) -> u64 {
        self.buffer.len() as u64
    }

    /// Removes and returns the next whole event.
    pub(crate) fn next_event(&mut self) -> Option<WholeEvent> {
        let Some(end) = self.find_event_end() else {
            self.searched = self.buffer.len().saturating_sub(MAX_TERMINATOR_BYTES - 1);
            return None;
        };
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        let id = event_id(&bytes);
        Some(WholeEvent { bytes, id })
    }

    /// Finds the position after the empty line that ends the first event.
    fn find_event_end(&self) -> Option<usize> {
        let terminators = [&b"\n\n"[..], b"\r\n\r\n", b"\r\r"];
        (self.searched..self.buffer.len()).find_map(|at| {
            let rest = &self.buffer[at..];
            let terminator = terminators
                .iter()
                .find(|terminator| rest.starts_with(terminator))?;
            Some(at + terminator.len())
        })
    }
}

/// Length of the longest byte sequence that ends an event.
const MAX_TERMINATOR_BYTES: usize = 4;

fn event_id(event: &[u8]) -> Option<String> {
    let lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
    let id = lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .next_back()?;
    let id = std::str::from_utf8(id).ok()?;
    Some(id.strip_prefix(' ').unwrap_or(id).to_string())
}

#[cfg(test)]
#[path = "../tests/unit/event_splitter.rs"]
mod tests;
