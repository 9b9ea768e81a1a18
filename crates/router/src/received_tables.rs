use super::*;

/// Age of the store's last answer from which a host no longer serves the tables to others as
/// current: the store is read every 1.8 s at the latest, and has 0.4 s to answer.
const MAX_STORE_READ_AGE: Duration = Duration::from_millis(3_000);

/// Time for which other hosts are told that the store is reachable again. Entries that expired
/// while the store was lost are back within two seconds; without the notice, other hosts would
/// treat them as removed.
const STORE_REGAINED_NOTICE_TIME: Duration = Duration::from_millis(2_000);

/// This host's copy of the installation's tables, served to hosts that ask it instead of the
/// store. Data that came from another host is served only to requests for a copy, as it may be
/// old.
#[derive(Debug, Default)]
pub(crate) struct ReceivedTables {
    /// Part of the upstream table that this host holds.
    coverage: Coverage,
    service_divisions: Vec<ServiceDivision>,
    /// Time of the store's last answer about the upstreams.
    store_read_at: Option<Time>,
    hosts: TableCopy,
    hosts_in_all: u32,
    store_lost: bool,
    store_regained_at: Option<Time>,
    upstreams: TableCopy,
}

/// Whether this host can serve the store's tables to other hosts.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum TablesAvailability {
    Available {
        /// Time since the store became reachable again, within the first
        /// [`STORE_REGAINED_NOTICE_TIME`].
        store_regained_ago: Option<Duration>,
    },
    StoreLost,
    /// This host does not read the store, or has not read the whole upstream table yet.
    Unknown,
}

impl ReceivedTables {
    /// Applies an update that the store or another host has just sent.
    pub(crate) fn apply(&mut self, now: Time, update: SharedTableUpdate) {
        match update.table {
            SharedTable::Hosts => {
                self.hosts.apply(update.era, update.update);
                self.hosts_in_all = update.hosts_in_all;
            }
            SharedTable::Upstreams => {
                if update.source == TableSource::Store {
                    self.store_read_at = Some(now);
                }
                self.upstreams.apply(update.era, update.update);
                if update.coverage.level < self.coverage.level {
                    self.upstreams.remove_above_level(update.coverage.level);
                }
                self.coverage = update.coverage;
                if !update.divided.is_empty() {
                    self.service_divisions = update.divided;
                }
            }
        }
    }

    /// Sets the coverage and levels of a new division of the upstreams. Hosts that know another
    /// division then get all rows again.
    pub(crate) fn set_coverage(&mut self, coverage: Coverage, levels: Vec<(String, u8)>) {
        self.coverage = coverage;
        self.upstreams.set_levels(levels);
    }

    /// Changes that the requesting host lacks; `None` if this host does not hold the requested
    /// part of the upstream table.
    pub(crate) fn response_to(&self, request: &TablesRequest) -> Option<TablesResponse> {
        let (coverage, revision) = self.coverage_and_revision_for(request)?;
        let upstreams = self.upstreams.changes_after(revision, coverage.level)?;
        let with_divisions = upstreams.whole && coverage.division != 0;
        Some(TablesResponse {
            coverage,
            divided: if with_divisions {
                self.service_divisions.clone()
            } else {
                Vec::new()
            },
            hosts: self.host_changes_for(request),
            hosts_in_all: self.hosts_in_all,
            upstreams,
        })
    }

    /// Upper bound of the rows that the requesting host lacks; `None` if this host has no newer
    /// upstream rows for it.
    pub(crate) fn max_rows_for(&self, request: &TablesRequest) -> Option<usize> {
        let (coverage, revision) = self.coverage_and_revision_for(request)?;
        let (known_to, upstream_rows) = self
            .upstreams
            .count_changes_after(revision, coverage.level)?;
        let revision_of_hosts = self.known_hosts_revision(request);
        let host_rows = self.hosts.count_changes_after(revision_of_hosts, 0);
        let host_rows = host_rows.map_or(0, |(_, rows)| rows);
        (known_to > revision).then_some(upstream_rows + host_rows)
    }

    /// Era of the store in which the revisions of a response are given out.
    pub(crate) const fn era(&self) -> StoreEra {
        self.upstreams.era()
    }

    /// Changes of the host table for a host. They are empty until the host table has been read in
    /// the era of the response, as changes of upstreams must not wait for that.
    fn host_changes_for(&self, request: &TablesRequest) -> TableUpdate {
        let revision = self.known_hosts_revision(request);
        let update = self.hosts.changes_after(revision, 0);
        let update = update.filter(|_| self.hosts.era() == self.era());
        update.unwrap_or_else(|| TableUpdate {
            revision: self
                .upstreams
                .comparable_revision(request.era, request.hosts_revision),
            rows: Vec::new(),
            whole: false,
        })
    }

    /// Revision up to which the requesting host knows the host table.
    fn known_hosts_revision(&self, request: &TablesRequest) -> u64 {
        self.hosts
            .comparable_revision(request.era, request.hosts_revision)
    }

    /// Part of the upstream table to send, and the revision after which changes are sent. A host
    /// that knows another division needs all rows, so its revision is 0. `None` if this host does
    /// not hold that part, or not in the era that the requesting host knows.
    fn coverage_and_revision_for(&self, request: &TablesRequest) -> Option<(Coverage, u64)> {
        if request.era > Some(self.era()) {
            return None;
        }
        let coverage = self.coverage.at_level(request.coverage.level)?;
        let same_division = coverage.division == request.coverage.division;
        Some((
            coverage,
            if same_division {
                self.upstreams
                    .comparable_revision(request.era, request.upstreams_revision)
            } else {
                0
            },
        ))
    }

    /// Number of rows that are held for other hosts, by table.
    pub(crate) fn row_counts(&self) -> [(&'static str, usize); 2] {
        [
            ("hosts", self.hosts.row_count()),
            ("upstreams", self.upstreams.row_count()),
        ]
    }

    /// Records that the store does not answer. The rows are kept, as other hosts with the same
    /// rows need only the changes after the store is back.
    pub(crate) fn note_store_lost(&mut self) {
        self.store_lost = true;
        self.store_read_at = None;
    }

    /// Records that the store is reachable through another host that never lost it.
    pub(crate) fn note_store_reachable(&mut self) {
        self.store_lost = false;
    }

    /// Records when the store became reachable again.
    pub(crate) fn note_store_regained(&mut self, at: Time) {
        self.store_lost = false;
        self.store_regained_at = Some(at);
    }

    /// Whether the tables can be served to other hosts as current.
    pub(crate) fn availability(&self, now: Time) -> TablesAvailability {
        if self.store_lost {
            return TablesAvailability::StoreLost;
        }
        let is_recent = |read_at: Time| now.since(read_at) <= MAX_STORE_READ_AGE;
        if !self.store_read_at.is_some_and(is_recent) {
            return TablesAvailability::Unknown;
        }
        if !self.upstreams.is_known() {
            return TablesAvailability::Unknown;
        }
        let regained_ago = self.store_regained_at.map(|at| now.since(at));
        TablesAvailability::Available {
            store_regained_ago: regained_ago.filter(|since| *since < STORE_REGAINED_NOTICE_TIME),
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/received_tables.rs"]
mod tests;
