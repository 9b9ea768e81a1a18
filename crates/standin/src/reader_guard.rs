use super::*;

/// Counts one reader of a generation until the guard is dropped.
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
