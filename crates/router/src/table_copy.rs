use super::*;

/// Removed rows that are remembered, so that hosts that are a little behind need only the
/// changes: those of a minute in which all of 2,100 upstreams are replaced.
const MAX_REMOVED: usize = 4_096;

/// A table of the installation's store as this host heard it.
#[derive(Debug, Default)]
pub(crate) struct TableCopy {
    known: Option<Span>,
    /// The removed ones that are remembered, among them.
    rows: BTreeMap<String, TableRow>,
}

/// Revisions that a copy covers.
#[derive(Clone, Copy, Debug)]
struct Span {
    /// All changes after this one are known, removals included.
    from: u64,
    to: u64,
}

impl TableCopy {
    /// Takes what the store said. Changes to a table that was never read whole are of no
    /// use, and an answer that was overtaken by a newer one is dropped.
    pub(crate) fn take(&mut self, news: TableNews) {
        let before = self.known.map(|known| known.to);
        if before.is_some_and(|before| news.revision < before) {
            return;
        }
        if news.whole {
            self.remove_missing(&news);
        } else if before.is_none() {
            return;
        }
        for mut row in news.rows {
            let is_old = before.is_some_and(|before| row.revision <= before);
            if !news.whole && is_old {
                // Told as a change, so whoever knows the table up to `before` lacks it.
                row.revision = news.revision;
            }
            self.rows.insert(row.key.clone(), row);
        }
        let from = self.known.map_or(news.revision, |known| known.from);
        self.known = Some(Span {
            from: from.max(self.forget_removed().unwrap_or_default()),
            to: news.revision,
        });
    }

    /// What has changed after a revision; all rows if that is too long ago. `None` if the
    /// table is not known.
    pub(crate) fn after(&self, revision: u64) -> Option<TableNews> {
        let known = self.known?;
        let whole = revision < known.from;
        let wanted = |row: &&TableRow| {
            if whole {
                !row.removed
            } else {
                row.revision > revision
            }
        };
        Some(TableNews {
            revision: known.to,
            rows: self.rows.values().filter(wanted).cloned().collect(),
            whole,
        })
    }

    fn remove_missing(&mut self, news: &TableNews) {
        let read: BTreeSet<&str> = news.rows.iter().map(|row| row.key.as_str()).collect();
        for row in self.rows.values_mut() {
            if !row.removed && !read.contains(row.key.as_str()) {
                row.removed = true;
                row.revision = news.revision;
                row.value = String::new();
            }
        }
    }

    /// Forgets the oldest removed rows beyond the most that are remembered; gives the
    /// newest revision of those.
    fn forget_removed(&mut self) -> Option<u64> {
        let removed = self.rows.values().filter(|row| row.removed);
        let mut revisions: Vec<u64> = removed.map(|row| row.revision).collect();
        let excess = revisions.len().checked_sub(MAX_REMOVED + 1)?;
        revisions.sort_unstable();
        let last = revisions[excess];
        self.rows
            .retain(|_, row| !row.removed || row.revision > last);
        Some(last)
    }
}

#[cfg(test)]
#[path = "../tests/unit/table_copy.rs"]
mod tests;
