use super::*;

/// An update that a directory sends to the host.
#[derive(Clone, Debug, PartialEq)]
pub enum DirectoryUpdate {
    /// A version of the configuration was read. Upstreams are announced separately.
    Configuration {
        /// The configuration with its version.
        numbered: Arc<VersionedDocument>,
        /// Size and duration of the read.
        read_stats: ReadStats,
    },
    /// Another host, which this host asks instead of the store, has a newer configuration.
    NewerConfigurationAtPeer {
        /// Address of the other host.
        from: SocketAddr,
        /// Version of that configuration.
        version: ConfigVersion,
    },
    /// The transfer of a newer configuration has started and will take long.
    LargeConfigurationStarted {
        /// Size of the configuration.
        bytes: ByteSize,
    },
    /// The configuration announced last is compressed and can be sent to other hosts.
    ConfigurationCompressed(Arc<SourceDocument>),
    /// The configuration could not be read from the store.
    ConfigurationReadFailed {
        /// What went wrong, and how much of the response had arrived.
        error: String,
    },
    /// A newer version of the configuration can't be used, so the one announced last is no longer
    /// confirmed.
    ConfigurationUnusable {
        /// What is wrong with the version.
        error: String,
        /// The version, if its number could be read.
        version: Option<ConfigVersion>,
    },
    /// A version that can be used has replaced the one that can't.
    ConfigurationUsable,
    /// The version announced last was still the newest one at a given time.
    ConfigurationConfirmed {
        /// Time at which the request was sent that confirmed the version.
        as_of: Time,
    },
    /// Crashes that hosts keep in the store, including those announced before.
    Crashes(Vec<Crash>),
    /// This host holds the lease for the duties that one host does for all hosts.
    DutyHeld(DutyNote),
    /// Outcome of an action under the lease for the duties, or the reason why it failed.
    DutyReported(DutyReport),
    /// The installation's store does not respond.
    StoreLost {
        /// Why the store could not be reached.
        error: String,
    },
    /// The hosts of the installation were listed.
    Peers {
        /// Hosts, possibly including this one. In a large installation, only the hosts of its own
        /// failure domain.
        hosts: Vec<PeerHost>,
        /// Number of hosts in the whole installation; `None` if it is not known yet.
        hosts_in_all: Option<usize>,
    },
    /// Another host reaches the store and never lost it. Only the data of this host was out of
    /// date, and no entry expired in the meantime.
    StoreReachableAgain {
        /// Time for which this host had no data from the store.
        unreachable_for: Duration,
    },
    /// The store responds again after an outage.
    StoreRegained {
        /// Time since the first host reached the store again, as far as this host knows.
        ago: Duration,
        /// Time for which this host had no data from the store.
        unreachable_for: Duration,
    },
    /// The store was restored from an older copy: it has lost changes, and gives out their
    /// revisions again.
    StoreRestored {
        /// Newest position that was known before.
        before: StorePosition,
        /// First known position of the new era.
        now: StorePosition,
    },
    /// The store sent an unusable response, which is ignored.
    UnusableAnswer {
        /// What is wrong with the response.
        error: String,
    },
    /// The upstreams were divided anew. Contains the level of each row of the upstream table by
    /// key.
    TableDivided {
        /// Which upstreams this host holds for other hosts.
        coverage: Coverage,
        /// Keys and levels of all rows.
        levels: Vec<(String, u8)>,
    },
    /// The store's data of a table, to be passed on to other hosts.
    TableRead(SharedTableUpdate),
    /// Upstreams may have been listed that were never announced.
    UpstreamsMissed,
    /// The store listed no software other than that of the upstreams announced last at a given time.
    UpstreamsConfirmed {
        /// Time at which the request was sent that confirmed them.
        as_of: Time,
    },
    /// All upstreams that the store lists.
    Upstreams {
        /// Upstreams that the hosts of all failure domains know; `None` if all hosts know all
        /// upstreams.
        common: Option<BTreeSet<UpstreamId>>,
        /// The listed upstreams that are leaving.
        leaving: BTreeSet<UpstreamId>,
        /// Addresses and capabilities of the upstreams.
        upstreams: BTreeMap<UpstreamId, Upstream>,
    },
}
