use super::*;

/// Questions of other hosts that wait to be noticed: all of them are one.
const TABLE_REQUEST_CAPACITY: usize = 1;

/// Events that may wait for the controller.
const EVENT_CAPACITY: usize = 65_536;

/// Configurations of other hosts that may wait to be taken; one is fetched at a time.
pub(crate) const OFFER_CAPACITY: usize = 4;

/// Crashes that may wait to be kept in the store.
pub(crate) const CRASH_CAPACITY: usize = 64;

/// Fetches that may wait; the controller asks for one at a time.
const FETCH_CAPACITY: usize = 4;

/// Heartbeats that may wait for the peers' thread.
const PEER_CAPACITY: usize = 16;

/// Jobs that may wait for the platform's thread.
const PLATFORM_CAPACITY: usize = 4_096;

/// Probes that may wait for the upstreams' thread.
const PROBE_CAPACITY: usize = 256;

/// Counts of hosts that may wait: those of all hosts at one time.
const USAGE_CAPACITY: usize = 1_024;

/// The bounded rings that join the threads of a host.
pub(crate) struct Channels {
    pub(crate) table_requests: (flume::Sender<()>, flume::Receiver<()>),
    pub(crate) crashes: (flume::Sender<Vec<Crash>>, flume::Receiver<Vec<Crash>>),
    pub(crate) events: (
        flume::Sender<ControllerMessage>,
        flume::Receiver<ControllerMessage>,
    ),
    pub(crate) fetches: (flume::Sender<FetchJob>, flume::Receiver<FetchJob>),
    pub(crate) peer_jobs: (flume::Sender<PeerJob>, flume::Receiver<PeerJob>),
    pub(crate) platform_jobs: (flume::Sender<PlatformJob>, flume::Receiver<PlatformJob>),
    pub(crate) probes: (flume::Sender<ProbeJob>, flume::Receiver<ProbeJob>),
    pub(crate) usage: (flume::Sender<UsageNote>, flume::Receiver<UsageNote>),
}

impl Channels {
    pub(crate) fn new() -> Self {
        Self {
            table_requests: flume::bounded(TABLE_REQUEST_CAPACITY),
            crashes: flume::bounded(CRASH_CAPACITY),
            events: flume::bounded(EVENT_CAPACITY),
            fetches: flume::bounded(FETCH_CAPACITY),
            peer_jobs: flume::bounded(PEER_CAPACITY),
            platform_jobs: flume::bounded(PLATFORM_CAPACITY),
            probes: flume::bounded(PROBE_CAPACITY),
            usage: flume::bounded(USAGE_CAPACITY),
        }
    }
}
