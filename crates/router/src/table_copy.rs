use super::*;

/// Number of removed rows that are kept, so that hosts that are slightly behind need only the
/// changes. It covers the removals of a minute in which all of 2,100 upstreams are replaced.
const MAX_REMOVED_ROWS: usize = 4_096;

/// This host's copy of a table of the installation's store.
#[derive(Debug, Default)]
pub(crate) struct TableCopy {
    /// Revision and key of each row. This index finds the changes after a revision without a
    /// scan of all rows.
    by_revision: BTreeSet<(u64, String)>,
    covered: Option<RevisionRange>,
    /// Era of the store in which the revisions were given out.
    era: StoreEra,
    /// Whether the store was restored from an older copy since the table was first read.
    was_restored: bool,
    /// Rows by key, including the removed rows that are kept.
    rows: BTreeMap<String, TableRow>,
}

/// Range of revisions whose changes a copy holds.
#[derive(Clone, Copy, Debug)]
struct RevisionRange {
    /// All changes after this revision are held, including removals.
    from: u64,
    /// Newest revision of the copy.
    to: u64,
}

impl TableCopy {
    /// Applies an update. Changes to a table that was never read completely are dropped, as the
    /// rest of the table is unknown. An update that is older than the copy is dropped, too. A whole
    /// table of a later era replaces the copy, because its revisions can't be compared.
    pub(crate) fn apply(&mut self, era: StoreEra, update: TableUpdate) {
        if era < self.era {
            return;
        }
        if era > self.era && update.whole {
            let was_known_in_era = self.era != StoreEra::default() && self.is_known();
            *self = Self {
                era,
                was_restored: self.was_restored || was_known_in_era,
                ..Self::default()
            };
        } else if era > self.era {
            return;
        }
        let before = self.covered.map(|covered| covered.to);
        if before.is_some_and(|before| update.revision < before) {
            return;
        }
        if update.whole {
            self.mark_missing_removed(&update);
        } else if before.is_none() {
            return;
        }
        for mut row in update.rows {
            let is_outdated = before.is_some_and(|before| row.revision <= before);
            if !update.whole && is_outdated {
                // The row arrived as a change, so hosts that know the table up to `before` lack
                // it. With its own, older revision the row would not be sent to them.
                row.revision = update.revision;
            }
            self.insert(row);
        }
        let from = self.covered.map_or(update.revision, |covered| covered.from);
        self.covered = Some(RevisionRange {
            from: from.max(self.drop_oldest_removed().unwrap_or_default()),
            to: update.revision,
        });
    }

    /// Era of the store in which the revisions of the copy were given out.
    pub(crate) const fn era(&self) -> StoreEra {
        self.era
    }

    /// Revision of a requesting host after which changes are sent to it; 0 if its table is of an
    /// earlier era, so that it needs all rows. A host of the previous release does not tell the
    /// era; it is taken to be the same unless the store was restored.
    pub(crate) fn comparable_revision(&self, era: Option<StoreEra>, revision: u64) -> u64 {
        let is_same_era = era.map_or(!self.was_restored, |era| era == self.era);
        if is_same_era { revision } else { 0 }
    }

    /// Number of rows that are held, including removed ones.
    pub(crate) fn row_count(&self) -> usize {
        self.rows.len()
    }

    /// Whether the table was ever read completely.
    pub(crate) const fn is_known(&self) -> bool {
        self.covered.is_some()
    }

    /// Rows up to a level that changed after a revision, or all rows up to that level if the
    /// revision is too old. `None` if the table was never read completely.
    pub(crate) fn changes_after(&self, revision: u64, level: u8) -> Option<TableUpdate> {
        let covered = self.covered?;
        let whole = revision < covered.from;
        let rows = if whole {
            let rows = self.rows.values();
            let rows = rows.filter(|row| !row.removed && row.level <= level);
            rows.cloned().collect()
        } else {
            let changed = self.changed_after(revision, level);
            let mut rows: Vec<TableRow> = changed.cloned().collect();
            rows.sort_by(|a, b| a.key.cmp(&b.key));
            rows
        };
        Some(TableUpdate {
            revision: covered.to,
            rows,
            whole,
        })
    }

    /// Newest revision of the copy, and an upper bound of the rows that
    /// [`Self::changes_after`] returns. `None` if the table was never read completely.
    pub(crate) fn count_changes_after(&self, revision: u64, level: u8) -> Option<(u64, usize)> {
        let covered = self.covered?;
        let rows = if revision < covered.from {
            let rows = self.rows.values();
            rows.filter(|row| row.level <= level).count()
        } else {
            self.changed_after(revision, level).count()
        };
        Some((covered.to, rows))
    }

    /// Sets the levels of rows by key.
    pub(crate) fn set_levels(&mut self, levels: Vec<(String, u8)>) {
        for (key, level) in levels {
            if let Some(row) = self.rows.get_mut(&key) {
                row.level = level;
            }
        }
    }

    /// Drops rows above a level.
    pub(crate) fn remove_above_level(&mut self, level: u8) {
        let by_revision = &mut self.by_revision;
        self.rows.retain(|_, row| {
            let keep = row.level <= level;
            if !keep {
                by_revision.remove(&(row.revision, row.key.clone()));
            }
            keep
        });
    }

    fn changed_after(&self, revision: u64, level: u8) -> impl Iterator<Item = &TableRow> {
        let first = (revision.saturating_add(1), String::new());
        let changed = self.by_revision.range(first..);
        let rows = changed.filter_map(|(_, key)| self.rows.get(key));
        rows.filter(move |row| row.level <= level)
    }

    fn insert(&mut self, mut row: TableRow) {
        if row.removed
            && let Some(before) = self.rows.get(&row.key)
        {
            // A removal does not carry the level of the row. The old level is kept, so that the
            // removal is sent to the hosts that have the row.
            row.level = before.level;
        }
        let index_entry = (row.revision, row.key.clone());
        if let Some(before) = self.rows.insert(row.key.clone(), row) {
            self.by_revision.remove(&(before.revision, before.key));
        }
        self.by_revision.insert(index_entry);
    }

    /// Marks rows as removed that a complete read no longer has.
    fn mark_missing_removed(&mut self, update: &TableUpdate) {
        let read: BTreeSet<&str> = update.rows.iter().map(|row| row.key.as_str()).collect();
        let is_missing = |row: &&TableRow| !row.removed && !read.contains(row.key.as_str());
        let missing = self.rows.values().filter(is_missing);
        let missing: Vec<String> = missing.map(|row| row.key.clone()).collect();
        for key in missing {
            self.insert(TableRow {
                key,
                level: 0,
                removed: true,
                revision: update.revision,
                value: Vec::new(),
            });
        }
    }

    /// Drops the oldest removed rows beyond [`MAX_REMOVED_ROWS`], and returns the newest revision
    /// among the dropped rows.
    fn drop_oldest_removed(&mut self) -> Option<u64> {
        let removed = self.rows.values().filter(|row| row.removed);
        let mut revisions: Vec<u64> = removed.map(|row| row.revision).collect();
        let excess = revisions.len().checked_sub(MAX_REMOVED_ROWS + 1)?;
        revisions.sort_unstable();
        let last = revisions[excess];
        let by_revision = &mut self.by_revision;
        self.rows.retain(|_, row| {
            let keep = !row.removed || row.revision > last;
            if !keep {
                by_revision.remove(&(row.revision, row.key.clone()));
            }
            keep
        });
        Some(last)
    }
}

#[cfg(test)]
#[path = "../tests/unit/table_copy.rs"]
mod tests;
