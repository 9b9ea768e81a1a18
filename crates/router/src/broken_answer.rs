use super::*;

/// The body of an answer broke off; the caller's connection is closed without
/// the body's end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct BrokenAnswer;

impl Display for BrokenAnswer {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for BrokenAnswer {}
