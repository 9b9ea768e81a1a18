use super::*;

/// Why a settings file cannot be used.
#[derive(Clone, Debug, PartialEq)]
pub enum SettingsError {
    /// Two fields have the same address.
    DuplicateAddress {
        /// The shared address.
        address: SocketAddr,
        /// Name of the first field.
        first: String,
        /// Name of the second field.
        second: String,
    },
    /// A value is out of range.
    OutOfRange {
        /// Description of the allowed values.
        expected: String,
        /// Name of the field.
        field: String,
    },
    /// The text can't be parsed as settings.
    Syntax {
        /// The parser's message, with line, column and what was expected.
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
