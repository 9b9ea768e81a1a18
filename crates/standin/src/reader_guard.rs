use super::*;

/// Counts a stream among the readers of an answer while it lives.
pub(crate) struct ReaderGuard {
    generation: Arc<Generation>,
}

impl ReaderGuard {
    pub(crate) fn new(generation: &Arc<Generation>) -> Self {
        *lock(&generation.readers) += 1;
        Self {
            generation: Arc::clone(generation),
        }
    }
}

impl Drop for ReaderGuard {
    fn drop(&mut self) {
        *lock(&self.generation.readers) -= 1;
    }
}
