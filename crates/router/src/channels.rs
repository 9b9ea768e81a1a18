use super::*;

/// Capacity of the channel of other hosts' requests for the store's tables. One entry is enough, as
/// it only notifies the directory thread that there was a request.
const TABLE_REQUEST_CAPACITY: usize = 1;

/// Capacity of the channel of requests to confirm the list of upstreams. One entry is enough: a
/// request that is not yet taken is sent later than all that led to it.
const UNCONFIRMED_CAPACITY: usize = 1;

/// Capacity of the channel of messages to the controller thread.
const EVENT_CAPACITY: usize = 65_536;

/// Capacity of the channel of configurations that were fetched from other hosts; only one is
/// fetched at a time.
pub(crate) const OFFER_CAPACITY: usize = 4;

/// Capacity of the channel of crash batches that are to be kept in the store.
pub(crate) const CRASH_CAPACITY: usize = 64;

/// Capacity of the channel of configuration fetches; the controller requests one at a time.
const FETCH_CAPACITY: usize = 4;

/// Capacity of the channel of heartbeats for the peer thread.
const PEER_CAPACITY: usize = 16;

/// Capacity of the channel of jobs for the platform thread.
const PLATFORM_CAPACITY: usize = 4_096;

/// Capacity of the channel of probes for the upstream thread.
const PROBE_CAPACITY: usize = 256;

/// Capacity of the channel of usage notes. The channel must hold one note from each host, as all
/// hosts may send at the same time.
const USAGE_CAPACITY: usize = 1_024;

/// The bounded channels that connect the threads of a host.
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
    pub(crate) unconfirmed_upstreams: (flume::Sender<()>, flume::Receiver<()>),
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
            unconfirmed_upstreams: flume::bounded(UNCONFIRMED_CAPACITY),
            usage: flume::bounded(USAGE_CAPACITY),
        }
    }
}
