use super::*;

/// Prompt tokens that an engine reads in a millisecond, before any was seen to.
const DEFAULT_PREFILL_TOKENS_PER_MS: f64 = 100.0;

/// Fewest prompt tokens of which the time to the first token tells the speed of reading: with
/// fewer the way there and back counts more.
const MIN_SAMPLE_TOKENS: u32 = 1_000;

/// Most that may be known to wait before a prompt, as a part of it, where its time to the first
/// token is to tell the speed of reading.
const MAX_QUEUED_SHARE: f64 = 0.25;

/// Time after which a step that nobody speaks for any more fades by one.
const STEP_DECAY_INTERVAL: Duration = Duration::from_secs(10);

/// What one incarnation of an engine can do, as far as is known.
#[derive(Debug)]
pub(crate) struct EngineSpeed {
    /// When this host's vote was announced last.
    last_announced: Option<Time>,
    /// When the step was last confirmed, or faded.
    step_updated: Time,
    pub(crate) key: EngineKey,
    /// When this host last got a sample.
    last_sampled: Option<Time>,
    /// Times in which prompt tokens were read.
    pub(crate) prefill_samples: SpeedSamples,
    /// Prompt tokens that it reads in a millisecond.
    pub(crate) prefill_tokens_per_ms: f64,
    /// The step in force.
    pub(crate) step: SpeedStep,
    pub(crate) votes: SpeedVotes,
}

impl EngineSpeed {
    pub(crate) fn new(id: &UpstreamId) -> Self {
        Self {
            last_announced: None,
            step_updated: Time::default(),
            key: EngineKey::of(id),
            prefill_tokens_per_ms: DEFAULT_PREFILL_TOKENS_PER_MS,
            prefill_samples: SpeedSamples::default(),
            last_sampled: None,
            step: SpeedStep::BASELINE,
            votes: SpeedVotes::default(),
        }
    }

    /// How much faster than usual it works.
    pub(crate) fn factor(&self) -> f64 {
        self.step.factor()
    }

    /// Notes the time to the first token of a prompt of which so many tokens were surely read, and
    /// before which `waiting` tokens were known to wait.
    pub(crate) fn record_first_token(
        &mut self,
        unshared: Tokens,
        queued_tokens: u64,
        time_to_first_token: Duration,
        now: Time,
    ) {
        let tokens = unshared.get();
        if tokens < MIN_SAMPLE_TOKENS || queued_tokens as f64 > MAX_QUEUED_SHARE * f64::from(tokens)
        {
            return;
        }
        if let Some(sample) = SpeedSample::new(u64::from(tokens), time_to_first_token, now) {
            self.prefill_samples.push(sample);
            self.last_sampled = Some(now);
        }
    }

    pub(crate) fn expire(&mut self, now: Time) {
        self.prefill_samples.expire(now);
        self.votes.expire(now);
    }

    pub(crate) fn sample_count(&self) -> usize {
        self.prefill_samples.len()
    }

    /// Milliseconds in which it reads a token, by all that is known.
    pub(crate) fn prefill_ms_per_token(&self) -> Option<f64> {
        self.votes.prefill_ms_per_token(&self.prefill_samples)
    }

    /// Follows what is known of its pool; true if the step in force changed.
    pub(crate) fn update_step(&mut self, baseline: &BaselineSpeed, now: Time) -> bool {
        let before = self.step;
        let factor = self
            .prefill_ms_per_token()
            .and_then(|ms| baseline.factor_of(ms));
        if let Some(factor) = factor {
            self.step = self.step.updated(factor);
            self.step_updated = now;
        } else if now.since(self.step_updated) >= STEP_DECAY_INTERVAL {
            self.step = self.step.decayed();
            self.step_updated = now;
        }
        if let Some(rate) = baseline.prefill_tokens_per_ms() {
            self.prefill_tokens_per_ms = rate * self.factor();
        }
        self.step != before
    }

    /// When this host's vote was announced last, if it is news to the others.
    pub(crate) fn pending_vote(&self) -> Option<Option<Time>> {
        let is_pending = self.last_sampled > self.last_announced && self.sample_count() > 0;
        is_pending.then_some(self.last_announced)
    }

    /// Takes this host's vote for a note.
    pub(crate) fn take_vote(&mut self, now: Time) -> Option<SpeedVote> {
        let ms_per_token = self.prefill_samples.ms_per_token()?;
        self.last_announced = Some(now);
        Some(SpeedVote {
            engine: self.key,
            pace: ReadPace::of(ms_per_token),
        })
    }
}
