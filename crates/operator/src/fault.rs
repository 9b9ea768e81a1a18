use super::*;

/// The kind of a fault, with its parameters.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "kind")]
pub enum FaultKind {
    /// An engine cuts the connection of each new stream once, after a number of
    /// events. The stream can be resumed.
    EngineBreaks {
        /// Number of events before the connection is cut.
        after_events: u32,
        /// The engine.
        upstream: UpstreamId,
    },
    /// An engine crashes and restarts without any of its work.
    EngineCrash {
        /// The engine.
        upstream: UpstreamId,
    },
    /// An engine is listed as leaving by the platform.
    EngineLeaves {
        /// The engine.
        upstream: UpstreamId,
    },
    /// An engine slows down.
    EngineSlow {
        /// Factor by which the time of each token is multiplied.
        factor: f64,
        /// The engine.
        upstream: UpstreamId,
    },
    /// A host is drained and replaced by a new host.
    HostReplaced {
        /// Number of the host, counted from 0.
        host: usize,
    },
    /// Several operators patch the same version of the configuration concurrently.
    OperatorsRace {
        /// Number of operators.
        operators: u32,
    },
    /// A service replica runs requests, then cuts the connection without a response.
    ServiceResets {
        /// The service replica.
        upstream: UpstreamId,
    },
    /// The platform refuses every call.
    StoreDown,
    /// The platform carries out some writes but loses the responses.
    StoreLosesAnswers {
        /// Number of lost responses.
        answers: u32,
    },
    /// The platform delays every call.
    StoreSlow {
        /// Delay of each call.
        delay_ms: u64,
    },
}

/// A fault that occurs during a run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Fault {
    /// Start, in seconds from the start of the run.
    pub at_s: f64,
    /// Duration in seconds, after which the fault ends.
    #[serde(default)]
    pub for_s: f64,
    /// Kind of the fault.
    #[serde(flatten)]
    pub kind: FaultKind,
}
