//! The decisions of a host as a deterministic state machine that takes events with their times and
//! returns actions. The crate performs no I/O, reads no clock and starts no threads, so every
//! failure can be reproduced by a script of events.

use {
    config::{Class, Document, Plan, Scheduling, Team, Upstream, VersionedDocument},
    peer::{
        Cleared, Crash, CrashNote, Demand, DutyNote, Echo, EngineKey, ExpectedWait, Grant,
        Heartbeat, HeartbeatAnswer, LimitNote, LoadNote, ModelWork, PeerHost, PeerPhase,
        PrefillTokenTime, PromptRead, Reachability, ServiceDivision, SpeedVote, StreamMessage,
        StreamNote, StreamVersion, TokenGrant, TokenRequest, UpstreamLoad, UpstreamNote, UsageNote,
        VersionNote, WantedTokens, WindowCounts,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IteratorRandom},
    serde::{Deserialize, Serialize},
    std::{
        cmp::{Ordering, Reverse},
        collections::{BTreeMap, BTreeSet, VecDeque},
        fmt::{self, Display, Formatter},
        iter,
        net::SocketAddr,
        ops::{Bound, Range},
        sync::Arc,
        time::Duration,
    },
    types::{AdvertisedLimit, Listening, prelude::*},
};

mod action;
mod brittleness;
mod controller;
mod crashes;
mod draining;
mod duties;
mod event;
mod fetch_end;
mod host_phase;
mod hosts;
mod overload;
mod prompt_transfers;
mod queueing;
mod reach;
mod relay_rules;
mod requests;
mod streams;
mod table_transfers;
mod upstream_limits;
mod upstream_notices;
mod upstreams;

pub use {
    action::{Action, SendOrder},
    brittleness::BrittlenessChange,
    controller::{Controller, ControllerOptions},
    crashes::{CrashDetected, CrashSource},
    duties::{
        CapacityNeed, CapacityOrder, CapacityPlan, CapacityTarget, DemandForecast, DemandLedger,
        DemandView, DomainPrices, FencingToken, Lease, LeaseRecord, LeaseStep, MedianClock,
        ObservedDemand, PoolCapacity, StartTime, StoredLease, TargetBound, UsageLedger,
        UsageReport, WindowRules,
    },
    event::Event,
    fetch_end::FetchEnd,
    host_phase::HostPhase,
    hosts::{are_grouped, own_group},
    overload::AdmissionChange,
    queueing::{ShareOverrun, SlotRules},
    reach::PathChange,
    relay_rules::RelayRules,
    requests::{
        Arrival, AttemptEnd, ClaimRequest, ClaimResult, Outcome, OutcomeEnd, PrefixHash, Refusal,
        RefusalReason, Repeatability, RoutedRequest, SendInputs, Settlement, StoredResponse,
        Target, WasteCause,
    },
    streams::{StreamSource, TakenUpStream},
    table_transfers::{TableSourceSearch, TableTransferSlots},
    upstream_limits::LimitChange,
    upstream_notices::{LeavingDetected, NoticeSource},
    upstreams::{SpeedChange, SpeedCounts, UpstreamCensus, WorkingSet},
};

use {
    brittleness::Brittleness,
    crashes::{Crashes, crash_subjects},
    draining::Drain,
    duties::Reporting,
    hosts::{GroupCapacity, Neighbors, NewerConfiguration, Peering, Share},
    overload::{CongestionControl, EarlyRefusal},
    prompt_transfers::{PromptCopies, PromptFetch, TransferLink},
    queueing::{LengthEstimate, QueuedItem, Rank, TargetQueues, TeamLimits, URGENT_TIERS, Urgency},
    reach::{OwnPaths, TransitHosts},
    requests::{
        AttemptFailure, Claiming, Queued, Request, RequestFacts, RetryBudgets, Running, Stage,
        push_refusal,
    },
    streams::Streams,
    upstream_limits::{UpstreamLimit, UpstreamLimits},
    upstream_notices::{AnnouncementSchedule, Backoff, Departure, Departures},
    upstreams::{
        DirectoryView, EnginePartition, LongPromptDetector, PlacementRequest, Pool, UpstreamState,
        VersionBound, placement, pool, prompt_cache,
    },
};
