use super::*;

/// An upstream to which this host cannot connect while another host can.
#[derive(Debug)]
pub(crate) struct LostPath {
    /// When it was last checked whether the path is restored.
    pub(crate) checked_at: Time,
    /// When the loss was last observed.
    pub(crate) observed_at: Time,
    /// The targets that the upstream serves.
    pub(crate) targets: Vec<Target>,
}
