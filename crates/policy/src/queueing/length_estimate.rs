use super::*;

/// Estimated length before any answer is known.
const INITIAL_TOKENS: f64 = 200.0;

/// Weight of the newest answer in the moving averages.
const NEWEST_WEIGHT: f64 = 0.05;

/// Answers of a team and class from which on the estimate no longer includes the average of the
/// class.
const FULL_TRUST_ANSWERS: u32 = 20;

/// Maximum number of pairs of class and team whose average is kept.
const MAX_PAIRS: usize = 16_384;

#[derive(Clone, Copy, Debug)]
struct MovingAverage {
    tokens: f64,
    answers: u32,
}

impl MovingAverage {
    fn note(&mut self, tokens: f64) {
        self.answers = self.answers.saturating_add(1);
        let weight = NEWEST_WEIGHT.max(1.0 / f64::from(self.answers));
        self.tokens += weight * (tokens - self.tokens);
    }
}

impl Default for MovingAverage {
    fn default() -> Self {
        Self {
            tokens: INITIAL_TOKENS,
            answers: 0,
        }
    }
}

/// Estimates the length of an answer from earlier answers of the same class and team. While there
/// are few of them, their average is mixed with that of the whole class.
#[derive(Debug, Default)]
pub(crate) struct LengthEstimate {
    classes: HashMap<ClassId, MovingAverage>,
    pairs: HashMap<(ClassId, TeamId), MovingAverage>,
}

impl LengthEstimate {
    pub(crate) fn estimate(&self, class: &ClassId, team: &TeamId, max: Option<Tokens>) -> Tokens {
        let class_average = self.classes.get(class).copied().unwrap_or_default();
        let key = (class.clone(), team.clone());
        let tokens = match self.pairs.get(&key) {
            Some(pair_average) => {
                let trust = f64::from(pair_average.answers.min(FULL_TRUST_ANSWERS))
                    / f64::from(FULL_TRUST_ANSWERS);
                trust * pair_average.tokens + (1.0 - trust) * class_average.tokens
            }
            None => class_average.tokens,
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
