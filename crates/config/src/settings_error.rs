use super::*;

/// Why a settings file cannot be used.
#[derive(Clone, Debug, PartialEq)]
pub enum SettingsError {
    /// Two listeners or servers have one address.
    DuplicateAddress {
        /// The address.
        address: SocketAddr,
        /// One field.
        first: String,
        /// The other field.
        second: String,
    },
    /// A value lies outside its range.
    OutOfRange {
        /// What is allowed.
        expected: String,
        /// The field.
        field: String,
    },
    /// The text is not a settings file.
    Syntax {
        /// The library's message, with line, column and what was expected.
        message: String,
    },
}

impl Display for SettingsError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::DuplicateAddress {
                address,
                first,
                second,
            } => write!(f, "{first} and {second} are both {address}"),
            Self::OutOfRange { expected, field } => {
                write!(f, "{field} is out of range, expected {expected}")
            }
            Self::Syntax { message } => write!(f, "settings cannot be read: {message}"),
        }
    }
}

impl std::error::Error for SettingsError {}
