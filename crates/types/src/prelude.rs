//! The common types, for one glob import in each package's crate root.

pub use crate::{
    AdvertisedBackoff, AdvertisedLimit, AttemptId, Bandwidth, ByteSize, ClassId, ConfigVersion,
    FailureCause, FailureDomainId, FencingNumber, Fingerprint, HashMap, HashSet, HostId,
    IdempotencyKey, Incarnation, KeyHash, LoadReport, ModelId, Path, PathAttempt, PathOutcome,
    PromptPart, Rate, RequestId, RouteId, ServiceId, TeamId, Tier, Time, Tokens, UpstreamId,
    UpstreamNotice, Verdict, rendezvous_weight,
};
