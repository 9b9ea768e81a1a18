use super::*;

/// Estimate before anything has been seen.
const FIRST_GUESS_TOKENS: f64 = 200.0;

/// Weight of the newest answer in the moving averages.
const NEWEST_WEIGHT: f64 = 0.05;

/// Answers of a team and class after which its own average is trusted alone.
const TRUSTED_AFTER: u32 = 20;

/// Most pairs of team and class that are remembered.
const MAX_PAIRS: usize = 16_384;

#[derive(Clone, Copy, Debug)]
struct Average {
    tokens: f64,
    seen: u32,
}

impl Average {
    fn note(&mut self, tokens: f64) {
        self.seen = self.seen.saturating_add(1);
        let weight = NEWEST_WEIGHT.max(1.0 / f64::from(self.seen));
        self.tokens += weight * (tokens - self.tokens);
    }
}

impl Default for Average {
    fn default() -> Self {
        Self {
            tokens: FIRST_GUESS_TOKENS,
            seen: 0,
        }
    }
}

/// Estimates how long an answer will be from earlier answers of the same class
/// and team, mixed with those of the class while the team is new.
#[derive(Debug, Default)]
pub(crate) struct LengthEstimate {
    classes: HashMap<ClassId, Average>,
    pairs: HashMap<(ClassId, TeamId), Average>,
}

impl LengthEstimate {
    pub(crate) fn estimate(&self, class: &ClassId, team: &TeamId, max: Option<Tokens>) -> Tokens {
        let of_class = self.classes.get(class).copied().unwrap_or_default();
        let key = (class.clone(), team.clone());
        let tokens = match self.pairs.get(&key) {
            Some(pair) => {
                let trust = f64::from(pair.seen.min(TRUSTED_AFTER)) / f64::from(TRUSTED_AFTER);
                trust * pair.tokens + (1.0 - trust) * of_class.tokens
            }
            None => of_class.tokens,
        };
        let tokens = Tokens::new(tokens.max(1.0) as u32);
        max.map_or(tokens, |max| tokens.min(max))
    }

    pub(crate) fn note(&mut self, class: &ClassId, team: &TeamId, tokens: Tokens) {
        let tokens = f64::from(tokens.get());
        self.classes.entry(class.clone()).or_default().note(tokens);
        let key = (class.clone(), team.clone());
        if self.pairs.len() < MAX_PAIRS || self.pairs.contains_key(&key) {
            self.pairs.entry(key).or_default().note(tokens);
        }
    }
}
