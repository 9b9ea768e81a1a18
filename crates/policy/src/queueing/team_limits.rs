use super::*;

/// Burst size of a team, in seconds of its request rate.
const BURST_S: f64 = 2.0;

#[derive(Debug)]
struct TeamUsage {
    /// Requests that are queued or running.
    active: u32,
    /// Requests that the team may send now: the level of its token bucket.
    allowance: f64,
    refilled_at: Time,
}

/// Rate limits (token buckets) and concurrency limits of the teams on this host.
#[derive(Debug, Default)]
pub(crate) struct TeamLimits {
    teams: HashMap<TeamId, TeamUsage>,
}

impl TeamLimits {
    /// Counts a request towards its team's limits, or refuses it if a limit is reached.
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

    /// Notes that a request of the team has ended.
    pub(crate) fn release(&mut self, id: &TeamId) {
        if let Some(usage) = self.teams.get_mut(id) {
            usage.active = usage.active.saturating_sub(1);
        }
    }

    /// Removes teams that are no longer configured and have no active request.
    pub(crate) fn retain(&mut self, document: &Document) {
        self.teams
            .retain(|id, usage| usage.active > 0 || document.teams.contains_key(id));
    }
}
