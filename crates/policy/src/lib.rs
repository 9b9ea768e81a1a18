//! The decisions of a host, as one deterministic state machine: it takes an
//! event and the time and returns actions. No I/O, no clock, no threads, so
//! every failure can be written as a script of events.

use {
    config::{Class, Document, Numbered, Plan, Scheduling, Team, Upstream},
    peer::{
        Cleared, Crash, CrashNote, Demand, DutyNote, Echo, ExpectedWait, Grant, Heartbeat,
        HeartbeatAnswer, LoadNote, NamedLimit, PeerHost, PeerPhase, PromptRead, TokenAsk,
        TokenGrant, UpstreamLoad, UpstreamNote, UsageNote, VersionNote, WantedTokens, WindowCounts,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IteratorRandom},
    serde::{Deserialize, Serialize},
    std::{
        cmp::{Ordering, Reverse},
        collections::{BTreeMap, BTreeSet, VecDeque},
        fmt::{self, Display, Formatter},
        net::SocketAddr,
        ops::Bound,
        sync::Arc,
        time::Duration,
    },
    types::{Listening, prelude::*},
};

mod action;
mod admission;
mod affinity;
mod arrival;
mod attempt_end;
mod attempts;
mod choice;
mod claim_answer;
mod claim_request;
mod claims;
mod controller;
mod crashes;
mod directory_view;
mod dispatch;
mod duties;
mod ejection;
mod engine_partition;
mod event;
mod failure;
mod fair_queue;
mod fetch_end;
mod group;
mod health;
mod hearing;
mod host_phase;
mod in_flight_history;
mod lane;
mod length_estimate;
mod long_prompts;
mod member;
mod membership;
mod minimum_share;
mod neighbors;
mod newer_configuration;
mod outcome;
mod overdraft;
mod overload;
mod peering;
mod placement;
mod placement_request;
mod pool;
mod prompt_cache;
mod queued_item;
mod rank;
mod rank_queue;
mod refusal;
mod refusal_reason;
mod refusing;
mod relay_rules;
mod request;
mod resuming;
mod retry_budgets;
mod room_rules;
mod send_inputs;
mod service_rate;
mod settlement;
mod share;
mod shares;
mod silent_domains;
mod steward;
mod stored_answer;
mod target;
mod team_limits;
mod track_record;
mod transfers;
mod upstream_limits;
mod upstream_notices;
mod upstream_state;
mod urgency;
mod waste;

pub use {
    action::{Action, SendOrder},
    arrival::{Arrival, PrefixHash, Repeatability, Routed},
    attempt_end::AttemptEnd,
    claim_answer::ClaimAnswer,
    claim_request::ClaimRequest,
    controller::{Controller, ControllerOptions},
    crashes::{CrashNoted, CrashSource},
    duties::{
        CapacityOrder, CapacityPlan, FencingToken, Lease, LeaseRecord, LeaseStep, PoolCapacity,
        StoredLease, TrueTime, UsageLedger, UsageReport, WindowRules,
    },
    event::Event,
    fetch_end::FetchEnd,
    host_phase::HostPhase,
    outcome::{Outcome, OutcomeEnd},
    overdraft::Overdraft,
    refusal::Refusal,
    refusal_reason::RefusalReason,
    relay_rules::RelayRules,
    room_rules::RoomRules,
    send_inputs::SendInputs,
    settlement::Settlement,
    stored_answer::StoredAnswer,
    target::Target,
    transfers::{TransferSearch, TransferSlots},
    upstream_limits::LimitNoted,
    upstream_notices::{LeavingNoted, NoticeSource},
    waste::WasteCause,
};

use {
    affinity::Affinity,
    claims::settle,
    crashes::Crashes,
    directory_view::DirectoryView,
    duties::Reporting,
    engine_partition::EnginePartition,
    failure::Failure,
    fair_queue::FairQueue,
    group::Group,
    health::Health,
    in_flight_history::InFlightHistory,
    lane::Lane,
    length_estimate::LengthEstimate,
    long_prompts::LongPrompts,
    member::Member,
    membership::Membership,
    minimum_share::MinimumShare,
    neighbors::Neighbors,
    newer_configuration::NewerConfiguration,
    overload::Congestion,
    peering::Peering,
    placement_request::PlacementRequest,
    pool::Pool,
    prompt_cache::PromptCache,
    queued_item::QueuedItem,
    rank::{PRESSING_TIERS, Rank},
    rank_queue::RankQueue,
    request::{Claiming, Queued, Request, RequestFacts, Running, Stage},
    retry_budgets::RetryBudgets,
    service_rate::ServiceRate,
    share::Share,
    shares::Shares,
    silent_domains::SilentDomains,
    steward::{Divided, Steward},
    team_limits::TeamLimits,
    track_record::{TrackRecord, Usual},
    upstream_limits::{UpstreamLimit, UpstreamLimits},
    upstream_notices::{Backoff, Departure, Departures, Telling},
    upstream_state::UpstreamState,
    urgency::Urgency,
};
