use super::*;

/// Most bytes that are read for one event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Counts the bytes that were read since the last event. The parser keeps the bytes of an event
/// without a limit until the event ends.
#[derive(Clone, Debug, Default)]
pub(crate) struct EventLimit {
    bytes: Arc<AtomicUsize>,
}

impl EventLimit {
    /// Ends a body with an error when an event is larger than [`MAX_EVENT_BYTES`].
    pub(crate) fn apply(&self, body: Incoming) -> EventBytes {
        let limit = self.clone();
        BodyDataStream::new(body)
            .map(move |bytes| limit.count(bytes.map_err(|_| FailureCause::Reset)?))
            .boxed()
    }

    pub(crate) fn note_event(&self) {
        self.bytes.store(0, Ordering::Relaxed);
    }

    fn count(&self, bytes: Bytes) -> Result<Bytes, FailureCause> {
        let before = self.bytes.fetch_add(bytes.len(), Ordering::Relaxed);
        if before + bytes.len() > MAX_EVENT_BYTES {
            return Err(FailureCause::Truncated);
        }
        Ok(bytes)
    }
}

/// The bytes of an event stream.
pub(crate) type EventBytes = BoxStream<'static, Result<Bytes, FailureCause>>;
