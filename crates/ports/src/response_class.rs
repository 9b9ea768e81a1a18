use super::*;

/// What the head of an upstream's answer says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseClass {
    /// A failure of the upstream's own, to be returned unchanged.
    Failed,
    /// It is no answer to this request, or none of this upstream.
    Mismatched,
    /// The upstream says that it did not and will not run the request.
    NotRun(FailureCause),
    /// A success, if its body comes whole.
    Success,
    /// Its status would promise that the request has not run, and the upstream does not say so.
    UnconfirmedNotRun,
}

impl ResponseClass {
    /// Whether the answer is one of the upstream that was meant.
    pub fn is_of_upstream(self) -> bool {
        !matches!(
            self,
            Self::Mismatched | Self::NotRun(FailureCause::WrongInstance)
        )
    }

    /// Judges an answer by its status alone; for upstreams that prove nothing.
    pub fn from_status(status: StatusCode) -> Self {
        if status.is_success() {
            Self::Success
        } else {
            Self::Failed
        }
    }
}
