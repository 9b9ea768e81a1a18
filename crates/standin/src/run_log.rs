use super::*;

/// A log of every run on one or more stand-ins, used to check guarantees over the
/// history. Clones share the same log.
#[derive(Clone, Debug)]
pub struct RunLog {
    created_at: Instant,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Default for RunLog {
    fn default() -> Self {
        Self {
            created_at: Instant::now(),
            runs: Arc::default(),
        }
    }
}

impl RunLog {
    /// Returns every run so far, in order of start.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.runs).clone()
    }

    /// Number of runs with a tag.
    pub fn count(&self, tag: &str) -> usize {
        lock(&self.runs).iter().filter(|run| run.tag == tag).count()
    }

    /// Milliseconds since the log was created.
    pub fn now_ms(&self) -> u64 {
        self.created_at.elapsed().as_millis() as u64
    }

    pub(crate) fn start(
        &self,
        upstream: &str,
        tag: &str,
        attempt: Option<String>,
        received_ms: u64,
    ) -> usize {
        let started_ms = self.now_ms();
        let mut runs = lock(&self.runs);
        runs.push(Run {
            attempt,
            finished: false,
            received_ms,
            started_ms,
            tag: tag.to_string(),
            tokens: 0,
            upstream: upstream.to_string(),
        });
        runs.len() - 1
    }

    pub(crate) fn add_tokens(&self, run: usize, tokens: u32) {
        lock(&self.runs)[run].tokens += tokens;
    }

    pub(crate) fn finish(&self, run: usize) {
        lock(&self.runs)[run].finished = true;
    }
}
