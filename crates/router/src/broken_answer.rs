use super::*;

/// The body of a response ended early. The HTTP library closes the caller's connection without
/// marking the body as complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct BrokenAnswer;

impl Display for BrokenAnswer {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("the response ended before its body was complete")
    }
}

impl std::error::Error for BrokenAnswer {}
