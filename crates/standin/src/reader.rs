use super::*;

/// Counts a stream among the readers of an answer while it lives.
pub(crate) struct Reader {
    generation: Arc<Generation>,
}

impl Reader {
    pub(crate) fn new(generation: &Arc<Generation>) -> Self {
        *lock(&generation.readers) += 1;
        Self {
            generation: Arc::clone(generation),
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        *lock(&self.generation.readers) -= 1;
    }
}
