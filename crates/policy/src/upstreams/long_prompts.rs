use super::*;

/// Prompts that are remembered: some ten seconds of one host's, so that a burst of
/// long ones is followed and a single one changes little.
const REMEMBERED: usize = 256;

/// Prompts that must have been seen before any counts as long.
const MIN_SEEN: usize = 32;

/// Prompts between two looks at all that are remembered.
const LOOK_EVERY: usize = 16;

/// Part of all prompt tokens that the long prompts hold together. Where the sizes
/// differ much these are few requests: one in 12 before six hosts, each of
/// 18,000 tokens or more, and the pauses that they caused were beyond the target.
const LONG_SHARE: f64 = 0.25;

/// Tells which prompts are long, by those seen lately.
///
/// A limit in tokens would hold for one kind of engine and load only. What is long
/// follows from what is asked for: the fewest prompts that hold a quarter of all
/// tokens to be read.
#[derive(Debug, Default)]
pub(crate) struct LongPrompts {
    limit: Option<u64>,
    recent: VecDeque<u64>,
    /// Prompts since the last look.
    since: usize,
}

impl LongPrompts {
    /// Notes a prompt by its tokens; true if it is long.
    pub(crate) fn note(&mut self, tokens: u64) -> bool {
        if tokens == 0 {
            return false;
        }
        self.recent.push_back(tokens);
        if self.recent.len() > REMEMBERED {
            self.recent.pop_front();
        }
        self.since += 1;
        if self.since >= LOOK_EVERY && self.recent.len() >= MIN_SEEN {
            self.since = 0;
            self.limit = self.look();
        }
        self.limit.is_some_and(|limit| tokens >= limit)
    }

    /// Tokens from which on a prompt is long.
    fn look(&self) -> Option<u64> {
        let mut sizes: Vec<u64> = self.recent.iter().copied().collect();
        sizes.sort_unstable_by(|a, b| b.cmp(a));
        let wanted = LONG_SHARE * sizes.iter().sum::<u64>() as f64;
        let mut held = 0;
        sizes.into_iter().find(|size| {
            held += size;
            held as f64 >= wanted
        })
    }
}
