use super::*;

/// Splits the bytes of an event stream into whole events.
///
/// What goes wrong with bytes passed on as they come: an upstream breaks off in
/// the middle of an event, the stream goes on at another one after the last
/// whole event, and the caller gets half an event joined to the next. So a part
/// of an event is held back until the rest is here.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: Vec<u8>,
    /// Bytes at the start of the buffer in which no event ends.
    searched: usize,
}

/// One whole event, with the empty line that ends it.
#[derive(Debug, Eq, PartialEq)]
pub(crate) struct WholeEvent {
    pub(crate) bytes: Bytes,
    /// Its id, if it has one.
    pub(crate) id: Option<String>,
}

impl EventSplitter {
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether part of an event is left.
    pub(crate) fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Bytes of an event whose end has not come.
    pub(crate) const fn partial_event_bytes(&self) -> u64 {
        self.buffer.len() as u64
    }

    /// The next whole event.
    pub(crate) fn next_event(&mut self) -> Option<WholeEvent> {
        let Some(end) = self.find_event_end() else {
            self.searched = self.buffer.len().saturating_sub(MAX_TERMINATOR_BYTES - 1);
            return None;
        };
        let rest = self.buffer.split_off(end);
        let event = std::mem::replace(&mut self.buffer, rest);
        self.searched = 0;
        let id = event_id(&event);
        Some(WholeEvent {
            bytes: event.into(),
            id,
        })
    }

    /// Where the first event ends: behind an empty line.
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

/// Bytes of the longest line ends that make an empty line.
const MAX_TERMINATOR_BYTES: usize = 4;

fn event_id(event: &[u8]) -> Option<String> {
    let lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
    let id = lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .next_back()?;
    let id = std::str::from_utf8(id).ok()?;
    Some(id.strip_prefix(' ').unwrap_or(id).to_string())
}
