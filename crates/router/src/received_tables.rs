use super::*;

/// Time after which a host that has received nothing of the store tells others nothing: the
/// store is asked every 1.8 s at the latest, and has 0.4 s to answer.
const MAX_SILENCE: Duration = Duration::from_millis(3_000);

/// Time after the store's return for which other hosts are notified of it: they must not take
/// entries for gone that have only lapsed, which are back within two seconds.
const RETURN_ANNOUNCED_FOR: Duration = Duration::from_millis(2_000);

/// What this host knows of the installation's tables, for hosts that ask it in the store's
/// place. What another host announced is passed on as a copy only, as it may be old.
#[derive(Debug, Default)]
pub(crate) struct ReceivedTables {
    /// Which upstreams the copy holds.
    coverage: Coverage,
    divided: Vec<ServiceDivision>,
    /// When the store last said something of the upstreams.
    received: Option<Time>,
    hosts: TableCopy,
    hosts_in_all: u32,
    is_lost: bool,
    regained: Option<Time>,
    upstreams: TableCopy,
}

/// Whether another host learns what the tables hold.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum TablesAdvertised {
    News {
        /// How long ago the store was found again, if that was a moment ago.
        regained: Option<Duration>,
    },
    StoreLost,
    /// This host does not ask the store, or has not read all of it yet.
    Unknown,
}

impl ReceivedTables {
    /// Takes what the store or another host said just now.
    pub(crate) fn take(&mut self, now: Time, reading: SharedTableUpdate) {
        match reading.table {
            SharedTable::Hosts => {
                self.hosts.take(reading.update);
                self.hosts_in_all = reading.hosts_in_all;
            }
            SharedTable::Upstreams => {
                if reading.source == TableSource::Store {
                    self.received = Some(now);
                }
                self.upstreams.take(reading.update);
                if reading.coverage.level < self.coverage.level {
                    self.upstreams.keep_up_to(reading.coverage.level);
                }
                self.coverage = reading.coverage;
                if !reading.divided.is_empty() {
                    self.divided = reading.divided;
                }
            }
        }
    }

    /// Takes new levels of the upstreams: hosts that know another division learn all anew.
    pub(crate) fn divide(&mut self, coverage: Coverage, levels: Vec<(String, u8)>) {
        self.coverage = coverage;
        self.upstreams.set_levels(levels);
    }

    /// What a host lacks that asks a question, as far as it is known here.
    pub(crate) fn news_for(&self, question: &TablesRequest) -> Option<TablesResponse> {
        let (coverage, upstreams) = self.part_for(question)?;
        let upstreams = self.upstreams.after(upstreams, coverage.level)?;
        let divided = upstreams.whole && coverage.division != 0;
        Some(TablesResponse {
            coverage,
            divided: if divided {
                self.divided.clone()
            } else {
                Vec::new()
            },
            hosts: self.hosts_after(question.hosts_revision),
            hosts_in_all: self.hosts_in_all,
            upstreams,
        })
    }

    /// Rows that such a host lacks, at the most; `None` if it lacks nothing of the upstreams.
    pub(crate) fn rows_for(&self, question: &TablesRequest) -> Option<usize> {
        let (coverage, upstreams) = self.part_for(question)?;
        let (known_to, upstream_rows) = self.upstreams.rows_after(upstreams, coverage.level)?;
        let host_rows = self.hosts.rows_after(question.hosts_revision, 0);
        let host_rows = host_rows.map_or(0, |(_, rows)| rows);
        (known_to > upstreams).then_some(upstream_rows + host_rows)
    }

    /// What changed of the hosts; nothing before they were read here, as what upstreams say
    /// must not wait for that.
    fn hosts_after(&self, revision: u64) -> TableUpdate {
        let news = self.hosts.after(revision, 0);
        news.unwrap_or_else(|| TableUpdate {
            revision,
            rows: Vec::new(),
            whole: false,
        })
    }

    /// Which upstreams a host is notified of, and after which revision: it needs all of them if
    /// it knows another division.
    fn part_for(&self, question: &TablesRequest) -> Option<(Coverage, u64)> {
        let coverage = self.coverage.at_level(question.coverage.level)?;
        let is_known = coverage.division == question.coverage.division;
        Some((
            coverage,
            if is_known {
                question.upstreams_revision
            } else {
                0
            },
        ))
    }

    /// Rows that are held for other hosts, by table.
    pub(crate) fn rows(&self) -> [(&'static str, usize); 2] {
        [
            ("hosts", self.hosts.rows()),
            ("upstreams", self.upstreams.rows()),
        ]
    }

    /// The store gives no answer. What it said before is kept, as hosts that know as much
    /// need only the changes after its return.
    pub(crate) fn note_lost(&mut self) {
        self.is_lost = true;
        self.received = None;
    }

    /// Another host reaches the store, and never lost it.
    pub(crate) fn note_reachable_again(&mut self) {
        self.is_lost = false;
    }

    pub(crate) fn note_regained(&mut self, at: Time) {
        self.is_lost = false;
        self.regained = Some(at);
    }

    /// Whether other hosts learn what the tables hold.
    pub(crate) fn advertised(&self, now: Time) -> TablesAdvertised {
        if self.is_lost {
            return TablesAdvertised::StoreLost;
        }
        let fresh = |received: Time| now.since(received) <= MAX_SILENCE;
        if !self.received.is_some_and(fresh) {
            return TablesAdvertised::Unknown;
        }
        if !self.upstreams.is_known() {
            return TablesAdvertised::Unknown;
        }
        let regained = self.regained.map(|at| now.since(at));
        TablesAdvertised::News {
            regained: regained.filter(|since| *since < RETURN_ANNOUNCED_FOR),
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/received_tables.rs"]
mod tests;
