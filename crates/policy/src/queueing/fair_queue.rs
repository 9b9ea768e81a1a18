use super::*;

/// Tokens, divided by the team's weight, that one team may be served ahead of another before
/// fairness takes precedence over due times.
const QUANTUM_TOKENS: u64 = 2_000;

/// Sort key of a team in a fair queue: the service that the team has received, in quanta, then the
/// time at which its first queued request is due. The derived order compares the fields by
/// position.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct TeamHead {
    quantum: u64,
    due: Time,
    seq: u64,
    team: TeamId,
}

/// The queued requests of one team.
#[derive(Debug, Default)]
struct TeamQueue {
    items: BTreeSet<QueuedItem>,
    /// Tokens served to the team, divided by its weight.
    virtual_time: u64,
}

impl TeamQueue {
    fn head(&self) -> Option<TeamHead> {
        self.items.first().map(|item| TeamHead {
            quantum: self.virtual_time / QUANTUM_TOKENS,
            due: item.due,
            seq: item.seq,
            team: item.team.clone(),
        })
    }
}

/// A weighted fair queue. It is fair between teams by estimated cost, and serves the request that
/// is due first among the teams that have received the same service in quanta. Each operation takes
/// logarithmic time in the number of teams and in the number of requests of one team.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    heads: BTreeSet<TeamHead>,
    teams: HashMap<TeamId, TeamQueue>,
    /// Virtual time of the queue: the highest virtual time that a team had when it was served. A
    /// team that returns after an idle period starts at this time, so that it gains no credit for
    /// having been idle.
    virtual_now: u64,
    len: usize,
    cost: u64,
}

impl FairQueue {
    pub(crate) const fn len(&self) -> usize {
        self.len
    }

    pub(crate) const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Estimated cost of all queued requests, in tokens.
    pub(crate) const fn cost(&self) -> u64 {
        self.cost
    }

    pub(crate) fn push(&mut self, item: QueuedItem) {
        let virtual_now = self.virtual_now;
        self.len += 1;
        self.cost += item.cost;
        self.update_team(&item.team.clone(), |team_queue| {
            if team_queue.items.is_empty() {
                team_queue.virtual_time = team_queue.virtual_time.max(virtual_now);
            }
            team_queue.items.insert(item);
        });
    }

    /// Returns the request to serve next.
    pub(crate) fn peek(&self) -> Option<&QueuedItem> {
        let head = self.heads.first()?;
        self.teams.get(&head.team)?.items.first()
    }

    /// Returns the request that is due last, of the team that has received the most service.
    pub(crate) fn last(&self) -> Option<&QueuedItem> {
        let head = self.heads.last()?;
        self.teams.get(&head.team)?.items.last()
    }

    /// Removes a request without charging its team. Returns whether the request was queued.
    pub(crate) fn remove(&mut self, item: &QueuedItem) -> bool {
        let mut removed = false;
        self.update_team(&item.team, |team_queue| {
            removed = team_queue.items.remove(item);
        });
        if removed {
            self.len -= 1;
            self.cost -= item.cost;
        }
        removed
    }

    /// Removes a request that is about to be dispatched, and charges its team for it.
    pub(crate) fn serve(&mut self, item: &QueuedItem) {
        if !self.remove(item) {
            return;
        }
        let charge = item.cost / u64::from(item.weight.max(1));
        let mut virtual_time = 0;
        self.update_team(&item.team, |team_queue| {
            virtual_time = team_queue.virtual_time;
            team_queue.virtual_time += charge.max(1);
        });
        self.virtual_now = self.virtual_now.max(virtual_time);
        self.remove_idle_teams();
    }

    fn update_team(&mut self, team: &TeamId, update: impl FnOnce(&mut TeamQueue)) {
        let team_queue = self.teams.entry(team.clone()).or_default();
        if let Some(head) = team_queue.head() {
            self.heads.remove(&head);
        }
        update(team_queue);
        if let Some(head) = team_queue.head() {
            self.heads.insert(head);
        }
    }

    /// Removes idle teams whose virtual time isn't ahead of the queue's. They would start at the
    /// queue's virtual time if they returned, so nothing is lost. Without this the map would grow
    /// with every team that ever sent a request.
    fn remove_idle_teams(&mut self) {
        const MAX_IDLE_TEAMS: usize = 1_024;
        if self.teams.len() - self.heads.len() < MAX_IDLE_TEAMS {
            return;
        }
        let virtual_now = self.virtual_now;
        self.teams.retain(|_, team_queue| {
            !team_queue.items.is_empty() || team_queue.virtual_time > virtual_now
        });
    }
}
