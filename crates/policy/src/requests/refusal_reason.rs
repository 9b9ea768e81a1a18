use super::*;

/// Why a request was refused without a response from an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// A request with this idempotency key ran, but its response was not stored.
    AnswerNotKept,
    /// The team is not allowed to use the class.
    ClassNotAllowed,
    /// This host cannot tell whether its configuration is the latest.
    ConfigurationStale,
    /// Identical requests crashed the upstreams that ran them.
    CrashesUpstreams,
    /// Requests with one of the prompt's parts crashed the upstreams that ran them.
    PromptPartCrashesUpstreams,
    /// The request was queued until its deadline passed.
    DeadlinePassed,
    /// The request is not expected to start before the deadline of its class.
    DeadlineUnreachable,
    /// This host is stopping, and the request is not expected to end before that.
    Draining,
    /// Another request with this idempotency key is in progress.
    InProgress,
    /// The idempotency key was used for a different request.
    KeyReused,
    /// Too few requests of the class are expected to end within the time limits of their callers.
    NoTimeLeft,
    /// No upstream of the service accepts requests.
    NoUpstream,
    /// This host has not received a configuration yet.
    NotReady,
    /// An earlier request with this idempotency key ended, and whether it ran is unknown.
    OutcomeUnknown,
    /// The queue is full of requests that are at least as urgent.
    QueueFull,
    /// No upstream of the software version that began the stream accepts requests.
    StreamVersionGone,
    /// The software version that began the stream is not known.
    StreamVersionUnknown,
    /// The platform's table, which stores the idempotency keys, did not respond in time.
    StoreUnavailable,
    /// The team has too many concurrent requests.
    TeamConcurrency,
    /// The team exceeds its request rate limit.
    TeamRate,
    /// The class does not exist.
    UnknownClass,
    /// The bearer key does not belong to any team.
    UnknownKey,
    /// No upstream serves this model.
    UnknownModel,
    /// No route matches the host name and path.
    UnknownRoute,
    /// The service does not exist.
    UnknownService,
    /// Every attempt failed.
    UpstreamFailed,
    /// The upstreams asked for a backoff that lasts too long for the request.
    UpstreamBackoff,
    /// The rate limits of the upstreams would admit the request too late.
    UpstreamLimited,
    /// The upstreams are full, and more urgent requests are sent first.
    UpstreamsFull,
}

impl RefusalReason {
    /// Machine-readable code in error responses.
    pub const fn code(self) -> &'static str {
        match self {
            Self::AnswerNotKept => "answer_not_kept",
            Self::ClassNotAllowed => "class_not_allowed",
            Self::ConfigurationStale => "configuration_stale",
            Self::CrashesUpstreams => "crashes_upstreams",
            Self::DeadlinePassed => "deadline_passed",
            Self::DeadlineUnreachable => "deadline_unreachable",
            Self::Draining => "draining",
            Self::InProgress => "request_in_progress",
            Self::KeyReused => "idempotency_key_reused",
            Self::NoTimeLeft => "no_time",
            Self::NoUpstream => "no_upstream",
            Self::NotReady => "not_ready",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::PromptPartCrashesUpstreams => "prompt_part_crashes_upstreams",
            Self::QueueFull => "queue_full",
            Self::StreamVersionGone => "stream_version_gone",
            Self::StreamVersionUnknown => "stream_version_unknown",
            Self::StoreUnavailable => "store_unavailable",
            Self::TeamConcurrency => "team_concurrency_limit",
            Self::TeamRate => "team_rate_limit",
            Self::UnknownClass => "unknown_class",
            Self::UnknownKey => "unknown_key",
            Self::UnknownModel => "unknown_model",
            Self::UnknownRoute => "unknown_route",
            Self::UnknownService => "unknown_service",
            Self::UpstreamBackoff => "upstream_backoff",
            Self::UpstreamFailed => "upstream_failed",
            Self::UpstreamLimited => "upstream_limit",
            Self::UpstreamsFull => "upstreams_full",
        }
    }

    /// How a request ends that is refused for this reason.
    pub const fn end(self) -> OutcomeEnd {
        match self {
            Self::UpstreamFailed => OutcomeEnd::Failed,
            reason if reason.is_rejection() => OutcomeEnd::Rejected,
            _ => OutcomeEnd::Shed,
        }
    }

    /// Whether the request itself is the cause of the refusal, rather than a lack of capacity or
    /// time.
    const fn is_rejection(self) -> bool {
        matches!(
            self,
            Self::AnswerNotKept
                | Self::ClassNotAllowed
                | Self::CrashesUpstreams
                | Self::InProgress
                | Self::KeyReused
                | Self::OutcomeUnknown
                | Self::PromptPartCrashesUpstreams
                | Self::TeamConcurrency
                | Self::TeamRate
                | Self::UnknownClass
                | Self::UnknownKey
                | Self::UnknownModel
                | Self::UnknownRoute
                | Self::UnknownService
        )
    }
}

impl Display for RefusalReason {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::AnswerNotKept => "the request ran, but its answer was too large to keep",
            Self::ClassNotAllowed => "the team may not use this class",
            Self::ConfigurationStale => {
                "the host cannot tell whether its configuration is the newest"
            }
            Self::CrashesUpstreams => "identical requests crashed the upstreams that ran them",
            Self::DeadlinePassed => "the request waited until the deadline of its class",
            Self::DeadlineUnreachable => {
                "the request cannot start within the deadline of its class"
            }
            Self::Draining => "the host stops before the request is expected to end",
            Self::InProgress => "a request with this idempotency key is in progress",
            Self::KeyReused => "the idempotency key was used for another request",
            Self::NoTimeLeft => "the request is not expected to end in time",
            Self::NoUpstream => "no upstream of the service takes requests",
            Self::NotReady => "the host has no configuration yet",
            Self::OutcomeUnknown => "an earlier request with this idempotency key may have run",
            Self::PromptPartCrashesUpstreams => {
                "requests with a part of this prompt crashed the upstreams that ran them"
            }
            Self::QueueFull => "the queue is full",
            Self::StreamVersionGone => "no upstream of the stream's software version is left",
            Self::StreamVersionUnknown => "the software version of the stream is not known",
            Self::StoreUnavailable => "the idempotency key could not be claimed in time",
            Self::TeamConcurrency => "the team has too many requests at this moment",
            Self::TeamRate => "the team sends requests too fast",
            Self::UnknownClass => "there is no such class",
            Self::UnknownKey => "no team has this key",
            Self::UnknownModel => "no upstream serves this model",
            Self::UnknownRoute => "no route matches the host name and path",
            Self::UnknownService => "there is no such service",
            Self::UpstreamBackoff => "the upstreams refuse requests until it is too late",
            Self::UpstreamFailed => "the upstream failed",
            Self::UpstreamLimited => "the limits of the upstreams leave no place in time",
            Self::UpstreamsFull => "the upstreams are full, and more urgent requests go first",
        })
    }
}
