use super::*;

/// Looks at streams that are remembered: a few seconds of one host's, as each stream
/// is looked at up to four times a second.
const REMEMBERED: usize = 96;

/// Looks that must have been made before they decide.
const MIN_SEEN: usize = 16;

/// Part of the target from which on the usual longest pause presses. Where one in ten
/// streams was late by its pauses it was 0.89, and 0.42 and 0.52 where nothing was
/// late by them (heavy days of three simulated installations).
const PRESSING: f64 = 0.65;

/// Part of the target below which it no longer does. Keeping long prompts apart
/// shortens the pauses, to 0.35 on a day with less load, and must not end itself.
const AT_EASE: f64 = 0.3;

/// Tells whether the pauses of streams come close to what their classes allow.
///
/// What goes wrong without it: long prompts and the streams that they could make late
/// are kept on different engines where nothing is late. Streams then share fewer
/// engines and run longer; one would notice more of them late or lost (0.004 and
/// 0.005 of the payoff on two simulated installations, 18 days each).
#[derive(Debug, Default)]
pub(crate) struct PauseWatch {
    /// Longest pauses of running streams, as parts of their targets.
    recent: VecDeque<f64>,
    presses: bool,
}

impl PauseWatch {
    /// Notes the longest pause that a stream has had so far, and the pause allowed.
    pub(crate) fn note(&mut self, longest: Duration, target: Duration) {
        let part = longest.as_secs_f64() / target.as_secs_f64().max(f64::MIN_POSITIVE);
        self.recent.push_back(part);
        if self.recent.len() > REMEMBERED {
            self.recent.pop_front();
        }
        if self.recent.len() < MIN_SEEN {
            return;
        }
        let limit = if self.presses { AT_EASE } else { PRESSING };
        self.presses = self.median() >= limit;
    }

    /// Whether pauses come close to the targets.
    pub(crate) const fn presses(&self) -> bool {
        self.presses
    }

    fn median(&self) -> f64 {
        let mut parts: Vec<f64> = self.recent.iter().copied().collect();
        parts.sort_by(f64::total_cmp);
        parts[parts.len() / 2]
    }
}
