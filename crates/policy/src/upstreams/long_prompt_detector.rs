use super::*;

/// Prompts that are remembered: some ten seconds of one host's, so that a burst of
/// long ones is followed and a single one changes little.
const MAX_RECENT_PROMPTS: usize = 256;

/// Prompts that must have been seen before any counts as long.
const MIN_RECENT_PROMPTS: usize = 32;

/// Prompts between two looks at all that are remembered.
const THRESHOLD_UPDATE_INTERVAL: usize = 16;

/// Part of all prompt tokens that the long prompts hold together. Where the sizes
/// differ much these are few requests: one in 12 before six hosts, each of
/// 18,000 tokens or more, and the pauses that they caused were beyond the target.
const LONG_PROMPT_TOKEN_SHARE: f64 = 0.25;

/// Tells which prompts are long, by those seen lately.
///
/// A limit in tokens would hold for one kind of engine and load only. What is long
/// follows from what is asked for: the fewest prompts that hold a quarter of all
/// tokens to be read.
#[derive(Debug, Default)]
pub(crate) struct LongPromptDetector {
    threshold_tokens: Option<u64>,
    recent: VecDeque<u64>,
    /// Prompts since the last look.
    since_update: usize,
}

impl LongPromptDetector {
    /// Notes a prompt by its tokens; true if it is long.
    pub(crate) fn observe(&mut self, tokens: u64) -> bool {
        if tokens == 0 {
            return false;
        }
        self.recent.push_back(tokens);
        if self.recent.len() > MAX_RECENT_PROMPTS {
            self.recent.pop_front();
        }
        self.since_update += 1;
        if self.since_update >= THRESHOLD_UPDATE_INTERVAL && self.recent.len() >= MIN_RECENT_PROMPTS
        {
            self.since_update = 0;
            self.threshold_tokens = self.compute_threshold();
        }
        self.threshold_tokens
            .is_some_and(|threshold| tokens >= threshold)
    }

    /// Tokens from which on a prompt is long.
    fn compute_threshold(&self) -> Option<u64> {
        let mut sizes: Vec<u64> = self.recent.iter().copied().collect();
        sizes.sort_unstable_by(|a, b| b.cmp(a));
        let threshold = LONG_PROMPT_TOKEN_SHARE * sizes.iter().sum::<u64>() as f64;
        let mut sum = 0;
        sizes.into_iter().find(|size| {
            sum += size;
            sum as f64 >= threshold
        })
    }
}
