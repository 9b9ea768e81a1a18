use super::*;

/// Prompt tokens that an engine reads in a millisecond, before any was seen to.
const FIRST_READ_TOKENS_PER_MS: f64 = 100.0;

/// Fewest prompt tokens of which the time to the first token tells the speed of reading: with
/// fewer the way there and back counts more.
const MIN_READ_TOKENS: u32 = 1_000;

/// Most that may be known to wait before a prompt, as a part of it, where its time to the first
/// token is to tell the speed of reading.
const MAX_WAITING: f64 = 0.25;

/// Time after which a step that nobody speaks for any more fades by one.
const FADE_INTERVAL: Duration = Duration::from_secs(10);

/// What one incarnation of an engine can do, as far as is known.
#[derive(Debug)]
pub(crate) struct EngineSpeed {
    /// When this host's vote was announced last.
    announced: Option<Time>,
    /// When the step was last confirmed, or faded.
    decided: Time,
    pub(crate) key: EngineKey,
    /// When this host last got a sample.
    sampled: Option<Time>,
    /// Times in which prompt tokens were read.
    pub(crate) reading: SpeedSamples,
    /// Prompt tokens that it reads in a millisecond.
    pub(crate) read_tokens_per_ms: f64,
    /// The step in force.
    pub(crate) step: SpeedStep,
    pub(crate) votes: SpeedVotes,
}

impl EngineSpeed {
    pub(crate) fn new(id: &UpstreamId) -> Self {
        Self {
            announced: None,
            decided: Time::default(),
            key: EngineKey::new(id),
            read_tokens_per_ms: FIRST_READ_TOKENS_PER_MS,
            reading: SpeedSamples::default(),
            sampled: None,
            step: SpeedStep::USUAL,
            votes: SpeedVotes::default(),
        }
    }

    /// How much faster than usual it works.
    pub(crate) fn factor(&self) -> f64 {
        self.step.factor()
    }

    /// Notes the time to the first token of a prompt of which so many tokens were surely read, and
    /// before which `waiting` tokens were known to wait.
    pub(crate) fn note_lead(&mut self, unread: Tokens, waiting: u64, lead: Duration, now: Time) {
        let tokens = unread.get();
        if tokens < MIN_READ_TOKENS || waiting as f64 > MAX_WAITING * f64::from(tokens) {
            return;
        }
        if let Some(sample) = SpeedSample::new(u64::from(tokens), lead, now) {
            self.reading.note(sample);
            self.sampled = Some(now);
        }
    }

    pub(crate) fn expire(&mut self, now: Time) {
        self.reading.expire(now);
        self.votes.expire(now);
    }

    pub(crate) fn samples(&self) -> usize {
        self.reading.len()
    }

    /// Milliseconds in which it reads a token, by all that is known.
    pub(crate) fn token_ms(&self) -> Option<f64> {
        self.votes.token_ms(&self.reading)
    }

    /// Follows what is known of its pool; true if the step in force changed.
    pub(crate) fn follow(&mut self, usual: &UsualSpeed, now: Time) -> bool {
        let before = self.step;
        let factor = self.token_ms().and_then(|ms| usual.factor_of(ms));
        if let Some(factor) = factor {
            self.step = self.step.follow(factor);
            self.decided = now;
        } else if now.since(self.decided) >= FADE_INTERVAL {
            self.step = self.step.fade();
            self.decided = now;
        }
        if let Some(rate) = usual.read_tokens_per_ms() {
            self.read_tokens_per_ms = rate * self.factor();
        }
        self.step != before
    }

    /// When this host's vote was announced last, if it is news to the others.
    pub(crate) fn news(&self) -> Option<Option<Time>> {
        let is_new = self.sampled > self.announced && self.samples() > 0;
        is_new.then_some(self.announced)
    }

    /// Takes this host's vote for a note.
    pub(crate) fn announce(&mut self, now: Time) -> Option<SpeedVote> {
        let token_ms = self.reading.token_ms()?;
        self.announced = Some(now);
        Some(SpeedVote {
            engine: self.key,
            pace: PrefillTokenTime::from_ms(token_ms),
        })
    }
}
