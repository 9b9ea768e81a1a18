use super::*;

/// How many upstreams of each target are listed and not leaving, and how many are missing.
#[derive(Debug, Default)]
pub(crate) struct TargetCensus {
    targets: HashMap<Target, Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    staying: usize,
    missing: usize,
}

impl TargetCensus {
    pub(crate) fn of<'a>(
        staying: impl Iterator<Item = &'a Upstream>,
        missing: impl Iterator<Item = &'a Upstream>,
    ) -> Self {
        let mut census = Self::default();
        for definition in staying {
            census.count(definition, |counts| counts.staying += 1);
        }
        for definition in missing {
            census.count(definition, |counts| counts.missing += 1);
        }
        census
    }

    /// Whether the entry of an upstream probably expired together with others: for some target that
    /// the upstream serves, more upstreams are missing than staying.
    pub(crate) fn is_mostly_missing(&self, definition: &Upstream) -> bool {
        let targets = pool::targets_of(definition);
        let mut counts = targets.iter().filter_map(|target| self.targets.get(target));
        counts.any(|counts| counts.missing > counts.staying)
    }

    fn count(&mut self, definition: &Upstream, add: impl Fn(&mut Counts)) {
        for target in pool::targets_of(definition) {
            add(self.targets.entry(target).or_default());
        }
    }
}
