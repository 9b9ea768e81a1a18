use super::*;

/// Class of an upstream's response, as determined by its head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseClass {
    /// The upstream failed. The response is returned unchanged.
    Failed,
    /// The response belongs to another request or comes from another upstream.
    Mismatched(Mismatch),
    /// The upstream says that it did not run the request and will not run it.
    NotRun(FailureCause),
    /// The request succeeded, provided that the whole body arrives.
    Success,
    /// The status suggests that the request did not run, but the upstream does not confirm it.
    UnconfirmedNotRun,
}

impl ResponseClass {
    /// Whether the response comes from the upstream to which the request was sent.
    pub fn is_of_upstream(self) -> bool {
        !matches!(
            self,
            Self::Mismatched(_) | Self::NotRun(FailureCause::WrongInstance)
        )
    }

    /// The text that is written in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Failed => "failed",
            Self::Mismatched(mismatch) => mismatch.as_str(),
            Self::NotRun(_) => "not-run",
            Self::Success => "success",
            Self::UnconfirmedNotRun => "unconfirmed-not-run",
        }
    }

    /// Classifies a response by its status alone, without any confirmation by the upstream.
    pub fn from_status(status: StatusCode) -> Self {
        if status.is_success() {
            Self::Success
        } else {
            Self::Failed
        }
    }
}
