use super::*;

/// How urgent a request is by its team and its class together.
///
/// A team's tier goes before that of a class. What goes wrong if it takes its
/// place: with all teams in one tier every request is alike, and in an overload
/// short urgent ones wait behind long summaries. One would notice that the most
/// urgent class suffers as much as the least. So the class still orders the
/// requests of teams that are equal.
#[derive(Debug, Default)]
pub(crate) struct Urgency {
    /// Every pair of a team's tier and a class's tier, most urgent first.
    levels: BTreeSet<(Tier, Tier)>,
}

impl Urgency {
    pub(crate) fn of(document: &Document) -> Self {
        let mut levels = BTreeSet::new();
        for class in document.classes.values() {
            levels.insert((class.tier, class.tier));
            let teams = document.teams.values().filter_map(|team| team.tier);
            levels.extend(teams.map(|tier| (tier, class.tier)));
        }
        Self { levels }
    }

    /// The tier of a request: its level among all that occur. The least urgent
    /// levels share the last tier where there are more levels than tiers.
    pub(crate) fn tier(&self, team: Option<Tier>, class: Tier) -> Tier {
        let level = (team.unwrap_or(class), class);
        let before = self.levels.range(..level).count();
        let last = Tier::COUNT - 1;
        Tier::new(before.min(last) as u8).unwrap_or(class)
    }
}
