use super::*;

/// Questions of other hosts that wait to be noticed: all of them are one.
const ASKED_RING: usize = 1;

/// Events that may wait for the controller.
const EVENT_RING: usize = 65_536;

/// Configurations of other hosts that may wait to be taken; one is fetched at a time.
pub(crate) const OFFER_RING: usize = 4;

/// Crashes that may wait to be kept in the store.
pub(crate) const CRASH_RING: usize = 64;

/// Fetches that may wait; the controller asks for one at a time.
const FETCH_RING: usize = 4;

/// Heartbeats that may wait for the peers' thread.
const PEER_RING: usize = 16;

/// Jobs that may wait for the platform's thread.
const PLATFORM_RING: usize = 4_096;

/// Probes that may wait for the upstreams' thread.
const PROBE_RING: usize = 256;

/// Counts of hosts that may wait: those of all hosts at one time.
const USAGE_RING: usize = 1_024;

/// The bounded rings that join the threads of a host.
pub(crate) struct Rings {
    pub(crate) asked: (flume::Sender<()>, flume::Receiver<()>),
    pub(crate) crashes: (flume::Sender<Vec<Crash>>, flume::Receiver<Vec<Crash>>),
    pub(crate) events: (flume::Sender<RingEvent>, flume::Receiver<RingEvent>),
    pub(crate) fetches: (flume::Sender<FetchJob>, flume::Receiver<FetchJob>),
    pub(crate) peers: (flume::Sender<PeerJob>, flume::Receiver<PeerJob>),
    pub(crate) platform: (flume::Sender<PlatformJob>, flume::Receiver<PlatformJob>),
    pub(crate) probes: (flume::Sender<ProbeJob>, flume::Receiver<ProbeJob>),
    pub(crate) usage: (flume::Sender<UsageNote>, flume::Receiver<UsageNote>),
}

impl Rings {
    pub(crate) fn new() -> Self {
        Self {
            asked: flume::bounded(ASKED_RING),
            crashes: flume::bounded(CRASH_RING),
            events: flume::bounded(EVENT_RING),
            fetches: flume::bounded(FETCH_RING),
            peers: flume::bounded(PEER_RING),
            platform: flume::bounded(PLATFORM_RING),
            probes: flume::bounded(PROBE_RING),
            usage: flume::bounded(USAGE_RING),
        }
    }
}
