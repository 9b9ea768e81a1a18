//! Configuration versions newer than the one in force that this host has learned of, and the hosts
//! from which they can be fetched.

use super::*;

/// Time since the last confirmation of the configuration in force after which a newer one is
/// fetched from another host. Before that, the newer configuration is expected from the store,
/// which is queried at least every 1.8 s and reports a change immediately.
const MIN_FETCH_AGE: Duration = Duration::from_millis(2_200);

/// Delay before retrying a host that is busy sending the configuration to other hosts. In this time
/// the host sends about 0.13 MB over a 10 Mbit/s link.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Delay before asking a host again that sent no newer configuration, or whose transfer ended.
const FAILED_RETRY_DELAY: Duration = Duration::from_millis(300);

/// How long to wait for a fetched configuration to be put in force before another host is asked,
/// which would send the same configuration. Unpacking and parsing a document of 1.9 MB takes some
/// 0.1 s on 0.12 of a core.
const APPLY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Number of hosts that a host notifies of a version that it has received. Every host that receives
/// the version notifies as many randomly chosen hosts, so a host gets 8 notifications on average,
/// regardless of the number of hosts. One in 3,000 hosts gets none, and learns of the version
/// through load notes or from the store. With 380 hosts, 8 datagrams of some 80 bytes for each of
/// 1,900 changes a day come to 14 bytes a second.
const VERSION_FANOUT: usize = 8;

/// Maximum number of newer versions to keep. A host is never so many versions behind for long.
const MAX_KNOWN_VERSIONS: usize = 64;

/// Maximum number of hosts to keep that have a newer version.
const MAX_SOURCES: usize = 64;

/// What this host knows of newer versions of the configuration.
#[derive(Debug, Default)]
pub(crate) struct NewerConfiguration {
    /// Whether to fetch from another host without waiting for the store: the store has begun to
    /// send a large answer, or the host that is queried in place of the store has a newer version.
    fetch_immediately: bool,
    /// When this host first learned of each newer version.
    first_seen: BTreeMap<ConfigVersion, Time>,
    /// Hosts that have a newer version, by address.
    sources: BTreeMap<SocketAddr, VersionSource>,
    /// Whether a fetch is in progress. Hosts are asked one at a time, because parallel answers
    /// would share the bandwidth of one link.
    is_fetching: bool,
    /// Whether a newer version was read that can't be used.
    is_unusable: bool,
    /// Until when to wait for a fetched configuration to be put in force.
    applying_until: Time,
}

/// A host from which a newer version can be fetched.
#[derive(Debug)]
struct VersionSource {
    /// When the host may be asked next.
    not_before: Time,
    version: ConfigVersion,
}

impl NewerConfiguration {
    /// When this host first learned of a version newer than the one in force.
    pub(crate) fn behind_since(&self) -> Option<Time> {
        self.first_seen.values().min().copied()
    }

    /// Records whether the newest known version can be used.
    pub(crate) const fn note_usability(&mut self, is_usable: bool) {
        self.is_unusable = !is_usable;
    }

    /// Whether a newer version than the one in force is known to exist.
    fn exists(&self) -> bool {
        self.is_unusable || !self.first_seen.is_empty()
    }

    /// Records that the store has confirmed the configuration in force as the newest.
    pub(crate) fn note_confirmed(&mut self) {
        self.fetch_immediately = false;
    }

    /// Records the version that was put in force, and drops it and older versions.
    fn note_in_force(&mut self, version: Option<ConfigVersion>) {
        self.fetch_immediately = false;
        self.applying_until = Time::default();
        self.first_seen.retain(|known, _| Some(*known) > version);
        self.sources
            .retain(|_, source| Some(source.version) > version);
    }

    fn note_source(&mut self, now: Time, address: SocketAddr, version: ConfigVersion) {
        if self.first_seen.len() < MAX_KNOWN_VERSIONS {
            self.first_seen.entry(version).or_insert(now);
        }
        if self.sources.len() >= MAX_SOURCES && !self.sources.contains_key(&address) {
            return;
        }
        let source = self.sources.entry(address).or_insert(VersionSource {
            not_before: now,
            version,
        });
        source.version = source.version.max(version);
    }

    fn note_fetch_ended(&mut self, now: Time, address: SocketAddr, end: FetchEnd) {
        self.is_fetching = false;
        if end == FetchEnd::Received {
            self.applying_until = now + APPLY_TIMEOUT;
        }
        let Some(source) = self.sources.get_mut(&address) else {
            return;
        };
        source.not_before = match end {
            FetchEnd::Busy => now + BUSY_RETRY_DELAY,
            FetchEnd::Failed | FetchEnd::Received | FetchEnd::NoneNewer => now + FAILED_RETRY_DELAY,
        };
    }

    /// Chooses a random host among those that have a newer version and may be asked now.
    ///
    /// If each host asked the first source that it learned of, all hosts would ask the same one.
    /// Its link, which may be slow, would carry the document once for each of them. This shows as
    /// fetches that fail on most hosts while one host saturates its link.
    fn choose_source(&mut self, now: Time, rng: &mut SmallRng) -> Option<SocketAddr> {
        let available = self.sources.iter();
        let available = available.filter(|(_, source)| source.not_before <= now);
        let address = available.map(|(address, _)| *address).choose(rng)?;
        self.is_fetching = true;
        Some(address)
    }
}

impl Controller {
    /// Handles the confirmation that the configuration in force is the newest. While another host
    /// is known to have a newer one, it is none: the store was restored from an older copy, or was
    /// asked before the newer version was written.
    pub(crate) fn on_configuration_confirmed(
        &mut self,
        now: Time,
        as_of: Time,
        actions: &mut Vec<Action>,
    ) {
        if !self.is_behind() {
            self.confirmed_at = self.confirmed_at.max(Some(as_of));
            self.newer_configuration.note_confirmed();
            return;
        }
        let since = self.newer_configuration.behind_since();
        if since.is_some_and(|since| since < as_of) {
            // The store does not hold the newer version.
            self.newer_configuration.fetch_immediately = true;
            self.fetch_newer(now, actions);
        }
    }

    /// Handles the start of a large answer from the store. Other hosts may be able to send the same
    /// configuration in a tenth of the bytes.
    pub(crate) fn on_configuration_announced(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.newer_configuration.fetch_immediately = true;
        self.fetch_newer(now, actions);
    }

    /// Handles the report of a newer version by the host that is queried in place of the store. The
    /// store does not send the version to this host, so it is fetched immediately.
    pub(crate) fn on_newer_at_peer(
        &mut self,
        now: Time,
        from: SocketAddr,
        version: ConfigVersion,
        actions: &mut Vec<Action>,
    ) {
        self.newer_configuration.fetch_immediately |= Some(version) > self.version();
        self.on_version_advertised(now, from, version, actions);
    }

    pub(crate) fn on_version_advertised(
        &mut self,
        now: Time,
        from: SocketAddr,
        version: ConfigVersion,
        actions: &mut Vec<Action>,
    ) {
        if Some(version) <= self.version() {
            return;
        }
        self.newer_configuration.note_source(now, from, version);
        self.fetch_newer(now, actions);
    }

    pub(crate) fn on_fetch_ended(
        &mut self,
        now: Time,
        address: SocketAddr,
        end: FetchEnd,
        actions: &mut Vec<Action>,
    ) {
        self.newer_configuration.note_fetch_ended(now, address, end);
        self.fetch_newer(now, actions);
    }

    /// Notifies some other hosts that the configuration can be fetched from this host.
    pub(crate) fn announce_version(&mut self, version: ConfigVersion, actions: &mut Vec<Action>) {
        let others = self.neighbors.addresses(&self.options.host);
        let to = others.choose_multiple(&mut self.rng, VERSION_FANOUT);
        let note = VersionNote {
            host: self.options.host.clone(),
            protocol: peer::PROTOCOL,
            version,
        };
        actions.push(Action::SendVersionNote { note, to });
    }

    pub(crate) fn note_in_force(&mut self) {
        let version = self.version();
        self.newer_configuration.note_in_force(version);
    }

    /// Fetches a newer configuration from another host, if the store does not send it or is slow to
    /// send it.
    pub(crate) fn fetch_newer(&mut self, now: Time, actions: &mut Vec<Action>) {
        let busy =
            self.newer_configuration.is_fetching || now < self.newer_configuration.applying_until;
        if busy || self.newer_configuration.sources.is_empty() {
            return;
        }
        let is_stale = self.config_age(now).is_none_or(|age| age >= MIN_FETCH_AGE);
        if !is_stale && !self.newer_configuration.fetch_immediately {
            return;
        }
        if let Some(address) = self.newer_configuration.choose_source(now, &mut self.rng) {
            actions.push(Action::FetchConfiguration {
                address,
                newer_than: self.version(),
            });
        }
    }

    /// Whether this host has known of a newer configuration for too long to serve any request by
    /// the one in force.
    ///
    /// Without this limit, a host that cannot get a new version would keep serving requests without
    /// an API key by routes that have been moved or removed. This shows as requests handled by an
    /// older version seconds after the operator's change was acknowledged.
    pub(crate) fn is_outdated(&self, now: Time) -> bool {
        let limit = self.options.relay.as_ref().map(|relay| relay.apply_limit);
        let (Some(limit), Some(since)) = (limit, self.newer_configuration.behind_since()) else {
            return false;
        };
        now.since(since) >= limit
    }

    /// Whether a newer configuration is known to exist.
    pub fn is_behind(&self) -> bool {
        self.newer_configuration.exists()
    }
}
