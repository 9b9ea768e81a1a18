use super::*;

/// Number of priorities that an engine distinguishes. The least urgent levels share the last one.
const ENGINE_PRIORITIES: usize = 10;

/// Derives the urgency of a request from the tiers of its team and of its class.
///
/// In a host's queue the team's tier is compared first, then that of the class. If the team's tier
/// replaced the tier of the class, all requests would be equal where all teams are in one tier:
/// during an overload, short urgent requests would wait behind long summaries, and the most urgent
/// class would suffer as much as the least urgent. So the class still orders the requests of equal
/// teams.
///
/// At an engine the tier of the class is compared first. An engine that runs out of memory or slots
/// preempts its least urgent request. If the team's tier were compared first, that would be a short
/// urgent request of a less urgent team, preempted while long summaries on the same engine
/// continue.
#[derive(Debug, Default)]
pub(crate) struct Urgency {
    /// All pairs of a class's tier and a team's tier, most urgent first.
    engine_levels: BTreeSet<(Tier, Tier)>,
    /// All pairs of a team's tier and a class's tier, most urgent first.
    queue_levels: BTreeSet<(Tier, Tier)>,
}

impl Urgency {
    /// Pairs the distinct tiers of the classes and the teams, instead of each class with each team:
    /// with a large configuration that would block the controller thread.
    pub(crate) fn new(document: &Document) -> Self {
        let classes: BTreeSet<Tier> = document.classes.values().map(|class| class.tier).collect();
        let teams = document.teams.values().filter_map(|team| team.tier);
        let teams: BTreeSet<Tier> = teams.collect();
        let mut urgency = Self::default();
        for class in classes {
            for team in teams.iter().copied().chain([class]) {
                urgency.engine_levels.insert((class, team));
                urgency.queue_levels.insert((team, class));
            }
        }
        urgency
    }

    /// Returns the tier of a request in a host's queue: the position of its level among all levels.
    /// If there are more levels than tiers, the least urgent levels share the last tier.
    pub(crate) fn tier(&self, team: Option<Tier>, class: Tier) -> Tier {
        let level = (team.unwrap_or(class), class);
        let before = self.queue_levels.range(..level).count();
        let last = Tier::COUNT - 1;
        Tier::new(before.min(last) as u8).unwrap_or(class)
    }

    /// Returns the priority of a request at an engine; 0 is the most urgent.
    pub(crate) fn engine_priority(&self, team: Option<Tier>, class: Tier) -> u8 {
        let level = (class, team.unwrap_or(class));
        let before = self.engine_levels.range(..level).count();
        before.min(ENGINE_PRIORITIES - 1) as u8
    }
}
