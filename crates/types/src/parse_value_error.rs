use super::*;

/// A text that is not a valid value of the expected kind.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ParseValueError {
    kind: String,
    text: String,
}

impl ParseValueError {
    pub(crate) fn new(kind: &str, text: &str) -> Self {
        Self {
            kind: kind.to_string(),
            text: text.to_string(),
        }
    }
}

impl Display for ParseValueError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not a valid {}", self.text, self.kind)
    }
}

impl std::error::Error for ParseValueError {}
