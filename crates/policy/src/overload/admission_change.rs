use super::*;

/// A change of the part of a class that is taken, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionChange {
    /// The class.
    pub class: ClassId,
    /// When a request of it is expected to end.
    pub expected_duration: Duration,
    /// Part of its requests that is taken, 1 for all.
    pub level: f64,
    /// How long its callers usually wait.
    pub usual_time_limit: Duration,
    /// What it asks for.
    pub target: Target,
}
