use super::*;

/// Memory that the request bodies of all unfinished requests on this host take.
///
/// Bodies are read whole. Without a limit, a burst of large bodies exceeds the memory of the
/// process, the operating system kills the process, and all requests on the host fail.
#[derive(Clone, Debug, Default)]
pub(crate) struct BodyBudget {
    reserved_bytes: Arc<AtomicU64>,
}

impl BodyBudget {
    /// Starts an empty reservation for a request.
    pub(crate) fn start_reservation(&self) -> BodyReservation {
        BodyReservation {
            bytes: 0,
            reserved_bytes: Arc::clone(&self.reserved_bytes),
        }
    }
}

/// The memory reserved for the body of one request, released on drop.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    bytes: u64,
    reserved_bytes: Arc<AtomicU64>,
}

impl BodyReservation {
    /// Adds `bytes` to the reservation. Returns false if all requests together then exceed `max`;
    /// the bytes stay counted until the reservation is dropped.
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
