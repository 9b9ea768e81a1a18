//! The common types, for one glob import in each package's crate root.

pub use crate::{
    AnsweredBackoff, AnsweredLimit, AttemptId, Bandwidth, ByteSize, ClassId, ConfigVersion,
    FailureCause, FailureDomainId, Fence, Fingerprint, HashMap, HashSet, HostId, IdempotencyKey,
    Incarnation, KeyHash, LoadReport, ModelId, Path, PathEnd, PathTry, PromptPart, Rate, RequestId,
    RouteId, ServiceId, TeamId, Tier, Time, Tokens, UpstreamId, UpstreamNotice, Verdict,
    rendezvous_weight,
};
