use super::*;

/// Why the head of a request is rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HeadError {
    /// A header has an invalid value.
    BadHeader {
        /// Name of the header.
        name: String,
    },
    /// A header is missing.
    MissingHeader {
        /// Name of the header.
        name: String,
    },
}

impl Display for HeadError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadHeader { name } => write!(f, "header {name} has a value that cannot be used"),
            Self::MissingHeader { name } => write!(f, "header {name} is missing"),
        }
    }
}

impl std::error::Error for HeadError {}
