use super::*;

/// Time after which a host that has received nothing of the store tells others nothing: the
/// store is asked every 1.8 s at the latest, and has 0.4 s to answer.
const MAX_STORE_READ_AGE: Duration = Duration::from_millis(3_000);

/// Time after the store's return for which other hosts are notified of it: they must not take
/// entries for gone that have only lapsed, which are back within two seconds.
const STORE_REGAINED_NOTICE_TIME: Duration = Duration::from_millis(2_000);

/// What this host knows of the installation's tables, for hosts that ask it in the store's
/// place. What another host announced is passed on as a copy only, as it may be old.
#[derive(Debug, Default)]
pub(crate) struct ReceivedTables {
    /// Which upstreams the copy holds.
    coverage: Coverage,
    service_divisions: Vec<ServiceDivision>,
    /// When the store last said something of the upstreams.
    store_read_at: Option<Time>,
    hosts: TableCopy,
    hosts_in_all: u32,
    store_lost: bool,
    store_regained_at: Option<Time>,
    upstreams: TableCopy,
}

/// Whether another host learns what the tables hold.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum TablesAvailability {
    Available {
        /// How long ago the store was found again, if that was a moment ago.
        store_regained_ago: Option<Duration>,
    },
    StoreLost,
    /// This host does not ask the store, or has not read all of it yet.
    Unknown,
}

impl ReceivedTables {
    /// Takes what the store or another host said just now.
    pub(crate) fn apply(&mut self, now: Time, update: SharedTableUpdate) {
        match update.table {
            SharedTable::Hosts => {
                self.hosts.apply(update.update);
                self.hosts_in_all = update.hosts_in_all;
            }
            SharedTable::Upstreams => {
                if update.source == TableSource::Store {
                    self.store_read_at = Some(now);
                }
                self.upstreams.apply(update.update);
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

    /// Takes new levels of the upstreams: hosts that know another division learn all anew.
    pub(crate) fn set_coverage(&mut self, coverage: Coverage, levels: Vec<(String, u8)>) {
        self.coverage = coverage;
        self.upstreams.set_levels(levels);
    }

    /// What a host lacks that asks a question, as far as it is known here.
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
            hosts: self.host_changes_after(request.hosts_revision),
            hosts_in_all: self.hosts_in_all,
            upstreams,
        })
    }

    /// Rows that such a host lacks, at the most; `None` if it lacks nothing of the upstreams.
    pub(crate) fn max_rows_for(&self, request: &TablesRequest) -> Option<usize> {
        let (coverage, revision) = self.coverage_and_revision_for(request)?;
        let (known_to, upstream_rows) = self
            .upstreams
            .count_changes_after(revision, coverage.level)?;
        let host_rows = self.hosts.count_changes_after(request.hosts_revision, 0);
        let host_rows = host_rows.map_or(0, |(_, rows)| rows);
        (known_to > revision).then_some(upstream_rows + host_rows)
    }

    /// What changed of the hosts; nothing before they were read here, as what upstreams say
    /// must not wait for that.
    fn host_changes_after(&self, revision: u64) -> TableUpdate {
        let update = self.hosts.changes_after(revision, 0);
        update.unwrap_or_else(|| TableUpdate {
            revision,
            rows: Vec::new(),
            whole: false,
        })
    }

    /// Which upstreams a host is notified of, and after which revision: it needs all of them if
    /// it knows another division.
    fn coverage_and_revision_for(&self, request: &TablesRequest) -> Option<(Coverage, u64)> {
        let coverage = self.coverage.at_level(request.coverage.level)?;
        let same_division = coverage.division == request.coverage.division;
        Some((
            coverage,
            if same_division {
                request.upstreams_revision
            } else {
                0
            },
        ))
    }

    /// Rows that are held for other hosts, by table.
    pub(crate) fn row_counts(&self) -> [(&'static str, usize); 2] {
        [
            ("hosts", self.hosts.row_count()),
            ("upstreams", self.upstreams.row_count()),
        ]
    }

    /// The store gives no answer. What it said before is kept, as hosts that know as much
    /// need only the changes after its return.
    pub(crate) fn note_store_lost(&mut self) {
        self.store_lost = true;
        self.store_read_at = None;
    }

    /// Another host reaches the store, and never lost it.
    pub(crate) fn note_store_reachable(&mut self) {
        self.store_lost = false;
    }

    pub(crate) fn note_store_regained(&mut self, at: Time) {
        self.store_lost = false;
        self.store_regained_at = Some(at);
    }

    /// Whether other hosts learn what the tables hold.
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
