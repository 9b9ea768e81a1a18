/// Whether requests of tiers 0 and 1 may exceed their host's share of the slots.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShareOverrun {
    /// They may where an engine's load report shows a free slot, and may also wait in an engine's
    /// own queue, which the engine serves by priority.
    EngineQueue,
    /// They may not.
    None,
    /// They may where an engine's load report shows a free slot.
    ReportedFreeSlot,
}
