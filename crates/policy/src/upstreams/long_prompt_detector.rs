use super::*;

/// Maximum number of recent prompts kept, about ten seconds of one host's traffic. A burst of long
/// prompts moves the threshold, while a single long prompt hardly does.
const MAX_RECENT_PROMPTS: usize = 256;

/// Number of prompts that must have been seen before any counts as long.
const MIN_RECENT_PROMPTS: usize = 32;

/// Number of prompts between two updates of the threshold.
const THRESHOLD_UPDATE_INTERVAL: usize = 16;

/// Share of all prompt tokens that belongs to long prompts. Where prompt sizes vary widely, these
/// are few requests: with six hosts one in 12, each with 18,000 tokens or more. Such prompts cause
/// pauses beyond the target.
const LONG_PROMPT_TOKEN_SHARE: f64 = 0.25;

/// Decides which prompts are long, compared with recent prompts.
///
/// A fixed limit in tokens would fit only one kind of engine and load. Long prompts are therefore
/// the smallest set of recent prompts that together have a quarter of all prompt tokens.
#[derive(Debug, Default)]
pub(crate) struct LongPromptDetector {
    /// Size from which a prompt is long; `None` until enough prompts have been seen.
    threshold_tokens: Option<u64>,
    /// Sizes of recent prompts in tokens, oldest first.
    recent: VecDeque<u64>,
    /// Prompts since the last update of the threshold.
    since_update: usize,
}

impl LongPromptDetector {
    /// Records a prompt by its size in tokens. Returns whether the prompt is long.
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

    /// Size of the smallest prompt that counts as long.
    fn compute_threshold(&self) -> Option<u64> {
        let mut sizes: Vec<u64> = self.recent.iter().copied().collect();
        sizes.sort_unstable_by(|a, b| b.cmp(a));
        let min_sum = LONG_PROMPT_TOKEN_SHARE * sizes.iter().sum::<u64>() as f64;
        let mut sum = 0;
        sizes.into_iter().find(|size| {
            sum += size;
            sum as f64 >= min_sum
        })
    }
}
