use super::*;

/// What a directory read.
#[derive(Clone, Debug, PartialEq)]
pub enum DirectoryUpdate {
    /// A version of the configuration. Upstreams are announced apart from it.
    Configuration {
        /// The version.
        numbered: Arc<Numbered>,
        /// How it was read.
        read_stats: ReadStats,
    },
    /// Another host, which this one asks in place of the store, has a newer configuration.
    NewerConfigurationAtPeer {
        /// Where it is reached.
        from: SocketAddr,
        /// Its version.
        version: ConfigVersion,
    },
    /// A newer configuration begins to arrive, and will take long.
    LargeConfigurationStarted {
        /// Its size.
        bytes: ByteSize,
    },
    /// The version announced last can be handed to other hosts.
    ConfigurationCompressed(Arc<SourceDocument>),
    /// The store gave no answer about the configuration.
    ConfigurationReadFailed {
        /// What went wrong, and how much of the answer had come.
        error: String,
    },
    /// The version announced last was the newest one at this moment.
    ConfigurationConfirmed {
        /// When the question was sent that was answered so.
        as_of: Time,
    },
    /// Crashes that hosts keep in the store; those that were announced before among them.
    Crashes(Vec<Crash>),
    /// This host holds the duties that one host does for all.
    DutyHeld(DutyNote),
    /// Something that was done under the lease of the duties, or could not be.
    DutyReported(DutyReport),
    /// The installation's store gives no answer.
    StoreLost {
        /// What went wrong.
        error: String,
    },
    /// The hosts of the installation.
    Peers {
        /// Hosts, this one perhaps among them; where there are many, those of its own failure
        /// domain.
        hosts: Vec<PeerHost>,
        /// Hosts of the whole installation; `None` if that is not known yet.
        hosts_in_all: Option<usize>,
    },
    /// Another host reaches the store, and never lost it: what this host received last was only
    /// long ago, and no entry lapsed meanwhile.
    StoreReachableAgain {
        /// How long this host had no word of the store.
        unreachable_for: Duration,
    },
    /// The store answers again.
    StoreRegained {
        /// How long ago the first host found that, as far as this one knows.
        ago: Duration,
        /// How long this host had no word of the store.
        unreachable_for: Duration,
    },
    /// The store answered with something that cannot be used; it is passed over.
    UnusableAnswer {
        /// What is wrong with it.
        error: String,
    },
    /// The upstreams are divided anew: levels of the rows of their table by key.
    TableDivided {
        /// Which of them this host holds for others.
        coverage: Coverage,
        /// Levels of all rows.
        levels: Vec<(String, u8)>,
    },
    /// What the store said of a table, for other hosts.
    TableRead(SharedTableUpdate),
    /// All upstreams that the store lists.
    Upstreams {
        /// Those that the hosts of all failure domains know; `None` where that is each of them.
        common: Option<BTreeSet<UpstreamId>>,
        /// Those that are leaving, among them.
        leaving: BTreeSet<UpstreamId>,
        /// Where they are and what they can do.
        upstreams: BTreeMap<UpstreamId, Upstream>,
    },
}
