use super::*;

/// Time after which a host that has heard nothing of the store tells others nothing: the
/// store is asked every 1.8 s at the latest, and has 0.4 s to answer.
const MAX_SILENCE: Duration = Duration::from_millis(3_000);

/// Time after the store's return for which other hosts are told of it: they must not take
/// entries for gone that have only lapsed, which are back within two seconds.
const TOLD_OF_RETURN: Duration = Duration::from_millis(2_000);

/// What this host knows of the installation's tables, for hosts that ask it in the store's
/// place. What another host told is passed on as a copy only, as it may be old.
#[derive(Debug, Default)]
pub(crate) struct HeardTables {
    /// When the store last said something of the upstreams.
    heard: Option<Time>,
    hosts: TableCopy,
    is_lost: bool,
    regained: Option<Time>,
    upstreams: TableCopy,
}

/// Whether another host is told what the tables hold.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum TablesTold {
    News {
        /// How long ago the store was found again, if that was a moment ago.
        regained: Option<Duration>,
    },
    StoreLost,
    /// This host does not ask the store, or has not read all of it yet.
    Unknown,
}

impl HeardTables {
    /// Takes what the store or another host said just now.
    pub(crate) fn take(&mut self, now: Time, reading: TableReading) {
        match reading.table {
            SharedTable::Hosts => self.hosts.take(reading.news),
            SharedTable::Upstreams => {
                if reading.source == TableSource::Store {
                    self.heard = Some(now);
                }
                self.upstreams.take(reading.news);
            }
        }
    }

    /// What a host lacks that knows the tables up to these revisions, as far as it is known
    /// here.
    pub(crate) fn news_after(&self, upstreams: u64, hosts: u64) -> Option<TablesNews> {
        Some(TablesNews {
            hosts: self.hosts.after(hosts)?,
            upstreams: self.upstreams.after(upstreams)?,
        })
    }

    /// Rows that such a host lacks, at the most; `None` if it lacks nothing of the upstreams.
    pub(crate) fn rows_after(&self, upstreams: u64, hosts: u64) -> Option<usize> {
        let (known_to, upstream_rows) = self.upstreams.rows_after(upstreams)?;
        let (_, host_rows) = self.hosts.rows_after(hosts)?;
        (known_to > upstreams).then_some(upstream_rows + host_rows)
    }

    /// The store gives no answer. What it said before is kept, as hosts that know as much
    /// need only the changes after its return.
    pub(crate) fn note_lost(&mut self) {
        self.is_lost = true;
        self.heard = None;
    }

    /// Another host hears the store, and never lost it.
    pub(crate) fn note_heard_again(&mut self) {
        self.is_lost = false;
    }

    pub(crate) fn note_regained(&mut self, now: Time) {
        self.is_lost = false;
        self.regained = Some(now);
    }

    /// Whether other hosts are told what the tables hold.
    pub(crate) fn told(&self, now: Time) -> TablesTold {
        if self.is_lost {
            return TablesTold::StoreLost;
        }
        let fresh = |heard: Time| now.since(heard) <= MAX_SILENCE;
        if !self.heard.is_some_and(fresh) {
            return TablesTold::Unknown;
        }
        if !(self.upstreams.is_known() && self.hosts.is_known()) {
            return TablesTold::Unknown;
        }
        let regained = self.regained.map(|at| now.since(at));
        TablesTold::News {
            regained: regained.filter(|since| *since < TOLD_OF_RETURN),
        }
    }
}
