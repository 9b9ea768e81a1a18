use super::*;

/// Bytes of bodies that this host holds for requests that have not ended.
///
/// What goes wrong without a bound: bodies are read whole, and a burst of large
/// ones takes more memory than the process may have; it is killed, and every
/// request on the host breaks off. One would notice restarts of hosts in a burst.
#[derive(Clone, Debug, Default)]
pub(crate) struct BodyBudget {
    held: Arc<AtomicU64>,
}

impl BodyBudget {
    /// Nothing held yet, for one more request.
    pub(crate) fn open(&self) -> HeldBytes {
        HeldBytes {
            bytes: 0,
            held: Arc::clone(&self.held),
        }
    }
}

/// The bytes of one request's body. They are given back when it is dropped.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    bytes: u64,
    held: Arc<AtomicU64>,
}

impl HeldBytes {
    /// Takes more; false if all requests together would hold more than `max`.
    pub(crate) fn grow(&mut self, bytes: u64, max: ByteSize) -> bool {
        let before = self.held.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        before + bytes <= max.get()
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
