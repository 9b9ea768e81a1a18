use super::*;

/// Bytes of bodies that this host holds for requests that have not ended.
///
/// What goes wrong without a bound: bodies are read whole, and a burst of large
/// ones takes more memory than the process may have; it is killed, and every
/// request on the host breaks off. One would notice restarts of hosts in a burst.
#[derive(Clone, Debug, Default)]
pub(crate) struct BodyBudget {
    reserved_bytes: Arc<AtomicU64>,
}

impl BodyBudget {
    /// Nothing reserved_bytes yet, for one more request.
    pub(crate) fn start_reservation(&self) -> BodyReservation {
        BodyReservation {
            bytes: 0,
            reserved_bytes: Arc::clone(&self.reserved_bytes),
        }
    }
}

/// The bytes of one request's body. They are given back when it is dropped.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    bytes: u64,
    reserved_bytes: Arc<AtomicU64>,
}

impl BodyReservation {
    /// Takes more; false if all requests together would hold more than `max`.
    pub(crate) fn add(&mut self, bytes: u64, max: ByteSize) -> bool {
        let before = self.reserved_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        before + bytes <= max.get()
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.reserved_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
