use super::*;

/// Tokens that one team may be served ahead of another before fairness
/// overrules due times.
const QUANTUM_TOKENS: u64 = 2_000;

/// Order of a team among the teams of a queue: first by how much it has been
/// served, in quanta, then by when its most pressing request is due.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Head {
    quantum: u64,
    due: Time,
    seq: u64,
    team: TeamId,
}

/// One team's part of a queue.
#[derive(Debug, Default)]
struct TeamPart {
    items: BTreeSet<QueuedItem>,
    /// Tokens served, divided by weight: the team's virtual time.
    served: u64,
}

impl TeamPart {
    fn head(&self) -> Option<Head> {
        self.items.first().map(|item| Head {
            quantum: self.served / QUANTUM_TOKENS,
            due: item.due,
            seq: item.seq,
            team: item.team.clone(),
        })
    }
}

/// A queue that is fair between teams by estimated cost and serves the
/// earliest due request among teams that have been served alike. Each
/// operation is logarithmic in the teams and in the requests of one team.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    heads: BTreeSet<Head>,
    teams: HashMap<TeamId, TeamPart>,
    /// Virtual time of the last team served; a team that returns after a pause
    /// starts here, so it gains no credit for having been idle.
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

    /// Estimated cost of all that is queued, in tokens.
    pub(crate) const fn cost(&self) -> u64 {
        self.cost
    }

    pub(crate) fn push(&mut self, item: QueuedItem) {
        let virtual_now = self.virtual_now;
        self.len += 1;
        self.cost += item.cost;
        self.change(&item.team.clone(), |part| {
            if part.items.is_empty() {
                part.served = part.served.max(virtual_now);
            }
            part.items.insert(item);
        });
    }

    /// The request to serve next.
    pub(crate) fn peek(&self) -> Option<&QueuedItem> {
        let head = self.heads.first()?;
        self.teams.get(&head.team)?.items.first()
    }

    /// The request that is due last, of the team that has been served most.
    pub(crate) fn last(&self) -> Option<&QueuedItem> {
        let head = self.heads.last()?;
        self.teams.get(&head.team)?.items.last()
    }

    /// Removes a request without charging its team.
    pub(crate) fn remove(&mut self, item: &QueuedItem) -> bool {
        let mut removed = false;
        self.change(&item.team, |part| removed = part.items.remove(item));
        if removed {
            self.len -= 1;
            self.cost -= item.cost;
        }
        removed
    }

    /// Removes a request that is being served and charges its team.
    pub(crate) fn serve(&mut self, item: &QueuedItem) {
        if !self.remove(item) {
            return;
        }
        let charge = item.cost / u64::from(item.weight.max(1));
        let mut served = 0;
        self.change(&item.team, |part| {
            served = part.served;
            part.served += charge.max(1);
        });
        self.virtual_now = self.virtual_now.max(served);
        self.forget_idle();
    }

    fn change(&mut self, team: &TeamId, edit: impl FnOnce(&mut TeamPart)) {
        let part = self.teams.entry(team.clone()).or_default();
        if let Some(head) = part.head() {
            self.heads.remove(&head);
        }
        edit(part);
        if let Some(head) = part.head() {
            self.heads.insert(head);
        }
    }

    /// Drops idle teams that virtual time has passed: they would start at the
    /// present anyway. Without this the map would grow with every team ever
    /// seen.
    fn forget_idle(&mut self) {
        const MAX_IDLE: usize = 1_024;
        if self.teams.len() - self.heads.len() < MAX_IDLE {
            return;
        }
        let virtual_now = self.virtual_now;
        self.teams
            .retain(|_, part| !part.items.is_empty() || part.served > virtual_now);
    }
}
