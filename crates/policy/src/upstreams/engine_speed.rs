use super::*;

/// Prefill rate that is assumed until a rate has been measured.
const DEFAULT_PREFILL_TOKENS_PER_MS: f64 = 100.0;

/// Minimum number of prefilled tokens for a sample. With fewer tokens, network latency has too much
/// influence on the time to the first token.
const MIN_SAMPLE_TOKENS: u32 = 1_000;

/// Maximum number of tokens known to be queued ahead of a prompt, as a fraction of the prompt's
/// prefilled tokens, for the time to the first token to be used as a sample.
const MAX_QUEUED_SHARE: f64 = 0.25;

/// Time without a measurement after which the step moves by one toward the baseline.
const STEP_DECAY_INTERVAL: Duration = Duration::from_secs(10);

/// Estimated speed of one incarnation of an engine.
#[derive(Debug)]
pub(crate) struct EngineSpeed {
    /// When this host last announced its vote.
    last_announced: Option<Time>,
    /// When the step was last confirmed by a measurement, or last decayed.
    step_updated: Time,
    pub(crate) key: EngineKey,
    /// When this host last took a sample.
    last_sampled: Option<Time>,
    /// Prefill times of this host's requests.
    pub(crate) prefill_samples: SpeedSamples,
    /// Estimated prefill rate.
    pub(crate) prefill_tokens_per_ms: f64,
    /// Estimated speed relative to the baseline.
    pub(crate) step: SpeedStep,
    pub(crate) votes: SpeedVotes,
}

impl EngineSpeed {
    pub(crate) fn new(id: &UpstreamId) -> Self {
        Self {
            last_announced: None,
            step_updated: Time::default(),
            key: EngineKey::new(id),
            prefill_tokens_per_ms: DEFAULT_PREFILL_TOKENS_PER_MS,
            prefill_samples: SpeedSamples::default(),
            last_sampled: None,
            step: SpeedStep::BASELINE,
            votes: SpeedVotes::default(),
        }
    }

    /// How many times faster than the baseline the engine works.
    pub(crate) fn factor(&self) -> f64 {
        self.step.factor()
    }

    /// Records the time to the first token of a prompt. `unshared` counts the tokens that belong to
    /// this request or its session alone, which the engine has certainly prefilled. `queued_tokens`
    /// counts the tokens that were known to be queued ahead of the prompt.
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

    /// Prefill time per prompt token, from the samples of this host and the votes of other hosts.
    pub(crate) fn prefill_ms_per_token(&self) -> Option<f64> {
        self.votes.prefill_ms_per_token(&self.prefill_samples)
    }

    /// Updates the step and the prefill rate by the baseline of the engines that serve the same
    /// models. Returns whether the step changed.
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

    /// When this host's vote was last announced, if ever. The outer option is `None` if the host
    /// has no new samples to announce.
    pub(crate) fn pending_vote(&self) -> Option<Option<Time>> {
        let is_pending = self.last_sampled > self.last_announced && self.sample_count() > 0;
        is_pending.then_some(self.last_announced)
    }

    /// The vote of this host for a load note. Records the announcement.
    pub(crate) fn take_vote(&mut self, now: Time) -> Option<SpeedVote> {
        let ms_per_token = self.prefill_samples.ms_per_token()?;
        self.last_announced = Some(now);
        Some(SpeedVote {
            engine: self.key,
            pace: PrefillTokenTime::from_ms(ms_per_token),
        })
    }
}
