//! Versions of the configuration beyond the one in force that this host has learned of, and
//! who can hand them over.

use super::*;

/// Age of the configuration from which a newer one is fetched from another host, although
/// the store does not send one. Before that the store is expected to: it is asked every
/// 1.8 s at the latest, and tells a change at once.
const MIN_FETCH_AGE: Duration = Duration::from_millis(2_200);

/// Pause before a host that is handing the configuration to others is asked again: about
/// the time in which it hands 0.13 MB over a link of 10 Mbit/s.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Pause before a host that gave none is asked again.
const FAILED_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Time in which a configuration that was handed over is taken: a document of 1.9 MB is
/// unpacked and read in some 0.1 s on 0.12 of a core. Until then no other host is asked,
/// which would hand over the same.
const APPLY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Hosts that are notified of a version by each host that gets it. Every host that gets it
/// tells as many others, drawn anew, so with `n` hosts one learns of it from 8 on average,
/// and from none once in 3,000 times; that one gets it by the load notes or the store. At
/// 380 hosts 8 datagrams of some 80 bytes for each of 1,900 changes a day are 14 bytes a
/// second.
const VERSION_FANOUT: usize = 8;

/// Most versions that are kept; a host is never so many behind for long.
const MAX_KNOWN_VERSIONS: usize = 64;

/// Most hosts that are kept.
const MAX_SOURCES: usize = 64;

/// What is known of newer versions.
#[derive(Debug, Default)]
pub(crate) struct NewerConfiguration {
    /// Whether the store begins to send one that takes long to read.
    fetch_immediately: bool,
    /// When each of them was learned of first.
    first_seen: BTreeMap<ConfigVersion, Time>,
    sources: BTreeMap<SocketAddr, VersionSource>,
    /// Whether a host is being asked: one at a time, as each answer takes a part of the
    /// same link.
    is_fetching: bool,
    /// Until when one that was handed over may still be taken.
    applying_until: Time,
}

/// A host that can hand a version over.
#[derive(Debug)]
struct VersionSource {
    not_before: Time,
    version: ConfigVersion,
}

impl NewerConfiguration {
    /// Since when a newer version has been known to exist.
    pub(crate) fn behind_since(&self) -> Option<Time> {
        self.first_seen.values().min().copied()
    }

    /// Notes that the store has nothing newer, as it said a moment ago.
    pub(crate) fn note_confirmed(&mut self) {
        self.fetch_immediately = false;
    }

    /// Notes the version that was put in force.
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
        if end == FetchEnd::HandedOver {
            self.applying_until = now + APPLY_TIMEOUT;
        }
        let Some(source) = self.sources.get_mut(&address) else {
            return;
        };
        source.not_before = match end {
            FetchEnd::Busy => now + BUSY_RETRY_DELAY,
            FetchEnd::Failed | FetchEnd::HandedOver | FetchEnd::NoneNewer => {
                now + FAILED_RETRY_DELAY
            }
        };
    }

    /// A host to be asked, drawn from those that have a newer version.
    ///
    /// What goes wrong if it is the one of which it learned first: all hosts ask the same
    /// one, and its link, which may be a thin one, carries the document as many times. One
    /// would notice fetches that fail on most hosts while one of them sends all that its
    /// link takes.
    fn choose_source(&mut self, now: Time, rng: &mut SmallRng) -> Option<SocketAddr> {
        let available = self.sources.iter();
        let available = available.filter(|(_, source)| source.not_before <= now);
        let address = available.map(|(address, _)| *address).choose(rng)?;
        self.is_fetching = true;
        Some(address)
    }
}

impl Controller {
    /// A large answer of the store begins to arrive: other hosts may hand over the same
    /// in a tenth of the bytes.
    pub(crate) fn on_configuration_announced(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.newer.fetch_immediately = true;
        self.fetch_newer(now, actions);
    }

    /// The host that this one asks in place of the store has a newer version: the store
    /// does not send it here, so it is fetched at once.
    pub(crate) fn on_newer_at_peer(
        &mut self,
        now: Time,
        from: SocketAddr,
        version: ConfigVersion,
        actions: &mut Vec<Action>,
    ) {
        self.newer.fetch_immediately |= Some(version) > self.version();
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
        self.newer.note_source(now, from, version);
        self.fetch_newer(now, actions);
    }

    pub(crate) fn on_fetch_ended(
        &mut self,
        now: Time,
        address: SocketAddr,
        end: FetchEnd,
        actions: &mut Vec<Action>,
    ) {
        self.newer.note_fetch_ended(now, address, end);
        self.fetch_newer(now, actions);
    }

    /// Tells some other hosts that this one can hand the configuration over.
    pub(crate) fn announce_version(&mut self, version: ConfigVersion, actions: &mut Vec<Action>) {
        let others = self.neighbors.addresses(&self.options.host);
        let to = others.choose_multiple(&mut self.rng, VERSION_FANOUT);
        let note = VersionNote {
            host: self.options.host.clone(),
            protocol: peer::PROTOCOL,
            version,
        };
        actions.push(Action::TellVersion { note, to });
    }

    pub(crate) fn note_in_force(&mut self) {
        let version = self.version();
        self.newer.note_in_force(version);
    }

    /// Asks another host for its newer configuration, if the store does not bring it or
    /// is slow to.
    pub(crate) fn fetch_newer(&mut self, now: Time, actions: &mut Vec<Action>) {
        let busy = self.newer.is_fetching || now < self.newer.applying_until;
        if busy || self.newer.sources.is_empty() {
            return;
        }
        let is_stale = self.config_age(now).is_none_or(|age| age >= MIN_FETCH_AGE);
        if !is_stale && !self.newer.fetch_immediately {
            return;
        }
        if let Some(address) = self.newer.choose_source(now, &mut self.rng) {
            actions.push(Action::FetchConfiguration {
                address,
                newer_than: self.version(),
            });
        }
    }

    /// Whether this host may answer by its configuration. One that has known for some time
    /// that a newer one exists may not, whoever asks.
    ///
    /// What goes wrong otherwise: a host that does not get a new version serves requests
    /// without a key by routes that were moved or removed, for as long as that lasts. One
    /// would notice requests that an older version handled seconds after the operator's
    /// change was acknowledged.
    pub(crate) fn is_outdated(&self, now: Time) -> bool {
        let limit = self.options.relay.as_ref().map(|relay| relay.apply_limit);
        let (Some(limit), Some(since)) = (limit, self.newer.behind_since()) else {
            return false;
        };
        now.since(since) >= limit
    }

    /// Whether a newer configuration is known to exist.
    pub fn is_behind(&self) -> bool {
        self.newer.behind_since().is_some()
    }
}
