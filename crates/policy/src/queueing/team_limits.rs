use super::*;

/// Seconds of its rate that a team may send at once.
const BURST_S: f64 = 2.0;

#[derive(Debug)]
struct TeamUsage {
    /// Requests queued or running.
    active: u32,
    /// Requests that may start now.
    allowance: f64,
    refilled_at: Time,
}

/// Rate and concurrency of each team on this host, with a token bucket.
#[derive(Debug, Default)]
pub(crate) struct TeamLimits {
    teams: HashMap<TeamId, TeamUsage>,
}

impl TeamLimits {
    /// Admits one more request of a team, or says why not.
    pub(crate) fn admit(&mut self, id: &TeamId, team: &Team, now: Time) -> Result<(), Refusal> {
        let rate = team.max_requests_per_s.get();
        let burst = (rate * BURST_S).max(1.0);
        let usage = self.teams.entry(id.clone()).or_insert(TeamUsage {
            active: 0,
            allowance: burst,
            refilled_at: now,
        });
        let refill = now.since(usage.refilled_at).as_secs_f64() * rate;
        usage.allowance = (usage.allowance + refill).min(burst);
        usage.refilled_at = now;
        if usage.active >= team.max_concurrent {
            return Err(Refusal {
                retry_after: Some(Duration::from_secs(1)),
                ..Refusal::not_run(RefusalReason::TeamConcurrency)
            });
        }
        if usage.allowance < 1.0 {
            let wait_s = (1.0 - usage.allowance) / rate;
            return Err(Refusal {
                retry_after: Some(Duration::from_secs_f64(wait_s)),
                ..Refusal::not_run(RefusalReason::TeamRate)
            });
        }
        usage.allowance -= 1.0;
        usage.active += 1;
        Ok(())
    }

    /// Notes that a request of a team ended.
    pub(crate) fn release(&mut self, id: &TeamId) {
        if let Some(usage) = self.teams.get_mut(id) {
            usage.active = usage.active.saturating_sub(1);
        }
    }

    /// Forgets teams that are not configured any more and have no request.
    pub(crate) fn retain(&mut self, document: &Document) {
        self.teams
            .retain(|id, usage| usage.active > 0 || document.teams.contains_key(id));
    }
}
