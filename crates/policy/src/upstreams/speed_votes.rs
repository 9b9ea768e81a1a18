use super::*;

/// Time for which the vote of another host counts.
const VALID: Duration = Duration::from_secs(60);

/// Fewest votes that tell an engine's speed.
const MIN_VOTES: usize = 8;

/// Samples of this host that tell it without the votes of others.
const MIN_ALONE: usize = 8;

/// Part of the votes that may be faster than what is believed: a vote may be too slow for waiting that
/// nobody knew of, and hardly too fast.
const LOW_QUANTILE: f64 = 0.2;

/// What the other hosts say of one engine.
#[derive(Debug, Default)]
pub(crate) struct SpeedVotes {
    by_host: HashMap<HostId, (Time, PrefillTokenTime)>,
}

impl SpeedVotes {
    pub(crate) fn note(&mut self, host: &HostId, pace: PrefillTokenTime, now: Time) {
        self.by_host.insert(host.clone(), (now, pace));
    }

    /// Forgets votes that count no longer.
    pub(crate) fn expire(&mut self, now: Time) {
        self.by_host
            .retain(|_, (noted, _)| now.since(*noted) <= VALID);
    }

    /// Number of votes that count.
    pub(crate) fn len(&self) -> usize {
        self.by_host.len()
    }

    /// Milliseconds in which the engine reads a token, by these votes and this host's own samples;
    /// `None` if they are too few.
    pub(crate) fn token_ms(&self, own: &SpeedSamples) -> Option<f64> {
        let others = self.by_host.values().map(|(_, pace)| *pace);
        let mut paces: Vec<PrefillTokenTime> = others
            .chain(own.token_ms().map(PrefillTokenTime::from_ms))
            .collect();
        if paces.len() < MIN_VOTES && own.len() < MIN_ALONE {
            return None;
        }
        paces.sort_unstable();
        let place = LOW_QUANTILE * paces.len().checked_sub(1)? as f64;
        paces
            .get(place.round() as usize)
            .map(|pace| pace.token_ms())
    }
}
