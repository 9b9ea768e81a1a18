use super::*;

/// Time for which the vote of another host counts.
const VOTE_LIFETIME: Duration = Duration::from_secs(60);

/// Minimum number of votes for an estimate, including the vote of this host.
const MIN_VOTES: usize = 8;

/// Minimum number of this host's own samples for an estimate from fewer votes.
const MIN_OWN_SAMPLES: usize = 8;

/// Quantile of the votes that is taken as the true pace. It is low because a vote may be too slow,
/// due to queued prompts that its host did not know of, but is hardly ever too fast.
const LOW_QUANTILE: f64 = 0.2;

/// Votes of other hosts on the prefill speed of one engine.
#[derive(Debug, Default)]
pub(crate) struct SpeedVotes {
    by_host: HashMap<HostId, (Time, PrefillTokenTime)>,
}

impl SpeedVotes {
    pub(crate) fn record(&mut self, host: &HostId, pace: PrefillTokenTime, now: Time) {
        self.by_host.insert(host.clone(), (now, pace));
    }

    /// Drops the votes that are too old to count.
    pub(crate) fn expire(&mut self, now: Time) {
        self.by_host
            .retain(|_, (received, _)| now.since(*received) <= VOTE_LIFETIME);
    }

    /// Number of votes that count.
    pub(crate) fn len(&self) -> usize {
        self.by_host.len()
    }

    /// Estimated prefill time per prompt token, from the votes and this host's own samples; `None`
    /// if there are too few of both.
    pub(crate) fn prefill_ms_per_token(&self, own_samples: &SpeedSamples) -> Option<f64> {
        let others = self.by_host.values().map(|(_, pace)| *pace);
        let mut paces: Vec<PrefillTokenTime> = others
            .chain(own_samples.ms_per_token().map(PrefillTokenTime::from_ms))
            .collect();
        if paces.len() < MIN_VOTES && own_samples.len() < MIN_OWN_SAMPLES {
            return None;
        }
        paces.sort_unstable();
        let index = LOW_QUANTILE * paces.len().checked_sub(1)? as f64;
        paces
            .get(index.round() as usize)
            .map(|pace| pace.token_ms())
    }
}
