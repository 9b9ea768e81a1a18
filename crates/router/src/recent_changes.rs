use super::*;

/// Changes that are kept: those of some ten seconds while servers are replaced.
const MAX_CHANGES: usize = 32;

/// Time after which changes are handed out no more if the store has said nothing: it is
/// asked every 1.8 s at the latest, and has 0.4 s to answer.
const MAX_SILENCE: Duration = Duration::from_millis(3_000);

/// The latest changes of the upstreams' table that this host heard from the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentChanges {
    changes: VecDeque<TableChanges>,
    heard: Time,
}

impl RecentChanges {
    /// With what was heard just now; a gap makes all before it useless.
    pub(crate) fn with(&self, now: Time, changes: TableChanges) -> Self {
        let mut next = self.clone();
        let last = next.changes.back().map(|last| last.revision);
        if last != Some(changes.after) {
            next.changes.clear();
        }
        next.changes.push_back(changes);
        if next.changes.len() > MAX_CHANGES {
            next.changes.pop_front();
        }
        next.heard = now;
        next
    }

    /// All changes after a revision, and the revision up to which they are all; `None` if
    /// this host cannot tell.
    pub(crate) fn after(&self, now: Time, revision: u64) -> Option<(u64, Vec<&str>)> {
        let first = self.changes.front()?;
        let last = self.changes.back()?;
        if now.since(self.heard) > MAX_SILENCE || revision < first.after {
            return None;
        }
        let newer = self.changes.iter();
        let newer = newer.filter(|changes| changes.revision > revision && !changes.rows.is_empty());
        Some((
            last.revision,
            newer.map(|changes| changes.rows.as_str()).collect(),
        ))
    }
}
