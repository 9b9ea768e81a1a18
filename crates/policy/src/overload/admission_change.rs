use super::*;

/// A change of the fraction of a class's requests that is admitted; for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionChange {
    /// The class.
    pub class: ClassId,
    /// Expected time until a new request of the class ends.
    pub expected_duration: Duration,
    /// Fraction of the requests that is admitted; 1 for all.
    pub level: f64,
    /// Usual time limit of the class's callers.
    pub usual_time_limit: Duration,
    /// The requested target.
    pub target: Target,
}
