use super::*;

/// Bound that determines the target number of upstreams.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TargetBound {
    /// Upstreams that are busy on average, with a reserve for bursts.
    Burst,
    /// Greatest number of upstreams that are expected to be busy.
    Busy,
    /// Smallest number of upstreams that is kept in any case.
    Floor,
    /// Upstreams that are expected to be busy after a failure domain has lost its reclaimable ones.
    Loss,
    /// Demand is unknown, and the target stays the same.
    #[default]
    Unknown,
    /// Work that waits at the upstreams.
    Waiting,
}

impl Display for TargetBound {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Burst => "burst",
            Self::Busy => "busy",
            Self::Floor => "floor",
            Self::Loss => "loss",
            Self::Unknown => "unknown",
            Self::Waiting => "waiting",
        })
    }
}
