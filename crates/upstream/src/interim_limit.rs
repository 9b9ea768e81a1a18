use super::*;

/// Maximum number of interim responses to a request. An upstream has no reason to send more than a
/// few.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// Counts the interim (1xx) responses to a request. The HTTP library skips them without a limit, so
/// a faulty upstream could keep a connection and the processor busy until the request's deadline.
#[derive(Debug, Default)]
pub(crate) struct InterimLimit {
    count: AtomicU32,
    exceeded: Notify,
}

impl InterimLimit {
    /// Counts the interim responses to a request that is about to be sent.
    pub(crate) fn attach<B>(request: &mut Request<B>) -> Arc<Self> {
        let limit = Arc::new(Self::default());
        let counter = Arc::clone(&limit);
        on_informational(request, move |_| counter.note_response());
        limit
    }

    /// Waits until there are more interim responses than allowed.
    pub(crate) async fn exceeded(&self) {
        self.exceeded.notified().await;
    }

    fn note_response(&self) {
        if self.count.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM_RESPONSES {
            self.exceeded.notify_one();
        }
    }
}
