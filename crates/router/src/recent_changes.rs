use super::*;

/// Changes that are kept: those of some ten seconds while servers are replaced.
const MAX_CHANGES: usize = 32;

/// Time after which changes are handed out no more if the store has said nothing: it is
/// asked every 1.8 s at the latest, and has 0.4 s to answer.
const MAX_SILENCE: Duration = Duration::from_millis(3_000);

/// Time after the store's return for which other hosts are told of its loss: they must not
/// take entries for gone that have only lapsed, which are back within two seconds.
const TOLD_OF_LOSS: Duration = Duration::from_millis(2_000);

/// The latest changes of the upstreams' table that this host heard from the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentChanges {
    changes: VecDeque<TableChanges>,
    heard: Time,
    store: StoreSeen,
}

/// When the store was lost and found again.
#[derive(Clone, Copy, Debug, Default)]
enum StoreSeen {
    #[default]
    Always,
    Lost,
    Regained(Time),
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

    /// Without anything, as the store gives no answer.
    pub(crate) fn lost() -> Self {
        Self {
            store: StoreSeen::Lost,
            ..Self::default()
        }
    }

    /// The store answers again.
    pub(crate) fn regained(&self, now: Time) -> Self {
        Self {
            store: StoreSeen::Regained(now),
            ..self.clone()
        }
    }

    /// Whether entries may be missing that have only lapsed.
    pub(crate) fn is_store_lost(&self, now: Time) -> bool {
        match self.store {
            StoreSeen::Always => false,
            StoreSeen::Lost => true,
            StoreSeen::Regained(at) => now.since(at) < TOLD_OF_LOSS,
        }
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
