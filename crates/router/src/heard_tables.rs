use super::*;

/// Time after which a host that has heard nothing of the store tells others nothing: the
/// store is asked every 1.8 s at the latest, and has 0.4 s to answer.
const MAX_SILENCE: Duration = Duration::from_millis(3_000);

/// Time after the store's return for which other hosts are told of it: they must not take
/// entries for gone that have only lapsed, which are back within two seconds.
const TOLD_OF_RETURN: Duration = Duration::from_millis(2_000);

/// What this host heard from the installation's store itself, for hosts that ask it in the
/// store's place.
#[derive(Debug, Default)]
pub(crate) struct HeardTables {
    /// When the store last said something of the upstreams.
    heard: Option<Time>,
    hosts: TableCopy,
    is_lost: bool,
    regained: Option<Time>,
    upstreams: TableCopy,
}

/// What another host is told.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum TablesTold {
    News {
        news: TablesNews,
        /// How long ago the store was found again, if that was a moment ago.
        regained: Option<Duration>,
    },
    StoreLost,
    /// This host does not ask the store, or has not read all of it yet.
    Unknown,
}

impl HeardTables {
    /// Takes what the store said just now.
    pub(crate) fn take(&mut self, now: Time, reading: TableReading) {
        match reading.table {
            SharedTable::Hosts => self.hosts.take(reading.news),
            SharedTable::Upstreams => {
                self.heard = Some(now);
                self.upstreams.take(reading.news);
            }
        }
    }

    /// The store gives no answer. What it said before is kept, as hosts that know as much
    /// need only the changes after its return.
    pub(crate) fn note_lost(&mut self) {
        self.is_lost = true;
        self.heard = None;
    }

    pub(crate) fn note_regained(&mut self, now: Time) {
        self.is_lost = false;
        self.regained = Some(now);
    }

    /// What a host is told that knows the tables up to these revisions.
    pub(crate) fn after(&self, now: Time, upstreams: u64, hosts: u64) -> TablesTold {
        if self.is_lost {
            return TablesTold::StoreLost;
        }
        let fresh = |heard: Time| now.since(heard) <= MAX_SILENCE;
        if !self.heard.is_some_and(fresh) {
            return TablesTold::Unknown;
        }
        let news = self.upstreams.after(upstreams).zip(self.hosts.after(hosts));
        let Some((upstreams, hosts)) = news else {
            return TablesTold::Unknown;
        };
        let regained = self.regained.map(|at| now.since(at));
        TablesTold::News {
            news: TablesNews { hosts, upstreams },
            regained: regained.filter(|since| *since < TOLD_OF_RETURN),
        }
    }
}
