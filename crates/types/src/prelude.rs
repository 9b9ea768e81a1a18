//! Common types, for a single glob import in the crate root of each package.

pub use crate::{
    AdvertisedBackoff, AdvertisedLimit, AttemptId, Bandwidth, ByteSize, ClassId, ConfigVersion,
    CrashSubject, FailureCause, FailureDomainId, FencingNumber, Fingerprint, HashMap, HashSet,
    HostId, IdempotencyKey, Incarnation, KeyHash, LoadReport, ModelId, Path, PathAttempt,
    PathOutcome, PromptPart, PromptPartKey, Rate, RequestId, RouteId, ServiceId, SoftwareVersion,
    StoreEra, StorePosition, StreamId, TeamId, Tier, Time, Tokens, UpstreamId, UpstreamNotice,
    Verdict, rendezvous_weight,
};
