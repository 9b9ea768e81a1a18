use super::*;

/// Priorities that an engine tells apart; the least urgent levels share the last one.
const ENGINE_PRIORITIES: usize = 10;

/// How urgent a request is by its team and its class together.
///
/// In a host's queue a team's tier goes before that of a class. What goes wrong if it
/// takes its place: with all teams in one tier every request is alike, and in an
/// overload short urgent ones wait behind long summaries. One would notice that the
/// most urgent class suffers as much as the least. So the class still orders the
/// requests of teams that are equal.
///
/// At an engine the class goes first. What goes wrong otherwise: an engine whose memory
/// or slots run out puts back the least urgent request that it runs, and with the
/// team's tier first that is a short urgent one of a lesser team while long summaries
/// run on. One would notice short requests preempted at one engine beside long ones.
#[derive(Debug, Default)]
pub(crate) struct Urgency {
    /// Every pair of a class's tier and a team's tier, most urgent first.
    engine_levels: BTreeSet<(Tier, Tier)>,
    /// Every pair of a team's tier and a class's tier, most urgent first.
    queue_levels: BTreeSet<(Tier, Tier)>,
}

impl Urgency {
    /// Only the tiers that occur are paired: with each class and team apart, a large
    /// configuration would hold up the thread that decides.
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

    /// The tier of a request in a host's queue: its level among all that occur. The
    /// least urgent levels share the last tier where there are more levels than tiers.
    pub(crate) fn tier(&self, team: Option<Tier>, class: Tier) -> Tier {
        let level = (team.unwrap_or(class), class);
        let before = self.queue_levels.range(..level).count();
        let last = Tier::COUNT - 1;
        Tier::new(before.min(last) as u8).unwrap_or(class)
    }

    /// The priority of a request at an engine, 0 the most urgent.
    pub(crate) fn engine_priority(&self, team: Option<Tier>, class: Tier) -> u8 {
        let level = (class, team.unwrap_or(class));
        let before = self.engine_levels.range(..level).count();
        before.min(ENGINE_PRIORITIES - 1) as u8
    }
}
