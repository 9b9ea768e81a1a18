/// Whether a request of tier 0 or 1 may go beyond its host's share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShareOverrun {
    /// Into an engine's own queue too, which it serves by priority.
    EngineQueue,
    /// Never.
    None,
    /// Where an engine's load report shows a free slot.
    ReportedFreeSlot,
}
